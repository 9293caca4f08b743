// Package policy decides for one gateway in front of a shared back end: which
// requests of which customers go on, when, and to which server.
//
// This file is the interface: settings, events and actions. The decisions are
// in policy.go.
package policy

// Micros is a time or a span in microseconds on the host's monotonic clock.
type Micros = int64

// Server names a back-end server; the module only compares it.
type Server uint64

// Repeat tells how a class bears being run more than once.
type Repeat int

// The ways in which a class may repeat.
const (
	Safe   Repeat = iota // may be repeated freely
	Keyed                // repeats are dropped inside a group, for a time
	Unsafe               // must never run twice
)

// Group tells which servers drop repeats of a keyed request.
type Group int

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a class of requests.
type Class struct {
	Aim, Deadline, Window Micros
	Worth, LateWorth      float64
	Repeat                Repeat
	Group                 Group
	Attempts              int // a request may have; 0 for what the settings say
}

// Plan is what a customer pays for: quota, caps and price. A zero Rate, Open or
// CeilingRate means that there is no such limit. OverCost stands in settings and captures;
// decisions do not go by it.
type Plan struct {
	Rate, Burst                             float64
	Open                                    int
	CeilingRate, CeilingBurst, CeilingSlack float64
	Price, OverCost                         float64
}

// Settings is what a gateway is told at its start. Zero values mean that the
// facility is absent.
type Settings struct {
	Self, Gateways, Zone int
	Classes              []Class
	Plans                []Plan
	Tick                 Micros

	Weights    bool     // the list's weights say something of size
	InlineLoad []string // values of load reports that come with answers
	Reported   bool     // and decisions go by them: running, waiting, slots

	MaxAttempts int
	Cancel      bool
	RetryAfter  bool

	Counter        bool
	CounterTimeout Micros
	Settles        bool
	Largest        float64

	ColdShare, FallMultiple float64
	ColdFor, FallWindow     Micros
	CrossZonePrice          float64

	// What follows is left out of captures where it is not set.

	// HoldPart is the part of its aim in which a request that was never sent is refused at
	// the latest; 0 for today's rules alone.
	HoldPart float64 `json:",omitempty"`
	// SafeAfter is how many expected latencies, but at least half an aim, a server may be
	// silent before what it holds of safe requests goes elsewhere, once; 0 for never.
	SafeAfter float64 `json:",omitempty"`
	// Bound says where the bound moves; zero values are this module's own.
	Bound BoundTerms `json:",omitzero"`
	// Spread is the power of chance in the choice of a server where gateways are many: 1 has
	// each server's part go with what it can do. 0 for a half.
	Spread float64 `json:",omitempty"`
	// Turns has servers used by turns in place of by chance.
	Turns bool `json:",omitempty"`
	// Learn is the seconds over which a server's slowness is learnt, 0 for twenty answers.
	Learn float64 `json:",omitempty"`
	// Step is the pace of the housekeeping tick; 0 for 10 ms.
	Step Micros `json:",omitempty"`
	// IdleStep is the pace while there is no request; 0 for Step.
	IdleStep Micros `json:",omitempty"`
	// Beliefs has what is seen of servers told, and what is believed of them heeded.
	Beliefs bool `json:",omitempty"`
	// FurtherTry is asked once for each attempt of a request behind its first, and takes it
	// from a budget where it says yes. The class is the one that the request came with.
	FurtherTry func(class int) bool `json:"-"`
	// ColdSends is how many sends of ours a server may get in any second, below 0 for any number. It is told
	// whether the server is known to be cold (Entry.ColdUntil).
	ColdSends func(s Server, cold bool) int `json:"-"`
}

// BoundTerms are where the bound on attempts in flight moves, as parts of the aim that answers
// take on average, and as multiples of the least that was seen.
type BoundTerms struct {
	Within, Past  float64 // under the one it rises, past the other it is cut
	Knee, KneeCut float64 // from the one on it rises no more, from the other on it is cut
}

// Request is a client's try that has arrived.
type Request struct {
	ID          uint32
	Class, Plan int
	Customer    uint64
	Left        Micros
	Units       float64
	Spread      int  // through how many gateways the customer comes
	Again       bool // marked as a client's repeat
	Filling     bool // its last byte is still to come: Gateway.Filled tells when it has

	Homes uint64 // regions whose servers it may go to, a bit for each; 0 for any
}

// Status is the way an attempt, a probe or a counter call ended.
type Status int

// The ways to end, with the wire's numbers.
const (
	Failed Status = iota
	OK
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// Outcome ends one attempt.
type Outcome struct {
	ID       uint32
	Latency  Micros
	Terminal bool
	Spent    bool // its body can't be sent again
	Status   Status
	Settled  float64 // the true units, 0 for none
	Used     int     // 1 + percent of the quota used, 0 for none; captures keep it, decisions do not go by it
	Attempt  int
	Server   Server
	Load     []float32 // what the worker reports; captures keep it, decisions do not go by it
}

// State is what the list says of a server.
type State int

// The states of a listed server, with the wire's numbers.
const (
	Gone State = iota
	Ready
	Draining
)

// Entry is one line of the server list.
type Entry struct {
	Server     Server
	State      State
	Weight     float64
	Zone, Cell int
	ReadyAt    Micros // latest start, 0 for long ago

	Region    int     `json:",omitempty"` // its bit in Request.Homes
	Dear      float64 `json:",omitempty"` // times as dear as others, 0 for 1
	ColdUntil Micros  `json:",omitempty"` // Settings.ColdSends bounds its sends until then
}

// Standing is what the module thinks of a listed server at present, for other
// proxies that choose by it.
type Standing struct {
	Server Server
	State  State
	Shut   bool    // kept from requests for a while, for failures or as full
	Part   float64 // of the requests it should get, against the others'
	Zone   int
}

// ListKind tells how to read a list.
type ListKind int

// The kinds of list, with the wire's numbers.
const (
	Cached ListKind = iota
	FullList
	ListFailed
	Delta
)

// Host carries out what a Gateway decides.
type Host interface {
	// Send starts the next attempt of a request; timeout 0 is the client's own.
	Send(id uint32, to Server, timeout Micros)
	// Refuse is a final answer: nothing ran, and trying again is harmless.
	Refuse(id uint32, retryAfter Micros)
	// Fail is a final answer that promises nothing.
	Fail(id uint32)
	// Cancel stops waiting for an attempt; its Outcome still comes.
	Cancel(id uint32, attempt int)
	// Timer asks for one Gateway.Timer call with the token.
	Timer(token uint64, after Micros)
	// Count adds to a shared number; Gateway.Counted brings the total.
	Count(name uint64, amount float64, ttl Micros)
}
