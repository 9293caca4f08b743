package replay

import (
	"bytes"
	"strings"
	"testing"

	"foxwood/capture"
	"foxwood/gatekeeper"
	"foxwood/policy"
)

// recordQuotaRun records a run of a gatekeeper that gets n requests of one customer at equal
// intervals.
func recordQuotaRun(t *testing.T, startMs float64, n int, intervalMs float64) capture.MultiReader {
	t.Helper()
	folder := t.TempDir()
	w, err := capture.NewWriter(capture.WriterOptions{WaitForDisk: true, Folder: folder, Name: "n", RunID: uint64(startMs)})
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{clock: gatekeeper.NewClock()}
	r.clock.Set(startMs)
	s := fewGatekeepers()
	s.HasCounter, s.GatewayCount, s.SettlesUnits = false, 1, false
	s.Plans[1] = policy.Plan{Rate: 10, Burst: 20, Price: 1}
	r.Gatekeeper = gatekeeper.New(gatekeeper.Config{Settings: s, Seed: 1, Clock: r.clock, Workers: r, Counter: r, RequestWakeUp: func(float64) {}, Recorder: w})
	r.UpdateWorkers(policy.FullList, []policy.Entry{{Server: 1, State: policy.Ready}})
	for range n {
		r.Submit(&gatekeeper.Request{Class: 0, Plan: 1, Customer: 77, TimeLeft: 1000, EstimatedUnits: 1, GatekeeperCount: 1, Responder: r})
		for _, x := range r.executions {
			r.ExecutionEnded(x, gatekeeper.Outcome{Status: policy.OK})
		}
		r.executions = nil
		r.clock.Set(r.clock.Now() + intervalMs)
		r.RunDueTimers()
	}
	w.Close()
	segments, err := capture.FindSegments(folder)
	if err != nil {
		t.Fatal(err)
	}
	return *capture.NewMultiReader(segments, &capture.Key{})
}

// TestAuditAddsUpAllGatekeepers: two gatekeepers that don't know of each other both keep to
// a quota of 10 units per second and a burst of 20. Together they send twice as much, which
// only an audit of their merged captures shows.
func TestAuditAddsUpAllGatekeepers(t *testing.T) {
	key := capture.Key{}
	audit := func(starts ...float64) *Account {
		var all []NamedSource
		for i, at := range starts {
			set := recordQuotaRun(t, at, 40, 1)
			t.Cleanup(set.Close)
			all = append(all, NamedSource{Name: string(rune('a' + i)), From: &set})
		}
		accounts, err := Audit(Merge(all...), &key)
		if err != nil || len(accounts) != 1 || accounts[0].Customer != 77 {
			t.Fatalf("accounts %v, error %v; want one account, of customer 77", accounts, err)
		}
		return accounts[0]
	}
	single := audit(1.7e12)
	if single.Sent < 20 || single.Sent > 21 || single.OverQuota > 0.01 {
		t.Errorf("one gatekeeper: %+v, want about 20 sent and no excess", single)
	}
	if together := audit(1.7e12, 1.7e12+2); together.Sent != 2*single.Sent || together.OverQuota < 19 || together.Requests != 80 || together.Sent+together.Refused != 80 {
		t.Errorf("two gatekeepers: %+v, want twice as many sent as by one, and an excess of the quota of about 20", together)
	}
	if oneMinuteApart := audit(1.7e12, 1.7e12+60000); oneMinuteApart.OverQuota > 0.01 {
		t.Errorf("two gatekeepers, one minute apart: %+v, want no excess", oneMinuteApart)
	}
}

// TestCompareSettings checks that with a tenth of the rate and burst more requests are
// refused, and that the first decision that differs is reported.
func TestCompareSettings(t *testing.T) {
	key := capture.Key{}
	set := recordQuotaRun(t, 1.7e12, 40, 1)
	defer set.Close()
	a, err := Compare(&set, &key, func(s policy.Settings, seed uint64) gatekeeper.Module {
		s.Plans[1].Rate, s.Plans[1].Burst = 1, 2
		return policy.New(s, seed)
	}, nil)
	if err != nil || a.First == nil {
		t.Fatalf("comparison %+v, error %v; want a difference", a, err)
	}
	var b bytes.Buffer
	if err := a.Write(&b); err != nil || !strings.Contains(b.String(), "the first that differs: at ") {
		t.Errorf("error %v, output without the first difference:\n%s", err, b.String())
	}
	checkChart(t, a)
	c := a.Counts[requestKind{0, 1}]
	if c[sent][refused] < 17 || c[refused][sent] > 0 {
		t.Errorf("requests by recorded and other decision: %v, want at least 17 refused only by the other", c)
	}
	same := recordQuotaRun(t, 1.7e12, 40, 1)
	defer same.Close()
	if a, err := Compare(&same, &key, func(s policy.Settings, seed uint64) gatekeeper.Module { return policy.New(s, seed) }, nil); err != nil || a.First != nil {
		t.Errorf("the same settings: first difference %+v, error %v; want none", a.First, err)
	}
}
