// Package replay replays captures. It passes the recorded calls to a decision module and
// compares the module's decisions with the recorded ones. It also explains the decisions on
// one request, compares settings on the same inputs, and audits quotas over the captures of
// several gatekeepers.
//
// Comments in this package call the lifetime of one gatekeeper process a run.
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

// Source returns records in order. It is implemented by capture.Set.
type Source interface {
	Next() (*capturepb.Record, policy.Micros, error)
}

// Options controls a replay.
type Options struct {
	// Make creates the module of a run; policy.New if nil.
	Make func(s policy.Settings, seed uint64) gatekeeper.Module
	// Begin restores a module from a checkpoint, with which a replay starts if the capture
	// does not begin with the start of a run. If Make is nil, policy.Restore is used. If Make
	// is set and Begin is nil, replays do not start at checkpoints.
	Begin func(s policy.Snapshot) (gatekeeper.Module, error)
	// Log, if set, gets every call as a line.
	Log io.Writer
	// Request, if not 0, limits the log to calls with this request number. Name, if set,
	// limits it to calls for the request that the front end knows by this name.
	Request uint32
	Name    string
	// Until, if not 0, is the time at which the replay stops.
	Until policy.Micros
	// Watch, if set, is called before each call of the module.
	Watch func(m gatekeeper.Module, r *capturepb.Record, at policy.Micros)
	// Decided, if set, gets each call that the module makes.
	Decided func(c Call, at policy.Micros)
	// Swap, if set, is called before each call of the module, and returns the module to
	// continue with.
	Swap func(m gatekeeper.Module) gatekeeper.Module
	// Named, if set, gets the front end's name for each request.
	Named func(id uint32, name string)
	// Stop, if set, is called for each record, and ends the replay by returning true.
	Stop func() bool
	// Differences is the number of differences after which the replay stops; 1 if 0. After
	// the first difference, the recorded events no longer match what the module did.
	Differences int
}

// Report is the result of a replay.
type Report struct {
	Lives, Calls, Decisions int // runs replayed, calls of the module, and calls that it made
	Checkpoints             int
	Ended                   bool          // the last segment has its end block, and no records are missing
	First, Last             policy.Micros // times of the first and last record
	Differences             []Difference
	Module                  gatekeeper.Module // the last module, nil if no run was replayed
	Notes                   []string          // gaps, truncated segments and runs without a start
}

// Difference is a call of the module in which its decisions differed from the recorded ones.
type Difference struct {
	At        policy.Micros
	Call      string
	Want, Got []string // recorded and actual decisions
}

// player holds the module of the run that is being replayed, and is its host.
type player struct {
	o      *Options
	dec    *capture.Decoder
	report *Report
	module gatekeeper.Module
	skip   bool          // records are skipped until the next run or checkpoint
	broken bool          // there was a gap or a truncated segment since the start of the run
	in     string        // the current call of the module, as text
	at     policy.Micros // time of the current call
	inside uint32        // request number of the current call
	want   []Call        // recorded decisions of the current call
	got    []Call        // actual decisions of the current call
}

// errUntil ends a replay that Options.Until or Options.Stop stopped.
var errUntil = errors.New("replay stopped by its options")

// Run replays records to their end, or until Options.Differences differences were found.
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

// play replays records until the source or the options end the replay.
func (p *player) play(from Source) error {
	for len(p.report.Differences) < p.o.Differences {
		r, at, err := from.Next()
		var gap *capture.Gap
		var cut *capture.Cut
		switch {
		case errors.As(err, &gap), errors.As(err, &cut):
			p.want, p.got = p.want[:0], p.got[:0] // the rest of the recorded decisions is missing
			p.report.Notes = append(p.report.Notes, err.Error())
			p.broken = true
			p.skip = p.skip || gap != nil // after a gap the module's state is not known
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
		if r.GetKind() == capturepb.Kind_NAMED { // may come between the decisions of a call
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

// state is a module that can return its complete state. policy.Gateway implements it.
type state interface{ Snapshot() policy.Snapshot }

// checkpoint compares a checkpoint with the module's state. If records are being skipped, it
// restores the module from the checkpoint instead, and the replay starts there.
func (p *player) checkpoint(r *capturepb.Record, at policy.Micros) error {
	want, err := p.dec.State(r)
	if err != nil {
		return err
	}
	p.report.Checkpoints++
	if want.Version != policy.SnapshotVersion {
		p.note("checkpoints have state version %d, want %d: they are neither restored nor compared", want.Version, policy.SnapshotVersion)
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
		p.report.Notes = append(p.report.Notes, fmt.Sprintf("replayed from the checkpoint at %d.%06d on", at/1e6, at%1e6))
		return nil
	}
	m, ok := p.module.(state)
	if !ok {
		return nil
	}
	kept, err := json.Marshal(want)
	if err != nil {
		return fmt.Errorf("replay: encode the state of a checkpoint: %w", err)
	}
	got, err := json.Marshal(m.Snapshot())
	if err != nil {
		return fmt.Errorf("replay: encode the module's state: %w", err)
	}
	if !bytes.Equal(kept, got) {
		p.differ(Difference{At: at, Call: "checkpoint", Want: []string{string(kept)}, Got: []string{string(got)}})
	}
	return nil
}

// note adds a note to the report, unless the report has the same note already.
func (p *player) note(format string, a ...any) {
	if text := fmt.Sprintf(format, a...); !slices.Contains(p.report.Notes, text) {
		p.report.Notes = append(p.report.Notes, text)
	}
}

// differ adds a difference to the report, up to the limit of the options.
func (p *player) differ(d Difference) {
	if len(p.report.Differences) < p.o.Differences {
		p.report.Differences = append(p.report.Differences, d)
	}
}

// tell makes the call of the module that a record holds.
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
			p.report.Notes = append(p.report.Notes, "the capture does not start with the start of a process: records before the first checkpoint are skipped")
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
		return fmt.Errorf("replay: unknown record kind %d, want a call of the decision module", r.GetKind())
	}
	return nil
}

// settle compares the module's decisions in the last call with the recorded ones.
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

// log writes a line to the decision log if the line's request is selected.
func (p *player) log(id uint32, format string, a ...any) {
	one := p.o.Request != 0 || p.o.Name != ""
	if p.o.Log == nil || one && (id == 0 || p.o.Request != id) {
		return
	}
	fmt.Fprintf(p.o.Log, "%d.%06d ", p.at/1e6, p.at%1e6)
	fmt.Fprintf(p.o.Log, format, a...)
	fmt.Fprintln(p.o.Log)
}

// decided handles a call that the module made.
func (p *player) decided(c Call) {
	p.got = append(p.got, c)
	p.report.Decisions++
	p.log(c.ID, "  %v", c)
	if p.o.Decided != nil {
		p.o.Decided(c, p.at)
	}
}

// Send implements policy.Host.
func (p *player) Send(id uint32, server policy.Server, timeout policy.Micros) {
	p.decided(Call{Kind: capturepb.Kind_SEND, ID: id, Server: server, Span: timeout})
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
func (p *player) Timer(token uint64, delay policy.Micros) {
	p.decided(Call{Kind: capturepb.Kind_TIMER, Token: token, Span: delay})
}

// Count implements policy.Host.
func (p *player) Count(name uint64, amount float64, ttl policy.Micros) {
	p.decided(Call{Kind: capturepb.Kind_COUNT, Name: name, Amount: amount, Span: ttl})
}
