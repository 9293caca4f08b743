package waymark

import "foxwood/internal/bulletin"

// Seen reports to the zone home of a destination the answers that a gatekeeper received from the destination's workers.
type Seen struct {
	From        string           `cbor:"1,keyasint,omitempty"` // inner address of the gatekeeper
	Destination string           `cbor:"2,keyasint,omitempty"`
	Sights      []bulletin.Sight `cbor:"3,keyasint,omitempty"`
}

// Posted carries the zone home's verdicts on a destination's workers to the gatekeepers of the zone.
type Posted struct {
	Destination string         `cbor:"1,keyasint,omitempty"`
	Issue       bulletin.Issue `cbor:"2,keyasint,omitempty"`
}

// Noted is the empty answer to Seen and Posted.
type Noted struct{}
