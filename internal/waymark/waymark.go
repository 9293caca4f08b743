// Package waymark holds the calls between the system's processes: each question and its
// answer are a pair of types. Times are milliseconds, and spans only: no two machines agree on
// the time of day.
package waymark

import (
	"math"

	"foxwood/internal/cairn"
	"foxwood/internal/membership"
	"foxwood/internal/quota"
	"foxwood/internal/slowstart"
	"foxwood/internal/spur"
)

// Sign is how a gatekeeper keeps its session and hears the news: it is answered at the first
// news or when Wait is over.
type Sign struct {
	Member  membership.Member `cbor:"1,keyasint,omitempty"`
	Edition uint64            `cbor:"2,keyasint,omitempty"` // of the configuration held
	Evac    uint64            `cbor:"3,keyasint,omitempty"` // number of the evacuations held
	Roster  uint64            `cbor:"4,keyasint,omitempty"` // version of the workers that it has heard of
	Crowd   uint64            `cbor:"5,keyasint,omitempty"` // mark of the crowd held
	Cores   uint64            `cbor:"6,keyasint,omitempty"` // and of the core machines
	Wait    float64           `cbor:"7,keyasint,omitempty"`
	Leaving bool              `cbor:"8,keyasint,omitempty"`
	// Body and Want tell what it has heard of and has not got from its zone's homes, by
	// destination with the version held: it wants that from here.
	Body bool              `cbor:"9,keyasint,omitempty"`
	Want map[string]uint64 `cbor:"10,keyasint,omitempty"`

	Shadow uint64 `cbor:"11,keyasint,omitempty"` // number of the order for copies that is held
	// Copies tells that it copies journeys, and so wants to know all seats; Seats is their mark.
	Copies bool   `cbor:"12,keyasint,omitempty"`
	Seats  uint64 `cbor:"13,keyasint,omitempty"`

	Struck uint64 `cbor:"14,keyasint,omitempty"` // mark of those heard of last
}

// Signed is the news. What has not changed since is left out.
type Signed struct {
	// AsOf is when the tail was last asked, counted from when the Sign came in: below nothing
	// if before. The answer holds all that was acknowledged by then.
	AsOf float64 `cbor:"1,keyasint,omitempty"`
	// Stale tells that the tail has not been reached for long: another may know more.
	Stale bool `cbor:"2,keyasint,omitempty"`

	// Settled tells that the members are whole: all bothies have been heard for long enough.
	Settled bool `cbor:"3,keyasint,omitempty"`

	// Again tells that an earlier life of this gatekeeper began so lately that its first tokens may
	// count still.
	Again bool `cbor:"15,keyasint,omitempty"`

	Edition uint64 `cbor:"4,keyasint,omitempty"`
	Body    []byte `cbor:"5,keyasint,omitempty"`  // of a newer configuration, for its home and who wants it
	Bulk    int    `cbor:"14,keyasint,omitempty"` // its bytes, where it is not here

	Evac      uint64   `cbor:"6,keyasint,omitempty"`
	HasEvac   bool     `cbor:"7,keyasint,omitempty"`
	Evacuated []string `cbor:"8,keyasint,omitempty"`
	// TakenBack is the zones whose evacuation was taken back behind the number held, also where their being
	// evacuated was never heard of.
	TakenBack []string `cbor:"23,keyasint,omitempty"`

	Marks *Marks `cbor:"9,keyasint,omitempty"`
	Parts []Part `cbor:"13,keyasint,omitempty"` // for the destinations' homes and who wants them

	Crowd *Crowd `cbor:"10,keyasint,omitempty"`

	Cores    []Core `cbor:"11,keyasint,omitempty"` // all bothies known
	CoresNow uint64 `cbor:"12,keyasint,omitempty"` // their mark

	Shadow uint64 `cbor:"20,keyasint,omitempty"` // number of a newer order for copies, which stands in Order
	Order  []byte `cbor:"16,keyasint,omitempty"`

	Seats    []spur.Seat `cbor:"17,keyasint,omitempty"` // of all members, for who copies
	SeatsNow uint64      `cbor:"18,keyasint,omitempty"` // their mark, also where they are left out as known
	// SeatsAt is as of when they are all the members there are, as AsOf counts.
	SeatsAt float64 `cbor:"19,keyasint,omitempty"`

	Struck    []Struck `cbor:"21,keyasint,omitempty"`
	StruckNow uint64   `cbor:"22,keyasint,omitempty"` // their mark
}

