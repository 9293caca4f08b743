package policy

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// A module's whole state as plain data, to keep and to go on from. Nothing is decided
// here. What the records point at is named by its place in a list.

// SnapshotVersion changes with the records in state.go. A snapshot of another version is
// not taken: half a state would decide otherwise than the whole one.
const SnapshotVersion = 4

// Snapshot is the state of a module between two calls.
type Snapshot struct {
	Version  int
	Settings Settings
	RNG      uint64
	Now      Micros
	Born     Micros

	Classes  []ClassRecord // in force, and behind them those that requests still have
	InForce  int
	Plans    []PlanRecord
	Requests []RequestRecord
	Queue    [][]int // of requests, by level
	Known    []int   // requests that the module knows by their id
	Clients  []CustomerRecord
	Listed   []int   // customers that the module knows by their key
	Wheel    [][]int // of customers
	WheelAt  int64
	Servers  []ServerRecord
	Order    []int // of servers in use, in the module's own order
	Draws    []DrawRecord

	InFlight, Stuck    int
	Filling            int
	Answered           Micros
	Bound              float64
	BoundSet           bool
	CutAt, IdleAt      Micros
	Idle               float64
	Answers            int
	Stretch            float64
	DoneRate, SendRate float64
	WarmLoad           float64
	LastRate           Micros
	Sends, Dones       int
	Calls              float64
	CallAt             Micros
	CapWindow          Micros // of the classes at the start
}

// ClassRecord is what is learned of a class.
type ClassRecord struct {
	Class
	Units   float64
	Longest Micros
	Full    float64
	Lat     float64
	N       int
}

func (c *ClassRecord) state() classState {
	return classState{Class: c.Class, units: c.Units, longest: c.Longest, full: c.Full, lat: c.Lat, n: c.N}
}

// PlanRecord is what is learned of a plan.
type PlanRecord struct{ Holds float64 }

// AttemptRecord is one attempt of a request.
type AttemptRecord struct {
	Server int
	Sent   Micros
	Open   bool
	Load   float64

	Filling bool
}

// RequestRecord is one request.
type RequestRecord struct {
	ID                         uint32
	Class, Plan, Client        int
	Units                      float64
	Level                      int
	Arrived, Deadline, Halfway Micros
	Attempts                   []AttemptRecord
	Open                       int
	Sent, Done, Held           bool
	Drawing, Admitted          bool
	Uncertain, Filling         bool
	RanOn                      int // server, -1 where none
	RanAt                      Micros
	Taken                      float64
	LeasedAt                   Micros
}

// CustomerRecord is one customer.
type CustomerRecord struct {
	Key                uint64
	Plan               int
	Spread, Tokens     float64
	At                 Micros
	Share              float64
	ShareAt            Micros
	OwnMean, AllMean   float64
	Guard, Pending     float64
	Open               int
	Touched            Micros
	Level              float64
	LevelAt, HeardAt   Micros
	OthersRate, Untold float64
	Window             int64
	Mine, Others       float64
	OwnUse, OthersUse  float64
	AccAt              Micros
	Spent              [2]int64
}

// ServerRecord is one server, and its open attempts, oldest first: request and attempt.
type ServerRecord struct {
	Entry
	ID                          Server
	Listed                      bool
	Place, Rel                  float64
	RelAt                       Micros
	Load                        float64
	Answered                    Micros
	Fails                       int
	Ejected, Trial, Lost        bool
	EjectedFor, RetryAt, FullTo Micros
	ColdSends                   []Micros
	Out                         [][2]int
}

// DrawRecord is the counter calls of a name that are out, in their order.
type DrawRecord struct {
	Name uint64
	Out  []DrawnRecord
}

// DrawnRecord is one of them. Request and Client are -1 where there is none.
type DrawnRecord struct {
	Request, Client int
	N               int64
	Units, Booked   float64
	Kind            int
}

// index gives places in a list to what is pointed at.
type index[T comparable] struct {
	at  map[T]int
	all []T
}

