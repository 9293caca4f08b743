package waymark

import (
	"math"

	"foxwood/internal/quota"
	"foxwood/internal/slowstart"
)

// Draw asks for a gatekeeper's slices of the quotas.
type Draw struct {
	Station   string             `cbor:"1,keyasint,omitempty"` // node
	Life      uint64             `cbor:"2,keyasint,omitempty"` // incarnation
	Turn      uint64             `cbor:"3,keyasint,omitempty"` // sequence number of the request
	Demand    map[string]float32 `cbor:"4,keyasint,omitempty"`
	Holding   map[string]Slice   `cbor:"5,keyasint,omitempty"`
	LeaseLeft float64            `cbor:"6,keyasint,omitempty"`
	Passed    bool               `cbor:"7,keyasint,omitempty"` // a registry has forwarded it
	Returned  map[string]float32 `cbor:"8,keyasint,omitempty"` // tokens given up since the previous request
}

// Held returns the slices that the gatekeeper holds, with the tokens that it has given up.
func (d *Draw) Held() map[string]quota.Slice {
	held := Unpack(d.Holding)
	for name, tokens := range d.Returned {
		s := held[name]
		s.Returned = float64(tokens)
		held[name] = s
	}
	return held
}

// Hold sets the slices that the gatekeeper holds and the tokens that it has given up.
func (d *Draw) Hold(held map[string]quota.Slice) {
	d.Holding = Pack(held)
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

// Slice is the encoded form of a quota.Slice: seven of its fields in their order.
type Slice [7]float32

// Pack encodes slices. Values are rounded down, so that a gatekeeper never gets more than it was allocated.
func Pack(of map[string]quota.Slice) map[string]Slice {
	out := make(map[string]Slice, len(of))
	for name, s := range of {
		out[name] = Slice{
			roundDown(s.Rate), roundDown(s.Burst), roundDown(s.Floor), roundDown(s.FloorBurst),
			roundDown(s.Tokens), roundDown(s.Wants), roundDown(s.Kick),
		}
	}
	return out
}

// Unpack decodes slices.
func Unpack(of map[string]Slice) map[string]quota.Slice {
	out := make(map[string]quota.Slice, len(of))
	for name, s := range of {
		out[name] = quota.Slice{Rate: float64(s[0]), Burst: float64(s[1]), Floor: float64(s[2]), FloorBurst: float64(s[3]),
			Tokens: float64(s[4]), Wants: float64(s[5]), Kick: float64(s[6])}
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

// Drawn answers Draw. The lease counts from when the request was sent.
type Drawn struct {
	Slices map[string]Slice `cbor:"1,keyasint,omitempty"`
	Lease  float64          `cbor:"2,keyasint,omitempty"` // milliseconds
	// SlowStart is the gatekeeper's share of the load that starting workers can take, for the same lease.
	SlowStart slowstart.Grant `cbor:"3,keyasint,omitempty"`
}

// Tokens asks the owner of small quotas' token buckets for tokens, by tenant.
type Tokens struct {
	Wanted map[string]int `cbor:"1,keyasint,omitempty"`
}

// Granted answers Tokens.
type Granted struct {
	Granted map[string]int     `cbor:"1,keyasint,omitempty"`
	Wait    map[string]float64 `cbor:"2,keyasint,omitempty"` // milliseconds to wait, for tenants that got no tokens
}