// Crowd is what a gatekeeper needs to know of the others: its place among all of them, and who
// else takes clients in its region, by their inner addresses: first those of its own zone, with
// their places among all.
type Crowd struct {
	Mark  uint64   `cbor:"1,keyasint,omitempty"`
	Place int      `cbor:"2,keyasint,omitempty"`
	Count int      `cbor:"3,keyasint,omitempty"`
	Peers []string `cbor:"4,keyasint,omitempty"`
	Near  []int    `cbor:"5,keyasint,omitempty"`
}

// Core is a bothy and where it stands; the zone is empty where it has not said so yet.
type Core struct {
	Addr string `cbor:"1,keyasint,omitempty"`
	Zone string `cbor:"2,keyasint,omitempty"`
}

// Worker is one that the platform lists.
type Worker struct {
	ID          string  `cbor:"1,keyasint,omitempty"`
	Destination string  `cbor:"2,keyasint,omitempty"`
	Addr        string  `cbor:"3,keyasint,omitempty"`
	Zone        string  `cbor:"4,keyasint,omitempty"`
	Edition     string  `cbor:"5,keyasint,omitempty"`
	Berths      int     `cbor:"6,keyasint,omitempty"`
	Closing     bool    `cbor:"7,keyasint,omitempty"`
	Gone        bool    `cbor:"8,keyasint,omitempty"` // in changes: it is no longer listed
	Cold        float64 `cbor:"9,keyasint,omitempty"` // milliseconds that it stays cold
}

// Roster is the workers, whole or what has changed.
type Roster struct {
	Version uint64   `cbor:"1,keyasint,omitempty"`
	Whole   bool     `cbor:"2,keyasint,omitempty"`
	Workers []Worker `cbor:"3,keyasint,omitempty"`
}

// AskRoster asks another bothy for what has changed since a version.
type AskRoster struct {
	Have uint64 `cbor:"1,keyasint,omitempty"`
}

// Gossip is what a bothy tells the others.
type Gossip struct {
	From   string          `cbor:"1,keyasint,omitempty"`
	Zone   string          `cbor:"2,keyasint,omitempty"`
	Page   membership.Page `cbor:"3,keyasint,omitempty"`
	Roster uint64          `cbor:"4,keyasint,omitempty"` // version held
	Struck []Struck        `cbor:"5,keyasint,omitempty"`
}

// Heard answers Gossip.
type Heard struct {
	Roster uint64 `cbor:"1,keyasint,omitempty"` // version held
	Life   uint64 `cbor:"2,keyasint,omitempty"` // of the hearer's process
}

// Draw asks for a gatekeeper's slices of the quotas. Passed tells that a bothy has passed it on.
type Draw struct {
	Station   string             `cbor:"1,keyasint,omitempty"`
	Life      uint64             `cbor:"2,keyasint,omitempty"`
	Turn      uint64             `cbor:"3,keyasint,omitempty"`
	Demand    map[string]float32 `cbor:"4,keyasint,omitempty"`
	Holding   map[string]Slice   `cbor:"5,keyasint,omitempty"`
	LeaseLeft float64            `cbor:"6,keyasint,omitempty"`
	Passed    bool               `cbor:"7,keyasint,omitempty"`
	Returned  map[string]float32 `cbor:"8,keyasint,omitempty"` // tokens given up since the asking before
}

// Held is what the gatekeeper says that it holds, and what it has given up.
func (d *Draw) Held() map[string]quota.Slice {
	held := Unpack(d.Holding)
	for name, tokens := range d.Returned {
		s := held[name]
		s.Returned = float64(tokens)
		held[name] = s
	}
	return held
}

