// Package policy makes the decisions of one gateway in front of a shared pool of servers: which requests of
// which customers are admitted, when they are sent, to which server, and whether they are tried again.
//
// The package is pure: it has no clock, no goroutines and no input or output. The host calls the methods of a
// [Gateway] with the current time for every event, and carries out the actions that the Gateway asks of its
// [Host]. The same events and seed give the same actions, so that decisions can be replayed from a capture.
//
// Terms used throughout:
//
//   - A class is a kind of request with a latency target, a value and rules for repeating it.
//   - A plan is what a customer pays for: a quota (a token bucket), a ceiling (a hard limit, a second bucket)
//     and a concurrency cap.
//   - The counter is a service outside this package that adds up numbers for all gateways. Through it they
//     share buckets and lease or draw units that are too few to divide.
//   - The limit is the number of attempts that the gateway keeps in flight. It adapts to the latency of answers.
//   - A cold server has started recently and can do less than a warm one.
//
// Decisions keep four guarantees: every request is answered before its client's time is over; a request that
// may have run is sent again only as its class allows; cold servers get no more than their budget; and all
// gateways together stay within a customer's ceiling, across restarts too.
//
// This file has the interface: settings, events and actions. The decisions are in policy.go.
package policy

// Micros is a time or a duration in microseconds, on the host's monotonic clock.
type Micros = int64

// Server identifies a back-end server. The package only compares it.
type Server uint64

// Repeatability says whether requests of a class may be run more than once.
type Repeatability int

// The kinds of repeatability.
const (
	RepeatSafe   Repeatability = iota // may be repeated freely
	RepeatKeyed                       // servers of a group drop repeats, within a time window
	RepeatUnsafe                      // must never run twice
)

// DedupScope says which servers together drop repeats of a keyed request.
type DedupScope int

// The groups of servers.
const (
	DedupFleet DedupScope = iota // all servers
	DedupZone                    // the servers of one zone
	DedupCell                    // the servers of one cell of a zone
)

// Class is a class of requests.
type Class struct {
	LatencyTarget Micros        `json:"Aim"`       // latency target, from the client's first try
	Deadline      Micros        `json:"Deadline"`  // time that clients wait for an answer
	RepeatWindow  Micros        `json:"Window"`    // time for which servers drop repeats of a keyed request
	Value         float64       `json:"Worth"`     // value of an answer within the latency target
	LateValue     float64       `json:"LateWorth"` // value of a later one
	Repeat        Repeatability `json:"Repeat"`
	Dedup         DedupScope    `json:"Group"`
	MaxAttempts   int           `json:"Attempts"` // most attempts for a request; 0 for Settings.MaxAttempts
}

// Plan is what a customer pays for: quota, limits and price. A zero Rate, MaxInFlight or CeilingRate means that there
// is no such limit. Rates are in units per second, bursts in units.
type Plan struct {
	Rate             float64 `json:"Rate"`
	Burst            float64 `json:"Burst"`
	MaxInFlight      int     `json:"Open"` // concurrency cap: most attempts in flight, for all gateways together
	CeilingRate      float64 `json:"CeilingRate"`
	CeilingBurst     float64 `json:"CeilingBurst"`
	CeilingTolerance float64 `json:"CeilingSlack"` // units by which audits let a ceiling be passed; no decision uses it
	Price            float64 `json:"Price"`        // relative to other plans
	OverrunCost      float64 `json:"OverCost"`     // kept in settings and captures only; no decision uses it
}

