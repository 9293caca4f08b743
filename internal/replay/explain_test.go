package replay

import (
	"bytes"
	"strings"
	"testing"

	"foxwood/capture"
	"foxwood/gatekeeper"
	"foxwood/policy"
)

// TestARefusalByAWindowIsExplained: one of hundreds draws on the counter, which tells it
// that the others have drawn all there is; what comes in the same window is refused unasked.
func TestARefusalByAWindowIsExplained(t *testing.T) {
	folder := t.TempDir()
	w, err := capture.NewWriter(capture.Options{Patient: true, Folder: folder, Name: "n0", Life: 1})
	if err != nil {
		t.Fatal(err)
	}
	r := newRigOf(crowded(), w, 1.7e12)
	r.Workers(policy.FullList, []policy.Entry{{Server: 1, State: policy.Ready}})
	for _, name := range []string{"the-first", "the-second"} {
		r.Take(&gatekeeper.Request{Name: name, Plan: 0, Customer: 12, Left: 2000, Units: 1, Spread: 300, Caller: r})
		for _, c := range r.calls {
			r.Counted(c, policy.OK, 23)
		}
		r.calls = nil
	}
	w.Close()
	segments, err := capture.Find(folder)
	if err != nil {
		t.Fatal(err)
	}
	key := capture.Key{}
	for name, want := range map[string]string{
		"the-first":  "with it all gatekeepers together would draw 23.00 of the 8.00 units that its quota has for a window of 3200 ms",
		"the-second": "all gatekeepers together have spent the 8.00 units that its quota has for this window of 3200 ms",
	} {
		set := capture.NewSet(segments, &key)
		defer set.Close()
		var said bytes.Buffer
		if err := Explain(&said, set, &key, name); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(said.String(), want) {
			t.Errorf("%s: %q is not in\n%s", name, want, said.String())
		}
	}
}
