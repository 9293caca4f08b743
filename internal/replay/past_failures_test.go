package replay

import (
	"bytes"
	"errors"
	"path/filepath"
	"testing"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/policy"
)

// TestReplayOfPastFailuresIsDeterministic replays captures of past failures, which
// TestKeepPastFailures in internal/gateway/service records. This build may decide differently from
// the one that recorded them, but it must decide the same each time, must not crash, and
// must end each request only once.
func TestReplayOfPastFailuresIsDeterministic(t *testing.T) {
	for name, want := range map[string]struct {
		lives int
		kinds []capturepb.Kind // the kinds of records that the capture is kept for
	}{
		"ranks-lost-at-sighup":  {1, []capturepb.Kind{capturepb.Kind_CLASSES}},
		"counter-late-and-lost": {1, []capturepb.Kind{capturepb.Kind_COUNT, capturepb.Kind_COUNTED, capturepb.Kind_REFUSE}},
		"workers-that-fail":     {1, []capturepb.Kind{capturepb.Kind_ENDED, capturepb.Kind_REFUSE}},
		"large-bodies":          {1, []capturepb.Kind{capturepb.Kind_FILLED, capturepb.Kind_PROGRESSED, capturepb.Kind_GONE}},
		"killed-within-a-block": {2, []capturepb.Kind{capturepb.Kind_RECOVERED}},
	} {
		t.Run(name, func(t *testing.T) {
			segments, err := capture.FindSegments(filepath.Join("testdata", "kept", name))
			if err != nil {
				t.Fatal(err)
			}
			key := capture.Key{}
			kinds := map[capturepb.Kind]int{}
			set := capture.NewMultiReader(segments, &key)
			err = set.Each(func(r *capturepb.Record) { kinds[r.GetKind()]++ }, func(err error) {
				var gap *capture.GapError
				if errors.As(err, &gap) {
					t.Fatal(err)
				}
			})
			set.Close()
			if err != nil {
				t.Fatal(err)
			}
			for _, k := range want.kinds {
				if kinds[k] == 0 {
					t.Errorf("the capture has no record of kind %s", k)
				}
			}
			var logs [2]bytes.Buffer
			for i := range logs {
				set := capture.NewMultiReader(segments, &key)
				ends := map[uint32]int{}
				report, err := Run(set, &key, Options{Log: &logs[i], MaxDifferences: 1 << 30, OnDecision: func(c Call, _ policy.Micros) {
					if c.Kind == capturepb.Kind_REFUSE || c.Kind == capturepb.Kind_FAIL {
						ends[c.RequestID]++
					}
				}})
				set.Close()
				if err != nil || report.Runs != want.lives || report.Calls < 10 {
					t.Fatalf("report %+v, error %v; want %d runs and at least 10 calls", report, err, want.lives)
				}
				for id, n := range ends {
					if n > want.lives { // each run numbers its requests from 1
						t.Errorf("request %d was refused or failed %d times in %d runs", id, n, want.lives)
					}
				}
			}
			if !bytes.Equal(logs[0].Bytes(), logs[1].Bytes()) {
				t.Error("the decision logs of two replays differ")
			}
		})
	}
}
