package api

import "foxwood/internal/dataplane/outlier"

// OutlierReport reports to the zone home of a destination the answers that a gatekeeper received from the destination's workers.
type OutlierReport struct {
	From        string                 `cbor:"1,keyasint,omitempty"` // inner address of the gatekeeper
	Destination string                 `cbor:"2,keyasint,omitempty"`
	Reports     []outlier.WorkerReport `cbor:"3,keyasint,omitempty"`
}

// OutlierAnnouncement carries the zone home's verdicts on a destination's workers to the gatekeepers of the zone.
type OutlierAnnouncement struct {
	Destination  string               `cbor:"1,keyasint,omitempty"`
	Announcement outlier.Announcement `cbor:"2,keyasint,omitempty"`
}

// OutlierAck is the empty answer to OutlierReport and OutlierAnnouncement.
type OutlierAck struct{}