// Settings are the settings of a gateway. A zero value means that the facility is absent.
type Settings struct {
	Index        int     `json:"Self"`     // index of this gateway among all
	GatewayCount int     `json:"Gateways"` // number of gateways
	Zone         int     `json:"Zone"`
	Classes      []Class `json:"Classes"`
	Plans        []Plan  `json:"Plans"`
	ClockTick    Micros  `json:"Tick"` // granularity of the host's timers

	UseWeights       bool     `json:"Weights"`    // weights in the server list tell the servers' sizes
	LoadReportFields []string `json:"InlineLoad"` // names of the load values that come with answers
	UseLoadReports   bool     `json:"Reported"`   // decisions use them; they are: running, waiting, slots

	MaxAttempts    int  `json:"MaxAttempts"` // for a request
	CanCancel      bool `json:"Cancel"`      // the host can cancel attempts
	SendRetryAfter bool `json:"RetryAfter"`  // refusals tell clients how long to wait

	HasCounter     bool    `json:"Counter"` // there is a counter
	CounterTimeout Micros  `json:"CounterTimeout"`
	SettlesUnits   bool    `json:"Settles"` // answers tell the true units of requests
	MaxUnits       float64 `json:"Largest"` // units of the largest request

	ColdCapacity     float64 `json:"ColdShare"`      // fraction of its capacity that a server has when it starts
	OverloadMultiple float64 `json:"FallMultiple"`   // multiple of its capacity that overloads a cold server,
	ColdDuration     Micros  `json:"ColdFor"`        // time after its start for which a server is cold
	OverloadWindow   Micros  `json:"FallWindow"`     // sustained over this window
	CrossZonePrice   float64 `json:"CrossZonePrice"` // of a request to another zone

	// The following are left out of captures if they are not set.

	// MaxHoldFraction is the fraction of its latency target after which a request that was never sent is refused at the
	// latest; 0 for no such limit.
	MaxHoldFraction float64 `json:"HoldPart,omitempty"`
	// MoveAfterSilence is the number of expected latencies, but at least half a latency target, that a server may be
	// silent before its safe requests are moved to another one, once; 0 for never.
	MoveAfterSilence float64 `json:"SafeAfter,omitempty"`
	// LimitTerms says where the limit on attempts in flight moves; zero values stand for the package's defaults.
	LimitTerms LimitTerms `json:"Bound,omitzero"`
	// ChoiceExponent is the exponent of the random factor in the choice of a server when there are many gateways. With 1
	// the requests for a server are proportional to its capacity. 0 stands for 0.5.
	ChoiceExponent float64 `json:"Spread,omitempty"`
	// Rotate makes the gateway use servers in rotation instead of at random.
	Rotate bool `json:"Turns,omitempty"`
	// SlownessSeconds is the time in seconds over which a server's slowness is averaged; 0 for twenty answers.
	SlownessSeconds float64 `json:"Learn,omitempty"`
	// TickInterval is the interval of the housekeeping tick; 0 for 10 ms.
	TickInterval Micros `json:"Step,omitempty"`
	// IdleTickInterval is the interval while there is no request; 0 for TickInterval.
	IdleTickInterval Micros `json:"IdleStep,omitempty"`
	// ZoneVerdicts enables the zone's verdicts on servers: observations are collected, and verdicts obeyed.
	ZoneVerdicts bool `json:"Beliefs,omitempty"`
	// AllowRetry is called once for each attempt after a request's first. It returns whether the retry budget
	// allows the attempt, and takes it from the budget. The class is the one that the request arrived with.
	AllowRetry func(class int) bool `json:"-"`
	// MaxColdSends returns how many sends of ours a server may get in any second, negative for no limit. cold tells
	// whether the server is known to be cold (Entry.ColdUntil).
	MaxColdSends func(s Server, cold bool) int `json:"-"`
}

// LimitTerms say where the limit on attempts in flight moves. It goes by the mean ratio of the answers' latency to
// their latency target.
type LimitTerms struct {
	GrowBelow float64 `json:"Within"`  // ratio below which the limit rises
	CutAbove  float64 `json:"Past"`    // ratio above which it is cut
	GrowKnee  float64 `json:"Knee"`    // multiple of the least ratio seen from which on it rises no more
	CutKnee   float64 `json:"KneeCut"` // multiple of the least ratio seen from which on it is cut
}

