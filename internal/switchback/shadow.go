package switchback

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sys/unix"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/internal/link"
	"foxwood/internal/rpc"
	"foxwood/internal/spur"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
)

// Copies of live journeys for shadow services. The loop only notes, after a request was written to
// its worker and after its client was answered, that this was so, with the payload by reference.
// All else is done beside it, by whoever holds the keeper's lock, which the loop never takes.

const (
	shadowTick  = 100 * time.Millisecond
	shadowNotes = 16384 // that may wait beside the loop
	shadowSpare = 384   // of them for orders, members, addresses
	shadowPart  = 16    // of the memory allowed, for copies on their way and held
	shadowLeast = 2 << 20
	shadowWork  = 0.05                   // of one processor's time
	shadowBurst = 100 * time.Millisecond // that may be worked ahead of it
	shadowRest  = 20 * time.Millisecond
	shadowDebt  = -50 * time.Millisecond // behind it by more: others are not answered

	gatherMost = time.Second
	pressSpan  = 300.0
	pressLeast = 32.0        // of the bound: a few that wait are no pressure
	pressCalm  = 0.7         // under which copying goes on again
	pressRest  = 2000.0      // milliseconds that it stays so first
	handMost   = time.Second // after the drain, for others to fetch what was copied
)

// copied is a request whose route the order names, from when it was sent on.
type copied struct {
	course  *timetable.Course
	sender  *timetable.Sender
	dest    string
	payload *link.Payload
	at      float64     // when it was sent on
	skip    atomic.Bool // it is not to be copied: its answer is of no interest
	ticket  spur.Ticket // the keeper's
}

// note is what the loop tells the keeper.
type note struct {
	at   float64
	c    *copied
	end  bool
	real spur.Real
	drop spur.Cause // other than Fine: there will be no copy
	void bool       // the request never ran
	size int64      // of the payload, where it is held
	tell func(*spur.Spur)
}

// shadows is a gatekeeper's part of copying.
type shadows struct {
	p     *Proxy
	now   func() float64 // milliseconds of the steady clock, for any goroutine
	notes chan note
	room  int64
	held  atomic.Int64 // bytes of payloads that wait
	body  atomic.Int64 // largest body that is copied
	taken atomic.Pointer[map[string]bool]

	// The loop's.
	order    *spur.Order
	number   uint64
	wanted   []bool // by course of the edition
	edition  uint64
	open     int // notes that are still owed an end
	late     []func(*spur.Spur)
	pressed  bool
	strain   float64
	cpu      float64
	cpuUsed  time.Duration
	ticked   float64
	calmed   float64
	seatMark uint64
	seats    []spur.Seat
	closed   bool // the life's last request was taken
	quiet    bool // requests were sent on while no order copied, and the keeper does not know

	counts struct {
		noRoom, lost, refused, sent, hung, pressed atomic.Uint64
		work                                       atomic.Int64 // nanoseconds
	}
	gap atomic.Bool // notes were lost that named nobody

	mu    sync.Mutex // the keeper's
	spur  *spur.Spur
	left  time.Duration // of the processor time allowed
	since time.Time     // when that was last counted
	peers map[string]*rpc.Peer
	out   int // copies on their way to shadows
	said  spur.Status

	bell chan struct{}
}

// Shadow has this gatekeeper copy journeys, where an order says so, before it serves.
func (p *Proxy) Shadow() {
	start := time.Now()
	p.copyBy(func() float64 { return 1 + float64(time.Since(start))/1e6 })
}

func (p *Proxy) copyBy(now func() float64) {
	s := &shadows{p: p, now: now, notes: make(chan note, shadowNotes), since: time.Now(), left: shadowBurst,
		peers: map[string]*rpc.Peer{}, bell: make(chan struct{}, 1)}
	s.room = max(int64(p.set.SizeLimits.MemoryMB)<<20/shadowPart, shadowLeast) / 2 // one half waits, the other is the keeper's
	s.spur = spur.New(spur.Config{Self: spur.Seat{Station: p.set.Station, Life: p.life, Region: p.set.Region, Inner: p.set.Inner(0)},
		Now: s.now(), Room: int(s.room)})
	s.body.Store(math.MaxInt64)
	s.cpuUsed, s.ticked = processorTime(), s.now()
	p.on(func() {
		p.shadow = s
		p.clients.Ended = s.ended
		p.loop.Every(shadowTick, s.tick)
	})
}

// ---- the loop's part ----

