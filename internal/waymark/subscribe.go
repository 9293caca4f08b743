package waymark

// Marks lists the destinations whose endpoints have changed, without the endpoints.
type Marks struct {
	Version uint64 `cbor:"1,keyasint,omitempty"` // of the full list of endpoints
	// Whole reports that Behind holds every destination that has endpoints.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// Behind holds, by destination, the distance from Version back to the version of its last change.
	Behind map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// Part holds the endpoints of one destination as of a version of the list: all of them, or the changes since an
// earlier version. Its workers have an empty Destination.
type Part struct {
	Destination string   `cbor:"1,keyasint,omitempty"`
	Version     uint64   `cbor:"2,keyasint,omitempty"`
	Since       uint64   `cbor:"3,keyasint,omitempty"` // 0 if Workers holds all endpoints
	Workers     []Worker `cbor:"4,keyasint,omitempty"`
}

// Subscribe asks the zone home for state that a registry has announced: a configuration and endpoint lists of at least
// the given versions. It is answered when the zone home has all of them, or when Wait is over.
type Subscribe struct {
	Edition uint64            `cbor:"1,keyasint,omitempty"` // configuration version, 0 for none
	Parts   map[string]uint64 `cbor:"2,keyasint,omitempty"` // endpoint list versions by destination
	Wait    float64           `cbor:"3,keyasint,omitempty"` // milliseconds
	// Have holds the versions that the caller has, by destination, so that the answer can be limited to changes.
	Have map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// Subscribed answers Subscribe. What the zone home does not have is left out.
type Subscribed struct {
	Body  []byte `cbor:"1,keyasint,omitempty"`
	Parts []Part `cbor:"2,keyasint,omitempty"`
}

// Lend offers a zone peer the state that the sender holds while the core can't be reached. The first message of an
// exchange lists versions only; a second one carries the state that the peer lacks.
type Lend struct {
	Edition uint64            `cbor:"1,keyasint,omitempty"` // configuration version
	Evac    uint64            `cbor:"2,keyasint,omitempty"` // number of the set of evacuated zones
	Held    map[string]uint64 `cbor:"3,keyasint,omitempty"` // endpoint list versions by destination
	Heard   uint64            `cbor:"4,keyasint,omitempty"` // version of the full list that Held amounts to

	Body      []byte   `cbor:"5,keyasint,omitempty"`
	Evacuated []string `cbor:"6,keyasint,omitempty"`
	Parts     []Part   `cbor:"7,keyasint,omitempty"`
	Given     bool     `cbor:"8,keyasint,omitempty"` // this is the second message

	// Place and Count are the peer's index among all members and the number of members, as last received.
	Place int `cbor:"9,keyasint,omitempty"`
	Count int `cbor:"10,keyasint,omitempty"`

	Shadow uint64 `cbor:"11,keyasint,omitempty"` // number of the traffic mirroring order
	Order  []byte `cbor:"12,keyasint,omitempty"`
}

// Lent answers Lend with the versions that the peer holds.
type Lent struct {
	Edition uint64            `cbor:"1,keyasint,omitempty"`
	Evac    uint64            `cbor:"2,keyasint,omitempty"`
	Held    map[string]uint64 `cbor:"3,keyasint,omitempty"`
	Placed  bool              `cbor:"4,keyasint,omitempty"` // the peer knows its member index
	Later   bool              `cbor:"5,keyasint,omitempty"` // another sender is about to transfer the state
	Shadow  uint64            `cbor:"6,keyasint,omitempty"`
}
