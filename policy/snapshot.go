package policy

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Snapshots: the whole state of a gateway as plain data, to keep it and to continue from it. Nothing is
// decided here. Pointers between records become indexes into the snapshot's lists.

// SnapshotVersion changes whenever the records in state.go change. Snapshots of another version are rejected,
// since decisions from a partial state differ from those of the whole state.
const SnapshotVersion = 4

// Snapshot is the state of a gateway between two calls. Its fields and those of the records have the meaning of
// the corresponding fields in state.go. The names in JSON are fixed, since captures contain them.
type Snapshot struct {
	Version   int      `json:"Version"`
	Settings  Settings `json:"Settings"`
	RNG       uint64   `json:"RNG"`
	Now       Micros   `json:"Now"`
	StartedAt Micros   `json:"Born"`

	Classes        []ClassRecord       `json:"Classes"` // in force, followed by replaced ones that requests still use
	InForce        int                 `json:"InForce"`
	Plans          []PlanRecord        `json:"Plans"`
	Requests       []RequestRecord     `json:"Requests"`
	Queue          [][]int             `json:"Queue"` // indexes of requests, by queue level
	KnownRequests  []int               `json:"Known"` // indexes of the requests that Gateway.reqs holds
	Customers      []CustomerRecord    `json:"Clients"`
	KnownCustomers []int               `json:"Listed"` // indexes of the customers that the gateway's map holds
	Wheel          [][]int             `json:"Wheel"`  // indexes of customers, by slot of the timing wheel
	WheelAt        int64               `json:"WheelAt"`
	Servers        []ServerRecord      `json:"Servers"`
	Order          []int               `json:"Order"` // indexes of the servers in use, in the gateway's own order
	PendingCalls   []PendingCallRecord `json:"Draws"`

	InFlight          int     `json:"InFlight"`
	InFlightSilent    int     `json:"Stuck"`
	InFlightBodies    int     `json:"Filling"`
	LastAnswer        Micros  `json:"Answered"`
	InFlightLimit     float64 `json:"Bound"`
	LimitSet          bool    `json:"BoundSet"`
	LimitCutAt        Micros  `json:"CutAt"`
	MinRatioAt        Micros  `json:"IdleAt"`
	MinRatio          float64 `json:"Idle"`
	RatioSamples      int     `json:"Answers"`
	LatencyRatio      float64 `json:"Stretch"`
	AnswerRate        float64 `json:"DoneRate"`
	SendRate          float64 `json:"SendRate"`
	WarmRate          float64 `json:"WarmLoad"`
	RatesAt           Micros  `json:"LastRate"`
	Sends             int     `json:"Sends"`
	GoodAnswers       int     `json:"Dones"`
	CallFraction      float64 `json:"Calls"`
	LastCounterAnswer Micros  `json:"CallAt"`
	CapWindow         Micros  `json:"CapWindow"` // window of concurrency cap draws, from the initial classes
}

// ClassRecord is a class with its measurements.
type ClassRecord struct {
	Class
	MeanUnits     float64 `json:"Units"`
	MaxTimeLeft   Micros  `json:"Longest"`
	FullTimeShare float64 `json:"Full"`
	Latency       float64 `json:"Lat"`
	Answers       int     `json:"N"`
}

func (c *ClassRecord) state() classState {
	return classState{Class: c.Class, meanUnits: c.MeanUnits, maxTimeLeft: c.MaxTimeLeft, fullTimeShare: c.FullTimeShare,
		latency: c.Latency, answers: c.Answers}
}

// PlanRecord holds the measurements of a plan: the mean time of its attempts in flight, in µs.
type PlanRecord struct {
	AttemptTime float64 `json:"Holds"`
}

// AttemptRecord is one attempt of a request.
type AttemptRecord struct {
	Server int     `json:"Server"`
	Sent   Micros  `json:"Sent"`
	Open   bool    `json:"Open"`
	Work   float64 `json:"Load"`

	BodyPending bool `json:"Filling"`
}

// RequestRecord is one request.
type RequestRecord struct {
	ID             uint32          `json:"ID"`
	Class          int             `json:"Class"`
	Plan           int             `json:"Plan"`
	Customer       int             `json:"Client"`
	Units          float64         `json:"Units"`
	Level          int             `json:"Level"`
	Arrived        Micros          `json:"Arrived"`
	Deadline       Micros          `json:"Deadline"`
	UnsentDeadline Micros          `json:"Halfway"`
	Attempts       []AttemptRecord `json:"Attempts"`
	InFlight       int             `json:"Open"`
	Sent           bool            `json:"Sent"`
	Done           bool            `json:"Done"`
	Held           bool            `json:"Held"`
	AwaitsCounter  bool            `json:"Drawing"`
	Admitted       bool            `json:"Admitted"`
	MayHaveRun     bool            `json:"Uncertain"`
	BodyPending    bool            `json:"Filling"`
	RanOn          int             `json:"RanOn"` // index of a server, -1 for none
	RanAt          Micros          `json:"RanAt"`
	TokensTaken    float64         `json:"Taken"`
	LeasedAt       Micros          `json:"LeasedAt"`
}

