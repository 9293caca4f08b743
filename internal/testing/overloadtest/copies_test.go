package overloadtest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc/api"
	"foxwood/internal/testing/standin"
)

// TestCopyReportFindsViolations checks that each violation of the shadowing rules is reported once
// and that a correct run has none.
func TestCopyReportFindsViolations(t *testing.T) {
	headerOf := func(n, of string) string { return "whole; journey=1; n=" + n + "; of=" + of + "; at=0; status=200" }
	for _, tc := range []struct {
		name       string
		change     func(*loadGenerator, *standin.ExecutionLog, *shadowServer)
		violations int
	}{
		{"no violation", func(*loadGenerator, *standin.ExecutionLog, *shadowServer) {}, 0},
		{"copy received twice", func(_ *loadGenerator, _ *standin.ExecutionLog, b *shadowServer) { b.copiesByID["a-1"] = 2 }, 1},
		{"request of a journey copied twice", func(_ *loadGenerator, _ *standin.ExecutionLog, b *shadowServer) {
			b.headersByCaller["v"] = append(b.headersByCaller["v"], headerOf("1", "2"))
		}, 1},
		{"whole journey lacks a request", func(generator *loadGenerator, _ *standin.ExecutionLog, _ *shadowServer) {
			generator.attempts = append(generator.attempts, &attempt{id: "t-3", caller: "x/v", outcome: outcomeOK})
		}, 2}, // the second: no journey was delivered whole
		{"broken journey delivered", func(_ *loadGenerator, _ *standin.ExecutionLog, b *shadowServer) {
			b.headersByCaller["v"][0] = "broken; cause=gap; n=1; of=2"
		}, 1},
		{"journey cut off by the end of the run", func(_ *loadGenerator, _ *standin.ExecutionLog, b *shadowServer) {
			b.headersByCaller["u"] = []string{headerOf("1", "2")}
		}, 0},
		{"copy reached a live worker", func(_ *loadGenerator, l *standin.ExecutionLog, _ *shadowServer) { l.ShadowCopies++ }, 1},
		{"unsafe request ran twice", func(_ *loadGenerator, l *standin.ExecutionLog, _ *shadowServer) { l.Runs["t-2"] = 2 }, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			generator := &loadGenerator{attempts: []*attempt{{id: "t-1", caller: "x/v", outcome: outcomeOK}, {id: "t-2", caller: "x/v", route: 1, outcome: outcomeOK}}}
			ledger := &standin.ExecutionLog{Runs: map[string]int{"t-1": 1, "t-2": 1}}
			shadow := &shadowServer{copiesByID: map[string]int{"a-1": 1, "a-2": 1}, headersByCaller: map[string][]string{"v": {headerOf("1", "2"), headerOf("2", "2")}}}
			tc.change(generator, ledger, shadow)
			_, violations := copyReport([]*phaseCost{{mode: "off"}, {mode: "10 %"}, {mode: "off"}, {mode: "100 %"}, {mode: "off", to: time.Now()}}, generator, ledger, shadow, api.MirrorStatusResponse{})
			assert.Equal(t, len(violations), tc.violations, "%v", violations)
		})
	}
}
