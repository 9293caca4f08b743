package whiteout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/testing/standin"
)

// TestJudge: the rehearsal must see what it is there to see.
func TestJudge(t *testing.T) {
	zero := time.Unix(1000, 0)
	at := func(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }
	one := func(id string, s float64, gate, rank, route, end int) *try {
		return &try{id: id, gate: gate, caller: "c", rank: rank, route: route, sent: at(s), ended: at(s + 0.01), end: end}
	}
	moved := []change{{at(5), -1}, {at(5.6), -1}}
	for _, c := range []struct {
		name  string
		tries []*try
		runs  map[string]int
		aways []away
		want  verdict
	}{
		{"well", []*try{one("a", 1, 0, 0, 1, endOK), one("b", 1.1, 1, 1, 1, endShed)}, map[string]int{"a": 1}, nil, verdict{tries: 2, pairs: 1, pairsAll: 1}},
		{"an unsafe one twice", []*try{one("a", 1, 0, 0, 1, endOK)}, map[string]int{"a": 2}, nil, verdict{tries: 1, unsafeTwice: 1}},
		{"a safe one twice", []*try{one("a", 1, 0, 0, 0, endOK)}, map[string]int{"a": 2}, nil, verdict{tries: 1}},
		{"accepted and lost", []*try{one("a", 1, 0, 0, 1, endOK)}, nil, nil, verdict{tries: 1, lost: 1}},
		{"refused and run", []*try{one("a", 1, 0, 0, 1, endShed)}, map[string]int{"a": 1}, nil, verdict{tries: 1, refusedRan: 1}},
		{"a higher tier shed", []*try{one("a", 1, 0, 0, 1, endShed), one("b", 3, 0, 1, 1, endOK)}, map[string]int{"b": 1}, nil, verdict{tries: 2, outOfOrder: 1}},
		{"while it settles", []*try{one("a", 5.2, 0, 0, 1, endShed), one("b", 5.5, 0, 1, 1, endOK)}, map[string]int{"b": 1}, nil, verdict{tries: 2}},
		{"while a second change settles", []*try{one("a", 6.2, 0, 0, 1, endShed), one("b", 6.4, 0, 1, 1, endOK)}, map[string]int{"b": 1}, nil, verdict{tries: 2}},
		{"before and after", []*try{one("a", 1, 0, 0, 1, endShed), one("b", 7, 0, 1, 1, endOK)}, map[string]int{"b": 1}, nil, verdict{tries: 2}},
		{"one that is cut off", []*try{one("a", 1, 0, 0, 1, endShed), one("b", 3, 1, 1, 1, endOK)}, map[string]int{"b": 1},
			[]away{{0, at(0.5), at(4)}}, verdict{tries: 2}},
		{"one that is cut off, by itself", []*try{one("a", 1, 0, 0, 1, endShed), one("b", 3, 0, 1, 1, endOK)}, map[string]int{"b": 1},
			[]away{{0, at(0.5), at(4)}}, verdict{tries: 2, outOfOrder: 1}},
	} {
		book := standin.NewLedger()
		for id, n := range c.runs {
			book.Runs[id] = n
		}
		for _, whole := range []bool{true, false} {
			got := judge(c.tries, book, moved, c.aways, zero, at(10), whole)
			got.order, got.stable = "", 0
			assert.Equal(t, got, c.want, c.name)
		}
	}
}

// TestJudgeServices: of two services each has its own order; under one cut they have one.
func TestJudgeServices(t *testing.T) {
	zero := time.Unix(1000, 0)
	at := func(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }
	tries := []*try{{id: "a", caller: "a", rank: 1, route: 1, sent: at(1), ended: at(1), end: endShed},
		{id: "b", caller: "b", rank: 2, route: 2, sent: at(2), ended: at(2), end: endOK}}
	book := &standin.Ledger{Runs: map[string]int{"b": 1}}
	assert.Equal(t, judge(tries, book, nil, nil, zero, at(10), false).outOfOrder, 0)
	assert.Equal(t, judge(tries, book, nil, nil, zero, at(10), true).outOfOrder, 1)
	tries[1].route = 1
	assert.Equal(t, judge(tries, book, nil, nil, zero, at(10), false).outOfOrder, 1)
}
