package bothy

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/cairn"
	"foxwood/internal/configcache"
	"foxwood/internal/membership"
	"foxwood/internal/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
)

// The cost of control, in simulated time: bothies' and gatekeepers' own state machines, the
// calls between them as the frames that they would be, and no sockets. What is not in it: tokens of
// thin quotas, which go with requests; ballots, the chain and its confirmations, which go with the
// core; the platform's list; the frames' way through TCP.

const (
	costZones   = 6
	costBothies = 5
	costTenants = 77
	costRoutes  = 200
)

// costGate is a gatekeeper: what it holds and what it says.
type costGate struct {
	guest       membership.Member
	configcache *configcache.Cache
	crowd       waymark.Crowd
	cores       uint64
	edition     uint64
	at          int // of its bothy
	turn        uint64
	held        map[string]quota.Slice
	heldTo      float64
	signAt      float64
	drawAt      float64
	in, out     int // bytes
	spent       time.Duration
}

// costRun is a fleet and what was counted.
type costRun struct {
	now     float64
	list    map[string]waymark.Worker
	bothies []*Bothy
	in, out []int // bytes of each bothy
	spent   []time.Duration
	gates   []*costGate
	by      map[string]*costGate // inner address
	calls   map[string]int       // bytes by call
	thin    map[string]bool
	whole   bool // homes hand on whole destinations, as they once did
}

func newCostRun(gatekeepers, workers int) *costRun {
	c := &costRun{list: map[string]waymark.Worker{}, by: map[string]*costGate{}, calls: map[string]int{}, thin: map[string]bool{}}
	zones := ""
	for z := range costZones {
		zones += fmt.Sprintf("z%d = \"r%d\"\n", z, z%2)
	}
	for i := range costBothies {
		set, err := bootconfig.Parse(fmt.Appendf(nil, "station = \"sorting-%d\"\nip = \"10.9.0.%d\"\nzone = \"z%d\"\nregion = \"r%d\"\n"+
			"innerDocks = [7460, 7475]\nfirstStations = [\"10.9.0.1:1\"]\ntimeBounds = [\"quotaWindowS=5\", \"quotaExcess=0.1\", \"quotaSlack=20\"]\n[zones]\n%s",
			i, i+1, i%costZones, i%2, zones))
		if err != nil {
			panic(err)
		}
		b := New(set, zerolog.Nop())
		b.clock = func() float64 { return c.now }
		b.sessions = membership.New(set.Inner(registryPort), uint64(i+1), 0, sessionTimeoutMs)
		b.election.Remember(nil, 0)
		c.bothies = append(c.bothies, b)
	}
	for _, b := range c.bothies {
		for _, o := range c.bothies {
			if o != b {
				b.peers[o.settings.Inner(registryPort)] = rpc.NewPeer(o.settings.Inner(registryPort))
				b.peerZones[o.settings.Inner(registryPort)] = o.settings.Zone
			}
		}
		b.updateCoreMachines()
	}
	c.in, c.out, c.spent = make([]int, costBothies), make([]int, costBothies), make([]time.Duration, costBothies)
	for i := range gatekeepers {
		zone := i % costZones
		g := &costGate{configcache: configcache.New(), at: i % costBothies, held: map[string]quota.Slice{}, signAt: float64(i%50) * 10,
			drawAt: 3000 + float64(i*7%50)*10, guest: membership.Member{Station: fmt.Sprintf("counter-z%d-%d", zone, i/costZones), Zone: fmt.Sprint("z", zone),
				Region: fmt.Sprint("r", zone%2), Life: uint64(i) + 1<<60, Counter: fmt.Sprintf("10.%d.0.%d:8206", zone+1, i/costZones+20),
				Inner: fmt.Sprintf("10.%d.0.%d:7460", zone+1, i/costZones+20), Ready: true}}
		c.gates = append(c.gates, g)
		c.by[g.guest.Inner] = g
	}
	for i := range workers {
		c.put(i, false)
	}
	c.configure(1, gatekeepers)
	c.poll()
	return c
}

