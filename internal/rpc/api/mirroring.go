package api

import "foxwood/internal/dataplane/mirror"

// CollectRequest asks a gatekeeper for its records of mirrored requests. Records are numbered, so that the call can be repeated.
type CollectRequest struct {
	Request mirror.FetchRequest `cbor:"1,keyasint,omitempty"`
}

// CollectResponse answers CollectRequest.
type CollectResponse struct {
	Answer mirror.FetchResponse `cbor:"1,keyasint,omitempty"`
}

// MirrorStatusRequest asks a gatekeeper for the state of its traffic mirroring.
type MirrorStatusRequest struct{}

// MirrorStatusResponse answers MirrorStatusRequest. Disabled reports that the gatekeeper was started without traffic mirroring.
type MirrorStatusResponse struct {
	Disabled bool           `cbor:"1,keyasint,omitempty"`
	Status   mirror.Status  `cbor:"2,keyasint,omitempty"`
	Counters MirrorCounters `cbor:"3,keyasint,omitempty"`
}

// MirrorCounters counts the events of a gatekeeper's own part of traffic mirroring: queueing requests and sending copies.
type MirrorCounters struct {
	QueueFull         uint64 `cbor:"1,keyasint,omitempty"` // payloads dropped because the queue was full
	DroppedUnrecorded uint64 `cbor:"2,keyasint,omitempty"` // requests dropped, without any record, because the queue was full
	Refused           uint64 `cbor:"3,keyasint,omitempty"` // copies not sent because the address belongs to a live worker
	Sent              uint64 `cbor:"4,keyasint,omitempty"` // copies sent completely to mirror targets
	TimedOut          uint64 `cbor:"5,keyasint,omitempty"` // copies that a mirror target answered late or never
	Suspended         uint64 `cbor:"6,keyasint,omitempty"` // times that mirroring was suspended
	WorkMS            uint64 `cbor:"7,keyasint,omitempty"` // milliseconds of work outside the event loop
}
