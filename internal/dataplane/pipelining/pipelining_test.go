package pipelining

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "foxwood/internal/fixedseed"
)

const (
	instalment = iota
	simulation
	unsafe
)

// testTerms returns classes similar to the platform's: instalment with a target of 400 ms,
// simulation keyed with a window as long as its deadline, and one that must never run twice.
func testTerms(class int) ClassTerms {
	return [...]ClassTerms{{TargetMS: 400, MayShare: true}, {TargetMS: 750, MayShare: true}, {TargetMS: 400}}[class]
}

// newTrainedEstimator returns an estimator that has seen each class take the given time.
func newTrainedEstimator(ms ...float64) *Estimator {
	estimator := NewEstimator(testTerms)
	for class, m := range ms {
		for range 50 {
			estimator.Observe(class, m)
		}
	}
	return estimator
}

func newPipeline(maxPending int, classes ...int) Pipeline {
	pipeline := Pipeline{MaxPending: maxPending}
	for _, c := range classes {
		pipeline.Pending = append(pipeline.Pending, PendingRequest{Class: c})
	}
	return pipeline
}

func TestChooseLine(t *testing.T) {
	short := newTrainedEstimator(4, 2000, 4)
	for name, tc := range map[string]struct {
		table          *Estimator
		class          int
		lines          []Pipeline
		room, overflow bool
		want           Choice
	}{
		"an empty pipeline first":                       {short, instalment, []Pipeline{newPipeline(4, instalment), newPipeline(4)}, true, true, 1},
		"then a new connection":                         {short, instalment, []Pipeline{newPipeline(4, instalment)}, true, true, OpenNew},
		"then the shortest wait":                        {short, instalment, []Pipeline{newPipeline(4, instalment, instalment), newPipeline(4, instalment)}, false, true, 1},
		"never behind a slow request":                   {short, instalment, []Pipeline{newPipeline(4, simulation)}, false, true, OpenNew},
		"nor if no connection can be opened":            {short, instalment, []Pipeline{newPipeline(4, simulation)}, false, false, NoPipeline},
		"a slow request behind a quick one":             {short, simulation, []Pipeline{newPipeline(4, instalment)}, false, true, 0},
		"a full pipeline":                               {short, instalment, []Pipeline{newPipeline(2, instalment, instalment)}, false, true, OpenNew},
		"an unsafe request does not share":              {short, unsafe, []Pipeline{newPipeline(4, instalment)}, false, true, OpenNew},
		"nothing is pipelined behind an unsafe request": {short, instalment, []Pipeline{newPipeline(4, unsafe)}, false, true, OpenNew},
		"unknown times are not trusted":                 {NewEstimator(testTerms), instalment, []Pipeline{newPipeline(4, instalment)}, false, true, OpenNew},
		"too many quick requests pending":               {newTrainedEstimator(8), instalment, []Pipeline{newPipeline(9, instalment, instalment, instalment)}, false, true, OpenNew},
		"no pipeline":                                   {short, instalment, nil, false, false, NoPipeline},
	} {
		t.Run(name, func(t *testing.T) {
			if got := tc.table.Choose(0, tc.class, tc.lines, tc.room, tc.overflow); got != tc.want {
				t.Errorf("choice %d, want %d", got, tc.want)
			}
		})
	}
}

// TestOverdueRequestDoublesExpectedTime guards against pipelining behind a request from a
// heavy tail, about whose remaining time the mean says nothing.
func TestOverdueRequestDoublesExpectedTime(t *testing.T) {
	estimator := newTrainedEstimator(4)
	pending := []PendingRequest{{Class: instalment, StartedAt: 0}}
	if w := estimator.WaitMS(1, pending); w > 4 {
		t.Errorf("1 ms into a request of 4 ms: wait %g ms, want at most 4", w)
	}
	if w := estimator.WaitMS(300, pending); w < 300 {
		t.Errorf("300 ms into a request of 4 ms: wait %g ms, want at least 300", w)
	}
	if got := estimator.Choose(300, instalment, []Pipeline{{Pending: pending, MaxPending: 4}}, false, true); got != OpenNew {
		t.Errorf("choice %d, want a new connection", got)
	}
}

// TestVaryingClassHasLongExpectedTime guards against using the mean alone, which would allow
// pipelining behind a class in which every tenth request takes 100 ms.
func TestVaryingClassHasLongExpectedTime(t *testing.T) {
	estimator := NewEstimator(testTerms)
	for i := range 200 {
		ms := 2.0
		if i%10 == 0 {
			ms = 100
		}
		estimator.Observe(instalment, ms)
	}
	if got := estimator.ExpectedMS(instalment); got < 40 {
		t.Errorf("expected time %g ms, want at least 40", got)
	}
}

func TestGatherStaysWithinSlack(t *testing.T) {
	estimator := newTrainedEstimator(4, 740)
	for name, tc := range map[string]struct {
		class            int
		most, left, want float64
	}{
		"fraction of the slack":             {instalment, 20, 2000, 3.96},
		"configured maximum":                {instalment, 1, 2000, 1},
		"limited by the client's time left": {instalment, 20, 104, 1},
		"no time left":                      {instalment, 20, 3, 0},
		"class without slack":               {simulation, 20, 740, 0},
	} {
		if got := estimator.BatchDelayMS(tc.class, tc.most, tc.left); math.Abs(got-tc.want) > 0.05 {
			t.Errorf("%s: delay %g ms, want %g", name, got, tc.want)
		}
	}
}

// TestChosenLineObeysRules checks the rules as properties over random estimators and
// pipelines.
func TestChosenLineObeysRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := NewEstimator(testTerms)
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			estimator.Observe(rapid.IntRange(0, 2).Draw(t, "of"), rapid.Float64Range(0, 3000).Draw(t, "ms"))
		}
		now := rapid.Float64Range(0, 5000).Draw(t, "now")
		pipelines := make([]Pipeline, rapid.IntRange(0, 4).Draw(t, "lines"))
		for i := range pipelines {
			pipelines[i].MaxPending = rapid.IntRange(0, 4).Draw(t, "most")
			for range rapid.IntRange(0, pipelines[i].MaxPending).Draw(t, "length") {
				pipelines[i].Pending = append(pipelines[i].Pending, PendingRequest{Class: rapid.IntRange(0, 2).Draw(t, "class"), StartedAt: rapid.Float64Range(0, now).Draw(t, "since")})
			}
		}
		class := rapid.IntRange(0, 2).Draw(t, "class")
		choice := estimator.Choose(now, class, pipelines, rapid.Bool().Draw(t, "room"), rapid.Bool().Draw(t, "overflow"))
		if choice < 0 {
			return
		}
		pipeline := pipelines[choice]
		if len(pipeline.Pending) >= pipeline.MaxPending {
			t.Fatal("chose a full pipeline")
		}
		for _, e := range pipeline.Pending {
			if !testTerms(e.Class).MayShare || !testTerms(class).MayShare {
				t.Fatal("shared a connection with a request that must not share")
			}
		}
		if w := estimator.WaitMS(now, pipeline.Pending); w > maxWaitFraction*testTerms(class).TargetMS {
			t.Fatalf("wait of %g ms exceeds the limit", w)
		}
	})
}
