// Package store is the store of configuration: the chain's state machine with its disk and its
// calls. One loop owns the machine. What a step wants synced is on disk before anything of that
// step is sent or answered; steps that come together share one sync. Where the disk fails or hangs
// (disk.go), the process stays, silent for the others and with an answer for every caller.
package store

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/cairn"
	"foxwood/internal/recordlog"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

const (
	dock         = 1 // among a core machine's inner docks
	tickEvery    = 40 * time.Millisecond
	batchMost    = 64
	queueMost    = 1024
	answerMost   = time.Second // the machine answers before that
	forgetMost   = 5 * time.Second
	leavePart    = 0.35 // of graceS, that a process stays for others to take over
	figuresEvery = 10 * time.Second
	lostAfter    = 3000.0   // milliseconds without a majority of the core after which that is told
	mostChange   = 24 << 20 // bytes of a change
	recallAfter  = 60 * time.Millisecond
)

// Store is one core machine's part of the store.
type Store struct {
	set     *bootconfig.Settings
	log     zerolog.Logger
	start   time.Time
	machine *cairn.Machine // none while the disk is lost
	events  chan event
	lastID  atomic.Uint64
	seeds   chan []string

	mu    sync.Mutex
	peers map[string]*rpc.Peer
	lanes map[string]*lane

	deskMu sync.Mutex // not for the loop: a body takes its time to be unpacked
	desk   desk
	holds  atomic.Pointer[cairn.State] // what need not be sent

	// The loop's.
	waiting map[uint64]event
	looks   []func()
	view    uint64
	alone   bool     // no majority of the core is heard, and that was told
	from    []string // seeds
	counts  counts
	diskState
}

// counts is what has happened since the start.
type counts struct {
	Steps, Syncs, Records, Sent, Unsent, Submits, Asks, Unavailable, Unknown, Compacted, Uncompacted, Lost, Stalls uint64
}

type event struct {
	cairn.Event
	id   uint64
	done chan<- result
	look func() // at the machine, in place of an event
}

type result struct {
	cairn.Result
	view cairn.View
}

// New opens the disk and goes on from what is on it.
func New(set *bootconfig.Settings, log zerolog.Logger) (*Store, error) {
	return newOn(func(dir string) (journal, [][]byte, error) { return recordlog.Open(dir) }, set, log)
}

func newOn(open opener, set *bootconfig.Settings, log zerolog.Logger) (*Store, error) {
	if set.ArchiveDir == "" {
		return nil, fmt.Errorf("archiveDir: is missing, and a store needs a disk")
	}
	s := &Store{set: set, log: log, start: time.Now(), events: make(chan event, queueMost), seeds: make(chan []string, 1),
		peers: map[string]*rpc.Peer{}, lanes: map[string]*lane{}, waiting: map[uint64]event{}, from: set.Seeds(dock),
		diskState: diskState{open: open, stall: stallMost, mendEvery: mendEvery}}
	var stored []cairn.Record
	var err error
	if s.journal, stored, err = s.read(false); err == nil {
		s.live(stored)
		return s, nil
	}
	if err = fmt.Errorf("disk: %w", err); !passes(err) {
		return nil, err
	}
	s.lose(err)
	return s, nil
}

func (s *Store) now() float64 { return float64(time.Since(s.start)) / 1e6 }

// Reload takes a settings file that has changed.
func (s *Store) Reload(set *bootconfig.Settings) {
	select {
	case s.seeds <- set.Seeds(dock):
	default:
	}
}

// Serve takes part until the context ends.
func (s *Store) Serve(ctx context.Context) error {
	ln, err := rpc.Listen(s.set.Inner(dock))
	if err != nil {
		return err
	}
	server := rpc.NewServer()
	rpc.Handle(server, s.message)
	rpc.Handle(server, s.parcel)
	rpc.Handle(server, s.chunk)
	rpc.Handle(server, s.enter)
	rpc.Handle(server, s.confirm)
	rpc.Handle(server, s.status)
	rpc.Handle(server, s.forget)
	rpc.Handle(server, s.rebuild)
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	return s.run(ctx)
}