func (x *index[T]) of(v T) int {
	if x.at == nil {
		x.at = map[T]int{}
	}
	i, ok := x.at[v]
	if !ok {
		i = len(x.all)
		x.at[v] = i
		x.all = append(x.all, v)
	}
	return i
}

// sorted lists the values of a map in the order of its keys.
func sorted[K cmp.Ordered, V any](m map[K]V) []V {
	all := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		all = append(all, m[k])
	}
	return all
}

// Snapshot is the module's state. It may be taken between two calls.
func (g *Gateway) Snapshot() Snapshot {
	s := Snapshot{Version: SnapshotVersion, Settings: g.set, RNG: g.rng, Now: g.now, Born: g.born, InForce: len(g.classes), WheelAt: g.wheelAt,
		InFlight: g.inFlight, Stuck: g.stuck, Filling: g.filling, Answered: g.answered, Bound: g.bound, BoundSet: g.boundSet, CutAt: g.cutAt,
		IdleAt: g.idleAt, Idle: g.idle, Answers: g.answers, Stretch: g.stretch, DoneRate: g.doneRate, SendRate: g.sendRate, WarmLoad: g.warmLoad,
		LastRate: g.lastRate, Sends: g.sends, Dones: g.dones, Calls: g.calls, CallAt: g.callAt, CapWindow: g.capWindow}
	var classes index[*classState]
	var requests index[*request]
	var clients index[*customer]
	var servers index[*server]
	for i := range g.classes {
		classes.of(&g.classes[i])
	}
	for _, p := range g.plans {
		s.Plans = append(s.Plans, PlanRecord{p.holds})
	}
	for _, srv := range g.servers {
		s.Order = append(s.Order, servers.of(srv))
	}
	for _, q := range sorted(g.reqs) {
		s.Known = append(s.Known, requests.of(q))
	}
	for _, level := range g.queue {
		var at []int
		for _, q := range level {
			at = append(at, requests.of(q))
		}
		s.Queue = append(s.Queue, at)
	}
	for _, c := range sorted(g.customers) {
		s.Listed = append(s.Listed, clients.of(c))
	}
	for _, slot := range g.wheel {
		var at []int
		for _, c := range slot {
			at = append(at, clients.of(c))
		}
		s.Wheel = append(s.Wheel, at)
	}
	for _, name := range slices.Sorted(maps.Keys(g.draws)) {
		d := DrawRecord{Name: name}
		for _, one := range g.draws[name] {
			r := DrawnRecord{Request: -1, Client: -1, N: one.n, Units: one.units, Booked: one.booked, Kind: one.kind}
			if one.q != nil {
				r.Request = requests.of(one.q)
			}
			if one.c != nil {
				r.Client = clients.of(one.c)
			}
			d.Out = append(d.Out, r)
		}
		s.Draws = append(s.Draws, d)
	}
	for i := 0; i < len(requests.all); i++ {
		s.Requests = append(s.Requests, g.requestRecord(requests.all[i], &classes, &clients, &servers))
	}
	for _, c := range classes.all {
		s.Classes = append(s.Classes, ClassRecord{c.Class, c.units, c.longest, c.full, c.lat, c.n})
	}
	for _, c := range clients.all {
		s.Clients = append(s.Clients, customerRecord(c))
	}
	for _, srv := range servers.all {
		s.Servers = append(s.Servers, serverRecord(srv, &requests))
	}
	return s
}

func (g *Gateway) requestRecord(q *request, classes *index[*classState], clients *index[*customer], servers *index[*server]) RequestRecord {
	r := RequestRecord{ID: q.id, Class: classes.of(q.class), Plan: q.plan.index, Client: clients.of(q.cust), Units: q.units, Level: q.level,
		Arrived: q.arrived, Deadline: q.deadline, Halfway: q.halfway, Open: q.open, Sent: q.sent, Done: q.done, Held: q.held,
		Drawing: q.drawing, Admitted: q.admitted, Uncertain: q.uncertain, Filling: q.filling, RanOn: -1, RanAt: q.ranAt, Taken: q.tokensTaken, LeasedAt: q.leasedAt}
	if q.ranOn != nil {
		r.RanOn = servers.of(q.ranOn)
	}
	for _, a := range q.attempts {
		r.Attempts = append(r.Attempts, AttemptRecord{servers.of(a.srv), a.sent, a.open, a.load, a.filling})
	}
	return r
}

