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
	"foxwood/internal/dataplane/link"
	"foxwood/internal/gateway/config"
	"foxwood/internal/gateway/handover"
	"foxwood/internal/gateway/platform"
	"foxwood/internal/gateway/settings"
	"foxwood/policy"
)

const (
	// offerTimeout is how long a new process waits for the predecessor's handover offer, and
	// releaseTimeout how long it waits for the predecessor to stop accepting clients. It
	// then starts without.
	offerTimeout   = time.Second
	releaseTimeout = time.Second
	// readyPollInterval is how often a new process checks whether it can serve.
	readyPollInterval = 10 * time.Millisecond
	// maxPendingDraws is how many quota draws are kept while an offer is being sent.
	maxPendingDraws = 4096
)

// predecessor is the running process that this one replaces. Nil means that there is none.
type predecessor struct {
	peer     *handover.Peer
	offer    *handover.Offer
	listener *link.Listener
}

// handoverSocketPath returns the path of the socket at which the processes of a
// configuration hand over, or "" if TMPDIR is unset and handover is therefore disabled.
func handoverSocketPath(cfg config.Config) string {
	if os.Getenv("TMPDIR") == "" {
		return ""
	}
	return handover.SocketPath(os.TempDir(), cfg.Listen)
}

// connectPredecessor connects to a process that serves the same listen address, and receives
// its handover offer. It returns nil if there is none or the handover fails.
func connectPredecessor(cfg config.Config) *predecessor {
	path := handoverSocketPath(cfg)
	if path == "" {
		return nil
	}
	peer, offer, listener, err := handover.Connect(path, offerTimeout)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case errors.Is(err, syscall.ECONNREFUSED):
		slog.Info("handover: stale socket, no process is serving")
		return nil
	case err != nil:
		slog.Warn("handover: failed, starting without it", "error", err)
		return nil
	}
	slog.Info("handover: offered", "customers", len(offer.State.KnownCustomers), "workers", len(offer.Workers.Instances))
	return &predecessor{peer: peer, offer: offer, listener: link.NewListener(listener)}
}

// earlierState returns the policy state of the predecessor, or nil without one.
func (p *predecessor) earlierState() *gatekeeper.PreviousProcess {
	if p == nil {
		return nil
	}
	return &gatekeeper.PreviousProcess{State: p.offer.State, Complete: true, StillRunning: true}
}

// alignClasses gives the classes of a configuration the indexes that they have in the
// predecessor, so that its learned state stays with the right class. A file that the
// predecessor would have rejected at SIGHUP is rejected here too: the predecessor continues to
// serve by itself.
func (p *predecessor) alignClasses(cfg config.Config, policySettings *policy.Settings, names *settings.Names) error {
	if p == nil || cfg.OpenAPI != nil {
		return nil
	}
	if err := settings.Check(*policySettings, *names); err != nil {
		return err
	}
	var activeClasses []policy.Class
	for _, class := range p.offer.State.Classes[:min(p.offer.State.InForce, len(p.offer.State.Classes))] {
		activeClasses = append(activeClasses, class.Class)
	}
	if len(activeClasses) == len(p.offer.ClassNames) {
		settings.KeepClassIndexes(policySettings, names, activeClasses, p.offer.ClassNames)
	}
	return nil
}

// workerList returns the predecessor's list of workers, or without a predecessor the
// configured one.
func (p *predecessor) workerList(configured platform.WorkerList) platform.WorkerList {
	if p == nil {
		return configured
	}
	return p.offer.Workers
}

// close ends the handover; the predecessor continues to serve.
func (p *predecessor) close() {
	if p != nil {
		p.peer.Close()
	}
}

// serve starts to accept clients in the background, after the handover from a predecessor if
// there is one. The channel receives one value: nil once clients are accepted, or the error.
func (s *service) serve(cfg config.Config, predecessor *predecessor) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.acceptClients(cfg, predecessor) }()
	return done
}