// run is the loop that owns the machine.
func (s *Store) run(ctx context.Context) error {
	tick, figures := time.NewTicker(tickEvery), time.NewTicker(figuresEvery)
	defer tick.Stop()
	defer figures.Stop()
	ending := ctx.Done()
	var over <-chan time.Time
	for {
		var out cairn.Out
		select {
		case <-ending:
			if s.lost != nil {
				return s.close() // it is in no chain any more
			}
			ending, over = nil, time.After(time.Duration(s.set.Bounds.GraceS*leavePart*float64(time.Second)))
			s.step(event{Event: cairn.Event{Leave: true}}, &out)
		case <-over:
			s.log.Warn().Msg("ends though the chain can't do without it")
			return s.close()
		case <-figures.C:
			s.log.Info().Interface("counts", s.counts).Interface("sent", rpc.Sent()).Int64("diskBytes", s.size).Str("status", s.standing()).
				Msg("figures")
			continue
		case s.from = <-s.seeds:
			if s.machine != nil {
				s.machine.Seeds(s.from)
			}
			continue
		case <-tick.C:
			if s.lost != nil {
				if err := s.mend(ctx); err != nil {
					return err
				}
				continue
			}
			s.step(event{}, &out)
		case e := <-s.events:
			if s.lost != nil {
				s.refuse(e)
				continue
			}
			s.step(e, &out)
			for n := 1; n < batchMost && len(s.events) > 0; n++ {
				s.step(<-s.events, &out)
			}
		}
		if err := s.carryOut(ctx, &out); err != nil && ctx.Err() == nil {
			s.lose(err)
		} else if err != nil {
			return nil // what is under way on the disk may hang for ever
		}
		if over != nil && s.machine != nil && s.machine.Left() {
			return s.close()
		}
	}
}

// step has the machine take one event, and gathers what it wants.
func (s *Store) step(e event, all *cairn.Out) {
	if e.look != nil { // at what is synced
		s.looks = append(s.looks, e.look)
		return
	}
	s.counts.Steps++
	switch {
	case e.Submit != nil:
		s.counts.Submits++
	case e.Ask != nil:
		s.counts.Asks++
	}
	if e.done != nil {
		s.waiting[e.id] = e
	}
	out := s.machine.Step(s.now(), e.Event)
	all.Sync = append(all.Sync, out.Sync...)
	all.Send = append(all.Send, out.Send...)
	all.Done = append(all.Done, out.Done...)
	all.Compact = all.Compact || out.Compact
}

// carryOut syncs, and then sends and answers. Where the disk fails, nothing of the step is said.
func (s *Store) carryOut(ctx context.Context, out *cairn.Out) error {
	if len(out.Sync) > 0 {
		batch, err := encode(out.Sync)
		if err == nil {
			err = s.onDisk(ctx, func() error { return s.journal.Append(batch) })
		}
		if err != nil {
			return fmt.Errorf("disk: %w", err)
		}
		s.held = true
		s.counts.Syncs++
		s.counts.Records += uint64(len(batch))
	}
	s.synced()
	for _, look := range s.looks {
		look()
	}
	s.looks = s.looks[:0]
	for i := range out.Send {
		s.send(&out.Send[i])
	}
	view := s.machine.View()
	for _, r := range out.Done {
		switch r.Outcome {
		case cairn.Unavailable:
			s.counts.Unavailable++
		case cairn.Unknown:
			s.counts.Unknown++
		}
		if e, ok := s.waiting[r.ID]; ok {
			delete(s.waiting, r.ID)
			e.done <- result{r, view}
		}
	}
	if view.No != s.view {
		s.view = view.No
		s.log.Info().Uint64("view", view.No).Strs("chain", addrs(view.Chain)).Strs("core", addrs(view.Core)).Msg("view")
	}
	if lost := s.machine.Status().Lost; lost > lostAfter && !s.alone {
		s.alone = true
		s.log.Error().Strs("core", addrs(view.Core)).Strs("hears", addrs(s.machine.Status().Hears)).
			Msg("no majority of the core is heard: orders are refused until one is, or the core is rebuilt")
	} else if lost == 0 && s.alone {
		s.alone = false
		s.log.Info().Msg("a majority of the core is heard again")
	}
	if out.Compact {
		return s.compact(ctx)
	}
	return nil
}

