package service

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"foxwood/gatekeeper"
	"foxwood/internal/config"
	"foxwood/internal/handover"
	"foxwood/internal/link"
	"foxwood/internal/platform"
	"foxwood/internal/settings"
	"foxwood/policy"
)

const (
	// meetMost is how long a new process waits for the offer of the one in service, and
	// goMost for it to stop accepting, before it goes on without.
	meetMost = time.Second
	goMost   = time.Second
	// readyLook is the pace at which a new process looks whether it can serve.
	readyLook = 10 * time.Millisecond
	// earlyMost is how many draws are kept while an offer is under way.
	earlyMost = 4096
)

// predecessor is the process in service that this one takes the place of. Nil stands for
// none.
type predecessor struct {
	peer     *handover.Peer
	offer    *handover.Offer
	listener *link.Listener
}

// meeting is where processes for a configuration meet, empty where they may not.
func meeting(c config.Config) string {
	if os.Getenv("TMPDIR") == "" {
		return ""
	}
	return handover.Path(os.TempDir(), c.Listen)
}

// meet looks for a process in service for the same clients' address.
func meet(c config.Config) *predecessor {
	path := meeting(c)
	if path == "" {
		return nil
	}
	peer, offer, ln, err := handover.Meet(path, meetMost)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case errors.Is(err, syscall.ECONNREFUSED):
		slog.Info("handover: a stale socket, nobody is in service")
		return nil
	case err != nil:
		slog.Warn("handover: none, an ordinary start", "error", err)
		return nil
	}
	slog.Info("handover: offered", "customers", len(offer.State.Listed), "workers", len(offer.List.Instances))
	return &predecessor{peer: peer, offer: offer, listener: link.Inherited(ln)}
}

// state is what the process in service knew, nil where there is none.
func (b *predecessor) state() *gatekeeper.Earlier {
	if b == nil {
		return nil
	}
	return &gatekeeper.Earlier{State: b.offer.State, Exact: true, Still: true}
}

// agree puts the classes of a configuration in the places that they have in the process in
// service, so that what it has learned of them is found again. A file that this one would
// have turned down at SIGHUP is no better at the start of another: it serves on alone.
func (b *predecessor) agree(c config.Config, set *policy.Settings, names *settings.Names) error {
	if b == nil || c.OpenAPI != nil {
		return nil
	}
	if err := settings.Check(*set, *names); err != nil {
		return err
	}
	var inForce []policy.Class
	for _, class := range b.offer.State.Classes[:min(b.offer.State.InForce, len(b.offer.State.Classes))] {
		inForce = append(inForce, class.Class)
	}
	if len(inForce) == len(b.offer.Classes) {
		settings.Place(set, names, inForce, b.offer.Classes)
	}
	return nil
}

// list is the workers it was told of, or else those that the configuration knows.
func (b *predecessor) list(known platform.List) platform.List {
	if b == nil {
		return known
	}
	return b.offer.List
}

// refuse leaves it in service.
func (b *predecessor) refuse() {
	if b != nil {
		b.peer.Close()
	}
}

// serve takes clients, as soon as a process in service has handed them over. What comes
// on the channel is its end: nil where clients are taken.
func (s *service) serve(c config.Config, before *predecessor) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.takeOver(c, before) }()
	return done
}

func (s *service) takeOver(c config.Config, before *predecessor) error {
	if before != nil {
		s.on(func() {
			s.before = before.peer
			s.share()
		})
		e := &events{s: s, first: make(chan struct{})}
		go before.peer.Run(e)
		for ready := false; !ready; { // until then it serves
			s.on(func() { ready = s.core.Ready() })
			select {
			case <-e.first: // it has gone, and nobody serves
				ready = true
			case <-time.After(readyLook):
			}
		}
		before.peer.Ready()
		select {
		case <-e.first:
		case <-time.After(goMost):
			slog.Warn("handover: the process in service does not stop accepting; both do")
		}
	}
	var err error
	s.on(func() {
		if s.ended {
			return
		}
		if before != nil {
			s.listener = before.listener
		} else if s.listener, err = link.Listen(c.Listen); err != nil {
			return
		}
		go s.listener.Accept(s.loop, s.clients.Make)
		s.accepts = true
		s.publish()
		s.await()
	})
	if err != nil {
		return err
	}
	slog.Info("serving", "name", c.Name, "listen", c.Listen, "workers", len(c.Known.Instances), "transport", c.Transport.Carrier,
		"handed_over", before != nil)
	return nil
}

// on does something on the loop and waits for it.
func (s *service) on(do func()) {
	done := make(chan struct{})
	s.loop.Post(func() { do(); close(done) })
	<-done
}

