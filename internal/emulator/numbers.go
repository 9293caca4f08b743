package emulator

import (
	"maps"
	"math/rand/v2"
)

// Numbers is what a counter keeps: totals by name, each for its life. Times are in
// milliseconds of whatever clock the caller has.
type Numbers struct{ by map[string]number }

type number struct{ total, until float64 }

// lifeMost is the longest life of a name, in milliseconds.
const lifeMost = 60000.0

// NewNumbers makes one that holds nothing.
func NewNumbers() *Numbers { return &Numbers{by: map[string]number{}} }

// Add adds to a number and gives the total. A name that is new, or whose life has ended,
// begins at nothing and lives from now on.
func (n *Numbers) Add(now float64, name string, amount, life float64) float64 {
	x, ok := n.by[name]
	if !ok || x.until <= now {
		n.sweep(now)
		x = number{until: now + min(max(life, 1), lifeMost)}
	}
	x.total += amount
	n.by[name] = x
	return x.total
}

// sweep forgets names whose life has ended, now and then.
func (n *Numbers) sweep(now float64) {
	if size := len(n.by); size < 1024 || size&(size-1) != 0 {
		return
	}
	maps.DeleteFunc(n.by, func(_ string, x number) bool { return x.until <= now })
}

// Copy is another with the same totals.
func (n *Numbers) Copy() *Numbers { return &Numbers{by: maps.Clone(n.by)} }

// merge adds what another has gathered since both began from one.
func (n *Numbers) merge(other, from *Numbers) {
	for name, x := range other.by {
		mine := n.by[name]
		before := from.by[name]
		if before.until != x.until { // it began anew since
			before.total = 0
		}
		mine.total += x.total - before.total
		mine.until = max(mine.until, x.until)
		n.by[name] = mine
	}
}

// CounterTrouble is what ails a counter at present. The zero value is nothing.
type CounterTrouble struct {
	Slow      float64 // times that a call takes, where over 1
	Late      float64 // milliseconds that an answer comes later than its addition
	LoseEvery int     // of so many additions one is acknowledged and not made
	Silent    float64 // part of the calls that are made and never answered
	Spoilt    float64 // part of the answers that hold no number
	Down      bool    // calls are neither made nor answered
}

// CounterConfig is what a Counter is made of.
type CounterConfig struct {
	Each  float64 // milliseconds that a call takes; they are served in turn
	Queue float64 // milliseconds that its line may be long; calls beyond are turned away
	Seed  uint64
}

// Counter is a stand-in for the shared counter, free of I/O: who calls it says what time it
// is, and waits as long as it is told. It has two sides, which a split cuts apart.
type Counter struct {
	Trouble CounterTrouble
	// Made is the additions that were made, Calls the calls that came.
	Made, Calls int

	config CounterConfig
	random *rand.Rand
	sides  [2]*Numbers // one and the same, but in a split
	from   *Numbers    // what both began the split from
	free   [2]float64  // when each has served what it took; they share a machine unless split
}

// NewCounter makes a counter that holds nothing.
func NewCounter(c CounterConfig) *Counter {
	n := NewNumbers()
	return &Counter{config: c, random: rand.New(rand.NewPCG(c.Seed, 2)), sides: [2]*Numbers{n, n}}
}

// Heard is what a caller hears of a call.
type Heard int

// What is heard.
const (
	Added      Heard = iota // the total
	TurnedAway              // nothing was added
	Nothing                 // it may have been added
	Noise                   // it was added, and no number tells to what
)

// Answer is what becomes of a call: what is heard, and when.
type Answer struct {
	Heard Heard
	At    float64
	Total float64
}

// Call adds to a number for a caller at one of the sides.
func (c *Counter) Call(now float64, side int, name string, amount, life float64) Answer {
	c.Calls++
	t := &c.Trouble
	if t.Down {
		return Answer{Heard: Nothing}
	}
	line := side
	if !c.Split() {
		line = 0
	}
	begin := max(c.free[line], now)
	if c.config.Queue > 0 && begin-now > c.config.Queue {
		return Answer{Heard: TurnedAway, At: now}
	}
	c.free[line] = begin + c.config.Each*max(t.Slow, 1)
	a := Answer{At: c.free[line] + t.Late}
	if t.LoseEvery > 0 && c.Calls%t.LoseEvery == 0 {
		a.Total = c.sides[side].Add(now, name, 0, life) + amount
		return a
	}
	c.Made++
	a.Total = c.sides[side].Add(now, name, amount, life)
	switch r := c.random.Float64(); {
	case r < t.Silent:
		a.Heard = Nothing
	case r < t.Silent+t.Spoilt:
		a.Heard = Noise
	}
	return a
}

// Split tells whether the sides are apart.
func (c *Counter) Split() bool { return c.sides[0] != c.sides[1] }

// Part cuts the sides apart: from now on each has a history of its own.
func (c *Counter) Part() {
	if !c.Split() {
		c.from = c.sides[0].Copy()
		c.sides[1] = c.sides[0].Copy()
		c.free[1] = c.free[0]
	}
}

// Rejoin brings the sides together. Where sum is set both histories count; else the first
// side's is kept, and what the second has gathered meanwhile is lost.
func (c *Counter) Rejoin(sum bool) {
	if !c.Split() {
		return
	}
	if sum {
		c.sides[0].merge(c.sides[1], c.from)
	}
	c.sides[1], c.free[0] = c.sides[0], max(c.free[0], c.free[1])
}

// Snapshot is what it holds now, to be restored later.
func (c *Counter) Snapshot() *Numbers { return c.sides[0].Copy() }

// Replace puts another in its place: one that holds what a snapshot does, nothing where that
// is nil.
func (c *Counter) Replace(with *Numbers) {
	if with == nil {
		with = NewNumbers()
	}
	n := with.Copy()
	c.sides = [2]*Numbers{n, n}
}