// CustomerRecord is one customer under a plan.
type CustomerRecord struct {
	Key            uint64   `json:"Key"`
	Plan           int      `json:"Plan"`
	Gateways       float64  `json:"Spread"`
	Tokens         float64  `json:"Tokens"`
	RefilledAt     Micros   `json:"At"`
	Share          float64  `json:"Share"`
	ShareAt        Micros   `json:"ShareAt"`
	OwnMean        float64  `json:"OwnMean"`
	AllMean        float64  `json:"AllMean"`
	CeilingTokens  float64  `json:"Guard"`
	Pending        float64  `json:"Pending"`
	InFlight       int      `json:"Open"`
	LastRequest    Micros   `json:"Touched"`
	SharedTokens   float64  `json:"Level"`
	SharedAt       Micros   `json:"LevelAt"`
	TotalAt        Micros   `json:"HeardAt"`
	OthersRate     float64  `json:"OthersRate"`
	Unreported     float64  `json:"Untold"`
	Window         int64    `json:"Window"`
	OwnInWindow    float64  `json:"Mine"`
	OthersInWindow float64  `json:"Others"`
	OwnUse         float64  `json:"OwnUse"`
	OthersUse      float64  `json:"OthersUse"`
	UsePeriodStart Micros   `json:"AccAt"`
	SpentWindow    [2]int64 `json:"Spent"`
}

// ServerRecord is one server. InFlight holds its attempts in flight, oldest first, as pairs of request index and
// attempt number.
type ServerRecord struct {
	Entry
	ID         Server   `json:"ID"`
	Listed     bool     `json:"Listed"`
	Order      float64  `json:"Place"`
	Slowness   float64  `json:"Rel"`
	SlownessAt Micros   `json:"RelAt"`
	Work       float64  `json:"Load"`
	LastAnswer Micros   `json:"Answered"`
	Failures   int      `json:"Fails"`
	Ejected    bool     `json:"Ejected"`
	Probing    bool     `json:"Trial"`
	Silent     bool     `json:"Lost"`
	Ejection   Micros   `json:"EjectedFor"`
	ProbeAt    Micros   `json:"RetryAt"`
	FullUntil  Micros   `json:"FullTo"`
	ColdSends  []Micros `json:"ColdSends"`
	InFlight   [][2]int `json:"Out"`
}

// PendingCallRecord holds the counter calls in progress for one counter name, oldest first.
type PendingCallRecord struct {
	Name  uint64              `json:"Name"`
	Calls []CounterCallRecord `json:"Out"`
}

// CounterCallRecord is one counter call in progress. Request and Customer are -1 if there is none.
type CounterCallRecord struct {
	Request  int     `json:"Request"`
	Customer int     `json:"Client"`
	Window   int64   `json:"N"`
	Units    float64 `json:"Units"`
	Booked   float64 `json:"Booked"`
	Kind     int     `json:"Kind"`
}

// index numbers values in the order in which they are first looked up.
type index[T comparable] struct {
	indexes map[T]int
	values  []T
}

func (x *index[T]) indexOf(v T) int {
	if x.indexes == nil {
		x.indexes = map[T]int{}
	}
	i, ok := x.indexes[v]
	if !ok {
		i = len(x.values)
		x.indexes[v] = i
		x.values = append(x.values, v)
	}
	return i
}

// sortedValues returns the values of a map in the order of its keys.
func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	all := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		all = append(all, m[k])
	}
	return all
}

