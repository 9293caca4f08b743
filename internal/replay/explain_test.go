package replay

import (
	"bytes"
	"strings"
	"testing"

	"foxwood/capture"
	"foxwood/gatekeeper"
	"foxwood/policy"
)

// TestExplainRefusalByQuotaWindow checks the explanation of two refusals of a gatekeeper among
// hundreds, which draws quota on the shared counter. The counter reports for the first
// request that the others have used up the window; the second request, in the same
// window, is refused without a call to the counter.
func TestExplainRefusalByQuotaWindow(t *testing.T) {
	folder := t.TempDir()
	w, err := capture.NewWriter(capture.WriterOptions{WaitForDisk: true, Folder: folder, Name: "n0", RunID: 1})
	if err != nil {
		t.Fatal(err)
	}
	r := newHarnessWith(manyGatekeepers(), w, 1.7e12)
	r.UpdateWorkers(policy.FullList, []policy.Entry{{Server: 1, State: policy.Ready}})
	for _, name := range []string{"the-first", "the-second"} {
		r.Submit(&gatekeeper.Request{Name: name, Plan: 0, Customer: 12, TimeLeft: 2000, EstimatedUnits: 1, GatekeeperCount: 300, Responder: r})
		for _, c := range r.calls {
			r.CounterCallEnded(c, policy.OK, 23)
		}
		r.calls = nil
	}
	w.Close()
	segments, err := capture.FindSegments(folder)
	if err != nil {
		t.Fatal(err)
	}
	key := capture.Key{}
	for name, want := range map[string]string{
		"the-first":  "with it all gatekeepers together would draw 23.00 of the 8.00 units that its quota has for a window of 3200 ms",
		"the-second": "all gatekeepers together have spent the 8.00 units that its quota has for this window of 3200 ms",
	} {
		set := capture.NewMultiReader(segments, &key)
		defer set.Close()
		var explanation bytes.Buffer
		if err := Explain(&explanation, set, &key, name); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(explanation.String(), want) {
			t.Errorf("%s: want %q in the explanation, got\n%s", name, want, explanation.String())
		}
	}
}
