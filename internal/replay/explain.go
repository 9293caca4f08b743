package replay

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/gatekeeper"
	"foxwood/policy"
)

// viewer is a module that can return the state that its decisions on a customer depend on.
// policy.Gateway implements it.
type viewer interface {
	View(now policy.Micros, customer uint64, plan int) policy.View
}

// explainer follows one request through a capture.
type explainer struct {
	out     io.Writer
	decoder *capture.Decoder
	name    string         // the front end's name for the request, or its number as text
	number  uint32         // the request's number, 0 as long as it is not known
	found   bool           // the request has arrived
	done    bool           // the request is answered, or its client has disconnected
	request policy.Request // the request, once found
	arrived policy.Micros  // time of the request's arrival
	view    policy.View    // the module's state before the current call
	kind    capturepb.Kind // kind of the current call
	status  string         // status of the outcome or counter result in the last such call
	total   float64        // total of the last counter result
}

// ErrNoRequest reports that a capture does not contain a request.
var ErrNoRequest = errors.New("the capture holds no such request")

// Explain prints what became of a request and why, based on the module's state before each
// call in which it decided on the request. id is the front end's name for the request (on
// the platform its X-Trace-Id) or its number in the decision log.
func Explain(to io.Writer, from Source, key *capture.Key, id string) error {
	e := &explainer{out: to, decoder: capture.NewDecoder(key), name: id, number: RequestNumber(id)}
	report, err := Run(from, key, Options{OnRequestNamed: e.named, BeforeCall: e.watch, OnDecision: e.decided, Stop: func() bool { return e.done }})
	if err != nil {
		return err
	}
	if !e.found {
		return fmt.Errorf("%q: %w", id, ErrNoRequest)
	}
	if len(report.Differences) > 0 {
		fmt.Fprintln(to, "This build decides otherwise than the one that was recorded: see foxwood replay.")
	}
	if !e.done {
		fmt.Fprintln(to, "The capture ends before it was answered.")
	}
	return nil
}

// RequestNumber parses a request's number in the decision log. It returns 0 if the text is not a
// decimal number of 32 bits without leading zeros, and is therefore taken as a name.
func RequestNumber(text string) uint32 {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || strconv.FormatUint(n, 10) != text {
		return 0
	}
	return uint32(n)
}

// named gets the front end's name for a request.
func (e *explainer) named(id uint32, name string) {
	if name == e.name && !e.found {
		e.number = id
	}
}

// watch is called before each call of the module. It prints the events of the request.
func (e *explainer) watch(m gatekeeper.Module, r *capturepb.Record, at policy.Micros) {
	e.kind = r.GetKind()
	switch e.kind {
	case capturepb.Kind_ENDED:
		e.status = statusName(r.GetStatus())
		if e.found && r.GetId() == e.number {
			fmt.Fprintf(e.out, "%s attempt %d on worker %016x ended: %s after %.1f ms\n", e.since(at), r.GetAttempt(), r.GetServer(),
				e.status, float64(r.GetLatency())/1000)
			e.done = r.GetTerminal()
		}
	case capturepb.Kind_COUNTED:
		e.status, e.total = statusName(r.GetStatus()), r.GetAmount()
	case capturepb.Kind_GONE:
		if e.found && r.GetId() == e.number {
			fmt.Fprintf(e.out, "%s its client left\n", e.since(at))
			e.done = true
		}
	case capturepb.Kind_REQUESTED:
		if !e.found && e.number != 0 && r.GetId() == e.number {
			e.begin(r, at)
		}
	}
	if v, ok := m.(viewer); ok && e.found && !e.done {
		e.view = v.View(at, e.request.Customer, e.request.Plan)
		if e.kind == capturepb.Kind_REQUESTED && r.GetId() == e.number {
			e.printState()
		}
	}
}

