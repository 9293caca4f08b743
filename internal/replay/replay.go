// Package replay plays captures: it tells a decision module what another was told, and
// compares what it decides.
package replay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/gatekeeper"
	"foxwood/policy"
)

// Source gives records in order, as capture.Set does.
type Source interface {
	Next() (*capturepb.Record, policy.Micros, error)
}

// Options is how a capture is played.
type Options struct {
	// Make makes the module of a life; policy.New where nil.
	Make func(s policy.Settings, seed uint64) gatekeeper.Module
	// Begin makes a module of a checkpoint, where the capture is not played from a life's
	// beginning; policy.Restore where Make is nil too.
	Begin func(s policy.Snapshot) (gatekeeper.Module, error)
	// Log, where set, is given every call as a line.
	Log io.Writer
	// Request, where not 0, limits the log to calls that name it. Name, where set, does so for
	// the request that the front calls by it.
	Request uint32
	Name    string
	// Until, where not 0, is the time to stop at.
	Until policy.Micros
	// Watch, where set, is called before each call of the module.
	Watch func(m gatekeeper.Module, r *capturepb.Record, at policy.Micros)
	// Decided, where set, is given each call by the module.
	Decided func(c Call, at policy.Micros)
	// Swap, where set, may put another module in the place of the one that plays, before
	// each call.
	Swap func(m gatekeeper.Module) gatekeeper.Module
	// Named, where set, is told the name that the front has for a request.
	Named func(id uint32, name string)
	// Stop, where set, ends playing once it says so.
	Stop func() bool
	// Differences that are told before playing stops; 1 where 0. Behind the first, what the
	// module is told no longer fits what it did.
	Differences int
}

// Report is what came of it.
type Report struct {
	Lives, Calls, Decisions int
	Checkpoints             int
	Ended                   bool // the last segment has its proper end, and nothing was lost
	First, Last             policy.Micros
	Differences             []Difference
	Module                  gatekeeper.Module // that played last, nil where none did
	Notes                   []string          // gaps, cuts and lives without a beginning
}

// Difference is a call of the module in which it decided otherwise than recorded.
type Difference struct {
	At        policy.Micros
	Call      string
	Want, Got []string
}

// player is the module of the life that is played, and its host.
type player struct {
	o      *Options
	dec    *capture.Decoder
	report *Report
	module gatekeeper.Module
	skip   bool // until the next life begins
	broken bool // a gap or cut has come since the life began
	in     string
	at     policy.Micros
	inside uint32 // the request of the call under way
	want   []Call
	got    []Call
}

var errUntil = errors.New("replay: the time to stop")

// Run plays records to their end, or to the first difference.
func Run(from Source, key *capture.Key, o Options) (*Report, error) {
	if o.Make == nil {
		o.Make = func(s policy.Settings, seed uint64) gatekeeper.Module { return policy.New(s, seed) }
		o.Begin = func(s policy.Snapshot) (gatekeeper.Module, error) { return policy.Restore(s) }
	}
	if o.Differences == 0 {
		o.Differences = 1
	}
	p := &player{o: &o, dec: capture.NewDecoder(key), report: &Report{}, skip: true}
	err := p.play(from)
	p.settle()
	p.report.Module, p.report.Ended = p.module, errors.Is(err, io.EOF) && !p.broken && !p.skip
	if errors.Is(err, io.EOF) || errors.Is(err, errUntil) {
		err = nil
	}
	return p.report, err
}

