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

// Source returns records in order. It is implemented by capture.MultiReader.
type Source interface {
	Next() (*capturepb.Record, policy.Micros, error)
}

// Options controls a replay.
type Options struct {
	// NewModule creates the module of a run; policy.New if nil.
	NewModule func(s policy.Settings, seed uint64) gatekeeper.Module
	// RestoreModule restores a module from a checkpoint, with which a replay starts if the capture
	// does not begin with the start of a run. If Make is nil, policy.Restore is used. If Make
	// is set and Begin is nil, replays do not start at checkpoints.
	RestoreModule func(s policy.Snapshot) (gatekeeper.Module, error)
	// Log, if set, gets every call as a line.
	Log io.Writer
	// LogRequestID, if not 0, limits the log to calls with this request number. Name, if set,
	// limits it to calls for the request that the front end knows by this name.
	LogRequestID   uint32
	LogRequestName string
	// Until, if not 0, is the time at which the replay stops.
	Until policy.Micros
	// BeforeCall, if set, is called before each call of the module.
	BeforeCall func(m gatekeeper.Module, r *capturepb.Record, at policy.Micros)
	// OnDecision, if set, gets each call that the module makes.
	OnDecision func(c Call, at policy.Micros)
	// SwapModule, if set, is called before each call of the module, and returns the module to
	// continue with.
	SwapModule func(m gatekeeper.Module) gatekeeper.Module
	// OnRequestNamed, if set, gets the front end's name for each request.
	OnRequestNamed func(id uint32, name string)
	// Stop, if set, is called for each record, and ends the replay by returning true.
	Stop func() bool
	// MaxDifferences is the number of differences after which the replay stops; 1 if 0. After
	// the first difference, the recorded events no longer match what the module did.
	MaxDifferences int
}

// Report is the result of a replay.
type Report struct {
	Runs, Calls, Decisions int // runs replayed, calls of the module, and calls that it made
	Checkpoints            int
	Complete               bool          // the last segment has its end block, and no records are missing
	First, Last            policy.Micros // times of the first and last record
	Differences            []Difference
	Module                 gatekeeper.Module // the last module, nil if no run was replayed
	Notes                  []string          // gaps, truncated segments and runs without a start
}

// Difference is a call of the module in which its decisions differed from the recorded ones.
type Difference struct {
	At        policy.Micros
	Call      string
	Want, Got []string // recorded and actual decisions
}

// player holds the module of the run that is being replayed, and is its host.
type player struct {
	options    *Options
	decoder    *capture.Decoder
	report     *Report
	module     gatekeeper.Module
	skipping   bool          // records are skipped until the next run or checkpoint
	incomplete bool          // there was a gap or a truncated segment since the start of the run
	callText   string        // the current call of the module, as text
	callTime   policy.Micros // time of the current call
	requestID  uint32        // request number of the current call
	want       []Call        // recorded decisions of the current call
	got        []Call        // actual decisions of the current call
}

// errStopped ends a replay that Options.Until or Options.Stop stopped.
var errStopped = errors.New("replay stopped by its options")

// Run replays records to their end, or until Options.MaxDifferences differences were found.
func Run(from Source, key *capture.Key, o Options) (*Report, error) {
	if o.NewModule == nil {
		o.NewModule = func(s policy.Settings, seed uint64) gatekeeper.Module { return policy.New(s, seed) }
		o.RestoreModule = func(s policy.Snapshot) (gatekeeper.Module, error) { return policy.Restore(s) }
	}
	if o.MaxDifferences == 0 {
		o.MaxDifferences = 1
	}
	p := &player{options: &o, decoder: capture.NewDecoder(key), report: &Report{}, skipping: true}
	err := p.play(from)
	p.compareDecisions()
	p.report.Module, p.report.Complete = p.module, errors.Is(err, io.EOF) && !p.incomplete && !p.skipping
	if errors.Is(err, io.EOF) || errors.Is(err, errStopped) {
		err = nil
	}
	return p.report, err
}

