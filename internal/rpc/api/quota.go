package api

import (
	"math"

	"foxwood/internal/control/quota"
	"foxwood/internal/dataplane/slowstart"
)

// AllocationRequest asks for a gatekeeper's slices of the quotas.
type AllocationRequest struct {
	Node        string                  `cbor:"1,keyasint,omitempty"` // node
	Incarnation uint64                  `cbor:"2,keyasint,omitempty"` // incarnation
	Sequence    uint64                  `cbor:"3,keyasint,omitempty"` // sequence number of the request
	Demand      map[string]float32      `cbor:"4,keyasint,omitempty"`
	Holding     map[string]EncodedSlice `cbor:"5,keyasint,omitempty"`
	LeaseLeft   float64                 `cbor:"6,keyasint,omitempty"`
	Forwarded   bool                    `cbor:"7,keyasint,omitempty"` // a registry has forwarded it
	Returned    map[string]float32      `cbor:"8,keyasint,omitempty"` // tokens given up since the previous request
}

// HeldSlices returns the slices that the gatekeeper holds, with the tokens that it has given up.
func (d *AllocationRequest) HeldSlices() map[string]quota.Allocation {
	held := DecodeSlices(d.Holding)
	for name, tokens := range d.Returned {
		s := held[name]
		s.Returned = float64(tokens)
		held[name] = s
	}
	return held
}

// SetHeldSlices sets the slices that the gatekeeper holds and the tokens that it has given up.
func (d *AllocationRequest) SetHeldSlices(held map[string]quota.Allocation) {
	d.Holding = EncodeSlices(held)
	for name, s := range held {
		if s.Returned <= 0 {
			continue
		}
		if d.Returned == nil {
			d.Returned = map[string]float32{}
		}
		d.Returned[name] = roundDown(s.Returned)
	}
}

// EncodedSlice is the encoded form of a quota.Allocation: seven of its fields in their order.
type EncodedSlice [7]float32

// EncodeSlices encodes slices. Values are rounded down, so that a gatekeeper never gets more than it was allocated.
func EncodeSlices(of map[string]quota.Allocation) map[string]EncodedSlice {
	out := make(map[string]EncodedSlice, len(of))
	for name, s := range of {
		out[name] = EncodedSlice{
			roundDown(s.Rate), roundDown(s.Burst), roundDown(s.Minimum), roundDown(s.MinimumBurst),
			roundDown(s.Tokens), roundDown(s.Waiting), roundDown(s.StartBurst),
		}
	}
	return out
}

// DecodeSlices decodes slices.
func DecodeSlices(of map[string]EncodedSlice) map[string]quota.Allocation {
	out := make(map[string]quota.Allocation, len(of))
	for name, s := range of {
		out[name] = quota.Allocation{Rate: float64(s[0]), Burst: float64(s[1]), Minimum: float64(s[2]), MinimumBurst: float64(s[3]),
			Tokens: float64(s[4]), Waiting: float64(s[5]), StartBurst: float64(s[6])}
	}
	return out
}

// roundDown cuts a value to eleven significant bits, the precision of CBOR's two-byte floats. Outside their range it
// cuts to a multiple of 1/1024. Negative and infinite values and NaN become 0.
func roundDown(v float64) float32 {
	if v <= 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return 0
	}
	frac, exp := math.Frexp(v)
	v = math.Ldexp(math.Floor(frac*(1<<11)), exp-11)
	if v < 1.0/1024 || v > 60000 {
		return float32(math.Floor(v*1024) / 1024)
	}
	return float32(v)
}

// AllocationResponse answers AllocationRequest. The lease counts from when the request was sent.
type AllocationResponse struct {
	Slices  map[string]EncodedSlice `cbor:"1,keyasint,omitempty"`
	LeaseMS float64                 `cbor:"2,keyasint,omitempty"` // milliseconds
	// SlowStart is the gatekeeper's share of the load that starting workers can take, for the same lease.
	SlowStart slowstart.Grant `cbor:"3,keyasint,omitempty"`
}

// TokenRequest asks the owner of small quotas' token buckets for tokens, by tenant.
type TokenRequest struct {
	Wanted map[string]int `cbor:"1,keyasint,omitempty"`
}

// TokenResponse answers TokenRequest.
type TokenResponse struct {
	Granted map[string]int     `cbor:"1,keyasint,omitempty"`
	WaitMS  map[string]float64 `cbor:"2,keyasint,omitempty"` // milliseconds to wait, for tenants that got no tokens
}
