package link

import "time"

// turns decides when links with something to write are written to: at the end of each
// event, or at the end of a turn of the loop, so that all that its events made a link
// write goes out in one system call. To ask for the end of a turn costs a system call
// itself, so that is done only where it saves more: where the events of a turn often have
// one link write again.
//
// gnet says neither where a turn begins nor where it ends; but events of one turn follow
// each other at once, while between two turns lies a system call at the least.
type turns struct {
	last  time.Time // end of the last event
	turn  uint64
	event uint64
	again float64 // writes of this turn to links that it had written to before
	mean  float64 // of again, over the last turns
}

// mark is what turns keeps of one link.
type mark struct {
	dirty       bool
	turn, event uint64 // of the last call of touch
}

const (
	atOnce    = 3 * time.Microsecond
	turnsGain = 1.0 / 64
	againMost = 1.5 // writes that a turn may repeat before they are gathered
)

// began notes the beginning of an event.
func (t *turns) began(now time.Time) {
	t.event++
	if now.Sub(t.last) >= atOnce {
		t.turn++
		t.mean += turnsGain * (t.again - t.mean)
		t.again = 0
	}
}

// ended notes the end of an event.
func (t *turns) ended(now time.Time) { t.last = now }

// touch notes that a link has something to write, and tells whether that is news.
func (t *turns) touch(g *mark) bool {
	if g.turn == t.turn && g.event != t.event {
		t.again++
	}
	g.turn, g.event = t.turn, t.event
	news := !g.dirty
	g.dirty = true
	return news
}

// crowded tells whether it is worth while to ask for the end of the turn.
func (t *turns) crowded() bool { return t.mean > againMost }