// play replays records until the source or the options end the replay.
func (p *player) play(from Source) error {
	for len(p.report.Differences) < p.options.MaxDifferences {
		r, at, err := from.Next()
		var gap *capture.GapError
		var cut *capture.TruncatedError
		switch {
		case errors.As(err, &gap), errors.As(err, &cut):
			p.want, p.got = p.want[:0], p.got[:0] // the rest of the recorded decisions is missing
			p.report.Notes = append(p.report.Notes, err.Error())
			p.incomplete = true
			p.skipping = p.skipping || gap != nil // after a gap the module's state is not known
			continue
		case err != nil:
			return err
		case p.options.Until > 0 && at > p.options.Until:
			return errStopped
		}
		if p.options.Stop != nil && p.options.Stop() {
			return errStopped
		}
		if p.report.First == 0 {
			p.report.First = at
		}
		p.report.Last = at
		if r.GetKind() == capturepb.Kind_NAMED { // may come between the decisions of a call
			if p.options.OnRequestNamed != nil {
				p.options.OnRequestNamed(r.GetId(), r.GetText())
			}
			if p.options.LogRequestName != "" && p.options.LogRequestName == r.GetText() {
				p.options.LogRequestID = r.GetId()
			}
			p.logLine(r.GetId(), "named request=%d %q", r.GetId(), r.GetText())
			continue
		}
		if r.GetKind() == capturepb.Kind_CHECKPOINT {
			p.compareDecisions()
			if err := p.checkpoint(r, at); err != nil {
				return err
			}
			continue
		}
		if r.GetKind() >= capturepb.Kind_SEND {
			if !p.skipping {
				p.want = append(p.want, p.decodeCall(r))
			}
			continue
		}
		p.compareDecisions()
		if err := p.callModule(r, at); err != nil {
			return err
		}
	}
	return nil
}

// snapshotter is a module that can return its complete state. policy.Gateway implements it.
type snapshotter interface{ Snapshot() policy.Snapshot }

// checkpoint compares a checkpoint with the module's state. If records are being skipped, it
// restores the module from the checkpoint instead, and the replay starts there.
func (p *player) checkpoint(r *capturepb.Record, at policy.Micros) error {
	want, err := p.decoder.State(r)
	if err != nil {
		return err
	}
	p.report.Checkpoints++
	if want.Version != policy.SnapshotVersion {
		p.addNote("checkpoints have state version %d, want %d: they are neither restored nor compared", want.Version, policy.SnapshotVersion)
		return nil
	}
	if p.skipping {
		if p.options.RestoreModule == nil {
			return nil
		}
		if p.module, err = p.options.RestoreModule(want); err != nil {
			return err
		}
		p.skipping = false
		p.report.Runs++
		p.report.Notes = append(p.report.Notes, fmt.Sprintf("replayed from the checkpoint at %d.%06d on", at/1e6, at%1e6))
		return nil
	}
	m, ok := p.module.(snapshotter)
	if !ok {
		return nil
	}
	wantText, err := json.Marshal(want)
	if err != nil {
		return fmt.Errorf("replay: encode the state of a checkpoint: %w", err)
	}
	gotText, err := json.Marshal(m.Snapshot())
	if err != nil {
		return fmt.Errorf("replay: encode the module's state: %w", err)
	}
	if !bytes.Equal(wantText, gotText) {
		p.addDifference(Difference{At: at, Call: "checkpoint", Want: []string{string(wantText)}, Got: []string{string(gotText)}})
	}
	return nil
}

// addNote adds a note to the report, unless the report has the same note already.
func (p *player) addNote(format string, a ...any) {
	if text := fmt.Sprintf(format, a...); !slices.Contains(p.report.Notes, text) {
		p.report.Notes = append(p.report.Notes, text)
	}
}

// addDifference adds a difference to the report, up to the limit of the options.
func (p *player) addDifference(d Difference) {
	if len(p.report.Differences) < p.options.MaxDifferences {
		p.report.Differences = append(p.report.Differences, d)
	}
}

