package replay

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/gatekeeper"
	_ "foxwood/internal/fixedseed"
	"foxwood/policy"
)

// harness is a gatekeeper whose decision module is recorded, with fakes for its caller, fleet
// and counter.
type harness struct {
	*gatekeeper.Gatekeeper
	clock      *gatekeeper.Clock
	executions []*gatekeeper.Execution
	calls      []*gatekeeper.CounterCall
	open       []*gatekeeper.Request
}

func (r *harness) Execute(x *gatekeeper.Execution)                       { r.executions = append(r.executions, x) }
func (r *harness) Abandon(*gatekeeper.Execution) gatekeeper.SendProgress { return gatekeeper.SentAll }
func (r *harness) Release(policy.Server)                                 {}
func (r *harness) Add(c *gatekeeper.CounterCall)                         { r.calls = append(r.calls, c) }
func (r *harness) Served(q *gatekeeper.Request, _ gatekeeper.Answer)     { r.removeOpen(q) }
func (r *harness) Throttled(q *gatekeeper.Request, _ float64)            { r.removeOpen(q) }
func (r *harness) Failed(q *gatekeeper.Request)                          { r.removeOpen(q) }
func (r *harness) removeOpen(q *gatekeeper.Request) {
	for i, o := range r.open {
		if o == q {
			r.open = append(r.open[:i], r.open[i+1:]...)
			return
		}
	}
}

// fewGatekeepers are those of one of three gatekeepers with quotas on the shared counter.
func fewGatekeepers() policy.Settings {
	return policy.Settings{GatewayCount: 3, Index: 1, ClockTick: 4000, MaxAttempts: 3, CanCancel: true, SendRetryAfter: true,
		HasCounter: true, CounterTimeout: 50e3, MaxUnits: 6, LoadReportFields: []string{"inflight"}, SettlesUnits: true,
		ColdCapacity: 0.16, ColdDuration: 14e6, OverloadMultiple: 3, OverloadWindow: 1.5e6,
		Classes: []policy.Class{{LatencyTarget: 400e3, Deadline: 2e6, Value: 1, Repeat: policy.RepeatSafe},
			{LatencyTarget: 750e3, Deadline: 2e6, Value: 2, Repeat: policy.RepeatKeyed, RepeatWindow: 1e6}},
		Plans: []policy.Plan{{Rate: 2, Burst: 8, Price: 1, OverrunCost: 1}, {Rate: 60, Burst: 90, Price: 2, CeilingRate: 90, CeilingBurst: 99}}}
}

// manyGatekeepers are the settings of one of hundreds of gatekeepers, which draw quota on the
// counter by windows of time.
func manyGatekeepers() policy.Settings {
	s := fewGatekeepers()
	s.GatewayCount, s.Index = 300, 7
	return s
}

func newHarness(rec gatekeeper.Recorder, startMs float64) *harness {
	return newHarnessWith(fewGatekeepers(), rec, startMs)
}

func newHarnessWith(s policy.Settings, rec gatekeeper.Recorder, startMs float64) *harness {
	r := &harness{clock: gatekeeper.NewClock()}
	r.clock.Set(startMs)
	r.Gatekeeper = gatekeeper.New(gatekeeper.Config{Settings: s, Seed: 0x1f, Clock: r.clock, Workers: r, Counter: r,
		RequestWakeUp: func(float64) {}, Recorder: rec})
	return r
}

