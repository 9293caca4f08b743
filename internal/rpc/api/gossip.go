package api

import "foxwood/internal/control/membership"

// EndpointList is the list of endpoints, or the changes since an earlier version.
type EndpointList struct {
	Version  uint64   `cbor:"1,keyasint,omitempty"`
	Complete bool     `cbor:"2,keyasint,omitempty"` // Workers holds all endpoints
	Workers  []Worker `cbor:"3,keyasint,omitempty"`
}

// EndpointListRequest asks another registry for the changes to the list of endpoints since a version.
type EndpointListRequest struct {
	HeldVersion uint64 `cbor:"1,keyasint,omitempty"`
}

// Gossip carries a registry's state to the other registries.
type Gossip struct {
	From             string            `cbor:"1,keyasint,omitempty"`
	Zone             string            `cbor:"2,keyasint,omitempty"`
	Page             membership.Report `cbor:"3,keyasint,omitempty"`
	EndpointsVersion uint64            `cbor:"4,keyasint,omitempty"` // endpoint list version held
	Withdrawn        []WithdrawnWorker `cbor:"5,keyasint,omitempty"` // withdrawn workers
}

// GossipResponse answers Gossip.
type GossipResponse struct {
	EndpointsVersion uint64 `cbor:"1,keyasint,omitempty"` // endpoint list version held
	Incarnation      uint64 `cbor:"2,keyasint,omitempty"` // incarnation of the receiver's process
}