// learn takes news: an order, members, workers. On the loop.
func (s *shadows) learn(a *waymark.Signed, asked float64, moved bool) {
	var number uint64
	var body []byte
	s.p.relay.do(func(float64) { number, body = s.p.relay.configcache.Order() })
	s.hush()
	if number > s.number {
		s.number = number
		o, faults := spur.ReadOrder(body)
		if len(faults) > 0 || o == nil { // it was checked before it came into the chain
			s.p.log.Error().Uint64("number", number).Msg("an order for copies can't be read")
			o = &spur.Order{Number: number, Stopped: true}
		}
		s.order, s.edition, s.wanted, moved = o, 0, nil, true
		s.p.log.Info().Uint64("number", o.Number).Bool("stopped", o.Stopped).Float64("share", o.Share).Int("routes", len(o.Routes)).Msg("order for copies")
		at := s.now()
		s.tell(func(k *spur.Spur) { k.Put(at, o) })
	}
	if len(a.Seats) > 0 {
		s.seatMark, s.seats, moved = a.SeatsNow, a.Seats, true
	}
	if s.order == nil {
		return
	}
	if moved {
		s.addresses()
	}
	if !a.Stale && a.Settled && a.SeatsNow != 0 && a.SeatsNow == s.seatMark {
		at, seats := s.now(), s.seats
		asOf := at - (s.p.clock.Now() - asked) + a.SeatsAt
		s.tell(func(k *spur.Spur) { k.Members(at, asOf, seats) })
	}
}

// hush has the keeper know that requests were sent on before, while nothing was to be copied.
func (s *shadows) hush() {
	if s.quiet {
		s.quiet = false
		at := s.now()
		s.tell(func(k *spur.Spur) {
			k.Begin(at, &spur.Sight{Header: func(string) ([]byte, bool) { return nil, false }})
		})
	}
}

// addresses tells where live workers are, gatekeepers, and their inner doors.
func (s *shadows) addresses() {
	p := s.p
	taken := make(map[string]bool, len(p.workers)+len(s.seats)+8)
	for _, w := range p.workers {
		taken[w.Addr] = true
	}
	for i := range s.seats {
		taken[s.seats[i].Inner] = true
	}
	for n := range 2 {
		for _, a := range p.set.Seeds(n) {
			taken[a] = true
		}
	}
	for _, a := range []string{p.set.Gates.Counter, p.set.Gates.Readiness, p.set.CarrierAPI.Address, p.set.Inner(0)} {
		taken[a] = true
	}
	if p.control != nil {
		taken[p.control.Addr()] = true
	}
	delete(taken, "")
	s.taken.Store(&taken)
	at := s.now()
	s.tell(func(k *spur.Spur) { k.Live(at, taken) })
}

// tell has the keeper do something, after all that was noted before.
func (s *shadows) tell(do func(*spur.Spur)) {
	s.late = append(s.late, do)
	s.flush()
}

func (s *shadows) flush() {
	for len(s.late) > 0 && len(s.notes)+s.open < cap(s.notes) { // the rest at the next tick
		s.notes <- note{tell: s.late[0]}
		s.late = s.late[1:]
	}
}

// wants tells whether the order names a request's route.
func (s *shadows) wants(c *timetable.Course) bool {
	if s.order == nil || s.order.Stopped {
		s.quiet = true
		return false
	}
	if t := s.p.table; s.wanted == nil || s.edition != t.Edition {
		named := map[string]bool{}
		for _, r := range s.order.Routes {
			named[r] = true
		}
		s.edition, s.wanted = t.Edition, make([]bool, len(t.Courses))
		for i := range t.Courses {
			s.wanted[i] = named[t.Courses[i].Name]
		}
	}
	return c.Index < len(s.wanted) && s.wanted[c.Index]
}

// sent notes that a request was written to a worker, the first time that it is.
func (s *shadows) sent(x *gatekeeper.Execution) {
	l, ok := x.Request.Caller.(*link.Client)
	if !ok {
		return
	}
	k, ok := l.Value.(*try)
	if !ok || s.closed || k.passed || k.id != x.Request.Name {
		return
	}
	k.passed = true
	if k.route == nil || !s.wants(k.route) {
		return
	}
	if len(s.notes)+s.open >= cap(s.notes)-shadowSpare { // each that is open is owed room for its end
		s.counts.lost.Add(1)
		s.gap.Store(true)
		return
	}
	payload, _ := x.Request.Payload.(*link.Payload)
	k.copy = &copied{course: k.route, sender: k.sender, dest: k.pool.name, payload: payload, at: s.now()}
	s.open++
	s.notes <- note{at: k.copy.at, c: k.copy}
	if len(s.notes) > cap(s.notes)/4 { // else the next turn is soon enough
		s.ring()
	}
}