// playRandomEvents passes up to 120 random events to the gatekeeper, several of them at the
// same time: requests, outcomes of all kinds, results of the counter, some of them late,
// worker lists, replaced classes, disconnecting clients, slowly arriving bodies, and quota
// draws of another process of the gatekeeper.
func (r *harness) playRandomEvents(t *rapid.T) {
	list := func() {
		kind := rapid.SampledFrom([]policy.ListKind{policy.FullList, policy.ListDelta}).Draw(t, "list")
		var entries []policy.Entry
		for i := range rapid.IntRange(1, 4).Draw(t, "workers") {
			e := policy.Entry{Server: policy.Server(i + 1), State: rapid.SampledFrom([]policy.State{policy.Ready, policy.Ready, policy.Draining}).Draw(t, "state"), Weight: 1}
			if rapid.Bool().Draw(t, "cold") {
				e.ReadyAt = int64(r.clock.Now() * 1000)
			}
			entries = append(entries, e)
		}
		r.UpdateWorkers(kind, entries)
	}
	list()
	for range rapid.IntRange(1, 120).Draw(t, "events") {
		switch rapid.IntRange(0, 13).Draw(t, "event") {
		default:
			q := &gatekeeper.Request{Class: rapid.IntRange(0, 1).Draw(t, "class"), Plan: rapid.IntRange(0, 1).Draw(t, "plan"),
				TimeLeft: rapid.Float64Range(5, 2000).Draw(t, "left"), EstimatedUnits: rapid.Float64Range(0.5, 6).Draw(t, "units"),
				GatekeeperCount: rapid.SampledFrom([]int{1, 2, 3, 40}).Draw(t, "spread"), BodyPending: rapid.IntRange(0, 3).Draw(t, "filling") == 0, Responder: r}
			q.Customer = uint64(q.Plan*10 + rapid.IntRange(0, 3).Draw(t, "customer"))
			r.open = append(r.open, q)
			r.Submit(q)
		case 4, 5, 6:
			if len(r.executions) > 0 {
				i := rapid.IntRange(0, len(r.executions)-1).Draw(t, "which")
				x := r.executions[i]
				r.executions = append(r.executions[:i], r.executions[i+1:]...)
				o := gatekeeper.Outcome{Status: rapid.SampledFrom([]policy.Status{policy.OK, policy.OK, policy.OK, policy.Full, policy.Failed,
					policy.Reset, policy.ConnectFailed}).Draw(t, "status"), Units: rapid.Float64Range(0, 6).Draw(t, "true")}
				if rapid.Bool().Draw(t, "loaded") {
					o.Load = []float32{float32(rapid.IntRange(0, 40).Draw(t, "load"))}
				}
				r.ExecutionEnded(x, o)
			}
		case 7:
			if len(r.calls) > 0 {
				c := r.calls[0]
				r.calls = r.calls[1:]
				r.CounterCallEnded(c, rapid.SampledFrom([]policy.Status{policy.OK, policy.OK, policy.Full, policy.Reset}).Draw(t, "said"),
					rapid.Float64Range(0, 50).Draw(t, "total"))
			}
		case 8:
			if len(r.open) > 0 {
				q := r.open[0]
				r.open = r.open[1:]
				r.ClientGone(q)
			}
		case 9:
			if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
				list()
			}
		case 10:
			if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
				s := fewGatekeepers()
				s.Classes[0].Value = rapid.Float64Range(0.5, 3).Draw(t, "worth")
				r.SetClasses(s.Classes)
			}
		case 12:
			if len(r.open) > 0 {
				r.BodyReceived(rapid.SampledFrom(r.open).Draw(t, "filled"))
			}
			if len(r.executions) > 0 {
				r.Progress(rapid.SampledFrom(r.executions).Draw(t, "progressed"))
			}
		case 13:
			plan := rapid.IntRange(0, 1).Draw(t, "plan")
			r.RecordPeerDraw(policy.PeerDraw{Customer: uint64(plan*10 + rapid.IntRange(0, 3).Draw(t, "customer")), Plan: plan, GatewayCount: 1,
				Units: rapid.Float64Range(-2, 6).Draw(t, "units"), Settlement: rapid.Bool().Draw(t, "settles"), Server: policy.Server(rapid.IntRange(0, 4).Draw(t, "at"))})
		case 11:
			r.clock.Set(r.clock.Now() + rapid.SampledFrom([]float64{0, 1, 4, 60, 300}).Draw(t, "ms"))
			r.RunDueTimers()
		}
	}
}

