package lanes

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "foxwood/internal/fixedseed"
)

const (
	cuota = iota
	simulacion
	unsafe
)

// site is classes like the platform's: cuota wanted within 400 ms, simulacion keyed with a
// window as long as its deadline, and one that must never run twice.
func site(class int) Terms {
	return [...]Terms{{Aim: 400, Share: true}, {Aim: 750, Share: true}, {Aim: 400}}[class]
}

// learned is a table that has seen each class take so many milliseconds.
func learned(ms ...float64) *Table {
	t := NewTable(site)
	for class, m := range ms {
		for range 50 {
			t.Learn(class, m)
		}
	}
	return t
}

func line(most int, classes ...int) Line {
	l := Line{Most: most}
	for _, c := range classes {
		l.Entries = append(l.Entries, Entry{Class: c})
	}
	return l
}

func TestWhoMayStandBehindWhom(t *testing.T) {
	short := learned(4, 2000, 4)
	for name, c := range map[string]struct {
		table          *Table
		class          int
		lines          []Line
		room, overflow bool
		want           Choice
	}{
		"an empty line first":                   {short, cuota, []Line{line(4, cuota), line(4)}, true, true, 1},
		"then a link of its own":                {short, cuota, []Line{line(4, cuota)}, true, true, Open},
		"then the shortest wait":                {short, cuota, []Line{line(4, cuota, cuota), line(4, cuota)}, false, true, 1},
		"never behind a slow one":               {short, cuota, []Line{line(4, simulacion)}, false, true, Open},
		"nor where no link can be had":          {short, cuota, []Line{line(4, simulacion)}, false, false, Nobody},
		"the slow one may stand behind a quick": {short, simulacion, []Line{line(4, cuota)}, false, true, 0},
		"a full line takes nobody":              {short, cuota, []Line{line(2, cuota, cuota)}, false, true, Open},
		"one that bears no break stands alone":  {short, unsafe, []Line{line(4, cuota)}, false, true, Open},
		"and nobody stands behind it":           {short, cuota, []Line{line(4, unsafe)}, false, true, Open},
		"unknown times are not trusted":         {NewTable(site), cuota, []Line{line(4, cuota)}, false, true, Open},
		"a line of too many quick ones":         {learned(8), cuota, []Line{line(9, cuota, cuota, cuota)}, false, true, Open},
		"no line at all":                        {short, cuota, nil, false, false, Nobody},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.table.Choose(0, c.class, c.lines, c.room, c.overflow); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

// TestOneThatIsStuckIsWaitedForAsLongAgain guards against lining up behind the long one
// of a heavy tail, of whose time the mean says nothing.
func TestOneThatIsStuckIsWaitedForAsLongAgain(t *testing.T) {
	table := learned(4)
	entries := []Entry{{Class: cuota, Since: 0}}
	if w := table.Wait(1, entries); w > 4 {
		t.Errorf("1 ms into one of 4: %g ms", w)
	}
	if w := table.Wait(300, entries); w < 300 {
		t.Errorf("300 ms into one of 4: %g ms", w)
	}
	if got := table.Choose(300, cuota, []Line{{Entries: entries, Most: 4}}, false, true); got != Open {
		t.Errorf("stands behind it: %d", got)
	}
}

// TestAClassThatVariesIsExpectedToTakeLong: the mean alone would let others stand behind
// a class of which every tenth takes 100 ms.
func TestAClassThatVariesIsExpectedToTakeLong(t *testing.T) {
	table := NewTable(site)
	for i := range 200 {
		ms := 2.0
		if i%10 == 0 {
			ms = 100
		}
		table.Learn(cuota, ms)
	}
	if got := table.Expect(cuota); got < 40 {
		t.Errorf("expected to take %g ms", got)
	}
}

func TestNobodyWaitsForOthersBeyondItsSlack(t *testing.T) {
	table := learned(4, 740)
	for name, c := range map[string]struct {
		class            int
		most, left, want float64
	}{
		"a part of the slack":       {cuota, 20, 2000, 3.96},
		"the stated most":           {cuota, 1, 2000, 1},
		"its client's time":         {cuota, 20, 104, 1},
		"none left":                 {cuota, 20, 3, 0},
		"a class that has no slack": {simulacion, 20, 740, 0},
	} {
		if got := table.Gather(c.class, c.most, c.left); math.Abs(got-c.want) > 0.05 {
			t.Errorf("%s: %g ms, want %g", name, got, c.want)
		}
	}
}

// TestWhateverIsChosenKeepsTheRules is the rules as properties over random tables and
// lines.
func TestWhateverIsChosenKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(site)
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			table.Learn(rapid.IntRange(0, 2).Draw(t, "of"), rapid.Float64Range(0, 3000).Draw(t, "ms"))
		}
		now := rapid.Float64Range(0, 5000).Draw(t, "now")
		lines := make([]Line, rapid.IntRange(0, 4).Draw(t, "lines"))
		for i := range lines {
			lines[i].Most = rapid.IntRange(0, 4).Draw(t, "most")
			for range rapid.IntRange(0, lines[i].Most).Draw(t, "length") {
				lines[i].Entries = append(lines[i].Entries, Entry{Class: rapid.IntRange(0, 2).Draw(t, "class"), Since: rapid.Float64Range(0, now).Draw(t, "since")})
			}
		}
		class := rapid.IntRange(0, 2).Draw(t, "class")
		at := table.Choose(now, class, lines, rapid.Bool().Draw(t, "room"), rapid.Bool().Draw(t, "overflow"))
		if at < 0 {
			return
		}
		l := lines[at]
		if len(l.Entries) >= l.Most {
			t.Fatal("a full line")
		}
		for _, e := range l.Entries {
			if !site(e.Class).Share || !site(class).Share {
				t.Fatal("shared with one that must not")
			}
		}
		if w := table.Wait(now, l.Entries); w > waitPart*site(class).Aim {
			t.Fatalf("a wait of %g ms", w)
		}
	})
}
