package waymark

import "foxwood/internal/membership"

// Roster is the list of endpoints, or the changes since an earlier version.
type Roster struct {
	Version uint64   `cbor:"1,keyasint,omitempty"`
	Whole   bool     `cbor:"2,keyasint,omitempty"` // Workers holds all endpoints
	Workers []Worker `cbor:"3,keyasint,omitempty"`
}

// AskRoster asks another registry for the changes to the list of endpoints since a version.
type AskRoster struct {
	Have uint64 `cbor:"1,keyasint,omitempty"`
}

// Gossip carries a registry's state to the other registries.
type Gossip struct {
	From   string          `cbor:"1,keyasint,omitempty"`
	Zone   string          `cbor:"2,keyasint,omitempty"`
	Page   membership.Page `cbor:"3,keyasint,omitempty"`
	Roster uint64          `cbor:"4,keyasint,omitempty"` // endpoint list version held
	Struck []Struck        `cbor:"5,keyasint,omitempty"` // withdrawn workers
}

// Heard answers Gossip.
type Heard struct {
	Roster uint64 `cbor:"1,keyasint,omitempty"` // endpoint list version held
	Life   uint64 `cbor:"2,keyasint,omitempty"` // incarnation of the receiver's process
}
