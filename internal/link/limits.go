package link

import (
	"cmp"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
)

// ClientLimits is what an operator allows client links, in the place of the constants. A
// field that is 0 stands for its constant, if nothing else is said. Times are in
// milliseconds.
type ClientLimits struct {
	HTTP *http1.Limits // bytes of a head and a body
	// ReadMost is for a head to come in, from its first byte.
	ReadMost float64
	// RestMost is between two requests.
	RestMost float64
	// SilentMost is from the opening of a link to its first byte; 0 for RestMost.
	SilentMost float64
	// StallMost is between two pieces of a body; 0 for RestMost. A body has no other bound
	// in time.
	StallMost float64
	// KeepAlive has answers tell how long a link may rest. It is a second less than it
	// truly may, so that no client asks on a link that is being closed.
	KeepAlive bool
}

// Verdict words the final answers that no worker gave. Each call must answer its link
// once, with Reply, Reject or Answer.
type Verdict interface {
	// Throttled refuses: nothing has run or will. The client may come again after so many
	// milliseconds, 0 where none are advised.
	Throttled(l *Client, r *gatekeeper.Request, after float64)
	// Failed promises nothing. r.Last is the last failure that a worker answered, if any.
	Failed(l *Client, r *gatekeeper.Request)
}

func (s *Clients) maxRead() float64 {
	if s.Limits != nil {
		return cmp.Or(s.Limits.ReadMost, maxReadMS)
	}
	return maxReadMS
}

func (s *Clients) maxIdle() float64 {
	if s.Limits != nil {
		return cmp.Or(s.Limits.RestMost, maxIdleMS)
	}
	return maxIdleMS
}

func (s *Clients) maxSilent() float64 {
	if s.Limits != nil {
		return cmp.Or(s.Limits.SilentMost, s.maxIdle())
	}
	return maxSilentMS
}

func (s *Clients) maxStall() float64 {
	if s.Limits != nil {
		return cmp.Or(s.Limits.StallMost, s.maxIdle())
	}
	return maxStallMS
}

// keepAlive is what answers tell of the time that a link may rest, in seconds; 0 for
// nothing.
func (s *Clients) keepAliveSeconds() int64 {
	if s.Limits == nil || !s.Limits.KeepAlive {
		return 0
	}
	return max(int64(s.maxIdle()/1000)-1, 1)
}
