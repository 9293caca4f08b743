package replay

import (
	"fmt"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/policy"
)

// Call is a call of policy.Host by the decision module. Fields that its kind does not use
// are zero.
type Call struct {
	Kind      capturepb.Kind
	RequestID uint32 // the request
	Server    policy.Server
	Attempt   int
	Token     uint64
	Duration  policy.Micros // the call's duration: a timeout, a delay or a time to live
	Name      uint64        // the counter
	Amount    float64
}

// decodeCall converts a record of a call by the module.
func (p *player) decodeCall(r *capturepb.Record) Call {
	c := Call{Kind: r.GetKind(), RequestID: r.GetId(), Server: policy.Server(r.GetServer()), Attempt: int(r.GetAttempt()),
		Token: r.GetToken(), Duration: r.GetSpan(), Amount: r.GetAmount()}
	if c.Kind == capturepb.Kind_COUNT {
		c.Name = p.decoder.CounterName(r)
	}
	return c
}

// String formats the call for the decision log.
func (c Call) String() string {
	ms := float64(c.Duration) / 1000
	switch c.Kind {
	case capturepb.Kind_SEND:
		return fmt.Sprintf("send request=%d worker=%016x timeout_ms=%.3f", c.RequestID, uint64(c.Server), ms)
	case capturepb.Kind_REFUSE:
		return fmt.Sprintf("refuse request=%d retry_after_ms=%.3f", c.RequestID, ms)
	case capturepb.Kind_FAIL:
		return fmt.Sprintf("fail request=%d", c.RequestID)
	case capturepb.Kind_CANCEL:
		return fmt.Sprintf("cancel request=%d attempt=%d", c.RequestID, c.Attempt)
	case capturepb.Kind_TIMER:
		return fmt.Sprintf("timer token=%x after_ms=%.3f", c.Token, ms)
	case capturepb.Kind_COUNT:
		return fmt.Sprintf("count name=%016x amount=%v life_ms=%.3f", c.Name, c.Amount, ms)
	}
	return fmt.Sprintf("call of kind %d", c.Kind)
}

// statusNames are the names of the values of policy.Status.
var statusNames = [...]string{"failed", "ok", "full", "timeout", "connect-failed", "reset", "cancelled", "moot"}

// statusName returns the name of a policy.Status, or its number if it is unknown.
func statusName(n int32) string {
	if n < 0 || int(n) >= len(statusNames) {
		return fmt.Sprint(n)
	}
	return statusNames[n]
}

// Describe formats a record for the decision log.
func Describe(r *capturepb.Record, d *capture.Decoder) string {
	if r.GetKind() < capturepb.Kind_SEND {
		return describe(r, d)
	}
	p := player{decoder: d}
	return "  " + p.decodeCall(r).String()
}

// describe formats the record of a call of the module.
func describe(r *capturepb.Record, d *capture.Decoder) string {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	switch r.GetKind() {
	case capturepb.Kind_BEGAN:
		return fmt.Sprintf("began seed=%x", r.GetSeed())
	case capturepb.Kind_REQUESTED:
		q := d.Request(r)
		return fmt.Sprintf("requested request=%d class=%d plan=%d customer=%016x left_ms=%.3f units=%v spread=%d again=%v filling=%v",
			q.ID, q.Class, q.Plan, q.Customer, ms(q.TimeLeft), q.Units, q.GatewayCount, q.IsRetry, q.BodyPending)
	case capturepb.Kind_GONE:
		return fmt.Sprintf("gone request=%d", r.GetId())
	case capturepb.Kind_ENDED:
		return fmt.Sprintf("ended request=%d attempt=%d worker=%016x status=%s latency_ms=%.3f terminal=%v settled=%v load=%v",
			r.GetId(), r.GetAttempt(), r.GetServer(), statusName(r.GetStatus()), ms(r.GetLatency()), r.GetTerminal(), r.GetSettled(), r.GetLoad())
	case capturepb.Kind_COUNTED:
		return fmt.Sprintf("counted name=%016x status=%s total=%v delay_ms=%.3f", d.CounterName(r), statusName(r.GetStatus()), r.GetAmount(), ms(r.GetSpan()))
	case capturepb.Kind_LISTED:
		return fmt.Sprintf("listed kind=%d entries=%d", r.GetList(), len(r.GetEntries()))
	case capturepb.Kind_CLASSES:
		return "classes"
	case capturepb.Kind_RECOVERED:
		return fmt.Sprintf("recovered exact=%v", r.GetAgain())
	case capturepb.Kind_FILLED:
		return fmt.Sprintf("filled request=%d", r.GetId())
	case capturepb.Kind_PROGRESSED:
		return fmt.Sprintf("progressed worker=%016x", r.GetServer())
	case capturepb.Kind_JOINED:
		return fmt.Sprintf("joined born=%d", r.GetAt())
	case capturepb.Kind_BESIDE:
		b := d.PeerDraw(r)
		return fmt.Sprintf("beside plan=%d customer=%016x units=%v spread=%d settles=%v worker=%016x", b.Plan, b.Customer, b.Units, b.GatewayCount, b.Settlement, uint64(b.Server))
	case capturepb.Kind_RANG:
		return fmt.Sprintf("rang token=%x", r.GetToken())
	case capturepb.Kind_NAMED:
		return fmt.Sprintf("named request=%d %q", r.GetId(), r.GetText())
	case capturepb.Kind_CHECKPOINT:
		return "checkpoint"
	}
	return fmt.Sprintf("kind %d", r.GetKind())
}
