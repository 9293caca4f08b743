package api

import "foxwood/internal/control/shedding"

// PressureReport is a gatekeeper's pressure report for the shedding level. Like AllocationRequest it is forwarded at once to the registry
// that holds the duty: session answers may be held back, and gossip would take over a second for each control step.
type PressureReport struct {
	Report    shedding.Report `cbor:"1,keyasint,omitempty"`
	Forwarded bool            `cbor:"2,keyasint,omitempty"` // a registry has forwarded it
}

// SheddingLevel answers PressureReport and FixSheddingLevel with the current shedding level.
type SheddingLevel struct {
	Level shedding.Level `cbor:"1,keyasint,omitempty"`
}

// FixSheddingLevel is an operator's order that fixes the shedding level for a time, whatever the pressure is.
type FixSheddingLevel struct {
	Cut        uint32  `cbor:"1,keyasint,omitempty"`
	DurationMS float64 `cbor:"2,keyasint,omitempty"` // 0 revokes an earlier order
	Forwarded  bool    `cbor:"3,keyasint,omitempty"` // a registry has forwarded it
}