func addrs(ids []cairn.Ident) (out []string) {
	for _, id := range ids {
		out = append(out, id.Addr)
	}
	return out
}

func (s *Store) send(m *cairn.Message) {
	if s.counts.Sent++; bulky(m) {
		if !s.bulk(m) {
			s.counts.Unsent++
		}
		return
	}
	s.mu.Lock()
	p := s.peers[m.To.Addr]
	if p == nil {
		p = rpc.NewPeer(m.To.Addr)
		s.peers[m.To.Addr] = p
	}
	s.mu.Unlock()
	if rpc.Tell(p, *m) != nil {
		s.counts.Unsent++
	}
}

// message takes what another machine says. One that finds the loop behind is lost, as on a
// network.
func (s *Store) message(_ context.Context, m cairn.Message) (waymark.AskStatus, error) {
	select {
	case s.events <- event{Event: cairn.Event{Message: &m}}:
	default:
	}
	return waymark.AskStatus{}, nil
}

// put has the loop take an event that is answered.
func (s *Store) put(ctx context.Context, e event) (result, error) {
	return s.putFor(ctx, e, answerMost)
}

func (s *Store) putFor(ctx context.Context, e event, most time.Duration) (result, error) {
	done := make(chan result, 1)
	e.done = done
	select {
	case s.events <- e:
	default:
		return result{}, rpc.Errorf(rpc.Busy, "the store has too much to do")
	}
	late := time.NewTimer(most)
	defer late.Stop()
	select {
	case r := <-done:
		switch r.Outcome {
		case cairn.OK:
			return r, nil
		case cairn.Unavailable:
			return r, rpc.Errorf(rpc.Unavailable, "the chain takes nothing now")
		case cairn.Overtaken:
			return r, rpc.Errorf(rpc.Stale, "the zone was changed meanwhile")
		case cairn.Refused:
			return r, rpc.Errorf(rpc.Conflict, "another order is committed under this number")
		}
		return r, rpc.Errorf(rpc.Unknown, "the chain did not answer in time")
	case <-late.C:
	case <-ctx.Done():
	}
	return result{}, rpc.Errorf(rpc.Unknown, "the chain did not answer in time")
}

func (s *Store) enter(ctx context.Context, q waymark.Enter) (waymark.Entered, error) {
	if len(q.Change.Body) > mostChange {
		return waymark.Entered{}, rpc.Errorf(rpc.Invalid, "a change of %d bytes", len(q.Change.Body))
	}
	id := s.lastID.Add(1)
	_, err := s.put(ctx, event{Event: cairn.Event{Submit: &cairn.Submit{ID: id, Change: q.Change, After: q.After}}, id: id})
	return waymark.Entered{}, err
}

func (s *Store) confirm(ctx context.Context, q waymark.Confirm) (waymark.Confirmed, error) {
	id := s.lastID.Add(1)
	if q.Recall {
		return s.recall(ctx, event{Event: cairn.Event{Ask: &cairn.Ask{ID: id}}, id: id})
	}
	r, err := s.put(ctx, event{Event: cairn.Event{Ask: &cairn.Ask{ID: id}}, id: id})
	if err != nil {
		return waymark.Confirmed{}, err
	}
	c := waymark.Confirmed{View: newerView(r.view, q.View)}
	if r.State != nil {
		c.Last = r.State.Last
		if r.State.Last.Seq > q.Have.Seq {
			c.State = told(r.State)
		}
	}
	return c, nil
}