func customerRecord(c *customer) CustomerRecord {
	return CustomerRecord{Key: c.key, Plan: c.plan.index, Spread: c.spread, Tokens: c.tokens, At: c.at, Share: c.share, ShareAt: c.shareAt,
		OwnMean: c.ownMean, AllMean: c.allMean, Guard: c.guard, Pending: c.pending, Open: c.open,
		Touched: c.touched, Level: c.level, LevelAt: c.levelAt, HeardAt: c.heardAt, OthersRate: c.othersRate, Untold: c.untold,
		Window: c.window, Mine: c.mine, Others: c.others, OwnUse: c.ownUse, OthersUse: c.othersUse, AccAt: c.accAt,
		Spent: c.spent}
}

func serverRecord(s *server, requests *index[*request]) ServerRecord {
	r := ServerRecord{Entry: s.e, ID: s.id, Listed: s.listed, Place: s.place, Rel: s.rel, RelAt: s.relAt, Load: s.load, Answered: s.answered,
		Fails: s.fails, Ejected: s.ejected, Trial: s.trial, Lost: s.lost, EjectedFor: s.ejectedFor,
		RetryAt: s.retryAt, FullTo: s.fullUntil, ColdSends: slices.Clone(s.coldSends)}
	for a := s.head; a != nil; a = a.next {
		r.Out = append(r.Out, [2]int{requests.of(a.req), a.n})
	}
	return r
}

// ErrSnapshot tells that a snapshot is not one that this build can go on from.
var ErrSnapshot = errors.New("policy: a snapshot that can't be gone on from")

// Restore makes a module that goes on from a snapshot.
func Restore(s Snapshot) (g *Gateway, err error) {
	if s.Version != SnapshotVersion {
		return nil, fmt.Errorf("%w: version %d, not %d", ErrSnapshot, s.Version, SnapshotVersion)
	}
	defer func() { // places that lead nowhere
		if r := recover(); r != nil {
			g, err = nil, fmt.Errorf("%w: %v", ErrSnapshot, r)
		}
	}()
	set := s.Settings
	set.Classes = nil
	for _, c := range s.Classes[:s.InForce] {
		set.Classes = append(set.Classes, c.Class)
	}
	g = New(set, 0)
	g.set = s.Settings
	classes := make([]*classState, len(s.Classes))
	for i, c := range s.Classes {
		if i >= s.InForce {
			classes[i] = &classState{}
		} else {
			classes[i] = &g.classes[i]
		}
		*classes[i] = c.state()
	}
	for i, p := range s.Plans {
		g.plans[i].holds = p.Holds
	}
	clients := make([]*customer, len(s.Clients))
	for i := range s.Clients {
		clients[i] = g.restoreCustomer(&s.Clients[i])
	}
	servers := make([]*server, len(s.Servers))
	for i := range s.Servers {
		servers[i] = restoreServer(&s.Servers[i])
	}
	requests := make([]*request, len(s.Requests))
	for i := range s.Requests {
		requests[i] = g.restoreRequest(&s.Requests[i], classes, clients, servers)
	}
	for i, r := range s.Servers {
		for _, at := range r.Out {
			servers[i].link(requests[at[0]].attempts[at[1]])
		}
	}
	for _, i := range s.Known {
		g.reqs[requests[i].id] = requests[i]
	}
	for level, list := range s.Queue {
		for _, i := range list {
			g.queue[level] = append(g.queue[level], requests[i])
			g.queued++
		}
	}
	for _, i := range s.Listed {
		g.customers[clients[i].key] = clients[i]
	}
	for slot, list := range s.Wheel {
		for _, i := range list {
			g.wheel[slot] = append(g.wheel[slot], clients[i])
		}
	}
	for _, i := range s.Order {
		srv := servers[i]
		g.servers = append(g.servers, srv)
		if srv.listed {
			g.listed++
		}
		if srv.listed || g.byID[srv.id] == nil { // not an old life in the place of the new
			g.byID[srv.id] = srv
		}
	}
	for _, d := range s.Draws {
		for _, one := range d.Out {
			out := drawn{n: one.N, units: one.Units, booked: one.Booked, kind: one.Kind}
			if one.Request >= 0 {
				out.q = requests[one.Request]
			}
			if one.Client >= 0 {
				out.c = clients[one.Client]
			}
			g.draws[d.Name] = append(g.draws[d.Name], out)
		}
	}
	g.rng, g.now, g.born, g.wheelAt = s.RNG, s.Now, s.Born, s.WheelAt
	g.inFlight, g.stuck, g.filling, g.answered, g.bound, g.boundSet = s.InFlight, s.Stuck, s.Filling, s.Answered, s.Bound, s.BoundSet
	g.cutAt, g.idleAt, g.idle, g.answers, g.stretch = s.CutAt, s.IdleAt, s.Idle, s.Answers, s.Stretch
	g.doneRate, g.sendRate, g.warmLoad, g.lastRate, g.sends, g.dones = s.DoneRate, s.SendRate, s.WarmLoad, s.LastRate, s.Sends, s.Dones
	g.calls, g.callAt, g.capWindow = s.Calls, s.CallAt, s.CapWindow
	return g, nil
}

