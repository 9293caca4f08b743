package whiteout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/testing/standin"
	"foxwood/internal/waymark"
)

// TestTheCopiesLedger sees what it is there to see.
func TestTheCopiesLedger(t *testing.T) {
	piece := func(n, of string) string { return "whole; journey=1; n=" + n + "; of=" + of + "; at=0; status=200" }
	for _, c := range []struct {
		name   string
		change func(*crowd, *standin.Ledger, *shadowBook)
		faults int
	}{
		{"well", func(*crowd, *standin.Ledger, *shadowBook) {}, 0},
		{"a copy twice", func(_ *crowd, _ *standin.Ledger, b *shadowBook) { b.ids["a-1"] = 2 }, 1},
		{"a piece twice", func(_ *crowd, _ *standin.Ledger, b *shadowBook) {
			b.pieces["v"] = append(b.pieces["v"], piece("1", "2"))
		}, 1},
		{"whole without a request", func(k *crowd, _ *standin.Ledger, _ *shadowBook) {
			k.tries = append(k.tries, &try{id: "t-3", caller: "x/v", end: endOK})
		}, 2}, // and so none is delivered whole
		{"broken, and delivered", func(_ *crowd, _ *standin.Ledger, b *shadowBook) { b.pieces["v"][0] = "broken; cause=gap; n=1; of=2" }, 1},
		{"cut off by the end", func(_ *crowd, _ *standin.Ledger, b *shadowBook) { b.pieces["u"] = []string{piece("1", "2")} }, 0},
		{"a copy at a live worker", func(_ *crowd, l *standin.Ledger, _ *shadowBook) { l.Copies++ }, 1},
		{"an unsafe one twice", func(_ *crowd, l *standin.Ledger, _ *shadowBook) { l.Runs["t-2"] = 2 }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &crowd{tries: []*try{{id: "t-1", caller: "x/v", end: endOK}, {id: "t-2", caller: "x/v", route: 1, end: endOK}}}
			live := &standin.Ledger{Runs: map[string]int{"t-1": 1, "t-2": 1}}
			book := &shadowBook{ids: map[string]int{"a-1": 1, "a-2": 1}, pieces: map[string][]string{"v": {piece("1", "2"), piece("2", "2")}}}
			c.change(k, live, book)
			_, faults := copyReport([]*spent{{mode: "off"}, {mode: "10 %"}, {mode: "off"}, {mode: "100 %"}, {mode: "off", to: time.Now()}}, k, live, book, waymark.Copies{})
			assert.Equal(t, len(faults), c.faults, "%v", faults)
		})
	}
}
