package api

// EndpointChanges lists the destinations whose endpoints have changed, without the endpoints.
type EndpointChanges struct {
	Version uint64 `cbor:"1,keyasint,omitempty"` // of the full list of endpoints
	// Complete reports that VersionsBehind holds every destination that has endpoints.
	Complete bool `cbor:"2,keyasint,omitempty"`
	// VersionsBehind holds, by destination, the distance from Version back to the version of its last change.
	VersionsBehind map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// DestinationEndpoints holds the endpoints of one destination as of a version of the list: all of them, or the changes since an
// earlier version. Its workers have an empty Destination.
type DestinationEndpoints struct {
	Destination string   `cbor:"1,keyasint,omitempty"`
	Version     uint64   `cbor:"2,keyasint,omitempty"`
	Since       uint64   `cbor:"3,keyasint,omitempty"` // 0 if Workers holds all endpoints
	Workers     []Worker `cbor:"4,keyasint,omitempty"`
}

// SubscribeRequest asks the zone home for state that a registry has announced: a configuration and endpoint lists of at least
// the given versions. It is answered when the zone home has all of them, or when WaitMS is over.
type SubscribeRequest struct {
	ConfigVersion    uint64            `cbor:"1,keyasint,omitempty"` // configuration version, 0 for none
	EndpointVersions map[string]uint64 `cbor:"2,keyasint,omitempty"` // endpoint list versions by destination
	WaitMS           float64           `cbor:"3,keyasint,omitempty"` // milliseconds
	// HeldVersions holds the versions that the caller has, by destination, so that the answer can be limited to changes.
	HeldVersions map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// SubscribeResponse answers SubscribeRequest. What the zone home does not have is left out.
type SubscribeResponse struct {
	Config    []byte                 `cbor:"1,keyasint,omitempty"`
	Endpoints []DestinationEndpoints `cbor:"2,keyasint,omitempty"`
}

// PeerSyncRequest offers a zone peer the state that the sender holds while the core can't be reached. The first message of an
// exchange lists versions only; a second one carries the state that the peer lacks.
type PeerSyncRequest struct {
	ConfigVersion    uint64            `cbor:"1,keyasint,omitempty"` // configuration version
	EvacuationNumber uint64            `cbor:"2,keyasint,omitempty"` // number of the set of evacuated zones
	EndpointVersions map[string]uint64 `cbor:"3,keyasint,omitempty"` // endpoint list versions by destination
	EndpointsVersion uint64            `cbor:"4,keyasint,omitempty"` // version of the full list that EndpointVersions amounts to

	Config    []byte                 `cbor:"5,keyasint,omitempty"`
	Evacuated []string               `cbor:"6,keyasint,omitempty"`
	Endpoints []DestinationEndpoints `cbor:"7,keyasint,omitempty"`
	HasState  bool                   `cbor:"8,keyasint,omitempty"` // this is the second message

	// MemberIndex and MemberCount are the peer's index among all members and the number of members, as last received.
	MemberIndex int `cbor:"9,keyasint,omitempty"`
	MemberCount int `cbor:"10,keyasint,omitempty"`

	MirrorOrderNumber uint64 `cbor:"11,keyasint,omitempty"` // number of the traffic mirroring order
	MirrorOrder       []byte `cbor:"12,keyasint,omitempty"`
}

// PeerSyncResponse answers PeerSyncRequest with the versions that the peer holds.
type PeerSyncResponse struct {
	ConfigVersion     uint64            `cbor:"1,keyasint,omitempty"`
	EvacuationNumber  uint64            `cbor:"2,keyasint,omitempty"`
	EndpointVersions  map[string]uint64 `cbor:"3,keyasint,omitempty"`
	KnowsMemberIndex  bool              `cbor:"4,keyasint,omitempty"` // the peer knows its member index
	TransferPending   bool              `cbor:"5,keyasint,omitempty"` // another sender is about to transfer the state
	MirrorOrderNumber uint64            `cbor:"6,keyasint,omitempty"`
}