// replayCapture replays the capture in a folder, and returns the report and the decision log.
func replayCapture(t interface{ Fatal(...any) }, folder string, key capture.Key) (*Report, string) {
	segments, err := capture.FindSegments(folder)
	if err != nil {
		t.Fatal(err)
	}
	set := capture.NewMultiReader(segments, &key)
	defer set.Close()
	var log bytes.Buffer
	report, err := Run(set, &key, Options{Log: &log})
	if err != nil {
		t.Fatal(err)
	}
	return report, log.String()
}

// TestReplayOfRandomEventsIsDeterministic records random events. Each replay must give the
// recorded decisions, and two replays the same log, byte for byte.
func TestReplayOfRandomEventsIsDeterministic(t *testing.T) {
	secret := bytes.Repeat([]byte{5}, 32)
	keyed, err := capture.NewKey(secret)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "day")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(folder)
		key := capture.Key{}
		if rapid.Bool().Draw(t, "keyed") {
			key = keyed
		}
		w, err := capture.NewWriter(capture.WriterOptions{WaitForDisk: true, Folder: folder, Name: "n0", RunID: 1, Key: key})
		if err != nil {
			t.Fatal(err)
		}
		newHarnessWith(rapid.SampledFrom([]policy.Settings{fewGatekeepers(), manyGatekeepers()}).Draw(t, "settings"), w, 1.7e12).playRandomEvents(t)
		w.Close()
		report, log := replayCapture(t, folder, key)
		if len(report.Differences) > 0 {
			t.Fatalf("the replay differs from the recording: %+v", report.Differences[0])
		}
		if report.Runs != 1 || report.Calls < 2 || report.Decisions == 0 {
			t.Fatalf("report %+v, want one run with calls and decisions", report)
		}
		if _, again := replayCapture(t, folder, key); again != log {
			t.Fatal("the decision logs of two replays differ")
		}
	})
}