// ring has the next turn come at once.
func (s *shadows) ring() {
	select {
	case s.bell <- struct{}{}:
	default:
	}
}

// ended notes what a request's client was answered.
func (s *shadows) ended(l *link.Client, r *gatekeeper.Request, e link.Ending) {
	k, ok := l.Value.(*try)
	if !ok || k.copy == nil || k.id != r.Name {
		return
	}
	c := k.copy
	k.copy = nil
	s.open--
	if c.skip.Load() {
		return
	}
	n := note{at: s.now(), c: c, end: true}
	size := int64(len(c.payload.Head) + len(c.payload.Body))
	switch {
	case e.Left:
		n.drop = spur.GivenUp
	case e.Flowed || c.payload.Up != nil || int64(len(c.payload.Body)) > s.body.Load():
		n.drop = spur.TooLarge
	case promises(e.Status) && !r.Ran:
		n.void = true
	case promises(e.Status), e.Status == http.StatusBadGateway && (r.Last == nil || r.Last.Status != e.Status):
		n.drop = spur.GivenUp
	case s.pressed:
		n.drop = spur.Pressed
	case s.held.Load()+size > s.room:
		n.drop = spur.Queue
		s.counts.noRoom.Add(1)
	default:
		n.real = spur.Real{Status: e.Status, TookMs: n.at - c.at, Digest: xxh3.Hash(e.Body)}
		n.size = size
		s.held.Add(size)
	}
	s.notes <- n
}

// tick works out whether this gatekeeper is pressed: then it stops copying first.
func (s *shadows) tick() {
	s.hush()
	s.flush()
	now := s.now()
	span := now - s.ticked
	if span < 1 || s.order == nil {
		return
	}
	s.ticked = now
	bound, held := 0.0, 0
	for _, x := range s.p.order {
		b, _, h := x.core.Room()
		bound, held = bound+b, held+h
	}
	s.strain += (1 - math.Exp(-span/pressSpan)) * (float64(held)/max(bound, pressLeast)/heldFull - s.strain)
	pressure := s.strain
	if share := s.p.set.SizeLimits.CPUShare; share > 0 {
		used := processorTime()
		s.cpu += (1 - math.Exp(-span/pressSpan)) * (float64(used-s.cpuUsed)/1e6/span/share - s.cpu)
		s.cpuUsed = used
		pressure = max(pressure, s.cpu/cpuFull)
	}
	if s.p.shed != nil {
		pressure = max(pressure, s.p.shed.pressure)
	}
	pressure = max(pressure, 2*float64(len(s.notes))/float64(cap(s.notes)), float64(s.held.Load())/float64(s.room))
	if pressure >= pressCalm {
		s.calmed = now
	}
	was := s.pressed
	if s.pressed = pressure >= 1 || was && now-s.calmed < pressRest; s.pressed == was {
		return
	}
	if s.pressed {
		s.counts.pressed.Add(1)
	}
	s.p.log.Info().Bool("pressed", s.pressed).Float64("pressure", pressure).Msg("copying stops or goes on")
	pressed := s.pressed
	s.tell(func(k *spur.Spur) { k.Press(now, pressed) })
}

// ---- beside the loop ----

// shadowing takes notes, gathers and delivers until the context ends.
func (p *Proxy) shadowing(ctx context.Context) {
	s := p.shadow
	if s == nil {
		return
	}
	tick := time.NewTicker(shadowTick)
	defer tick.Stop()
	for told := time.Now(); ctx.Err() == nil; {
		due := false
		select {
		case <-ctx.Done():
			return
		case <-s.bell:
		case <-tick.C:
			due = true
		}
		rest := s.turn(ctx, due)
		if time.Since(told) >= figuresEvery {
			told = time.Now()
			s.work(s.figures)
		}
		if rest {
			pause(ctx, shadowRest)
		}
	}
}

