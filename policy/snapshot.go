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
	Version  int      `json:"Version"`
	Settings Settings `json:"Settings"`
	RNG      uint64   `json:"RNG"`
	Now      Micros   `json:"Now"`
	Born     Micros   `json:"Born"`

	Classes  []ClassRecord    `json:"Classes"` // in force, followed by replaced ones that requests still use
	InForce  int              `json:"InForce"`
	Plans    []PlanRecord     `json:"Plans"`
	Requests []RequestRecord  `json:"Requests"`
	Queue    [][]int          `json:"Queue"` // indexes of requests, by queue level
	Known    []int            `json:"Known"` // indexes of the requests that Gateway.reqs holds
	Clients  []CustomerRecord `json:"Clients"`
	Listed   []int            `json:"Listed"` // indexes of the customers that the gateway's map holds
	Wheel    [][]int          `json:"Wheel"`  // indexes of customers, by slot of the timing wheel
	WheelAt  int64            `json:"WheelAt"`
	Servers  []ServerRecord   `json:"Servers"`
	Order    []int            `json:"Order"` // indexes of the servers in use, in the gateway's own order
	Draws    []DrawRecord     `json:"Draws"`

	InFlight  int     `json:"InFlight"`
	Stuck     int     `json:"Stuck"`
	Filling   int     `json:"Filling"`
	Answered  Micros  `json:"Answered"`
	Bound     float64 `json:"Bound"`
	BoundSet  bool    `json:"BoundSet"`
	CutAt     Micros  `json:"CutAt"`
	IdleAt    Micros  `json:"IdleAt"`
	Idle      float64 `json:"Idle"`
	Answers   int     `json:"Answers"`
	Stretch   float64 `json:"Stretch"`
	DoneRate  float64 `json:"DoneRate"`
	SendRate  float64 `json:"SendRate"`
	WarmLoad  float64 `json:"WarmLoad"`
	LastRate  Micros  `json:"LastRate"`
	Sends     int     `json:"Sends"`
	Dones     int     `json:"Dones"`
	Calls     float64 `json:"Calls"`
	CallAt    Micros  `json:"CallAt"`
	CapWindow Micros  `json:"CapWindow"` // window of concurrency cap draws, from the initial classes
}

// ClassRecord is a class with its measurements.
type ClassRecord struct {
	Class
	Units   float64 `json:"Units"`
	Longest Micros  `json:"Longest"`
	Full    float64 `json:"Full"`
	Lat     float64 `json:"Lat"`
	N       int     `json:"N"`
}

func (c *ClassRecord) state() classState {
	return classState{Class: c.Class, meanUnits: c.Units, maxTimeLeft: c.Longest, fullTimeShare: c.Full,
		latency: c.Lat, answers: c.N}
}

// PlanRecord holds the measurements of a plan: the mean time of its attempts in flight, in µs.
type PlanRecord struct {
	Holds float64 `json:"Holds"`
}

// AttemptRecord is one attempt of a request.
type AttemptRecord struct {
	Server int     `json:"Server"`
	Sent   Micros  `json:"Sent"`
	Open   bool    `json:"Open"`
	Load   float64 `json:"Load"`

	Filling bool `json:"Filling"`
}

// RequestRecord is one request.
type RequestRecord struct {
	ID        uint32          `json:"ID"`
	Class     int             `json:"Class"`
	Plan      int             `json:"Plan"`
	Client    int             `json:"Client"`
	Units     float64         `json:"Units"`
	Level     int             `json:"Level"`
	Arrived   Micros          `json:"Arrived"`
	Deadline  Micros          `json:"Deadline"`
	Halfway   Micros          `json:"Halfway"`
	Attempts  []AttemptRecord `json:"Attempts"`
	Open      int             `json:"Open"`
	Sent      bool            `json:"Sent"`
	Done      bool            `json:"Done"`
	Held      bool            `json:"Held"`
	Drawing   bool            `json:"Drawing"`
	Admitted  bool            `json:"Admitted"`
	Uncertain bool            `json:"Uncertain"`
	Filling   bool            `json:"Filling"`
	RanOn     int             `json:"RanOn"` // index of a server, -1 for none
	RanAt     Micros          `json:"RanAt"`
	Taken     float64         `json:"Taken"`
	LeasedAt  Micros          `json:"LeasedAt"`
}

