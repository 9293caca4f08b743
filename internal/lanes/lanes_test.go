package lanes

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "foxwood/internal/fixedseed"
)

const (
	quote = iota
	simulation
	unsafe
)

// site is classes like the platform's: cuota wanted within 400 ms, simulacion keyed with a
// window as long as its deadline, and one that must never run twice.
func testTerms(class int) Terms {
	return [...]Terms{{Aim: 400, Share: true}, {Aim: 750, Share: true}, {Aim: 400}}[class]
}

// learned is a table that has seen each class take so many milliseconds.
func newTrainedEstimator(ms ...float64) *Table {
	t := NewTable(testTerms)
	for class, m := range ms {
		for range 50 {
			t.Learn(class, m)
		}
	}
	return t
}

func newPipeline(most int, classes ...int) Line {
	l := Line{Most: most}
	for _, c := range classes {
		l.Entries = append(l.Entries, Entry{Class: c})
	}
	return l
}

func TestChooseLine(t *testing.T) {
	short := newTrainedEstimator(4, 2000, 4)
	for name, tc := range map[string]struct {
		table          *Table
		class          int
		lines          []Line
		room, overflow bool
		want           Choice
	}{
		"an empty line first":                   {short, quote, []Line{newPipeline(4, quote), newPipeline(4)}, true, true, 1},
		"then a link of its own":                {short, quote, []Line{newPipeline(4, quote)}, true, true, Open},
		"then the shortest wait":                {short, quote, []Line{newPipeline(4, quote, quote), newPipeline(4, quote)}, false, true, 1},
		"never behind a slow one":               {short, quote, []Line{newPipeline(4, simulation)}, false, true, Open},
		"nor where no link can be had":          {short, quote, []Line{newPipeline(4, simulation)}, false, false, Nobody},
		"the slow one may stand behind a quick": {short, simulation, []Line{newPipeline(4, quote)}, false, true, 0},
		"a full line takes nobody":              {short, quote, []Line{newPipeline(2, quote, quote)}, false, true, Open},
		"one that bears no break stands alone":  {short, unsafe, []Line{newPipeline(4, quote)}, false, true, Open},
		"and nobody stands behind it":           {short, quote, []Line{newPipeline(4, unsafe)}, false, true, Open},
		"unknown times are not trusted":         {NewTable(testTerms), quote, []Line{newPipeline(4, quote)}, false, true, Open},
		"a line of too many quick ones":         {newTrainedEstimator(8), quote, []Line{newPipeline(9, quote, quote, quote)}, false, true, Open},
		"no line at all":                        {short, quote, nil, false, false, Nobody},
	} {
		t.Run(name, func(t *testing.T) {
			if got := tc.table.Choose(0, tc.class, tc.lines, tc.room, tc.overflow); got != tc.want {
				t.Errorf("%d, want %d", got, tc.want)
			}
		})
	}
}

// TestOverdueRequestDoublesExpectedTime guards against lining up behind the long one
// of a heavy tail, of whose time the mean says nothing.
func TestOverdueRequestDoublesExpectedTime(t *testing.T) {
	estimator := newTrainedEstimator(4)
	pending := []Entry{{Class: quote, Since: 0}}
	if w := estimator.Wait(1, pending); w > 4 {
		t.Errorf("1 ms into one of 4: %g ms", w)
	}
	if w := estimator.Wait(300, pending); w < 300 {
		t.Errorf("300 ms into one of 4: %g ms", w)
	}
	if got := estimator.Choose(300, quote, []Line{{Entries: pending, Most: 4}}, false, true); got != Open {
		t.Errorf("stands behind it: %d", got)
	}
}

// TestVaryingClassHasLongExpectedTime: the mean alone would let others stand behind
// a class of which every tenth takes 100 ms.
func TestVaryingClassHasLongExpectedTime(t *testing.T) {
	estimator := NewTable(testTerms)
	for i := range 200 {
		ms := 2.0
		if i%10 == 0 {
			ms = 100
		}
		estimator.Learn(quote, ms)
	}
	if got := estimator.Expect(quote); got < 40 {
		t.Errorf("expected to take %g ms", got)
	}
}

func TestGatherStaysWithinSlack(t *testing.T) {
	estimator := newTrainedEstimator(4, 740)
	for name, tc := range map[string]struct {
		class            int
		most, left, want float64
	}{
		"a part of the slack":       {quote, 20, 2000, 3.96},
		"the stated most":           {quote, 1, 2000, 1},
		"its client's time":         {quote, 20, 104, 1},
		"none left":                 {quote, 20, 3, 0},
		"a class that has no slack": {simulation, 20, 740, 0},
	} {
		if got := estimator.Gather(tc.class, tc.most, tc.left); math.Abs(got-tc.want) > 0.05 {
			t.Errorf("%s: %g ms, want %g", name, got, tc.want)
		}
	}
}

// TestChosenLineObeysRules is the rules as properties over random tables and
// lines.
func TestChosenLineObeysRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := NewTable(testTerms)
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			estimator.Learn(rapid.IntRange(0, 2).Draw(t, "of"), rapid.Float64Range(0, 3000).Draw(t, "ms"))
		}
		now := rapid.Float64Range(0, 5000).Draw(t, "now")
		pipelines := make([]Line, rapid.IntRange(0, 4).Draw(t, "lines"))
		for i := range pipelines {
			pipelines[i].Most = rapid.IntRange(0, 4).Draw(t, "most")
			for range rapid.IntRange(0, pipelines[i].Most).Draw(t, "length") {
				pipelines[i].Entries = append(pipelines[i].Entries, Entry{Class: rapid.IntRange(0, 2).Draw(t, "class"), Since: rapid.Float64Range(0, now).Draw(t, "since")})
			}
		}
		class := rapid.IntRange(0, 2).Draw(t, "class")
		choice := estimator.Choose(now, class, pipelines, rapid.Bool().Draw(t, "room"), rapid.Bool().Draw(t, "overflow"))
		if choice < 0 {
			return
		}
		pipeline := pipelines[choice]
		if len(pipeline.Entries) >= pipeline.Most {
			t.Fatal("a full line")
		}
		for _, e := range pipeline.Entries {
			if !testTerms(e.Class).Share || !testTerms(class).Share {
				t.Fatal("shared with one that must not")
			}
		}
		if w := estimator.Wait(now, pipeline.Entries); w > maxWaitFraction*testTerms(class).Aim {
			t.Fatalf("a wait of %g ms", w)
		}
	})
}