func (g *Gateway) restoreCustomer(r *CustomerRecord) *customer {
	c := &customer{key: r.Key, plan: &g.plans[r.Plan], spread: r.Spread, tokens: r.Tokens, at: r.At, share: r.Share, shareAt: r.ShareAt,
		ownMean: r.OwnMean, allMean: r.AllMean, guard: r.Guard, pending: r.Pending, open: r.Open, touched: r.Touched,
		level: r.Level, levelAt: r.LevelAt, heardAt: r.HeardAt, othersRate: r.OthersRate, untold: r.Untold,
		window: r.Window, mine: r.Mine, others: r.Others, ownUse: r.OwnUse, othersUse: r.OthersUse, accAt: r.AccAt, spent: r.Spent}
	return c
}

func restoreServer(r *ServerRecord) *server {
	return &server{id: r.ID, e: r.Entry, listed: r.Listed, place: r.Place, rel: r.Rel, relAt: r.RelAt, load: r.Load, answered: r.Answered,
		fails: r.Fails, ejected: r.Ejected, trial: r.Trial, lost: r.Lost, ejectedFor: r.EjectedFor,
		retryAt: r.RetryAt, fullUntil: r.FullTo, coldSends: slices.Clone(r.ColdSends)}
}

func (g *Gateway) restoreRequest(r *RequestRecord, classes []*classState, clients []*customer, servers []*server) *request {
	q := &request{id: r.ID, class: classes[r.Class], plan: &g.plans[r.Plan], cust: clients[r.Client], units: r.Units, level: r.Level,
		arrived: r.Arrived, deadline: r.Deadline, halfway: r.Halfway, open: r.Open, sent: r.Sent, done: r.Done, held: r.Held,
		drawing: r.Drawing, admitted: r.Admitted, uncertain: r.Uncertain, filling: r.Filling, ranAt: r.RanAt, tokensTaken: r.Taken, leasedAt: r.LeasedAt}
	if r.RanOn >= 0 {
		q.ranOn = servers[r.RanOn]
	}
	for i, a := range r.Attempts {
		q.attempts = append(q.attempts, &attempt{req: q, srv: servers[a.Server], n: i, sent: a.Sent, open: a.Open, load: a.Load, filling: a.Filling})
	}
	return q
}

// link puts an open attempt behind the others of its server.
func (s *server) link(a *attempt) {
	a.prev = s.tail
	if s.tail != nil {
		s.tail.next = a
	} else {
		s.head = a
	}
	s.tail = a
	s.open++
}
