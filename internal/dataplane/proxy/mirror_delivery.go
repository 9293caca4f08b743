package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"foxwood/internal/dataplane/mirror"
)

// Limits of deliveries to mirror targets.
const (
	maxDeliveries  = 8       // to mirror targets at the same time
	maxAnswerBytes = 1 << 20 // bytes of a target's answer that are read and discarded
	dialTimeout    = 500 * time.Millisecond
)

// targetConn is a connection to a mirror target. It is used for one request only.
type targetConn struct {
	net.Conn
	addr string
}

// ShadowAddress implements mirror.TargetConnection.
func (d targetConn) ShadowAddress() string { return d.addr }

// deliver starts the deliveries that are due. The lock is held.
func (s *requestMirror) deliver(ctx context.Context) {
	for s.deliveries < maxDeliveries && s.cpuBudget > 0 {
		delivery, ok := s.engine.NextDelivery(s.now())
		if !ok {
			return
		}
		s.deliveries++
		go func() {
			answered := s.send(ctx, delivery)
			s.withEngine(func() {
				s.deliveries--
				s.engine.ReportDelivery(s.now(), delivery.ID, answered)
			})
			s.wake()
		}()
	}
}

// send sends a mirrored request once and discards the answer. It sends nothing to an address that has become the
// address of a live process meanwhile.
func (s *requestMirror) send(ctx context.Context, delivery *mirror.Delivery) (answered bool) {
	if live := s.liveAddresses.Load(); live == nil || (*live)[delivery.Address] {
		s.counts.refused.Add(1)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(delivery.TimeoutMs*float64(time.Millisecond)))
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", delivery.Address)
	if err != nil {
		s.counts.hung.Add(1)
		return false
	}
	defer conn.Close()
	if until, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(until)
	}
	if delivery.Send(targetConn{conn, delivery.Address}) != nil {
		s.counts.hung.Add(1)
		return false
	}
	s.counts.sent.Add(1)
	limited := &io.LimitedReader{R: conn, N: maxAnswerBytes}
	response, err := http.ReadResponse(bufio.NewReader(limited), nil)
	if err != nil {
		s.counts.hung.Add(1)
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil && limited.N > 0 { // the answer was broken off, and not just longer than what is read of it
		s.counts.hung.Add(1)
		return false
	}
	return true
}
