package link

import (
	"cmp"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
)

// ClientLimits replaces the default limits on client connections with configured ones. A field
// that is 0 leaves its default in place, unless its comment says otherwise. Times are in
// milliseconds.
type ClientLimits struct {
	HTTP *http1.Limits // sizes of heads and bodies
	// HeadTimeoutMS bounds the time from the first byte of a request's head to its last.
	HeadTimeoutMS float64
	// IdleTimeoutMS bounds the time between two requests.
	IdleTimeoutMS float64
	// FirstByteTimeoutMS bounds the time from accepting a connection to its first byte; 0
	// means IdleTimeoutMS.
	FirstByteTimeoutMS float64
	// BodyStallTimeoutMS bounds the pause between two pieces of a body; 0 means IdleTimeoutMS.
	// There is no other time limit for a body.
	BodyStallTimeoutMS float64
	// AnnounceKeepAlive adds a Keep-Alive header to responses. It states one second less than
	// the actual idle timeout, so that clients do not send a request on a connection that is
	// being closed.
	AnnounceKeepAlive bool
}

// FinalResponder writes the final responses for requests that no worker answered. Each method
// must respond to its client exactly once, with RespondText, RespondTextAndClose or Respond.
type FinalResponder interface {
	// Throttled responds to a request that has not run and will not run. The client may retry
	// after the given number of milliseconds; 0 means that no time is advised.
	Throttled(l *ClientConn, r *gatekeeper.Request, after float64)
	// Failed responds to a request that may or may not have run. r.LastError is the last
	// failure response from a worker, if there is one.
	Failed(l *ClientConn, r *gatekeeper.Request)
}

func (s *ClientConns) maxRead() float64 {
	if s.Limits != nil {
		return cmp.Or(s.Limits.HeadTimeoutMS, maxReadMS)
	}
	return maxReadMS
}

func (s *ClientConns) maxIdle() float64 {
	if s.Limits != nil {
		return cmp.Or(s.Limits.IdleTimeoutMS, maxIdleMS)
	}
	return maxIdleMS
}

func (s *ClientConns) maxSilent() float64 {
	if s.Limits != nil {
		return cmp.Or(s.Limits.FirstByteTimeoutMS, s.maxIdle())
	}
	return maxSilentMS
}

func (s *ClientConns) maxStall() float64 {
	if s.Limits != nil {
		return cmp.Or(s.Limits.BodyStallTimeoutMS, s.maxIdle())
	}
	return maxStallMS
}

// keepAliveSeconds returns the timeout to announce in the Keep-Alive header, or 0 for no
// header.
func (s *ClientConns) keepAliveSeconds() int64 {
	if s.Limits == nil || !s.Limits.AnnounceKeepAlive {
		return 0
	}
	return max(int64(s.maxIdle()/1000)-1, 1)
}