// recordRun records a short run of a gatekeeper. If crash is set, it truncates the capture as a
// crash would.
func recordRun(t *testing.T, folder string, runID uint64, startMs float64, crash bool) {
	t.Helper()
	w, err := capture.NewWriter(capture.WriterOptions{WaitForDisk: true, Folder: folder, Name: "n0", RunID: runID})
	if err != nil {
		t.Fatal(err)
	}
	r := newHarness(w, startMs)
	r.UpdateWorkers(policy.FullList, []policy.Entry{{Server: 1, State: policy.Ready}, {Server: 2, State: policy.Ready}})
	for range 40 {
		r.Submit(&gatekeeper.Request{Class: 0, Plan: 1, Customer: 12, TimeLeft: 1000, EstimatedUnits: 1, GatekeeperCount: 3, Responder: r})
		r.clock.Set(r.clock.Now() + 10)
		r.RunDueTimers()
		for _, x := range r.executions {
			r.ExecutionEnded(x, gatekeeper.Outcome{Status: policy.OK, Units: 1})
		}
		r.executions = nil
	}
	w.Close()
	if !crash {
		return
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.fcap"))
	if err != nil {
		t.Fatal(err)
	}
	last := files[len(files)-1]
	text, err := os.ReadFile(last)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(last, text[:len(text)-100], 0o600); err != nil { // ends within the last block of records
		t.Fatal(err)
	}
}

// TestReplayContinuesAfterCrash checks that when a gatekeeper is killed while it writes a
// block and then restarted, both runs are replayed and the truncated segment is reported.
func TestReplayContinuesAfterCrash(t *testing.T) {
	folder := t.TempDir()
	recordRun(t, folder, 0xa, 1.7e12, true)
	recordRun(t, folder, 0xb, 1.7e12+5000, false)
	report, log := replayCapture(t, folder, capture.Key{})
	if report.Runs != 2 || len(report.Differences) > 0 {
		t.Errorf("%d runs, differences %v; want 2 runs without differences", report.Runs, report.Differences)
	}
	if len(report.Notes) != 1 || !strings.Contains(report.Notes[0], "ends without its end block") {
		t.Errorf("notes %q, want one on the missing end block", report.Notes)
	}
	if strings.Count(log, "began seed=1f") != 2 {
		t.Error("the log does not contain the start of both runs")
	}
}

// lowQuotaModule creates a module with a lower rate and burst than recorded.
func lowQuotaModule(s policy.Settings, seed uint64) gatekeeper.Module {
	s.Plans[1].Rate, s.Plans[1].Burst = 1, 1
	return policy.New(s, seed)
}

// TestReplayReportsDifference guards against a replay that never fails: a module with other
// settings decides differently, and the first call in which it does must be reported.
func TestReplayReportsDifference(t *testing.T) {
	folder := t.TempDir()
	recordRun(t, folder, 0xa, 1.7e12, false)
	segments, err := capture.FindSegments(folder)
	if err != nil {
		t.Fatal(err)
	}
	key := capture.Key{}
	set := capture.NewMultiReader(segments, &key)
	defer set.Close()
	report, err := Run(set, &key, Options{NewModule: lowQuotaModule})
	if err != nil || len(report.Differences) != 1 {
		t.Fatalf("report %+v, error %v; want one difference", report, err)
	}
	if d := report.Differences[0]; d.Call == "" || strings.Join(d.Want, ";") == strings.Join(d.Got, ";") {
		t.Errorf("difference %+v, want a call and different decisions", d)
	}
}

// lossySource is a source that loses five records.
type lossySource struct {
	Source
	n, at int
}

// Next implements Source.
func (g *lossySource) Next() (*capturepb.Record, policy.Micros, error) {
	if g.n++; g.n == g.at {
		for range 5 {
			if _, _, err := g.Source.Next(); err != nil {
				return nil, 0, err
			}
		}
		return nil, 0, &capture.GapError{Lost: 5}
	}
	return g.Source.Next()
}

// TestRecordsAfterGapAreSkipped checks that a replay skips the records after a gap up to the
// next run, since without the lost records the module's state is wrong.
func TestRecordsAfterGapAreSkipped(t *testing.T) {
	folder := t.TempDir()
	recordRun(t, folder, 0xa, 1.7e12, false)
	recordRun(t, folder, 0xb, 1.7e12+5000, false)
	segments, err := capture.FindSegments(folder)
	if err != nil {
		t.Fatal(err)
	}
	key := capture.Key{}
	set := capture.NewMultiReader(segments, &key)
	defer set.Close()
	report, err := Run(&lossySource{Source: set, at: 50}, &key, Options{})
	if err != nil && !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	if report.Runs != 2 || len(report.Differences) > 0 || len(report.Notes) != 1 {
		t.Errorf("report %+v, want 2 runs without differences and a note on the gap", report)
	}
}

// TestRestoredModuleDecidesTheSame replaces the module before random calls by one that is
// restored from its snapshot, encoded as in a checkpoint. No later decision may differ.
func TestRestoredModuleDecidesTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "day")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(folder)
		key := capture.Key{}
		w, err := capture.NewWriter(capture.WriterOptions{WaitForDisk: true, Folder: folder, Name: "n0", RunID: 1, CheckpointEvery: 100 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		newHarnessWith(rapid.SampledFrom([]policy.Settings{fewGatekeepers(), manyGatekeepers()}).Draw(t, "settings"), w, 1.7e12).playRandomEvents(t)
		w.Close()
		segments, err := capture.FindSegments(folder)
		if err != nil {
			t.Fatal(err)
		}
		set := capture.NewMultiReader(segments, &key)
		defer set.Close()
		report, err := Run(set, &key, Options{SwapModule: func(m gatekeeper.Module) gatekeeper.Module {
			if rapid.IntRange(0, 15).Draw(t, "swap") > 0 {
				return m
			}
			text, err := json.Marshal(m.(*policy.Gateway).Snapshot())
			if err != nil {
				t.Fatal(err)
			}
			var s policy.Snapshot
			if err := json.Unmarshal(text, &s); err != nil {
				t.Fatal(err)
			}
			g, err := policy.Restore(s)
			if err != nil {
				t.Fatal(err)
			}
			return g
		}})
		if err != nil || len(report.Differences) > 0 {
			t.Fatalf("report %+v, error %v; want no differences", report, err)
		}
	})
}