func (p *player) play(from Source) error {
	for len(p.report.Differences) < p.o.Differences {
		r, at, err := from.Next()
		var gap *capture.Gap
		var cut *capture.Cut
		switch {
		case errors.As(err, &gap), errors.As(err, &cut):
			p.want, p.got = p.want[:0], p.got[:0] // the rest of what was decided is missing
			p.report.Notes = append(p.report.Notes, err.Error())
			p.broken = true
			p.skip = p.skip || gap != nil // what follows a gap can't be played
			continue
		case err != nil:
			return err
		case p.o.Until > 0 && at > p.o.Until:
			return errUntil
		}
		if p.o.Stop != nil && p.o.Stop() {
			return errUntil
		}
		if p.report.First == 0 {
			p.report.First = at
		}
		p.report.Last = at
		if r.GetKind() == capturepb.Kind_NAMED { // may stand among the module's calls
			if p.o.Named != nil {
				p.o.Named(r.GetId(), r.GetText())
			}
			if p.o.Name != "" && p.o.Name == r.GetText() {
				p.o.Request = r.GetId()
			}
			p.log(r.GetId(), "named request=%d %q", r.GetId(), r.GetText())
			continue
		}
		if r.GetKind() == capturepb.Kind_CHECKPOINT {
			p.settle()
			if err := p.checkpoint(r, at); err != nil {
				return err
			}
			continue
		}
		if r.GetKind() >= capturepb.Kind_SEND {
			if !p.skip {
				p.want = append(p.want, p.call(r))
			}
			continue
		}
		p.settle()
		if err := p.tell(r, at); err != nil {
			return err
		}
	}
	return nil
}

// state is a module whose whole state can be had. policy.Gateway is one.
type state interface{ Snapshot() policy.Snapshot }

// checkpoint begins to play at a checkpoint where nothing is played, and else holds the
// module's state against it.
func (p *player) checkpoint(r *capturepb.Record, at policy.Micros) error {
	want, err := p.dec.State(r)
	if err != nil {
		return err
	}
	p.report.Checkpoints++
	if want.Version != policy.SnapshotVersion {
		p.note("checkpoints hold a state of version %d, not %d: none is gone on from or compared", want.Version, policy.SnapshotVersion)
		return nil
	}
	if p.skip {
		if p.o.Begin == nil {
			return nil
		}
		if p.module, err = p.o.Begin(want); err != nil {
			return err
		}
		p.skip = false
		p.report.Lives++
		p.report.Notes = append(p.report.Notes, fmt.Sprintf("played from the checkpoint at %d.%06d on", at/1e6, at%1e6))
		return nil
	}
	m, ok := p.module.(state)
	if !ok {
		return nil
	}
	kept, err := json.Marshal(want)
	if err != nil {
		return fmt.Errorf("replay: checkpoint: %w", err)
	}
	got, err := json.Marshal(m.Snapshot())
	if err != nil {
		return fmt.Errorf("replay: state: %w", err)
	}
	if !bytes.Equal(kept, got) {
		p.differ(Difference{At: at, Call: "checkpoint", Want: []string{string(kept)}, Got: []string{string(got)}})
	}
	return nil
}

// note keeps what is worth saying, once.
func (p *player) note(format string, a ...any) {
	if text := fmt.Sprintf(format, a...); !slices.Contains(p.report.Notes, text) {
		p.report.Notes = append(p.report.Notes, text)
	}
}

func (p *player) differ(d Difference) {
	if len(p.report.Differences) < p.o.Differences {
		p.report.Differences = append(p.report.Differences, d)
	}
}

