package waymark

import "foxwood/internal/spur"

// Gather asks a gatekeeper for its records of mirrored requests. Records are numbered, so that the call can be repeated.
type Gather struct {
	Ask spur.Ask `cbor:"1,keyasint,omitempty"`
}

// Gathered answers Gather.
type Gathered struct {
	Answer spur.Answer `cbor:"1,keyasint,omitempty"`
}

// AskCopies asks a gatekeeper for the state of its traffic mirroring.
type AskCopies struct{}

// Copies answers AskCopies. Off reports that the gatekeeper was started without traffic mirroring.
type Copies struct {
	Off    bool        `cbor:"1,keyasint,omitempty"`
	Status spur.Status `cbor:"2,keyasint,omitempty"`
	Own    CopyCounts  `cbor:"3,keyasint,omitempty"`
}

// CopyCounts counts the events of a gatekeeper's own part of traffic mirroring: queueing requests and sending copies.
type CopyCounts struct {
	NoRoom  uint64 `cbor:"1,keyasint,omitempty"` // payloads dropped because the queue was full
	Lost    uint64 `cbor:"2,keyasint,omitempty"` // requests dropped, without any record, because the queue was full
	Refused uint64 `cbor:"3,keyasint,omitempty"` // copies not sent because the address belongs to a live worker
	Sent    uint64 `cbor:"4,keyasint,omitempty"` // copies sent completely to mirror targets
	Hung    uint64 `cbor:"5,keyasint,omitempty"` // copies that a mirror target answered late or never
	Pressed uint64 `cbor:"6,keyasint,omitempty"` // times that mirroring was suspended
	WorkMs  uint64 `cbor:"7,keyasint,omitempty"` // milliseconds of work outside the event loop
}