func (c *costRun) put(i int, closing bool) {
	w := waymark.Worker{ID: fmt.Sprintf("i-%010x", i*7919), Destination: fmt.Sprint("huvo", i%3), Addr: fmt.Sprintf("10.128.%d.%d:8080", i/200, i%200),
		Zone: fmt.Sprint("z", i%costZones), Edition: "v1", Berths: 2, Closing: closing}
	c.list[w.ID] = w
}

// configure has all bothies hold a configuration, whose quotas are as large as the fleet.
func (c *costRun) configure(edition uint64, gatekeepers int) {
	doc := fmt.Sprintf(`{"edition":%q,"courses":{"columns":["name","domain","streetPrefix","kind","deadlineS","targetS","priority","tries","destination"],"rows":[`,
		timetable.FormatEdition(edition))
	for i := range costRoutes {
		doc += fmt.Sprintf(`%s["r-%d-%d","h%d.example","/p%d/","safe",2,0.3,1,2,"huvo%d"]`, []string{",", ""}[btoi(i == 0)], i, edition, i%7, i, i%3)
	}
	doc += `]},"destinations":{"columns":["name","healthPath","berthCap"],"rows":[["huvo0","/health",110],["huvo1","/health",110],["huvo2","/health",110]]},"senders":{"columns":["name","passes","priority","ratePerS","surge"],"rows":[`
	for i := range costTenants {
		rate := float64(gatekeepers) * 45 * 0.2 / float64(i+1) // a few are large
		doc += fmt.Sprintf(`%s["sese%d",["k%d"],1,%.1f,%.1f]`, []string{",", ""}[btoi(i == 0)], i, i, rate, rate)
	}
	doc += `]}}`
	for _, b := range c.bothies {
		b.applyState(cairn.State{Edition: edition, Body: []byte(doc), Last: cairn.Stamp{Seq: edition}})
	}
	for name, t := range quota.Limited(c.bothies[0].configuration) {
		c.thin[name] = quota.Thin(t, quota.BoundsOf(&c.bothies[0].settings.Bounds), gatekeepers)
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// poll has the first bothy read the platform's list, and the others hear of it.
func (c *costRun) poll() {
	list := make([]waymark.Worker, 0, len(c.list))
	for _, w := range c.list {
		list = append(list, w)
	}
	first := c.bothies[0]
	if !first.endpoints.applyPlatformList(c.now, 1, list) {
		return
	}
	for i, b := range c.bothies[1:] {
		q := waymark.AskRoster{Have: b.endpoints.version}
		r, _ := first.handleEndpointsRequest(context.Background(), q)
		c.core(i+1, 0, q, r)
		b.endpoints.merge(c.now, &r)
	}
	for _, g := range c.gates { // their signs wait, and are answered at the news
		g.signAt = c.now
	}
}

// core counts a call between two bothies.
func (c *costRun) core(from, to int, q, a any) {
	x, y := rpc.Size(q, true), rpc.Size(a, false)
	c.out[from], c.in[to], c.out[to], c.in[from] = c.out[from]+x, c.in[to]+x, c.out[to]+y, c.in[from]+y
	c.calls["core"] += x + y
}

// call counts one of a gatekeeper to its bothy.
func (c *costRun) call(g *costGate, q, a any, name string) {
	x, y := rpc.Size(q, true), rpc.Size(a, false)
	g.out, c.in[g.at], c.out[g.at], g.in = g.out+x, c.in[g.at]+x, c.out[g.at]+y, g.in+y
	c.calls[name] += x + y
}

// timed adds the thread's own processor time, which other load on the machine leaves alone.
func (c *costRun) timed(on *time.Duration, do func()) {
	began := threadTime()
	do()
	*on += threadTime() - began
}

func threadTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

func (c *costRun) sign(g *costGate) {
	b := c.bothies[g.at]
	g.turn++
	g.guest.Turn = g.turn
	q := waymark.Sign{Member: g.guest, Crowd: g.crowd.Mark, Cores: g.cores, Wait: 500}
	var a waymark.Signed
	c.timed(&g.spent, func() { g.configcache.Question(&q) })
	c.timed(&c.spent[g.at], func() {
		b.sessions.Sign(c.now, q.Member)
		b.updateMembers()
		b.tailConfirmedAt = c.now
		a, _ = b.heartbeatAnswer(q, c.now)
		a, _ = b.heartbeatAnswer(q, c.now) // as it is when the wait is over
	})
	c.call(g, q, a, "sign")
	c.timed(&g.spent, func() { c.heard(g, &a) })
	g.signAt = c.now + 500
}

// heard takes the news, and asks homes for what is lacking.
func (c *costRun) heard(g *costGate, a *waymark.Signed) {
	g.configcache.Hear(c.now, a)
	if len(a.Body) > 0 && a.Edition > g.edition {
		g.configcache.Body(a.Edition, a.Body)
	}
	if a.CoresNow != 0 {
		g.cores = a.CoresNow
	}
	if a.Crowd != nil {
		g.crowd = *a.Crowd
	}
	asks, _ := g.configcache.Plan(c.now, configcache.Zone{Name: g.guest.Zone, Self: g.guest.Inner, Ready: true, Near: g.crowd.Peers[:len(g.crowd.Near)]})
	for at, q := range asks {
		home := c.by[at]
		if c.whole {
			q.Have = nil
		}
		var got waymark.Subscribed
		if home.configcache.Has(&q) {
			got = home.configcache.Give(c.now, &q)
		}
		x, y := rpc.Size(q, true), rpc.Size(got, false)
		g.out, home.in, home.out, g.in = g.out+x, home.in+x, home.out+y, g.in+y
		c.calls["homes"] += x + y
		g.configcache.Stock(c.now, got.Parts)
		if len(got.Body) > 0 {
			g.configcache.Body(a.Edition, got.Body)
		}
		g.configcache.Asked(c.now, at, &q, nil)
	}
}

func (c *costRun) draw(g *costGate) {
	g.turn++
	q := waymark.Draw{Station: g.guest.Station, Life: g.guest.Life, Turn: g.turn, Demand: map[string]float32{}, Holding: waymark.Pack(g.held),
		LeaseLeft: max(g.heldTo-c.now, 0)}
	for name := range c.thin {
		switch home := membership.HomeAmong(append(g.crowd.Peers[:len(g.crowd.Peers):len(g.crowd.Peers)], g.guest.Inner), "", name); {
		case !c.thin[name]:
			q.Demand[name] = 3.7
		case home == g.guest.Inner:
			q.Demand[name] = 0.5
		}
	}
	holder := c.bothies[0]
	var a waymark.Drawn
	c.timed(&c.spent[0], func() {
		demand := quota.Demand{}
		for name, d := range q.Demand {
			demand[name] = float64(d)
		}
		got := holder.allocator.Ask(c.now, memberID(q.Station, q.Life), q.Turn, demand, waymark.Unpack(q.Holding), q.LeaseLeft)
		a = waymark.Drawn{Slices: waymark.Pack(got), Lease: allocationLeaseMs}
	})
	c.call(g, q, a, "draw")
	if g.at != 0 {
		q.Passed = true
		c.core(g.at, 0, q, a)
	}
	for name, s := range waymark.Unpack(a.Slices) {
		if s != (quota.Slice{}) {
			g.held[name] = s
		}
	}
	g.heldTo, g.drawAt = c.now+allocationLeaseMs, c.now+500
}

func (c *costRun) gossip() {
	for i, b := range c.bothies {
		var brief, whole membership.Page
		var mark uint64
		c.timed(&c.spent[i], func() {
			mark = b.sessions.Mark(c.now)
			brief, whole = b.sessions.Brief(c.now), b.sessions.Tell(c.now)
		})
		for j, o := range c.bothies {
			if i == j {
				continue
			}
			g := waymark.Gossip{From: b.settings.Inner(registryPort), Zone: b.settings.Zone, Page: whole, Roster: b.endpoints.version}
			key := o.settings.Inner(registryPort)
			if t := b.reported[key]; t.contentHash == mark && c.now-t.sentAt < fullReportIntervalMs {
				g.Page = brief
			} else {
				b.reported[key] = fullReport{contentHash: mark, sentAt: c.now}
			}
			c.timed(&c.spent[j], func() { o.receiveReport(g.From, g.Zone, g.Page) })
			c.core(i, j, g, waymark.Heard{Roster: o.endpoints.version, Life: o.incarnation})
		}
	}
}

// run goes on for so many milliseconds. In times of change a worker goes or comes every 200 ms.
func (c *costRun) run(ms float64, changes bool) {
	for end := c.now + ms; c.now < end; {
		c.now += 10
		step := int(c.now)
		if step%300 == 0 {
			c.gossip()
		}
		if changes && step%200 == 0 {
			c.put(step/200%len(c.list), step/200%2 == 0)
		}
		if changes && step%400 == 0 {
			c.poll()
		}
		for _, g := range c.gates {
			if c.now >= g.signAt {
				c.sign(g)
			}
			if c.now >= g.drawAt {
				c.draw(g)
			}
		}
	}
}

// costs are bytes and microseconds a second.
type costs struct {
	gate, gateMost, bothyMost float64 // bytes in and out
	gateUs, bothyUs           float64 // processor, on average and of the busiest
	calls                     map[string]float64
}

// measure counts five seconds.
func (c *costRun) measure(changes bool) (k costs) {
	const secs = 5.0
	for _, g := range c.gates {
		g.in, g.out, g.spent = 0, 0, 0
	}
	clear(c.in)
	clear(c.out)
	clear(c.spent)
	clear(c.calls)
	c.run(secs*1000, changes)
	n := float64(len(c.gates))
	for _, g := range c.gates {
		k.gate += float64(g.in+g.out) / secs / n
		k.gateMost = max(k.gateMost, float64(g.in+g.out)/secs)
		k.gateUs += float64(g.spent.Microseconds()) / secs / n
	}
	for i := range c.bothies {
		k.bothyMost = max(k.bothyMost, float64(c.in[i]+c.out[i])/secs)
		k.bothyUs = max(k.bothyUs, float64(c.spent[i].Microseconds())/secs)
	}
	k.calls = map[string]float64{}
	for name, bytes := range c.calls {
		k.calls[name] = float64(bytes) / secs / n
	}
	return k
}

// started is a fleet that has found itself.
func started(gatekeepers int) *costRun {
	c := newCostRun(gatekeepers, gatekeepers*7/2)
	c.bothies[0].allocator.Begin(0, 1e6)
	c.run(8000, false)
	return c
}

// TestControlCostIsFlat: what control costs a gatekeeper hardly goes with how many there are, in
// calm times and while workers come and go.
func TestControlCostIsFlat(t *testing.T) {
	small, large := started(10), started(40)
	for _, changes := range []bool{false, true} {
		a, b := small.measure(changes), large.measure(changes)
		t.Logf("changes %t: 10: %.0f B/s, 40: %.0f B/s; %v %v", changes, a.gate, b.gate, a.calls, b.calls)
		assert.Assert(t, b.gate < 1.6*a.gate, "%.0f and %.0f bytes a second", a.gate, b.gate)
	}
	for _, g := range large.gates {
		assert.Equal(t, len(g.configcache.Workers(large.now, "huvo0")), 47)
		assert.Equal(t, g.crowd.Count, 40)
		assert.Equal(t, g.configcache.Edition(), uint64(1))
	}
}

// BenchmarkControl prints the table of docs/measurements/control-cost.md:
//
//	go test ./internal/bothy -run xxx -bench Control -benchtime 1x
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{10, 70, 300} {
		for _, how := range []string{"calm", "changes", "changes, whole lists"} {
			b.Run(fmt.Sprintf("%d/%s", n, how), func(b *testing.B) {
				runtime.LockOSThread()
				defer runtime.UnlockOSThread()
				for b.Loop() {
					c := started(n)
					c.whole = how == "changes, whole lists"
					k := c.measure(how != "calm")
					b.ReportMetric(k.gate, "B/s/gate")
					b.ReportMetric(k.gateMost, "B/s/home")
					b.ReportMetric(k.bothyMost, "B/s/bothy")
					b.ReportMetric(k.gateUs, "us/s/gate")
					b.ReportMetric(k.bothyUs, "us/s/bothy")
					for name, v := range k.calls {
						b.ReportMetric(v, "B/s/gate-"+name)
					}
				}
			})
		}
	}
}
