package waymark

import "foxwood/internal/cairn"

// Enter asks a configuration store to commit a change through the chain. It is answered when the tail has the change.
// After is the newest entry that the caller knew of, for a change that must not undo later entries.
type Enter struct {
	Change cairn.Change
	After  cairn.Stamp `cbor:"After,omitempty"`
}

// Entered answers Enter: the change is committed.
type Entered struct{}

// Confirm asks a configuration store for the committed state as the tail of the chain confirms it.
type Confirm struct {
	Have cairn.Stamp `cbor:"1,keyasint,omitempty"`
	View uint64      `cbor:"2,keyasint,omitempty"` // number of the view held; the answer has a view only if it is newer
	// Recall allows an answer from the machine's own state if the tail does not answer at once.
	Recall bool `cbor:"3,keyasint,omitempty"`
}

// Confirmed answers Confirm. State and View are set only if they are newer than what the caller holds.
type Confirmed struct {
	Last  cairn.Stamp  `cbor:"1,keyasint,omitempty"`
	State *cairn.State `cbor:"2,keyasint,omitempty"`
	View  *cairn.View  `cbor:"3,keyasint,omitempty"`
	// Recalled reports that the tail was not reached: something newer may have been acknowledged.
	Recalled bool `cbor:"4,keyasint,omitempty"`
}

// Rebuild asks a configuration store to start a new core from the copy that it holds, which Last identifies.
type Rebuild struct {
	Last cairn.Stamp `cbor:"Last"`
}

// Rebuilt answers Rebuild with the number of the view that has started.
type Rebuilt struct{ View uint64 }

// Forget asks a configuration store to remove from the core the permanently lost machine whose configuration store had
// the address.
type Forget struct{ Addr string }

// Forgotten answers Forget with the remaining members of the core.
type Forgotten struct {
	Core []string `cbor:"Core"`
}