// told is a state for who asks: the identities of configurations are the head's to judge by.
func told(s *cairn.State) *cairn.State {
	if s == nil {
		return nil
	}
	out := *s
	out.Past = nil
	return &out
}

// forget has the core forget a machine that is gone for good.
func (s *Store) forget(ctx context.Context, q waymark.Forget) (waymark.Forgotten, error) {
	id := s.lastID.Add(1)
	r, err := s.putFor(ctx, event{Event: cairn.Event{Drop: &cairn.Drop{ID: id, Addr: q.Addr}}, id: id}, forgetMost)
	if err != nil {
		return waymark.Forgotten{}, err
	}
	s.log.Info().Str("address", q.Addr).Msg("forgotten by an order")
	return waymark.Forgotten{Core: addrs(r.view.Core)}, nil
}

// rebuild has this machine begin a core of its own, from its copy.
func (s *Store) rebuild(ctx context.Context, q waymark.Rebuild) (waymark.Rebuilt, error) {
	id := s.lastID.Add(1)
	r, err := s.put(ctx, event{Event: cairn.Event{Rebuild: &cairn.Rebuild{ID: id, Last: q.Last}}, id: id})
	if err != nil {
		return waymark.Rebuilt{}, err
	}
	s.log.Warn().Uint64("view", r.view.No).Msg("the core is rebuilt from this copy by an order")
	return waymark.Rebuilt{View: r.view.No}, nil
}

// standing is how the machine stands, in words. On the loop.
func (s *Store) standing() string {
	if s.down() {
		return s.downFor()
	}
	st := s.machine.Status()
	copy, majority := "", ""
	if st.Whole {
		copy = ", whole"
	}
	if st.Lost > 0 {
		majority = fmt.Sprintf(", no majority of the core for %.0f ms", st.Lost)
	}
	return fmt.Sprintf("%s, holds %d.%d%s, committed %d, leases %.0f ms, hears %v%s", st.Role, st.Last.View, st.Last.Seq, copy, st.Committed.Seq,
		st.Leased, addrs(st.Hears), majority)
}

// newerView is a view, if it is newer than the one held.
func newerView(v cairn.View, held uint64) *cairn.View {
	if v.No <= held {
		return nil
	}
	return &v
}

// recall asks the tail, and where that does not answer soon says what this machine knows to be
// committed. After a loss of all power gatekeepers that have just started need not wait for the
// chain to mend: they held nothing, so nothing goes back.
func (s *Store) recall(ctx context.Context, e event) (waymark.Confirmed, error) {
	soon, cancel := context.WithTimeout(ctx, recallAfter)
	r, err := s.put(soon, e)
	cancel()
	if err == nil {
		return waymark.Confirmed{View: newerView(r.view, 0), Last: r.State.Last, State: told(r.State)}, nil
	}
	got := make(chan waymark.Confirmed, 1)
	look := event{look: func() {
		got <- waymark.Confirmed{View: newerView(s.known.view, 0), State: told(s.known.state), Recalled: true}
	}}
	select {
	case s.events <- look:
	case <-ctx.Done():
	}
	select {
	case c := <-got:
		return c, nil
	case <-ctx.Done():
		return waymark.Confirmed{}, rpc.Errorf(rpc.Unknown, "the loop did not answer")
	}
}

func (s *Store) status(ctx context.Context, _ waymark.AskStatus) (waymark.Status, error) {
	got := make(chan waymark.Status, 1)
	select {
	case s.events <- event{look: func() {
		v := s.known.view
		got <- waymark.Status{Lines: []string{
			"station " + s.set.Station,
			fmt.Sprintf("view %d chain %v core %v", v.No, addrs(v.Chain), addrs(v.Core)),
			s.standing(),
			fmt.Sprintf("disk %d bytes", s.size),
		}}
	}}:
	case <-ctx.Done():
	}
	select {
	case st := <-got:
		return st, nil
	case <-ctx.Done():
		return waymark.Status{}, rpc.Errorf(rpc.Unknown, "the loop did not answer")
	}
}