// begin prints the request when it arrives.
func (e *explainer) begin(r *capturepb.Record, at policy.Micros) {
	e.found, e.arrived, e.request = true, at, e.decoder.Request(r)
	q := &e.request
	fmt.Fprintf(e.out, "Request %d (%s) came at %d.%06d: class %d, plan %d, customer %016x, %g units, %.0f ms left", q.ID, e.name,
		at/1e6, at%1e6, q.Class, q.Plan, q.Customer, q.Units, float64(q.TimeLeft)/1000)
	if q.IsRetry {
		fmt.Fprint(e.out, ", marked as a repeat")
	}
	fmt.Fprintln(e.out, ".")
}

// printState prints the module's state at the arrival of the request.
func (e *explainer) printState() {
	v, c := &e.view, &e.view.Customer
	fmt.Fprintf(e.out, "\nWhat it met:\n  room      %d attempts out of a bound of %.1f (%d on silent workers), %d requests held\n", v.InFlight, v.InFlightLimit, v.InFlightSilent, v.Queued)
	if !v.Known {
		fmt.Fprintln(e.out, "  customer  not known here: its bucket begins full, its part of a ceiling with what has filled since this gatekeeper's start")
	} else {
		fmt.Fprintf(e.out, "  bucket    %.2f of %.2f units, filling by %.2f a second (our part of the quota: %.0f%%)\n", c.Tokens, c.Capacity, c.Rate, 100*c.Share)
		if c.Shared {
			heard := "no total of the counter is known"
			if c.TotalAge >= 0 {
				heard = fmt.Sprintf("the last total is %.0f ms old", float64(c.TotalAge)/1000)
			}
			fmt.Fprintf(e.out, "  store     %.2f units by what is known of it; the others use %.2f a second; %s\n", c.SharedTokens, c.OthersRate, heard)
			fmt.Fprintf(e.out, "  counter   %.0f%% of the calls are made\n", 100*v.CallFraction)
		}
		if c.HasCeiling {
			fmt.Fprintf(e.out, "  ceiling   %.2f units in our part\n", c.CeilingTokens)
		}
		for _, w := range c.Windows {
			spent := ""
			if w.Spent {
				spent = "; this one is known to be spent"
			}
			fmt.Fprintf(e.out, "  window    of its %s, drawn on the counter: %.2f units for all gatekeepers in each %.0f ms%s\n",
				windowScope(w), w.Units, float64(w.Length)/1000, spent)
		}
	}
	for _, s := range v.Servers {
		note := ""
		switch {
		case !s.Listed || s.State != policy.Ready:
			note = ", takes nothing new"
		case s.EjectedFor > 0:
			note = fmt.Sprintf(", shut off for %.0f ms", float64(s.EjectedFor)/1000)
		case s.FullFor > 0:
			note = fmt.Sprintf(", left alone as full for %.0f ms", float64(s.FullFor)/1000)
		case s.Cold:
			note = ", cold"
		}
		fmt.Fprintf(e.out, "  worker    %016x: %d out, slowness %.2f, cost %.2f%s\n", uint64(s.Server), s.InFlight, s.Slowness, s.Cost, note)
	}
	fmt.Fprintln(e.out, "\nWhat became of it:")
}

// since formats the time since the arrival of the request.
func (e *explainer) since(at policy.Micros) string {
	return fmt.Sprintf("  +%.1f ms", float64(at-e.arrived)/1000)
}

// decided gets each call that the module makes, and prints those for the request.
func (e *explainer) decided(c Call, at policy.Micros) {
	if !e.found || e.done || c.RequestID != e.number {
		return
	}
	switch c.Kind {
	case capturepb.Kind_SEND:
		fmt.Fprintf(e.out, "%s sent to worker %016x, waited for up to %.0f ms%s\n", e.since(at), uint64(c.Server), float64(c.Duration)/1000, e.describeWorkerChoice(c.Server))
	case capturepb.Kind_CANCEL:
		fmt.Fprintf(e.out, "%s attempt %d is given up\n", e.since(at), c.Attempt)
	case capturepb.Kind_FAIL:
		fmt.Fprintf(e.out, "%s failed: an attempt may have run, and its class forbids to say that trying again is harmless\n", e.since(at))
		e.done = true
	case capturepb.Kind_REFUSE:
		fmt.Fprintf(e.out, "%s refused, to come back after %.0f ms: %s\n", e.since(at), float64(c.Duration)/1000, e.describeRefusal())
		e.done = true
	}
}

