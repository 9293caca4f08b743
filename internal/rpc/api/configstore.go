package api

import "foxwood/internal/configstore/chain"

// CommitRequest asks a configuration store to commit a change through the chain. It is answered when the tail has the change.
// LastKnown is the newest entry that the caller knew of, for a change that must not undo later entries.
type CommitRequest struct {
	Change    chain.Change
	LastKnown chain.LogPosition `cbor:"After,omitempty"`
}

// CommitResponse answers CommitRequest: the change is committed.
type CommitResponse struct{}

// CommittedStateRequest asks a configuration store for the committed state as the tail of the chain confirms it.
type CommittedStateRequest struct {
	LastKnown chain.LogPosition `cbor:"1,keyasint,omitempty"`
	HeldView  uint64            `cbor:"2,keyasint,omitempty"` // number of the view held; the answer has a view only if it is newer
	// AllowStale allows an answer from the machine's own state if the tail does not answer at once.
	AllowStale bool `cbor:"3,keyasint,omitempty"`
}

// CommittedStateResponse answers CommittedStateRequest. State and View are set only if they are newer than what the caller holds.
type CommittedStateResponse struct {
	Last  chain.LogPosition `cbor:"1,keyasint,omitempty"`
	State *chain.State      `cbor:"2,keyasint,omitempty"`
	View  *chain.View       `cbor:"3,keyasint,omitempty"`
	// Stale reports that the tail was not reached: something newer may have been acknowledged.
	Stale bool `cbor:"4,keyasint,omitempty"`
}

// RebuildRequest asks a configuration store to start a new core from the copy that it holds, which LastEntry identifies.
type RebuildRequest struct {
	LastEntry chain.LogPosition `cbor:"Last"`
}

// RebuildResponse answers RebuildRequest with the number of the view that has started.
type RebuildResponse struct{ View uint64 }

// RemoveNodeRequest asks a configuration store to remove from the core the permanently lost machine whose configuration store had
// the address.
type RemoveNodeRequest struct{ Addr string }

// RemoveNodeResponse answers RemoveNodeRequest with the remaining members of the core.
type RemoveNodeResponse struct {
	Members []string `cbor:"Core"`
}