// Request is a client's try that has arrived.
type Request struct {
	ID           uint32
	Class, Plan  int // indexes in Settings.Classes and Settings.Plans
	Customer     uint64
	TimeLeft     Micros  // time until the client gives up
	Units        float64 // estimated cost, in units of quota
	GatewayCount int     // number of gateways that the customer's requests come through
	IsRetry      bool    // the client marked it as a retry
	BodyPending  bool    // the last byte of its body has not arrived; Gateway.BodyReceived reports when it has

	Regions uint64 // bit set of the regions whose servers it may go to; 0 for any
}

// Status is the way an attempt, a probe or a counter call ended.
type Status int

// The statuses, with their numbers in the wire protocol.
const (
	Failed        Status = iota // with an error answer
	OK                          // with a good answer
	Full                        // refused by a server that was full; the request did not run
	Timeout                     // without an answer in time
	ConnectFailed               // without a connection; the request did not run
	Reset                       // by a broken connection
	Cancelled                   // by Host.Cancel
	NotSent                     // before it was sent; the request did not run
)

// Outcome ends one attempt.
type Outcome struct {
	ID           uint32
	Latency      Micros
	Terminal     bool // the client has its answer
	BodyConsumed bool // the body can't be sent again
	Status       Status
	ActualUnits  float64 // true units of the request, 0 if unknown
	QuotaUsed    int     // 1 + percentage of the quota used, 0 if unknown; kept in captures, not used by decisions
	Attempt      int     // number of the attempt, from 0
	Server       Server
	LoadReport   []float32 // load report of the server; used by decisions only with Settings.UseLoadReports
}

// State is the state of a server in the server list.
type State int

// The states of a listed server, with their numbers in the wire protocol.
const (
	Gone     State = iota // removed from the list
	Ready                 // takes requests
	Draining              // takes no new requests
)

// Entry is one line of the server list.
type Entry struct {
	Server  Server  `json:"Server"`
	State   State   `json:"State"`
	Weight  float64 `json:"Weight"` // relative size, used with Settings.UseWeights
	Zone    int     `json:"Zone"`
	Cell    int     `json:"Cell"`
	ReadyAt Micros  `json:"ReadyAt"` // latest start, 0 for long ago

	Region     int     `json:"Region,omitempty"`    // bit number in Request.Regions
	CostFactor float64 `json:"Dear,omitempty"`      // cost relative to other servers, 0 for 1
	ColdUntil  Micros  `json:"ColdUntil,omitempty"` // time until which Settings.MaxColdSends treats it as cold
}

// ServerStatus is the gateway's current assessment of a listed server, for other proxies that choose by it.
type ServerStatus struct {
	Server      Server
	State       State
	Unavailable bool    // ejected after failures, or paused because it was full
	Weight      float64 // requests it should get, relative to the other servers
	Zone        int
}

// ListKind says how to read a server list.
type ListKind int

// The kinds of list, with their numbers in the wire protocol.
const (
	CachedList ListKind = iota // a full list from a cache
	FullList                   // a full list; servers it does not name are gone
	ListFailed                 // no list; the last one stays in force
	ListDelta                  // changes to the last list
)

// Host carries out what a Gateway decides.
type Host interface {
	// Send starts the next attempt of a request, with a time-out.
	Send(id uint32, to Server, timeout Micros)
	// Refuse gives the final answer that the request did not run or may safely be tried again after retryAfter.
	Refuse(id uint32, retryAfter Micros)
	// Fail gives the final answer that the request failed and may have run.
	Fail(id uint32)
	// Cancel stops waiting for an attempt; its Outcome still follows.
	Cancel(id uint32, attempt int)
	// Timer asks for one call of Gateway.Timer with the token, after a time.
	Timer(token uint64, after Micros)
	// Count adds to a named number on the counter, which keeps it for ttl; Gateway.CounterResult gets the total.
	Count(name uint64, amount float64, ttl Micros)
}
