// Package waymark holds the messages of the calls between the system's processes: a pair of types, question and answer,
// for each call. Times are durations in milliseconds, because the clocks of different machines don't agree.
package waymark

import (
	"foxwood/internal/membership"
	"foxwood/internal/spur"
)

// Sign renews a gatekeeper's session at a registry and asks for updates. It is a long poll: the answer comes with the
// first update, or when Wait is over.
type Sign struct {
	Member  membership.Member `cbor:"1,keyasint,omitempty"`
	Edition uint64            `cbor:"2,keyasint,omitempty"` // configuration version held
	Evac    uint64            `cbor:"3,keyasint,omitempty"` // number of the set of evacuated zones held
	Roster  uint64            `cbor:"4,keyasint,omitempty"` // endpoint list version last announced to it
	Crowd   uint64            `cbor:"5,keyasint,omitempty"` // checksum of the member list held
	Cores   uint64            `cbor:"6,keyasint,omitempty"` // checksum of the registry list held
	Wait    float64           `cbor:"7,keyasint,omitempty"`
	Leaving bool              `cbor:"8,keyasint,omitempty"`
	// Body and Want ask the registry for state that was announced and that the zone homes did not deliver: Body for the
	// configuration, Want for endpoint lists, by destination with the version held.
	Body bool              `cbor:"9,keyasint,omitempty"`
	Want map[string]uint64 `cbor:"10,keyasint,omitempty"`

	Shadow uint64 `cbor:"11,keyasint,omitempty"` // number of the traffic mirroring order held
	// Copies reports that the gatekeeper mirrors traffic and so needs the seats of all members. Seats is the checksum of
	// those it holds.
	Copies bool   `cbor:"12,keyasint,omitempty"`
	Seats  uint64 `cbor:"13,keyasint,omitempty"`

	Struck uint64 `cbor:"14,keyasint,omitempty"` // checksum of the withdrawn workers last received
}

// Signed answers Sign with updates. What has not changed is left out.
type Signed struct {
	// AsOf is when the tail of the configuration store's chain was last asked, relative to the arrival of Sign; it is
	// negative if that was earlier. The answer holds everything that was acknowledged by then.
	AsOf float64 `cbor:"1,keyasint,omitempty"`
	// Stale reports that the tail has not been reached for long, so that another registry may know more.
	Stale bool `cbor:"2,keyasint,omitempty"`

	// Settled reports that the member list is complete: all registries have been in contact for long enough.
	Settled bool `cbor:"3,keyasint,omitempty"`

	// Again reports that an earlier incarnation of this gatekeeper started so recently that its initial tokens may still
	// count against the quotas.
	Again bool `cbor:"15,keyasint,omitempty"`

	Edition uint64 `cbor:"4,keyasint,omitempty"`
	Body    []byte `cbor:"5,keyasint,omitempty"`  // a newer configuration, for its zone home and for callers that ask for it
	Bulk    int    `cbor:"14,keyasint,omitempty"` // its length in bytes, if Body is left out

	Evac      uint64   `cbor:"6,keyasint,omitempty"`
	HasEvac   bool     `cbor:"7,keyasint,omitempty"`
	Evacuated []string `cbor:"8,keyasint,omitempty"`
	// TakenBack holds the zones whose evacuation was revoked after the number held, even if the gatekeeper never received
	// the evacuation itself.
	TakenBack []string `cbor:"23,keyasint,omitempty"`

	Marks *Marks `cbor:"9,keyasint,omitempty"`
	Parts []Part `cbor:"13,keyasint,omitempty"` // for the destinations' zone homes and for callers that ask for them

	Crowd *Crowd `cbor:"10,keyasint,omitempty"`

	Cores    []Core `cbor:"11,keyasint,omitempty"` // all known registries
	CoresNow uint64 `cbor:"12,keyasint,omitempty"` // their checksum

	Shadow uint64 `cbor:"20,keyasint,omitempty"` // number of the newer traffic mirroring order in Order
	Order  []byte `cbor:"16,keyasint,omitempty"`

	Seats    []spur.Seat `cbor:"17,keyasint,omitempty"` // of all members, for gatekeepers that mirror traffic
	SeatsNow uint64      `cbor:"18,keyasint,omitempty"` // their checksum, set even if Seats is left out as unchanged
	// SeatsAt is the time, relative as AsOf, at which Seats held all members.
	SeatsAt float64 `cbor:"19,keyasint,omitempty"`

	Struck    []Struck `cbor:"21,keyasint,omitempty"`
	StruckNow uint64   `cbor:"22,keyasint,omitempty"` // checksum of the withdrawn workers
}

// Crowd is a gatekeeper's view of the other members.
type Crowd struct {
	Mark  uint64   `cbor:"1,keyasint,omitempty"` // checksum
	Place int      `cbor:"2,keyasint,omitempty"` // the gatekeeper's member index
	Count int      `cbor:"3,keyasint,omitempty"` // number of members
	Peers []string `cbor:"4,keyasint,omitempty"` // inner addresses of the gatekeepers in its region, zone peers first
	Near  []int    `cbor:"5,keyasint,omitempty"` // member indices of the zone peers, in the order of Peers
}

// Core is a registry and its zone, which is empty until the registry has announced it.
type Core struct {
	Addr string `cbor:"1,keyasint,omitempty"`
	Zone string `cbor:"2,keyasint,omitempty"`
}

// Worker is an endpoint on the platform's list.
type Worker struct {
	ID          string  `cbor:"1,keyasint,omitempty"`
	Destination string  `cbor:"2,keyasint,omitempty"`
	Addr        string  `cbor:"3,keyasint,omitempty"`
	Zone        string  `cbor:"4,keyasint,omitempty"`
	Edition     string  `cbor:"5,keyasint,omitempty"` // version that the worker runs
	Berths      int     `cbor:"6,keyasint,omitempty"` // concurrency slots
	Closing     bool    `cbor:"7,keyasint,omitempty"` // it is draining
	Gone        bool    `cbor:"8,keyasint,omitempty"` // in lists of changes: it is no longer listed
	Cold        float64 `cbor:"9,keyasint,omitempty"` // milliseconds of slow start that remain
}
