// Package configstore runs one machine of the configuration store: it connects the replication state
// machine of package chain with the disk and the network. A single loop owns the state machine.
// What a step must persist is synced before any message or answer of that step is released; steps
// that arrive together share one sync. If the disk fails or hangs (see disk.go), the process keeps
// running: it sends nothing to other machines and answers every caller.
package configstore

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/configstore/chain"
	"foxwood/internal/configstore/recordlog"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

const (
	innerDockIndex        = 1                     // index of the store's port in the settings' list of inner ports
	tickInterval          = 40 * time.Millisecond // interval between clock ticks of the state machine
	maxBatch              = 64                    // maximum number of events in a batch that shares a sync
	maxQueue              = 1024                  // maximum number of queued events
	answerTimeout         = time.Second           // longer than the state machine takes to answer or to give up
	removalTimeout        = 5 * time.Second       // time limit of an order to remove a machine
	leaveShareOfGrace     = 0.35                  // share of the setting graceS for which an ending process waits for others to take over
	statisticsInterval    = 10 * time.Second      // interval between log lines with statistics
	majorityLostLogMillis = 3000.0                // milliseconds without a majority of the core after which this is logged
	maxChangeBytes        = 24 << 20              // maximum size of a change in bytes
	recallDelay           = 60 * time.Millisecond // wait for the tail before a recall is answered from local knowledge
)

// Store is one machine of the configuration store.
type Store struct {
	settings  *bootconfig.Settings
	log       zerolog.Logger
	startedAt time.Time
	machine   *chain.Machine // nil while the disk is lost
	events    chan event
	lastID    atomic.Uint64
	seeds     chan []string

	mu    sync.Mutex
	peers map[string]*rpc.Peer
	lanes map[string]*lane

	receiverMu     sync.Mutex // not taken by the loop, because unpacking a body takes long
	receiver       receiver
	committedState atomic.Pointer[chain.State] // the committed state; other machines need not send its bodies

	// Fields owned by the loop.
	pending            map[uint64]event
	inspections        []func()
	loggedView         uint64
	majorityLostLogged bool     // it was logged that no majority of the core is heard
	seedAddrs          []string // addresses of the other core machines
	counts             counts
	diskState
}

// counts are numbers of events since the start of the process.
type counts struct {
	Steps, Syncs, Records, Sent, Unsent, Submits, Asks, Unavailable, Unknown, Compacted, Uncompacted, Lost, Stalls uint64
}

// event is an input of the loop: an event of the state machine or a function to call.
type event struct {
	chain.Event
	id      uint64
	done    chan<- result
	inspect func() // called on the loop in place of an event
}

// result is the state machine's answer together with the view at that time.
type result struct {
	chain.Result
	view chain.View
}

// New opens the disk and continues from what it holds. If the disk has a fault that may pass, the
// store starts without it and tries again.
func New(settings *bootconfig.Settings, log zerolog.Logger) (*Store, error) {
	return newOn(func(dir string) (journal, [][]byte, error) { return recordlog.Open(dir) }, settings, log)
}

// newOn is New with a given way to open the journal.
func newOn(open opener, settings *bootconfig.Settings, log zerolog.Logger) (*Store, error) {
	if settings.DataDir == "" {
		return nil, fmt.Errorf("archiveDir: expected the path of a directory for the store's journal, got none")
	}
	s := &Store{settings: settings, log: log, startedAt: time.Now(), events: make(chan event, maxQueue), seeds: make(chan []string, 1),
		peers: map[string]*rpc.Peer{}, lanes: map[string]*lane{}, pending: map[uint64]event{}, seedAddrs: settings.SeedAddresses(innerDockIndex),
		diskState: diskState{open: open, stallTimeout: defaultStallTimeout, recoverInterval: defaultRecoverInterval}}
	var stored []chain.Record
	var err error
	if s.journal, stored, err = s.readJournal(false); err == nil {
		s.startMachine(stored)
		return s, nil
	}
	if err = fmt.Errorf("disk: %w", err); !isTransient(err) {
		return nil, err
	}
	s.loseDisk(err)
	return s, nil
}

// now returns the milliseconds since the start on a monotonic clock.
func (s *Store) now() float64 { return float64(time.Since(s.startedAt)) / 1e6 }

// Reload applies a settings file that has changed. Only the addresses of other machines are used.
func (s *Store) Reload(settings *bootconfig.Settings) {
	select {
	case s.seeds <- settings.SeedAddresses(innerDockIndex):
	default:
	}
}