// CustomerRecord is one customer under a plan.
type CustomerRecord struct {
	Key        uint64   `json:"Key"`
	Plan       int      `json:"Plan"`
	Spread     float64  `json:"Spread"`
	Tokens     float64  `json:"Tokens"`
	At         Micros   `json:"At"`
	Share      float64  `json:"Share"`
	ShareAt    Micros   `json:"ShareAt"`
	OwnMean    float64  `json:"OwnMean"`
	AllMean    float64  `json:"AllMean"`
	Guard      float64  `json:"Guard"`
	Pending    float64  `json:"Pending"`
	Open       int      `json:"Open"`
	Touched    Micros   `json:"Touched"`
	Level      float64  `json:"Level"`
	LevelAt    Micros   `json:"LevelAt"`
	HeardAt    Micros   `json:"HeardAt"`
	OthersRate float64  `json:"OthersRate"`
	Untold     float64  `json:"Untold"`
	Window     int64    `json:"Window"`
	Mine       float64  `json:"Mine"`
	Others     float64  `json:"Others"`
	OwnUse     float64  `json:"OwnUse"`
	OthersUse  float64  `json:"OthersUse"`
	AccAt      Micros   `json:"AccAt"`
	Spent      [2]int64 `json:"Spent"`
}

// ServerRecord is one server. Out holds its attempts in flight, oldest first, as pairs of request index and
// attempt number.
type ServerRecord struct {
	Entry
	ID         Server   `json:"ID"`
	Listed     bool     `json:"Listed"`
	Place      float64  `json:"Place"`
	Rel        float64  `json:"Rel"`
	RelAt      Micros   `json:"RelAt"`
	Load       float64  `json:"Load"`
	Answered   Micros   `json:"Answered"`
	Fails      int      `json:"Fails"`
	Ejected    bool     `json:"Ejected"`
	Trial      bool     `json:"Trial"`
	Lost       bool     `json:"Lost"`
	EjectedFor Micros   `json:"EjectedFor"`
	RetryAt    Micros   `json:"RetryAt"`
	FullTo     Micros   `json:"FullTo"`
	ColdSends  []Micros `json:"ColdSends"`
	Out        [][2]int `json:"Out"`
}

// DrawRecord holds the counter calls in progress for one counter name, oldest first.
type DrawRecord struct {
	Name uint64        `json:"Name"`
	Out  []DrawnRecord `json:"Out"`
}

// DrawnRecord is one counter call in progress. Request and Client are -1 if there is none.
type DrawnRecord struct {
	Request int     `json:"Request"`
	Client  int     `json:"Client"`
	N       int64   `json:"N"`
	Units   float64 `json:"Units"`
	Booked  float64 `json:"Booked"`
	Kind    int     `json:"Kind"`
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
		Born: g.startedAt, InForce: len(g.classes), WheelAt: g.wheelAt, InFlight: g.inFlight,
		Stuck: g.inFlightSilent, Filling: g.inFlightBodies, Answered: g.lastAnswer, Bound: g.inFlightLimit,
		BoundSet: g.limitSet, CutAt: g.limitCutAt, IdleAt: g.minRatioAt, Idle: g.minRatio,
		Answers: g.ratioSamples, Stretch: g.latencyRatio, DoneRate: g.answerRate, SendRate: g.sendRate,
		WarmLoad: g.warmRate, LastRate: g.ratesAt, Sends: g.sends, Dones: g.goodAnswers,
		Calls: g.callFraction, CallAt: g.lastCounterAnswer, CapWindow: g.capWindow}
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
		snapshot.Known = append(snapshot.Known, requests.indexOf(req))
	}
	for _, level := range g.queue {
		var indexes []int
		for _, req := range level {
			indexes = append(indexes, requests.indexOf(req))
		}
		snapshot.Queue = append(snapshot.Queue, indexes)
	}
	for _, state := range sortedValues(g.customers) {
		snapshot.Listed = append(snapshot.Listed, clients.indexOf(state))
	}
	for _, slot := range g.wheel {
		var indexes []int
		for _, state := range slot {
			indexes = append(indexes, clients.indexOf(state))
		}
		snapshot.Wheel = append(snapshot.Wheel, indexes)
	}
	for _, name := range slices.Sorted(maps.Keys(g.pendingCalls)) {
		draw := DrawRecord{Name: name}
		for _, call := range g.pendingCalls[name] {
			rec := DrawnRecord{Request: -1, Client: -1, N: call.window, Units: call.units,
				Booked: call.booked, Kind: call.kind}
			if call.request != nil {
				rec.Request = requests.indexOf(call.request)
			}
			if call.customer != nil {
				rec.Client = clients.indexOf(call.customer)
			}
			draw.Out = append(draw.Out, rec)
		}
		snapshot.Draws = append(snapshot.Draws, draw)
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
		snapshot.Clients = append(snapshot.Clients, customerRecord(state))
	}
	for _, srv := range servers.values {
		snapshot.Servers = append(snapshot.Servers, serverRecord(srv, &requests))
	}
	return snapshot
}