// Hold says what a gatekeeper holds and what it has given up.
func (d *Draw) Hold(held map[string]quota.Slice) {
	d.Holding = Pack(held)
	for name, s := range held {
		if s.Returned <= 0 {
			continue
		}
		if d.Returned == nil {
			d.Returned = map[string]float32{}
		}
		d.Returned[name] = small(s.Returned)
	}
}

// Slice is a slice on the wire: seven figures, in the order of quota's.
type Slice [7]float32

// Pack makes slices small; what a gatekeeper may use is never made larger by it.
func Pack(of map[string]quota.Slice) map[string]Slice {
	out := make(map[string]Slice, len(of))
	for name, s := range of {
		out[name] = Slice{small(s.Rate), small(s.Burst), small(s.Floor), small(s.FloorBurst), small(s.Tokens), small(s.Wants), small(s.Kick)}
	}
	return out
}

// Unpack is the slices.
func Unpack(of map[string]Slice) map[string]quota.Slice {
	out := make(map[string]quota.Slice, len(of))
	for name, s := range of {
		out[name] = quota.Slice{Rate: float64(s[0]), Burst: float64(s[1]), Floor: float64(s[2]), FloorBurst: float64(s[3]),
			Tokens: float64(s[4]), Wants: float64(s[5]), Kick: float64(s[6])}
	}
	return out
}

// small cuts a figure to eleven bits, which CBOR holds in two bytes.
func small(v float64) float32 {
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

// Tokens asks a home for tokens of tenants whose quotas are thin.
type Tokens struct {
	Wanted map[string]int `cbor:"1,keyasint,omitempty"`
}

// Granted is how many are given, and how long those should wait who got none.
type Granted struct {
	Granted map[string]int     `cbor:"1,keyasint,omitempty"`
	Wait    map[string]float64 `cbor:"2,keyasint,omitempty"` // milliseconds
}

// Drawn is its answer. The lease counts from the asking.
type Drawn struct {
	Slices map[string]Slice `cbor:"1,keyasint,omitempty"`
	Lease  float64          `cbor:"2,keyasint,omitempty"`
	// SlowStart is the gatekeeper's part of what cold workers bear, for the same lease.
	SlowStart slowstart.Grant `cbor:"3,keyasint,omitempty"`
}

// Enter has a cairn bring a change into the chain. It is answered when the tail has it. After is the newest entry
// that the caller knew of, for a change that must not undo what came behind that.
type Enter struct {
	Change cairn.Change
	After  cairn.Stamp `cbor:",omitempty"`
}

// Entered tells that it is committed.
type Entered struct{}

// Confirm asks a cairn for what is committed, by the tail's word.
type Confirm struct {
	Have cairn.Stamp `cbor:"1,keyasint,omitempty"`
	View uint64      `cbor:"2,keyasint,omitempty"` // held; the answer has a newer one only
	// Recall takes what this machine knows for the answer, where the tail gives none at once.
	Recall bool `cbor:"3,keyasint,omitempty"`
}

// Confirmed is that, with the state where it is newer.
type Confirmed struct {
	Last  cairn.Stamp  `cbor:"1,keyasint,omitempty"`
	State *cairn.State `cbor:"2,keyasint,omitempty"`
	View  *cairn.View  `cbor:"3,keyasint,omitempty"`
	// Recalled tells that the tail was not reached: something newer may have been acknowledged.
	Recalled bool `cbor:"4,keyasint,omitempty"`
}

// Rebuild asks a cairn to begin a core of its own from the copy that it holds, which Last names.
type Rebuild struct{ Last cairn.Stamp }

// Rebuilt names the view that has begun.
type Rebuilt struct{ View uint64 }

// Forget asks a cairn that the core forget the machine at an address (a cairn's), which is gone for good.
type Forget struct{ Addr string }

// Forgotten is the core without it.
type Forgotten struct{ Core []string }

// AskStatus asks any process how it stands.
type AskStatus struct{}

// Status is what it says, for operators: lines of name and value.
type Status struct{ Lines []string }