// describeWorkerChoice describes how a worker's cost compared with that of the other
// available workers.
func (e *explainer) describeWorkerChoice(to policy.Server) string {
	cheaper, open, cost := 0, 0, 0.0
	for _, s := range e.view.Servers {
		if s.Server == to {
			cost = s.Cost
		}
	}
	for _, s := range e.view.Servers {
		if s.Listed && s.State == policy.Ready && s.EjectedFor == 0 && s.FullFor == 0 {
			if open++; s.Cost < cost {
				cheaper++
			}
		}
	}
	if cheaper == 0 {
		return fmt.Sprintf(": the least cost, %.2f, of %d that take work", cost, open)
	}
	return fmt.Sprintf(": cost %.2f; %d of %d that take work cost less, but are cold, tried before, outside of our subset, or lost by chance", cost, cheaper, open)
}

// windowScope returns whether a window is one of the customer's ceiling or quota.
func windowScope(w policy.WindowView) string {
	if w.Lease {
		return "ceiling"
	}
	return "quota"
}

// describeSpentWindow describes the window of the customer that all gatekeepers together
// have used up. It returns an empty text if there is none.
func (e *explainer) describeSpentWindow() string {
	for _, w := range e.view.Customer.Windows {
		switch {
		case w.Spent:
			return fmt.Sprintf("all gatekeepers together have spent the %.2f units that its %s has for this window of %.0f ms", w.Units, windowScope(w), float64(w.Length)/1000)
		case e.kind == capturepb.Kind_COUNTED && e.status == "ok" && e.total > w.Units:
			return fmt.Sprintf("with it all gatekeepers together would draw %.2f of the %.2f units that its %s has for a window of %.0f ms", e.total, w.Units, windowScope(w), float64(w.Length)/1000)
		}
	}
	return ""
}

// describeRefusal describes the limit that had been reached in the state before the refusal.
func (e *explainer) describeRefusal() string {
	v, c, units := &e.view, &e.view.Customer, e.request.Units
	exceededLimit := func() string {
		if why := e.describeSpentWindow(); why != "" {
			return why
		}
		switch {
		case v.Known && c.HasCeiling && c.CeilingTokens < units:
			return fmt.Sprintf("our part of its ceiling holds %.2f of its %g units", c.CeilingTokens, units)
		case v.Known && c.Shared && c.SharedTokens < units:
			return fmt.Sprintf("beyond its quota: the store that all gatekeepers share holds %.2f of its %g units", c.SharedTokens, units)
		case v.Known && !c.Shared && c.Tokens < min(units, c.Capacity):
			return fmt.Sprintf("beyond its quota: its bucket holds %.2f of its %g units and fills by %.2f a second", c.Tokens, units, c.Rate)
		}
		return ""
	}
	switch e.kind {
	case capturepb.Kind_RANG:
		return fmt.Sprintf("it was held and could not meet its aim any more (%d attempts out of a bound of %.1f, %d held)", v.InFlight, v.InFlightLimit, v.Queued)
	case capturepb.Kind_COUNTED:
		if why := exceededLimit(); why != "" {
			return why + ", by what the counter said"
		}
		return fmt.Sprintf("the counter's answer (%s, %.2f) did not let it in", e.status, e.total)
	case capturepb.Kind_ENDED:
		return fmt.Sprintf("its attempt ended (%s) and there is no time, try or worker left for another", e.status)
	}
	if why := exceededLimit(); why != "" {
		return why
	}
	if float64(v.InFlight-v.InFlightSilent) >= v.InFlightLimit {
		return fmt.Sprintf("no room before its wanted time: %d attempts out of a bound of %.1f, and %d held", v.InFlight, v.InFlightLimit, v.Queued)
	}
	if v.Known && c.Tokens < min(units, c.Capacity) {
		return fmt.Sprintf("beyond our part of its quota: the bucket holds %.2f of its %g units", c.Tokens, units)
	}
	return "its client's time is too short for an answer within its aim"
}