// callModule makes the call of the module that a record holds.
func (p *player) callModule(r *capturepb.Record, at policy.Micros) error {
	if r.GetKind() == capturepb.Kind_BEGAN {
		s, err := p.decoder.Settings(r)
		if err != nil {
			return err
		}
		p.module, p.skipping, p.incomplete = p.options.NewModule(s, r.GetSeed()), false, false
		p.report.Runs++
	}
	if p.skipping {
		if p.report.Runs == 0 && len(p.report.Notes) == 0 {
			p.report.Notes = append(p.report.Notes, "the capture does not start with the start of a process: records before the first checkpoint are skipped")
		}
		return nil
	}
	p.callTime, p.requestID = at, r.GetId()
	p.callText = describe(r, p.decoder)
	p.report.Calls++
	p.logLine(p.requestID, "%s", p.callText)
	if p.options.SwapModule != nil && r.GetKind() != capturepb.Kind_BEGAN {
		p.module = p.options.SwapModule(p.module)
	}
	if p.options.BeforeCall != nil {
		p.options.BeforeCall(p.module, r, at)
	}
	switch r.GetKind() {
	case capturepb.Kind_BEGAN:
		p.module.Start(at, p)
	case capturepb.Kind_REQUESTED:
		p.module.Request(at, p, p.decoder.Request(r))
	case capturepb.Kind_GONE:
		p.module.ClientGone(at, p, r.GetId())
	case capturepb.Kind_ENDED:
		p.module.Outcome(at, p, p.decoder.Outcome(r))
	case capturepb.Kind_COUNTED:
		p.module.CounterResult(at, p, p.decoder.CounterName(r), r.GetSpan(), policy.Status(r.GetStatus()), r.GetAmount())
	case capturepb.Kind_LISTED:
		p.module.Servers(at, p, policy.ListKind(r.GetList()), p.decoder.Workers(r))
	case capturepb.Kind_CLASSES:
		s, err := p.decoder.Settings(r)
		if err != nil {
			return err
		}
		p.module.SetClasses(at, p, s.Classes)
	case capturepb.Kind_RECOVERED:
		s, err := p.decoder.State(r)
		if err != nil {
			return err
		}
		p.module.Recover(at, p, s, r.GetAgain())
	case capturepb.Kind_FILLED:
		p.module.BodyReceived(at, r.GetId())
	case capturepb.Kind_PROGRESSED:
		p.module.Progress(at, policy.Server(r.GetServer()))
	case capturepb.Kind_JOINED:
		p.module.InheritStart(policy.Snapshot{Now: at, StartedAt: r.GetAt()})
	case capturepb.Kind_BESIDE:
		p.module.RecordPeerDraw(at, p.decoder.PeerDraw(r))
	case capturepb.Kind_RANG:
		p.module.Timer(at, p, r.GetToken())
	default:
		return fmt.Errorf("replay: unknown record kind %d, want a call of the decision module", r.GetKind())
	}
	return nil
}

// compareDecisions compares the module's decisions in the last call with the recorded ones.
func (p *player) compareDecisions() {
	equal := len(p.want) == len(p.got)
	for i := 0; equal && i < len(p.want); i++ {
		equal = p.want[i] == p.got[i]
	}
	if !equal && !p.skipping {
		d := Difference{At: p.callTime, Call: p.callText}
		for _, c := range p.want {
			d.Want = append(d.Want, c.String())
		}
		for _, c := range p.got {
			d.Got = append(d.Got, c.String())
		}
		p.addDifference(d)
	}
	p.want, p.got = p.want[:0], p.got[:0]
}

// logLine writes a line to the decision log if the line's request is selected.
func (p *player) logLine(id uint32, format string, a ...any) {
	filtered := p.options.LogRequestID != 0 || p.options.LogRequestName != ""
	if p.options.Log == nil || filtered && (id == 0 || p.options.LogRequestID != id) {
		return
	}
	fmt.Fprintf(p.options.Log, "%d.%06d ", p.callTime/1e6, p.callTime%1e6)
	fmt.Fprintf(p.options.Log, format, a...)
	fmt.Fprintln(p.options.Log)
}

// decided handles a call that the module made.
func (p *player) decided(c Call) {
	p.got = append(p.got, c)
	p.report.Decisions++
	p.logLine(c.RequestID, "  %v", c)
	if p.options.OnDecision != nil {
		p.options.OnDecision(c, p.callTime)
	}
}

// Send implements policy.Host.
func (p *player) Send(id uint32, server policy.Server, timeout policy.Micros) {
	p.decided(Call{Kind: capturepb.Kind_SEND, RequestID: id, Server: server, Duration: timeout})
}

// Refuse implements policy.Host.
func (p *player) Refuse(id uint32, retryAfter policy.Micros) {
	p.decided(Call{Kind: capturepb.Kind_REFUSE, RequestID: id, Duration: retryAfter})
}

// Fail implements policy.Host.
func (p *player) Fail(id uint32) { p.decided(Call{Kind: capturepb.Kind_FAIL, RequestID: id}) }

// Cancel implements policy.Host.
func (p *player) Cancel(id uint32, attempt int) {
	p.decided(Call{Kind: capturepb.Kind_CANCEL, RequestID: id, Attempt: attempt})
}

// Timer implements policy.Host.
func (p *player) Timer(token uint64, delay policy.Micros) {
	p.decided(Call{Kind: capturepb.Kind_TIMER, Token: token, Duration: delay})
}

// Count implements policy.Host.
func (p *player) Count(name uint64, amount float64, ttl policy.Micros) {
	p.decided(Call{Kind: capturepb.Kind_COUNT, Name: name, Amount: amount, Duration: ttl})
}