// turn delivers what there is, and where that is due asks all for more. It tells whether it has
// worked for longer than its share.
func (s *shadows) turn(ctx context.Context, due bool) (rest bool) {
	var asks []spur.Ask
	s.work(func() {
		if due {
			now := s.now()
			for _, q := range s.spur.Asks(now) {
				if q.To.Inner == s.p.set.Inner(0) && q.To.Life == s.p.life {
					s.spur.Heard(now, q, s.spur.Answer(now, q))
				} else {
					asks = append(asks, q)
				}
			}
			s.follow()
		}
		s.deliver(ctx)
		rest = s.left < 0
	})
	for i := range asks {
		go s.gather(ctx, asks[i])
	}
	return rest
}

// work does something with the keeper, with all notes taken that were made before, and counts
// the time that it took. Notes are taken nowhere else: an end that came before its beginning would
// leave a ticket open, and nothing would be known whole.
func (s *shadows) work(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The thread's own time counts: what passes while others have the processor is nobody's work.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began, now := threadTime(), time.Now()
	s.left = min(s.left+time.Duration(float64(now.Sub(s.since))*shadowWork), shadowBurst)
	s.since = now
	for n := len(s.notes); n > 0; n-- {
		select {
		case x := <-s.notes:
			s.take(&x)
		default: // another has taken them
			n = 1
		}
	}
	if s.gap.Swap(false) {
		s.spur.Gap(s.now())
	}
	do()
	spent := threadTime() - began
	s.left = max(s.left-spent, 2*shadowDebt)
	s.counts.work.Add(int64(spent))
}

// threadTime is what this thread has used of the processor.
func threadTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// take takes a note. The lock is held.
func (s *shadows) take(n *note) {
	switch {
	case n.tell != nil:
		n.tell(s.spur)
		s.body.Store(int64(s.spur.MaxBody()))
		s.follow()
	case !n.end:
		c := n.c
		if c.ticket = s.spur.Begin(n.at, c.sight()); c.ticket == 0 {
			c.skip.Store(true)
		}
	case n.c.ticket == 0:
	case n.void:
		s.spur.Forget(n.at, n.c.ticket)
	case n.drop != spur.Fine:
		s.spur.Drop(n.at, n.c.ticket, n.drop)
	default:
		s.spur.End(n.at, n.c.ticket, n.c.request(), n.real)
	}
	if n.size > 0 {
		s.held.Add(-n.size)
	}
}

// sight is what the choice is made by.
func (c *copied) sight() *spur.Sight {
	k := &spur.Sight{Route: c.course.Name, Destination: c.dest, Homes: c.course.Homes, Header: c.header}
	if c.sender != nil {
		k.Tenant = c.sender.Name
		if k.Homes = bothHomes(c.course.Homes, c.sender.Homes); k.Homes == nil && len(c.course.Homes)+len(c.sender.Homes) > 0 {
			k.Homes = []string{"\x00"} // no region: it was not sent anywhere either
		}
	}
	return k
}

// bothHomes is the regions that both lists allow; an empty list allows all.
func bothHomes(a, b []string) (both []string) {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	for _, x := range a {
		for _, y := range b {
			if x == y {
				both = append(both, x)
			}
		}
	}
	return both
}

// each gives the payload's lines behind the first.
func (c *copied) each(do func(name, value []byte)) (first []byte) {
	first, rest, _ := bytes.Cut(c.payload.Head, []byte("\r\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if name, value, ok := bytes.Cut(line, []byte(": ")); ok {
			do(name, value)
		}
	}
	return first
}

// header is the value of a header that stands there exactly once.
func (c *copied) header(name string) (value []byte, ok bool) {
	n := 0
	c.each(func(at, v []byte) {
		if http1.EqualFold(at, name) {
			value = v
			n++
		}
	})
	return value, n == 1
}

// request is the request by reference.
func (c *copied) request() *spur.Request {
	r := &spur.Request{Body: c.payload.Body}
	first := c.each(func(name, value []byte) { r.Fields = append(r.Fields, spur.Field{Name: name, Value: value}) })
	var rest []byte
	r.Method, rest, _ = bytes.Cut(first, []byte{' '})
	r.Target, _, _ = bytes.Cut(rest, []byte{' '})
	return r
}

// follow says once what has changed. The lock is held.
func (s *shadows) follow() {
	st := s.spur.Status(s.now())
	if st.Order != s.said.Order || st.On != s.said.On || st.Why != s.said.Why {
		s.p.log.Info().Uint64("order", st.Order).Bool("on", st.On).Str("why", st.Why.String()).Msg("copying")
	}
	s.said = st
}