// Serve takes part in the store until the context ends. It returns an error for a fault that needs
// an operator.
func (s *Store) Serve(ctx context.Context) error {
	listener, err := rpc.Listen(s.settings.InnerAddress(innerDockIndex))
	if err != nil {
		return err
	}
	server := rpc.NewServer()
	rpc.Handle(server, s.handleMessage)
	rpc.Handle(server, s.handleParcel)
	rpc.Handle(server, s.handleChunk)
	rpc.Handle(server, s.handleEnter)
	rpc.Handle(server, s.handleConfirm)
	rpc.Handle(server, s.handleStatus)
	rpc.Handle(server, s.handleForget)
	rpc.Handle(server, s.handleRebuild)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	return s.run(ctx)
}

// run is the loop that owns the state machine.
func (s *Store) run(ctx context.Context) error {
	tick, statistics := time.NewTicker(tickInterval), time.NewTicker(statisticsInterval)
	defer tick.Stop()
	defer statistics.Stop()
	shutdown := ctx.Done()
	var graceEnded <-chan time.Time
	for {
		var out chain.Output
		select {
		case <-shutdown:
			if s.lost != nil {
				return s.close() // without a disk the machine is not in the chain, so it need not hand over
			}
			shutdown, graceEnded = nil, time.After(time.Duration(s.settings.Bounds.GraceS*leaveShareOfGrace*float64(time.Second)))
			s.step(event{Event: chain.Event{Leave: true}}, &out)
		case <-graceEnded:
			s.log.Warn().Msg("shutting down before the other machines could take over")
			return s.close()
		case <-statistics.C:
			s.log.Info().Interface("counts", s.counts).Interface("sent", rpc.SentCounts()).Int64("diskBytes", s.size).Str("status", s.describe()).
				Msg("figures")
			continue
		case s.seedAddrs = <-s.seeds:
			if s.machine != nil {
				s.machine.SetSeeds(s.seedAddrs)
			}
			continue
		case <-tick.C:
			if s.lost != nil {
				if err := s.recoverDisk(ctx); err != nil {
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
			for n := 1; n < maxBatch && len(s.events) > 0; n++ {
				s.step(<-s.events, &out)
			}
		}
		if err := s.releaseOutput(ctx, &out); err != nil && ctx.Err() == nil {
			s.loseDisk(err)
		} else if err != nil {
			return nil // the pending disk call may hang forever, so it is not waited for
		}
		if graceEnded != nil && s.machine != nil && s.machine.MayEnd() {
			return s.close()
		}
	}
}

// step passes an event to the state machine and collects its output.
func (s *Store) step(e event, all *chain.Output) {
	if e.inspect != nil { // called after the sync, so that it sees only synced state
		s.inspections = append(s.inspections, e.inspect)
		return
	}
	s.counts.Steps++
	switch {
	case e.Submit != nil:
		s.counts.Submits++
	case e.Read != nil:
		s.counts.Asks++
	}
	if e.done != nil {
		s.pending[e.id] = e
	}
	out := s.machine.Step(s.now(), e.Event)
	all.Persist = append(all.Persist, out.Persist...)
	all.Send = append(all.Send, out.Send...)
	all.Results = append(all.Results, out.Results...)
	all.Compact = all.Compact || out.Compact
}

// releaseOutput syncs the output's records and then sends its messages and answers. If the disk fails,
// nothing of the output is released.
func (s *Store) releaseOutput(ctx context.Context, out *chain.Output) error {
	if len(out.Persist) > 0 {
		batch, err := encode(out.Persist)
		if err == nil {
			err = s.runOnDisk(ctx, func() error { return s.journal.Append(batch) })
		}
		if err != nil {
			return fmt.Errorf("disk: %w", err)
		}
		s.hadRecords = true
		s.counts.Syncs++
		s.counts.Records += uint64(len(batch))
	}
	s.noteSynced()
	for _, inspect := range s.inspections {
		inspect()
	}
	s.inspections = s.inspections[:0]
	for i := range out.Send {
		s.send(&out.Send[i])
	}
	view := s.machine.View()
	for _, answer := range out.Results {
		switch answer.Outcome {
		case chain.Unavailable:
			s.counts.Unavailable++
		case chain.Unknown:
			s.counts.Unknown++
		}
		if waiter, ok := s.pending[answer.ID]; ok {
			delete(s.pending, answer.ID)
			waiter.done <- result{answer, view}
		}
	}
	if view.Number != s.loggedView {
		s.loggedView = view.Number
		s.log.Info().Uint64("view", view.Number).Strs("chain", addrs(view.Chain)).Strs("core", addrs(view.Core)).Msg("view changed")
	}
	if lost := s.machine.Status().MajorityLostMillis; lost > majorityLostLogMillis && !s.majorityLostLogged {
		s.majorityLostLogged = true
		s.log.Error().Strs("core", addrs(view.Core)).Strs("hears", addrs(s.machine.Status().Reachable)).
			Msg("no majority of the core is reachable; orders are refused until one is, or until the core is rebuilt")
	} else if lost == 0 && s.majorityLostLogged {
		s.majorityLostLogged = false
		s.log.Info().Msg("a majority of the core is reachable again")
	}
	if out.Compact {
		return s.compact(ctx)
	}
	return nil
}

// addrs returns the addresses of machines.
func addrs(ids []chain.MachineID) (out []string) {
	for _, id := range ids {
		out = append(out, id.Addr)
	}
	return out
}

// send sends a message to another machine without waiting for it.
func (s *Store) send(message *chain.Message) {
	if s.counts.Sent++; isBulky(message) {
		if !s.sendBulk(message) {
			s.counts.Unsent++
		}
		return
	}
	s.mu.Lock()
	peer := s.peers[message.To.Addr]
	if peer == nil {
		peer = rpc.NewPeer(message.To.Addr)
		s.peers[message.To.Addr] = peer
	}
	s.mu.Unlock()
	if rpc.Notify(peer, *message) != nil {
		s.counts.Unsent++
	}
}

// handleMessage receives a message of another machine. If the loop's queue is full, the message is
// lost, as it could be on the network.
func (s *Store) handleMessage(_ context.Context, message chain.Message) (api.StatusRequest, error) {
	select {
	case s.events <- event{Event: chain.Event{Message: &message}}:
	default:
	}
	return api.StatusRequest{}, nil
}

// request passes an event to the loop and waits for its answer.
func (s *Store) request(ctx context.Context, e event) (result, error) {
	return s.requestWithin(ctx, e, answerTimeout)
}

// requestWithin is request with a time limit.
func (s *Store) requestWithin(ctx context.Context, e event, limit time.Duration) (result, error) {
	done := make(chan result, 1)
	e.done = done
	select {
	case s.events <- e:
	default:
		return result{}, rpc.Errorf(rpc.Busy, "the store has too much to do")
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case answer := <-done:
		switch answer.Outcome {
		case chain.OK:
			return answer, nil
		case chain.Unavailable:
			return answer, rpc.Errorf(rpc.Unavailable, "the chain takes nothing now")
		case chain.Superseded:
			return answer, rpc.Errorf(rpc.Stale, "the zone was changed meanwhile")
		case chain.Refused:
			return answer, rpc.Errorf(rpc.Conflict, "another order is committed under this number")
		}
		return answer, rpc.Errorf(rpc.Unknown, "the chain did not answer in time")
	case <-timer.C:
	case <-ctx.Done():
	}
	return result{}, rpc.Errorf(rpc.Unknown, "the chain did not answer in time")
}

// handleEnter handles a call to submit a change.
func (s *Store) handleEnter(ctx context.Context, request api.CommitRequest) (api.CommitResponse, error) {
	if len(request.Change.Body) > maxChangeBytes {
		return api.CommitResponse{}, rpc.Errorf(rpc.Invalid, "a change of %d bytes", len(request.Change.Body))
	}
	id := s.lastID.Add(1)
	_, err := s.request(ctx, event{Event: chain.Event{Submit: &chain.Submit{ID: id, Change: request.Change, KnownPosition: request.LastKnown}}, id: id})
	return api.CommitResponse{}, err
}

// handleConfirm handles a call to read the current state.
func (s *Store) handleConfirm(ctx context.Context, request api.CommittedStateRequest) (api.CommittedStateResponse, error) {
	id := s.lastID.Add(1)
	if request.AllowStale {
		return s.recallCommitted(ctx, event{Event: chain.Event{Read: &chain.Read{ID: id}}, id: id})
	}
	answer, err := s.request(ctx, event{Event: chain.Event{Read: &chain.Read{ID: id}}, id: id})
	if err != nil {
		return api.CommittedStateResponse{}, err
	}
	confirmed := api.CommittedStateResponse{View: newerView(answer.view, request.HeldView)}
	if answer.State != nil {
		confirmed.Last = answer.State.Last
		if answer.State.Last.Seq > request.LastKnown.Seq {
			confirmed.State = withoutIdentities(answer.State)
		}
	}
	return confirmed, nil
}

// withoutIdentities returns a state as it is sent to callers: without the identities of
// configurations, which only the head needs.
func withoutIdentities(state *chain.State) *chain.State {
	if state == nil {
		return nil
	}
	out := *state
	out.Identities = nil
	return &out
}

// handleForget handles an operator's order to remove a machine that is gone for good from the core.
func (s *Store) handleForget(ctx context.Context, request api.RemoveNodeRequest) (api.RemoveNodeResponse, error) {
	id := s.lastID.Add(1)
	answer, err := s.requestWithin(ctx, event{Event: chain.Event{Remove: &chain.Remove{ID: id, Addr: request.Addr}}, id: id}, removalTimeout)
	if err != nil {
		return api.RemoveNodeResponse{}, err
	}
	s.log.Info().Str("address", request.Addr).Msg("machine removed from the core by an operator's order")
	return api.RemoveNodeResponse{Members: addrs(answer.view.Core)}, nil
}

// handleRebuild handles an operator's order to start a new core from this machine's copy.
func (s *Store) handleRebuild(ctx context.Context, request api.RebuildRequest) (api.RebuildResponse, error) {
	id := s.lastID.Add(1)
	answer, err := s.request(ctx, event{Event: chain.Event{Rebuild: &chain.Rebuild{ID: id, Last: request.LastEntry}}, id: id})
	if err != nil {
		return api.RebuildResponse{}, err
	}
	s.log.Warn().Uint64("view", answer.view.Number).Msg("core rebuilt from this machine's copy by an operator's order")
	return api.RebuildResponse{View: answer.view.Number}, nil
}

// describe describes the machine's condition in words. It must be called on the loop.
func (s *Store) describe() string {
	if s.diskDown() {
		return s.describeDisk()
	}
	status := s.machine.Status()
	completeness, majority := "", ""
	if status.Complete {
		completeness = ", whole"
	}
	if status.MajorityLostMillis > 0 {
		majority = fmt.Sprintf(", no majority of the core for %.0f ms", status.MajorityLostMillis)
	}
	return fmt.Sprintf("%s, holds %d.%d%s, committed %d, leases %.0f ms, hears %v%s", status.Role, status.Last.View, status.Last.Seq, completeness, status.Committed.Seq,
		status.LeaseMillis, addrs(status.Reachable), majority)
}

// newerView returns a view if it is newer than the caller's.
func newerView(view chain.View, knownNumber uint64) *chain.View {
	if view.Number <= knownNumber {
		return nil
	}
	return &view
}

// recallCommitted asks the tail, and if there is no quick answer returns what this machine knows to be
// committed. After a power loss of the whole site, gatekeepers that have just started need not wait
// for the chain to recover: they held nothing before, so an older state does not take them back.
func (s *Store) recallCommitted(ctx context.Context, e event) (api.CommittedStateResponse, error) {
	tailCtx, cancel := context.WithTimeout(ctx, recallDelay)
	answer, err := s.request(tailCtx, e)
	cancel()
	if err == nil {
		return api.CommittedStateResponse{View: newerView(answer.view, 0), Last: answer.State.Last, State: withoutIdentities(answer.State)}, nil
	}
	answers := make(chan api.CommittedStateResponse, 1)
	inspection := event{inspect: func() {
		answers <- api.CommittedStateResponse{View: newerView(s.known.view, 0), State: withoutIdentities(s.known.state), Stale: true}
	}}
	select {
	case s.events <- inspection:
	case <-ctx.Done():
	}
	select {
	case confirmed := <-answers:
		return confirmed, nil
	case <-ctx.Done():
		return api.CommittedStateResponse{}, rpc.Errorf(rpc.Unknown, "the loop did not answer")
	}
}

// handleStatus handles a call for a description of the machine's condition.
func (s *Store) handleStatus(ctx context.Context, _ api.StatusRequest) (api.StatusResponse, error) {
	answers := make(chan api.StatusResponse, 1)
	select {
	case s.events <- event{inspect: func() {
		view := s.known.view
		answers <- api.StatusResponse{Lines: []string{
			"station " + s.settings.Node,
			fmt.Sprintf("view %d chain %v core %v", view.Number, addrs(view.Chain), addrs(view.Core)),
			s.describe(),
			fmt.Sprintf("disk %d bytes", s.size),
		}}
	}}:
	case <-ctx.Done():
	}
	select {
	case status := <-answers:
		return status, nil
	case <-ctx.Done():
		return api.StatusResponse{}, rpc.Errorf(rpc.Unknown, "the loop did not answer")
	}
}