// Snapshot returns the state of the gateway. It may be called between any two other calls.
func (g *Gateway) Snapshot() Snapshot {
	snapshot := Snapshot{Version: SnapshotVersion, Settings: g.settings, RNG: g.rng, Now: g.now,
		StartedAt: g.startedAt, InForce: len(g.classes), WheelAt: g.wheelAt, InFlight: g.inFlight,
		InFlightSilent: g.inFlightSilent, InFlightBodies: g.inFlightBodies, LastAnswer: g.lastAnswer, InFlightLimit: g.inFlightLimit,
		LimitSet: g.limitSet, LimitCutAt: g.limitCutAt, MinRatioAt: g.minRatioAt, MinRatio: g.minRatio,
		RatioSamples: g.ratioSamples, LatencyRatio: g.latencyRatio, AnswerRate: g.answerRate, SendRate: g.sendRate,
		WarmRate: g.warmRate, RatesAt: g.ratesAt, Sends: g.sends, GoodAnswers: g.goodAnswers,
		CallFraction: g.callFraction, LastCounterAnswer: g.lastCounterAnswer, CapWindow: g.capWindow}
	var classes index[*classState]
	var requests index[*request]
	var clients index[*customer]
	var servers index[*server]
	for i := range g.classes {
		classes.indexOf(&g.classes[i])
	}
	for _, p := range g.plans {
		snapshot.Plans = append(snapshot.Plans, PlanRecord{p.attemptTime})
	}
	for _, srv := range g.servers {
		snapshot.Order = append(snapshot.Order, servers.indexOf(srv))
	}
	for _, req := range sortedValues(g.requests) {
		snapshot.KnownRequests = append(snapshot.KnownRequests, requests.indexOf(req))
	}
	for _, level := range g.queue {
		var indexes []int
		for _, req := range level {
			indexes = append(indexes, requests.indexOf(req))
		}
		snapshot.Queue = append(snapshot.Queue, indexes)
	}
	for _, state := range sortedValues(g.customers) {
		snapshot.KnownCustomers = append(snapshot.KnownCustomers, clients.indexOf(state))
	}
	for _, slot := range g.wheel {
		var indexes []int
		for _, state := range slot {
			indexes = append(indexes, clients.indexOf(state))
		}
		snapshot.Wheel = append(snapshot.Wheel, indexes)
	}
	for _, name := range slices.Sorted(maps.Keys(g.pendingCalls)) {
		draw := PendingCallRecord{Name: name}
		for _, call := range g.pendingCalls[name] {
			rec := CounterCallRecord{Request: -1, Customer: -1, Window: call.window, Units: call.units,
				Booked: call.booked, Kind: call.kind}
			if call.request != nil {
				rec.Request = requests.indexOf(call.request)
			}
			if call.customer != nil {
				rec.Customer = clients.indexOf(call.customer)
			}
			draw.Calls = append(draw.Calls, rec)
		}
		snapshot.PendingCalls = append(snapshot.PendingCalls, draw)
	}
	for i := 0; i < len(requests.values); i++ {
		snapshot.Requests = append(snapshot.Requests, g.requestRecord(requests.values[i], &classes, &clients,
			&servers))
	}
	for _, state := range classes.values {
		snapshot.Classes = append(snapshot.Classes, ClassRecord{state.Class, state.meanUnits, state.maxTimeLeft,
			state.fullTimeShare, state.latency, state.answers})
	}
	for _, state := range clients.values {
		snapshot.Customers = append(snapshot.Customers, customerRecord(state))
	}
	for _, srv := range servers.values {
		snapshot.Servers = append(snapshot.Servers, serverRecord(srv, &requests))
	}
	return snapshot
}

func (g *Gateway) requestRecord(req *request, classes *index[*classState], clients *index[*customer],
	servers *index[*server]) RequestRecord {
	rec := RequestRecord{ID: req.id, Class: classes.indexOf(req.class), Plan: req.plan.index,
		Customer: clients.indexOf(req.customer), Units: req.units, Level: req.level, Arrived: req.arrived,
		Deadline: req.deadline, UnsentDeadline: req.unsentDeadline, InFlight: req.inFlight, Sent: req.sent,
		Done: req.done, Held: req.held, AwaitsCounter: req.awaitsCounter, Admitted: req.admitted,
		MayHaveRun: req.mayHaveRun, BodyPending: req.bodyPending, RanOn: -1, RanAt: req.ranAt,
		TokensTaken: req.tokensTaken, LeasedAt: req.leasedAt}
	if req.ranOn != nil {
		rec.RanOn = servers.indexOf(req.ranOn)
	}
	for _, att := range req.attempts {
		rec.Attempts = append(rec.Attempts, AttemptRecord{servers.indexOf(att.server), att.sent, att.open,
			att.work, att.bodyPending})
	}
	return rec
}