func (g *Gateway) requestRecord(req *request, classes *index[*classState], clients *index[*customer],
	servers *index[*server]) RequestRecord {
	rec := RequestRecord{ID: req.id, Class: classes.indexOf(req.class), Plan: req.plan.index,
		Client: clients.indexOf(req.customer), Units: req.units, Level: req.level, Arrived: req.arrived,
		Deadline: req.deadline, Halfway: req.unsentDeadline, Open: req.inFlight, Sent: req.sent,
		Done: req.done, Held: req.held, Drawing: req.awaitsCounter, Admitted: req.admitted,
		Uncertain: req.mayHaveRun, Filling: req.bodyPending, RanOn: -1, RanAt: req.ranAt,
		Taken: req.tokensTaken, LeasedAt: req.leasedAt}
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
	return CustomerRecord{Key: cust.key, Plan: cust.plan.index, Spread: cust.gateways, Tokens: cust.tokens,
		At: cust.refilledAt, Share: cust.share, ShareAt: cust.shareAt, OwnMean: cust.ownMean,
		AllMean: cust.allMean, Guard: cust.ceilingTokens, Pending: cust.pending, Open: cust.inFlight,
		Touched: cust.lastRequest, Level: cust.sharedTokens, LevelAt: cust.sharedAt, HeardAt: cust.totalAt,
		OthersRate: cust.othersRate, Untold: cust.unreported, Window: cust.window, Mine: cust.ownInWindow,
		Others: cust.othersInWindow, OwnUse: cust.ownUse, OthersUse: cust.othersUse,
		AccAt: cust.usePeriodStart, Spent: cust.spentWindow}
}