// tell calls the module as a record has it.
func (p *player) tell(r *capturepb.Record, at policy.Micros) error {
	if r.GetKind() == capturepb.Kind_BEGAN {
		s, err := p.dec.Settings(r)
		if err != nil {
			return err
		}
		p.module, p.skip, p.broken = p.o.Make(s, r.GetSeed()), false, false
		p.report.Lives++
	}
	if p.skip {
		if p.report.Lives == 0 && len(p.report.Notes) == 0 {
			p.report.Notes = append(p.report.Notes, "the capture does not begin where a life does: nothing is played before the first checkpoint")
		}
		return nil
	}
	p.at, p.inside = at, r.GetId()
	p.in = describe(r, p.dec)
	p.report.Calls++
	p.log(p.inside, "%s", p.in)
	if p.o.Swap != nil && r.GetKind() != capturepb.Kind_BEGAN {
		p.module = p.o.Swap(p.module)
	}
	if p.o.Watch != nil {
		p.o.Watch(p.module, r, at)
	}
	switch r.GetKind() {
	case capturepb.Kind_BEGAN:
		p.module.Start(at, p)
	case capturepb.Kind_REQUESTED:
		p.module.Request(at, p, p.dec.Request(r))
	case capturepb.Kind_GONE:
		p.module.ClientGone(at, p, r.GetId())
	case capturepb.Kind_ENDED:
		p.module.Outcome(at, p, p.dec.Outcome(r))
	case capturepb.Kind_COUNTED:
		p.module.Counted(at, p, p.dec.Name(r), r.GetSpan(), policy.Status(r.GetStatus()), r.GetAmount())
	case capturepb.Kind_LISTED:
		p.module.Servers(at, p, policy.ListKind(r.GetList()), p.dec.Entries(r))
	case capturepb.Kind_CLASSES:
		s, err := p.dec.Settings(r)
		if err != nil {
			return err
		}
		p.module.SetClasses(at, p, s.Classes)
	case capturepb.Kind_RECOVERED:
		s, err := p.dec.State(r)
		if err != nil {
			return err
		}
		p.module.Recover(at, p, s, r.GetAgain())
	case capturepb.Kind_FILLED:
		p.module.Filled(at, r.GetId())
	case capturepb.Kind_PROGRESSED:
		p.module.Progress(at, policy.Server(r.GetServer()))
	case capturepb.Kind_JOINED:
		p.module.Joined(policy.Snapshot{Now: at, Born: r.GetAt()})
	case capturepb.Kind_BESIDE:
		p.module.Beside(at, p.dec.Beside(r))
	case capturepb.Kind_RANG:
		p.module.Timer(at, p, r.GetToken())
	default:
		return fmt.Errorf("replay: a call of kind %d, which is not known here", r.GetKind())
	}
	return nil
}

// settle compares what the module decided in a call with what is recorded of it.
func (p *player) settle() {
	same := len(p.want) == len(p.got)
	for i := 0; same && i < len(p.want); i++ {
		same = p.want[i] == p.got[i]
	}
	if !same && !p.skip {
		d := Difference{At: p.at, Call: p.in}
		for _, c := range p.want {
			d.Want = append(d.Want, c.String())
		}
		for _, c := range p.got {
			d.Got = append(d.Got, c.String())
		}
		p.differ(d)
	}
	p.want, p.got = p.want[:0], p.got[:0]
}

// log writes a line of the decision log.
func (p *player) log(id uint32, format string, a ...any) {
	one := p.o.Request != 0 || p.o.Name != ""
	if p.o.Log == nil || one && (id == 0 || p.o.Request != id) {
		return
	}
	fmt.Fprintf(p.o.Log, "%d.%06d ", p.at/1e6, p.at%1e6)
	fmt.Fprintf(p.o.Log, format, a...)
	fmt.Fprintln(p.o.Log)
}

// decided takes a call of the module.
func (p *player) decided(c Call) {
	p.got = append(p.got, c)
	p.report.Decisions++
	p.log(c.ID, "  %v", c)
	if p.o.Decided != nil {
		p.o.Decided(c, p.at)
	}
}

// Send implements policy.Host, as do the methods below.
func (p *player) Send(id uint32, to policy.Server, timeout policy.Micros) {
	p.decided(Call{Kind: capturepb.Kind_SEND, ID: id, Server: to, Span: timeout})
}

// Refuse implements policy.Host.
func (p *player) Refuse(id uint32, retryAfter policy.Micros) {
	p.decided(Call{Kind: capturepb.Kind_REFUSE, ID: id, Span: retryAfter})
}

// Fail implements policy.Host.
func (p *player) Fail(id uint32) { p.decided(Call{Kind: capturepb.Kind_FAIL, ID: id}) }

// Cancel implements policy.Host.
func (p *player) Cancel(id uint32, attempt int) {
	p.decided(Call{Kind: capturepb.Kind_CANCEL, ID: id, Attempt: attempt})
}

// Timer implements policy.Host.
func (p *player) Timer(token uint64, after policy.Micros) {
	p.decided(Call{Kind: capturepb.Kind_TIMER, Token: token, Span: after})
}

// Count implements policy.Host.
func (p *player) Count(name uint64, amount float64, ttl policy.Micros) {
	p.decided(Call{Kind: capturepb.Kind_COUNT, Name: name, Amount: amount, Span: ttl})
}