func customerRecord(cust *customer) CustomerRecord {
	return CustomerRecord{Key: cust.key, Plan: cust.plan.index, Gateways: cust.gateways, Tokens: cust.tokens,
		RefilledAt: cust.refilledAt, Share: cust.share, ShareAt: cust.shareAt, OwnMean: cust.ownMean,
		AllMean: cust.allMean, CeilingTokens: cust.ceilingTokens, Pending: cust.pending, InFlight: cust.inFlight,
		LastRequest: cust.lastRequest, SharedTokens: cust.sharedTokens, SharedAt: cust.sharedAt, TotalAt: cust.totalAt,
		OthersRate: cust.othersRate, Unreported: cust.unreported, Window: cust.window, OwnInWindow: cust.ownInWindow,
		OthersInWindow: cust.othersInWindow, OwnUse: cust.ownUse, OthersUse: cust.othersUse,
		UsePeriodStart: cust.usePeriodStart, SpentWindow: cust.spentWindow}
}

func serverRecord(srv *server, requests *index[*request]) ServerRecord {
	rec := ServerRecord{Entry: srv.entry, ID: srv.id, Listed: srv.listed, Order: srv.order, Slowness: srv.slowness,
		SlownessAt: srv.slownessAt, Work: srv.work, LastAnswer: srv.lastAnswer, Failures: srv.failures,
		Ejected: srv.ejected, Probing: srv.probing, Silent: srv.silent, Ejection: srv.ejection,
		ProbeAt: srv.probeAt, FullUntil: srv.fullUntil, ColdSends: slices.Clone(srv.coldSends)}
	for att := srv.head; att != nil; att = att.next {
		rec.InFlight = append(rec.InFlight, [2]int{requests.indexOf(att.request), att.index})
	}
	return rec
}

// ErrSnapshot means that this build cannot continue from a snapshot.
var ErrSnapshot = errors.New("policy: cannot restore the snapshot")

// Restore returns a gateway that continues from a snapshot.
func Restore(snapshot Snapshot) (g *Gateway, err error) {
	if snapshot.Version != SnapshotVersion {
		return nil, fmt.Errorf("%w: got version %d, want %d", ErrSnapshot, snapshot.Version, SnapshotVersion)
	}
	defer func() { // an index out of range
		if rec := recover(); rec != nil {
			g, err = nil, fmt.Errorf("%w: %v", ErrSnapshot, rec)
		}
	}()
	initial := snapshot.Settings
	initial.Classes = nil
	for _, rec := range snapshot.Classes[:snapshot.InForce] {
		initial.Classes = append(initial.Classes, rec.Class)
	}
	g = New(initial, 0)
	g.settings = snapshot.Settings
	classes := make([]*classState, len(snapshot.Classes))
	for i, rec := range snapshot.Classes {
		if i >= snapshot.InForce {
			classes[i] = &classState{}
		} else {
			classes[i] = &g.classes[i]
		}
		*classes[i] = rec.state()
	}
	for i, rec := range snapshot.Plans {
		g.plans[i].attemptTime = rec.AttemptTime
	}
	clients := make([]*customer, len(snapshot.Customers))
	for i := range snapshot.Customers {
		clients[i] = g.restoreCustomer(&snapshot.Customers[i])
	}
	servers := make([]*server, len(snapshot.Servers))
	for i := range snapshot.Servers {
		servers[i] = restoreServer(&snapshot.Servers[i])
	}
	requests := make([]*request, len(snapshot.Requests))
	for i := range snapshot.Requests {
		requests[i] = g.restoreRequest(&snapshot.Requests[i], classes, clients, servers)
	}
	for i, rec := range snapshot.Servers {
		for _, pair := range rec.InFlight {
			servers[i].appendAttempt(requests[pair[0]].attempts[pair[1]])
		}
	}
	for _, i := range snapshot.KnownRequests {
		g.requests[requests[i].id] = requests[i]
	}
	for level, list := range snapshot.Queue {
		for _, i := range list {
			g.queue[level] = append(g.queue[level], requests[i])
			g.queued++
		}
	}
	for _, i := range snapshot.KnownCustomers {
		g.customers[clients[i].key] = clients[i]
	}
	for slot, list := range snapshot.Wheel {
		for _, i := range list {
			g.wheel[slot] = append(g.wheel[slot], clients[i])
		}
	}
	for _, i := range snapshot.Order {
		srv := servers[i]
		g.servers = append(g.servers, srv)
		if srv.listed {
			g.listedCount++
		}
		if srv.listed || g.byID[srv.id] == nil { // not a removed server's record in place of its successor's
			g.byID[srv.id] = srv
		}
	}
	for _, draw := range snapshot.PendingCalls {
		for _, rec := range draw.Calls {
			call := counterCall{window: rec.Window, units: rec.Units, booked: rec.Booked, kind: rec.Kind}
			if rec.Request >= 0 {
				call.request = requests[rec.Request]
			}
			if rec.Customer >= 0 {
				call.customer = clients[rec.Customer]
			}
			g.pendingCalls[draw.Name] = append(g.pendingCalls[draw.Name], call)
		}
	}
	g.rng = snapshot.RNG
	g.now = snapshot.Now
	g.startedAt = snapshot.StartedAt
	g.wheelAt = snapshot.WheelAt
	g.inFlight = snapshot.InFlight
	g.inFlightSilent = snapshot.InFlightSilent
	g.inFlightBodies = snapshot.InFlightBodies
	g.lastAnswer = snapshot.LastAnswer
	g.inFlightLimit = snapshot.InFlightLimit
	g.limitSet = snapshot.LimitSet
	g.limitCutAt = snapshot.LimitCutAt
	g.minRatioAt = snapshot.MinRatioAt
	g.minRatio = snapshot.MinRatio
	g.ratioSamples = snapshot.RatioSamples
	g.latencyRatio = snapshot.LatencyRatio
	g.answerRate = snapshot.AnswerRate
	g.sendRate = snapshot.SendRate
	g.warmRate = snapshot.WarmRate
	g.ratesAt = snapshot.RatesAt
	g.sends = snapshot.Sends
	g.goodAnswers = snapshot.GoodAnswers
	g.callFraction = snapshot.CallFraction
	g.lastCounterAnswer = snapshot.LastCounterAnswer
	g.capWindow = snapshot.CapWindow
	return g, nil
}