// leave ends what clients and a new process may come by.
func (s *service) leave() {
	s.on(func() {
		s.ended = true
		if s.socket != nil {
			s.socket.Close()
		}
		if s.listener != nil {
			_ = s.listener.Close()
		}
		for _, p := range []*handover.Peer{s.before, s.heir} {
			if p != nil {
				p.Close()
			}
		}
	})
}

// await opens the socket for a process that is to replace this one. Where that can't be,
// this one serves all the same.
func (s *service) await() {
	if s.meeting == "" {
		return
	}
	socket, err := handover.Wait(s.meeting, s.offer)
	if err != nil {
		slog.Warn("handover: this process can't be replaced while it serves", "error", err)
		return
	}
	s.socket = socket
}

// offer hands over what is known to a new process, and serves on.
func (s *service) offer(m *handover.Meeting) {
	var o handover.Offer
	var ln *link.Listener
	early, missed := make(chan policy.Draw, earlyMost), false // drawn before the peer can be told
	s.on(func() {
		if s.heir != nil { // it has not taken over, and will not
			s.heir.Close()
			s.heir = nil
		}
		ln = s.listener
		o = handover.Offer{List: s.hosts.List(), Classes: s.names.Classes, State: s.core.Hand(func(d policy.Draw) {
			s.drew(nil, d)
			select {
			case early <- d:
			default:
				missed = true
			}
		})}
	})
	peer, err := m.Offer(o, ln.TCPListener)
	if err != nil {
		slog.Warn("handover: not offered, serving on", "error", err)
		s.on(s.share)
		return
	}
	s.on(func() {
		if missed { // its books would not hold
			peer.Close()
			s.share()
			return
		}
		for len(early) > 0 {
			peer.Draw(<-early)
		}
		s.heir = peer
		s.share()
	})
	slog.Info("handover: offered to a new process")
	go peer.Run(&events{s: s, first: make(chan struct{})})
}

// drew passes a draw on to the other processes, but for the one that it came from.
func (s *service) drew(from *handover.Peer, d policy.Draw) {
	for _, p := range [...]*handover.Peer{s.before, s.heir} {
		if p != nil && p != from {
			p.Draw(d)
		}
	}
}

// events is what this process does on what its peer says.
type events struct {
	s     *service
	first chan struct{} // closed once a new process is to take clients
	told  bool
}

func (e *events) once() {
	if !e.told {
		e.told = true
		close(e.first)
	}
}

// Ready implements handover.Events: the new process takes the clients.
func (e *events) Ready(p *handover.Peer) {
	s := e.s
	s.on(func() {
		if s.heir != p || s.ended {
			return
		}
		s.leaving = true
		s.listener.Pause()
		if s.socket != nil {
			s.socket.Close()
			s.socket = nil
		}
		s.clients.Drain()
		p.Go()
		s.publish()
		slog.Info("handover: the new process serves, this one ends with its clients")
	})
}

// Go implements handover.Events.
func (e *events) Go(*handover.Peer) { e.once() }

// Drew implements handover.Events.
func (e *events) Drew(p *handover.Peer, d policy.Draw) {
	e.s.on(func() {
		if e.s.before == p || e.s.heir == p {
			e.s.core.Beside(d)
			e.s.drew(p, d)
		}
	})
}

// Lost implements handover.Events.
func (e *events) Lost(p *handover.Peer, err error) {
	s := e.s
	s.on(func() {
		switch {
		case s.ended:
		case p == s.before:
			s.before = nil
			s.share()
			slog.Info("handover: the process before has ended")
		case p == s.heir && s.leaving && s.stopping:
			s.heir = nil
			s.share()
			slog.Error("handover: the new process has ended, and this one was told to", "error", err)
		case p == s.heir && s.leaving: // nobody else accepts
			s.heir, s.leaving = nil, false
			s.share()
			s.clients.Stay()
			s.listener.Resume()
			s.await()
			s.publish()
			slog.Warn("handover: the new process has ended, serving again", "error", err)
		case p == s.heir:
			s.heir = nil
			s.share()
			slog.Warn("handover: the new process has ended before it served", "error", err)
		}
	})
	e.once()
}

// share has this process hold its part of what all that are beside each other hold, and
// tell them what it draws.
func (s *service) share() {
	processes := 1
	for _, p := range [...]*handover.Peer{s.before, s.heir} {
		if p != nil {
			processes++
		}
	}
	s.holds(processes)
	if processes == 1 {
		s.core.Tell(nil)
		return
	}
	s.core.Tell(func(d policy.Draw) { s.drew(nil, d) })
}

func (s *service) holds(processes int) {
	limits := s.inForce.Limits
	*s.loop.Budget = *link.NewBudget(descriptors(limits.Sockets)/processes, s.aside)
	s.loop.Flowing = flowing(limits.MemoryMB / processes)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(memoryGoal(limits.MemoryMB) / int64(processes))
	}
}