// TestReplayStartsAtCheckpoint checks that if the first segment of a run is missing, the
// rest is replayed from the first checkpoint that is left.
func TestReplayStartsAtCheckpoint(t *testing.T) {
	folder := t.TempDir()
	w, err := capture.NewWriter(capture.WriterOptions{WaitForDisk: true, Folder: folder, Name: "n0", RunID: 1, SegmentBytes: 1, CheckpointEvery: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	r := newHarness(w, 1.7e12)
	r.UpdateWorkers(policy.FullList, []policy.Entry{{Server: 1, State: policy.Ready}, {Server: 2, State: policy.Ready}})
	for i := range 400 {
		r.Submit(&gatekeeper.Request{Class: i % 2, Plan: 1, Customer: uint64(i % 7), TimeLeft: 1000, EstimatedUnits: 1, GatekeeperCount: 3, Responder: r})
		r.clock.Set(r.clock.Now() + 10)
		r.RunDueTimers()
		for _, x := range r.executions {
			r.ExecutionEnded(x, gatekeeper.Outcome{Status: policy.OK, Units: 1})
		}
		r.executions = nil
	}
	w.Close()
	segments, err := capture.FindSegments(folder)
	if err != nil || len(segments) < 4 {
		t.Fatal(len(segments), err)
	}
	key := capture.Key{}
	set := capture.NewMultiReader(segments[1:], &key)
	defer set.Close()
	report, err := Run(set, &key, Options{})
	if err != nil || len(report.Differences) > 0 || report.Calls < 100 || report.Checkpoints < 2 {
		t.Errorf("report %+v, error %v; want at least 100 calls and 2 checkpoints, and no differences", report, err)
	}
}

// TestReplayOfClockStepAndDrain checks the replay of hundreds of calls at the same time, of a
// clock that jumps ahead by an hour, and of a gatekeeper whose workers all drain and whose
// clients all disconnect.
func TestReplayOfClockStepAndDrain(t *testing.T) {
	folder := t.TempDir()
	w, err := capture.NewWriter(capture.WriterOptions{WaitForDisk: true, Folder: folder, Name: "n0", RunID: 1})
	if err != nil {
		t.Fatal(err)
	}
	r := newHarness(w, 1.7e12)
	r.UpdateWorkers(policy.FullList, []policy.Entry{{Server: 1, State: policy.Ready}, {Server: 2, State: policy.Ready}})
	submit := func(n int) {
		for i := range n {
			q := &gatekeeper.Request{Class: i % 2, Plan: i % 2, Customer: uint64(i % 9), TimeLeft: 1500, EstimatedUnits: 1, GatekeeperCount: 3, Responder: r}
			r.open = append(r.open, q)
			r.Submit(q)
		}
	}
	submit(400)
	for _, x := range r.executions {
		r.ExecutionEnded(x, gatekeeper.Outcome{Status: policy.OK, Units: 1})
	}
	r.executions = nil
	r.clock.Set(r.clock.Now() + 3600e3)
	r.RunDueTimers()
	submit(50)
	r.UpdateWorkers(policy.ListDelta, []policy.Entry{{Server: 1, State: policy.Draining}, {Server: 2, State: policy.Draining}})
	for len(r.open) > 0 {
		q := r.open[0]
		r.removeOpen(q)
		r.ClientGone(q)
	}
	w.Close()
	report, log := replayCapture(t, folder, capture.Key{})
	if len(report.Differences) > 0 || report.Calls < 450 || !report.Complete {
		t.Errorf("report %+v, want at least 450 calls, a complete end and no differences", report)
	}
	if _, again := replayCapture(t, folder, capture.Key{}); again != log {
		t.Error("the decision logs of two replays differ")
	}
}