// gather asks a gatekeeper for the copies of journeys that are gathered here.
func (s *shadows) gather(ctx context.Context, q spur.Ask) {
	s.mu.Lock()
	peer := s.peers[q.To.Inner]
	if peer == nil {
		peer = rpc.NewPeer(q.To.Inner)
		s.peers[q.To.Inner] = peer
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, gatherMost)
	defer cancel()
	a, err := rpc.Call[waymark.Gather, waymark.Gathered](ctx, peer, waymark.Gather{Ask: q})
	s.work(func() {
		if err != nil {
			peer.Close() // the next is asked on another connection, if there is a next
			if s.peers[q.To.Inner] == peer {
				delete(s.peers, q.To.Inner)
			}
			s.spur.Missed(s.now(), q)
			return
		}
		s.spur.Heard(s.now(), q, a.Answer)
	})
	s.ring()
}

// gathered answers a collector. Who has worked more than its share answers later.
func (p *Proxy) gathered(_ context.Context, q waymark.Gather) (a waymark.Gathered, err error) {
	s := p.shadow
	if s == nil {
		return a, rpc.Errorf(rpc.Unavailable, "it copies nothing")
	}
	s.work(func() {
		if s.left < shadowDebt {
			err = rpc.Errorf(rpc.Busy, "it has worked on copies for long enough")
			return
		}
		a.Answer = s.spur.Answer(s.now(), q.Ask)
	})
	return a, err
}

// standing tells how copying stands.
func (p *Proxy) copies(context.Context, waymark.AskCopies) (a waymark.Copies, err error) {
	s := p.shadow
	if s == nil {
		return waymark.Copies{Off: true}, nil
	}
	s.work(func() { a = waymark.Copies{Status: s.spur.Status(s.now()), Own: s.own()} })
	return a, nil
}

func (s *shadows) own() waymark.CopyCounts {
	c := &s.counts
	return waymark.CopyCounts{NoRoom: c.noRoom.Load(), Lost: c.lost.Load(), Refused: c.refused.Load(), Sent: c.sent.Load(), Hung: c.hung.Load(),
		Pressed: c.pressed.Load(), WorkMs: uint64(c.work.Load() / 1e6)}
}

// figures is the counters' line. The lock is held.
func (s *shadows) figures() {
	st := s.spur.Status(s.now())
	if st.Order == 0 {
		return
	}
	by := map[string]uint64{}
	for c, n := range st.Counts.By {
		if n > 0 {
			by[spur.Cause(c).String()] = n
		}
	}
	k := st.Counts
	s.p.log.Info().Uint64("order", st.Order).Bool("on", st.On).Uint64("chosen", k.Chosen).Uint64("whole", k.Whole).Uint64("broken", k.Broken).
		Interface("by", by).Uint64("delivered", k.Delivered).Uint64("held", k.Held).Int("open", st.Open).Int("bytes", st.Bytes).
		Interface("own", s.own()).Msg("copying figures")
}

// lines is copying's part of the status.
func (s *shadows) lines() (lines []string) {
	say := func(format string, a ...any) { lines = append(lines, fmt.Sprintf(format, a...)) }
	var st spur.Status
	s.work(func() { st = s.spur.Status(s.now()) })
	own, k := s.own(), st.Counts
	say("copies order %d on %t why %s, %d journeys open, %d pieces not fetched, %d of %d bytes, settling %t, all told up to %.0f ms ago, members as of %.0f ms ago",
		st.Order, st.On, st.Why, st.Open, st.Queued, st.Bytes, st.Room, st.Settling, st.CoverMs, st.ListMs)
	say("copies chosen %d whole %d broken %d delivered %d held %d; sent %d hung %d refused %d, no room %d lost %d, worked %d ms", k.Chosen, k.Whole,
		k.Broken, k.Delivered, k.Held, own.Sent, own.Hung, own.Refused, own.NoRoom, own.Lost, own.WorkMs)
	for c, n := range k.By {
		if n > 0 {
			say("copies broken by %s %d", spur.Cause(c), n)
		}
	}
	return lines
}

// hand lets the others fetch what was copied, once all clients were answered: nobody waits for
// that but the end of the process.
func (s *shadows) hand(most time.Duration) {
	if s == nil {
		return
	}
	s.p.on(func() { s.closed = true })
	began := time.Now()
	s.work(func() { s.spur.Close(s.now()) })
	for emptied := false; !emptied && time.Since(began) < most; time.Sleep(drainLook) {
		s.work(func() { emptied = s.spur.Emptied(s.now()) })
		if emptied {
			break
		}
	}
}