func serverRecord(srv *server, requests *index[*request]) ServerRecord {
	rec := ServerRecord{Entry: srv.entry, ID: srv.id, Listed: srv.listed, Place: srv.order, Rel: srv.slowness,
		RelAt: srv.slownessAt, Load: srv.work, Answered: srv.lastAnswer, Fails: srv.failures,
		Ejected: srv.ejected, Trial: srv.probing, Lost: srv.silent, EjectedFor: srv.ejection,
		RetryAt: srv.probeAt, FullTo: srv.fullUntil, ColdSends: slices.Clone(srv.coldSends)}
	for att := srv.head; att != nil; att = att.next {
		rec.Out = append(rec.Out, [2]int{requests.indexOf(att.request), att.index})
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
		g.plans[i].attemptTime = rec.Holds
	}
	clients := make([]*customer, len(snapshot.Clients))
	for i := range snapshot.Clients {
		clients[i] = g.restoreCustomer(&snapshot.Clients[i])
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
		for _, pair := range rec.Out {
			servers[i].appendAttempt(requests[pair[0]].attempts[pair[1]])
		}
	}
	for _, i := range snapshot.Known {
		g.requests[requests[i].id] = requests[i]
	}
	for level, list := range snapshot.Queue {
		for _, i := range list {
			g.queue[level] = append(g.queue[level], requests[i])
			g.queued++
		}
	}
	for _, i := range snapshot.Listed {
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
	for _, draw := range snapshot.Draws {
		for _, rec := range draw.Out {
			call := counterCall{window: rec.N, units: rec.Units, booked: rec.Booked, kind: rec.Kind}
			if rec.Request >= 0 {
				call.request = requests[rec.Request]
			}
			if rec.Client >= 0 {
				call.customer = clients[rec.Client]
			}
			g.pendingCalls[draw.Name] = append(g.pendingCalls[draw.Name], call)
		}
	}
	g.rng = snapshot.RNG
	g.now = snapshot.Now
	g.startedAt = snapshot.Born
	g.wheelAt = snapshot.WheelAt
	g.inFlight = snapshot.InFlight
	g.inFlightSilent = snapshot.Stuck
	g.inFlightBodies = snapshot.Filling
	g.lastAnswer = snapshot.Answered
	g.inFlightLimit = snapshot.Bound
	g.limitSet = snapshot.BoundSet
	g.limitCutAt = snapshot.CutAt
	g.minRatioAt = snapshot.IdleAt
	g.minRatio = snapshot.Idle
	g.ratioSamples = snapshot.Answers
	g.latencyRatio = snapshot.Stretch
	g.answerRate = snapshot.DoneRate
	g.sendRate = snapshot.SendRate
	g.warmRate = snapshot.WarmLoad
	g.ratesAt = snapshot.LastRate
	g.sends = snapshot.Sends
	g.goodAnswers = snapshot.Dones
	g.callFraction = snapshot.Calls
	g.lastCounterAnswer = snapshot.CallAt
	g.capWindow = snapshot.CapWindow
	return g, nil
}

func (g *Gateway) restoreCustomer(rec *CustomerRecord) *customer {
	cust := &customer{key: rec.Key, plan: &g.plans[rec.Plan], gateways: rec.Spread, tokens: rec.Tokens,
		refilledAt: rec.At, share: rec.Share, shareAt: rec.ShareAt, ownMean: rec.OwnMean,
		allMean: rec.AllMean, ceilingTokens: rec.Guard, pending: rec.Pending, inFlight: rec.Open,
		lastRequest: rec.Touched, sharedTokens: rec.Level, sharedAt: rec.LevelAt, totalAt: rec.HeardAt,
		othersRate: rec.OthersRate, unreported: rec.Untold, window: rec.Window, ownInWindow: rec.Mine,
		othersInWindow: rec.Others, ownUse: rec.OwnUse, othersUse: rec.OthersUse, usePeriodStart: rec.AccAt,
		spentWindow: rec.Spent}
	return cust
}

func restoreServer(rec *ServerRecord) *server {
	return &server{id: rec.ID, entry: rec.Entry, listed: rec.Listed, order: rec.Place, slowness: rec.Rel,
		slownessAt: rec.RelAt, work: rec.Load, lastAnswer: rec.Answered, failures: rec.Fails,
		ejected: rec.Ejected, probing: rec.Trial, silent: rec.Lost, ejection: rec.EjectedFor,
		probeAt: rec.RetryAt, fullUntil: rec.FullTo, coldSends: slices.Clone(rec.ColdSends)}
}

func (g *Gateway) restoreRequest(rec *RequestRecord, classes []*classState, clients []*customer,
	servers []*server) *request {
	req := &request{id: rec.ID, class: classes[rec.Class], plan: &g.plans[rec.Plan],
		customer: clients[rec.Client], units: rec.Units, level: rec.Level, arrived: rec.Arrived,
		deadline: rec.Deadline, unsentDeadline: rec.Halfway, inFlight: rec.Open, sent: rec.Sent,
		done: rec.Done, held: rec.Held, awaitsCounter: rec.Drawing, admitted: rec.Admitted,
		mayHaveRun: rec.Uncertain, bodyPending: rec.Filling, ranAt: rec.RanAt, tokensTaken: rec.Taken,
		leasedAt: rec.LeasedAt}
	if rec.RanOn >= 0 {
		req.ranOn = servers[rec.RanOn]
	}
	for i, a := range rec.Attempts {
		req.attempts = append(req.attempts, &attempt{request: req, server: servers[a.Server], index: i,
			sent: a.Sent, open: a.Open, work: a.Load, bodyPending: a.Filling})
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