func (g *Gateway) restoreCustomer(rec *CustomerRecord) *customer {
	cust := &customer{key: rec.Key, plan: &g.plans[rec.Plan], gateways: rec.Gateways, tokens: rec.Tokens,
		refilledAt: rec.RefilledAt, share: rec.Share, shareAt: rec.ShareAt, ownMean: rec.OwnMean,
		allMean: rec.AllMean, ceilingTokens: rec.CeilingTokens, pending: rec.Pending, inFlight: rec.InFlight,
		lastRequest: rec.LastRequest, sharedTokens: rec.SharedTokens, sharedAt: rec.SharedAt, totalAt: rec.TotalAt,
		othersRate: rec.OthersRate, unreported: rec.Unreported, window: rec.Window, ownInWindow: rec.OwnInWindow,
		othersInWindow: rec.OthersInWindow, ownUse: rec.OwnUse, othersUse: rec.OthersUse, usePeriodStart: rec.UsePeriodStart,
		spentWindow: rec.SpentWindow}
	return cust
}

func restoreServer(rec *ServerRecord) *server {
	return &server{id: rec.ID, entry: rec.Entry, listed: rec.Listed, order: rec.Order, slowness: rec.Slowness,
		slownessAt: rec.SlownessAt, work: rec.Work, lastAnswer: rec.LastAnswer, failures: rec.Failures,
		ejected: rec.Ejected, probing: rec.Probing, silent: rec.Silent, ejection: rec.Ejection,
		probeAt: rec.ProbeAt, fullUntil: rec.FullUntil, coldSends: slices.Clone(rec.ColdSends)}
}

func (g *Gateway) restoreRequest(rec *RequestRecord, classes []*classState, clients []*customer,
	servers []*server) *request {
	req := &request{id: rec.ID, class: classes[rec.Class], plan: &g.plans[rec.Plan],
		customer: clients[rec.Customer], units: rec.Units, level: rec.Level, arrived: rec.Arrived,
		deadline: rec.Deadline, unsentDeadline: rec.UnsentDeadline, inFlight: rec.InFlight, sent: rec.Sent,
		done: rec.Done, held: rec.Held, awaitsCounter: rec.AwaitsCounter, admitted: rec.Admitted,
		mayHaveRun: rec.MayHaveRun, bodyPending: rec.BodyPending, ranAt: rec.RanAt, tokensTaken: rec.TokensTaken,
		leasedAt: rec.LeasedAt}
	if rec.RanOn >= 0 {
		req.ranOn = servers[rec.RanOn]
	}
	for i, a := range rec.Attempts {
		req.attempts = append(req.attempts, &attempt{request: req, server: servers[a.Server], index: i,
			sent: a.Sent, open: a.Open, work: a.Work, bodyPending: a.BodyPending})
	}
	return req
}

// link appends an open attempt to its server's list.
func (s *server) appendAttempt(att *attempt) {
	att.prev = s.tail
	if s.tail != nil {
		s.tail.next = att
	} else {
		s.head = att
	}
	s.tail = att
	s.inFlight++
}