// acceptClients waits until this process is ready, has the predecessor stop accepting, and
// starts to accept clients.
func (s *service) acceptClients(cfg config.Config, predecessor *predecessor) error {
	if predecessor != nil {
		s.runOnLoop(func() {
			s.predecessor = predecessor.peer
			s.divideResources()
		})
		events := &peerEvents{service: s, released: make(chan struct{})}
		go predecessor.peer.Run(events)
		for ready := false; !ready; { // the predecessor serves until then
			s.runOnLoop(func() { ready = s.core.Ready() })
			select {
			case <-events.released: // the predecessor is gone, so that no process serves
				ready = true
			case <-time.After(readyPollInterval):
			}
		}
		predecessor.peer.SendReady()
		select {
		case <-events.released:
		case <-time.After(releaseTimeout):
			slog.Warn("handover: the predecessor did not stop accepting in time; both processes accept")
		}
	}
	var err error
	s.runOnLoop(func() {
		if s.closed {
			return
		}
		if predecessor != nil {
			s.listener = predecessor.listener
		} else if s.listener, err = link.Listen(cfg.Listen); err != nil {
			return
		}
		go s.listener.Accept(s.loop, s.clients.NewConn)
		s.accepting = true
		s.publishStats()
		s.listenForSuccessor()
	})
	if err != nil {
		return err
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "workers", len(cfg.KnownWorkers.Instances), "transport", cfg.Transport.Protocol,
		"handed_over", predecessor != nil)
	return nil
}

// runOnLoop runs a function on the event loop and waits until it returns.
func (s *service) runOnLoop(task func()) {
	done := make(chan struct{})
	s.loop.Post(func() { task(); close(done) })
	<-done
}

// closeSockets closes the listeners for clients and for a successor, and the connections to
// the predecessor and the successor.
func (s *service) closeSockets() {
	s.runOnLoop(func() {
		s.closed = true
		if s.handoverSocket != nil {
			s.handoverSocket.Close()
		}
		if s.listener != nil {
			_ = s.listener.Close()
		}
		for _, p := range []*handover.Peer{s.predecessor, s.successor} {
			if p != nil {
				p.Close()
			}
		}
	})
}

// listenForSuccessor opens the handover socket. If that fails, this process serves all the
// same but can't be replaced without interruption.
func (s *service) listenForSuccessor() {
	if s.handoverPath == "" {
		return
	}
	socket, err := handover.Listen(s.handoverPath, s.offerHandover)
	if err != nil {
		slog.Warn("handover: socket not opened, this process can't hand over to another", "error", err)
		return
	}
	s.handoverSocket = socket
}

// offerHandover sends the state and the listener to a new process. This process continues to
// serve until the new one is ready.
func (s *service) offerHandover(connection *handover.Successor) {
	var offer handover.Offer
	var listener *link.Listener
	pendingDraws, overflowed := make(chan policy.PeerDraw, maxPendingDraws), false // drawn before the offer was sent
	s.runOnLoop(func() {
		if s.successor != nil { // it has not taken over yet, and the new one replaces it
			s.successor.Close()
			s.successor = nil
		}
		listener = s.listener
		offer = handover.Offer{Workers: s.hosts.CurrentList(), ClassNames: s.names.Classes, State: s.core.StartHandover(func(d policy.PeerDraw) {
			s.forwardDraw(nil, d)
			select {
			case pendingDraws <- d:
			default:
				overflowed = true
			}
		})}
	})
	peer, err := connection.SendOffer(offer, listener.TCPListener)
	if err != nil {
		slog.Warn("handover: offer failed, continuing to serve", "error", err)
		s.runOnLoop(s.divideResources)
		return
	}
	s.runOnLoop(func() {
		if overflowed { // the new process would not know all quota draws
			peer.Close()
			s.divideResources()
			return
		}
		for len(pendingDraws) > 0 {
			peer.SendDraw(<-pendingDraws)
		}
		s.successor = peer
		s.divideResources()
	})
	slog.Info("handover: offered to a new process")
	go peer.Run(&peerEvents{service: s, released: make(chan struct{})})
}

// forwardDraw sends a quota draw to the predecessor and the successor, except to the one that
// it came from.
func (s *service) forwardDraw(origin *handover.Peer, d policy.PeerDraw) {
	for _, p := range [...]*handover.Peer{s.predecessor, s.successor} {
		if p != nil && p != origin {
			p.SendDraw(d)
		}
	}
}

// peerEvents handles the messages of a predecessor or successor. It implements
// handover.EventHandler.
type peerEvents struct {
	service  *service
	released chan struct{} // closed once the predecessor has stopped accepting or is gone
	closed   bool          // whether the channel released is closed
}

// release closes the channel released, if it is still open.
func (e *peerEvents) release() {
	if !e.closed {
		e.closed = true
		close(e.released)
	}
}

// PeerReady implements handover.EventHandler: the successor can serve, so this process stops accepting
// and drains.
func (e *peerEvents) PeerReady(p *handover.Peer) {
	s := e.service
	s.runOnLoop(func() {
		if s.successor != p || s.closed {
			return
		}
		s.handedOver = true
		s.listener.Pause()
		if s.handoverSocket != nil {
			s.handoverSocket.Close()
			s.handoverSocket = nil
		}
		s.clients.Drain()
		p.SendReleased()
		s.publishStats()
		slog.Info("handover: the successor serves, this process only finishes its open client connections")
	})
}

// PeerReleased implements handover.EventHandler: the predecessor has stopped accepting.
func (e *peerEvents) PeerReleased(*handover.Peer) { e.release() }

// PeerDrew implements handover.EventHandler: it applies a quota draw of the other process.
func (e *peerEvents) PeerDrew(p *handover.Peer, d policy.PeerDraw) {
	e.service.runOnLoop(func() {
		if e.service.predecessor == p || e.service.successor == p {
			e.service.core.RecordPeerDraw(d)
			e.service.forwardDraw(p, d)
		}
	})
}

// PeerLost implements handover.EventHandler: the connection to the other process has ended. If that was
// the successor and it had taken over, this process accepts clients again, unless it has been
// told to stop.
func (e *peerEvents) PeerLost(p *handover.Peer, err error) {
	s := e.service
	s.runOnLoop(func() {
		switch {
		case s.closed:
		case p == s.predecessor:
			s.predecessor = nil
			s.divideResources()
			slog.Info("handover: the predecessor has ended")
		case p == s.successor && s.handedOver && s.stopping:
			s.successor = nil
			s.divideResources()
			slog.Error("handover: the successor has ended, and this process is stopping: no process accepts clients", "error", err)
		case p == s.successor && s.handedOver: // no other process accepts
			s.successor, s.handedOver = nil, false
			s.divideResources()
			s.clients.CancelDrain()
			s.listener.Resume()
			s.listenForSuccessor()
			s.publishStats()
			slog.Warn("handover: the successor has ended, accepting clients again", "error", err)
		case p == s.successor:
			s.successor = nil
			s.divideResources()
			slog.Warn("handover: the successor has ended before it served", "error", err)
		}
	})
	e.release()
}

// divideResources limits this process to its share of descriptors and memory while other
// processes run beside it, and reports its quota draws to them.
func (s *service) divideResources() {
	processes := 1
	for _, p := range [...]*handover.Peer{s.predecessor, s.successor} {
		if p != nil {
			processes++
		}
	}
	s.applyResourceShare(processes)
	if processes == 1 {
		s.core.ReportDraws(nil)
		return
	}
	s.core.ReportDraws(func(d policy.PeerDraw) { s.forwardDraw(nil, d) })
}

// applyResourceShare sets the limits of this process to an equal share among a number of
// processes.
func (s *service) applyResourceShare(processes int) {
	limits := s.activeConfig.Limits
	*s.loop.Budget = *link.NewBudget(descriptorLimit(limits.Sockets)/processes, s.reservedDescriptors)
	s.loop.StreamBufferBytes = inFlightBytes(limits.MemoryMB / processes)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(runtimeMemoryLimit(limits.MemoryMB) / int64(processes))
	}
}
