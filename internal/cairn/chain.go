package cairn

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// chain passes entries from the head to the tail and their commitment back.
type chain struct {
	below   Stamp // what the next member said it holds; zero before it has said
	sent    Stamp // the newest that it was sent
	sentAt  float64
	fillAt  float64            // when it was last sent the whole state
	waiting map[Stamp][]caller // at the head
	submits []*submitted
	asking  []*asked
}

type caller struct {
	from Ident
	id   uint64
	life uint64
}

type submitted struct {
	Submit
	until float64
	at    float64
	view  uint64
	after Stamp
	sent  bool
}

type asked struct {
	Ask
	until float64
	at    float64
	view  uint64
	need  *Stamp // what the tail had committed
}

// clearChain forgets what belongs to a view. What callers of this machine wait for is kept and
// goes to the new head.
func (m *Machine) clearChain() {
	m.below, m.sent, m.sentAt, m.fillAt, m.waiting = Stamp{}, Stamp{}, -1e18, -1e18, map[Stamp][]caller{}
}

func (m *Machine) place() int { return slices.Index(m.view.Chain, m.self) }

func (m *Machine) isTail() bool {
	n := len(m.view.Chain)
	return n > 0 && m.view.Chain[n-1] == m.self
}

// last is the newest entry held, committed or not.
func (m *Machine) last() Stamp {
	if n := len(m.tail); n > 0 {
		return m.tail[n-1].Stamp
	}
	return m.base.Last
}

func (m *Machine) log() Whole { return Whole{State: m.base, Tail: slices.Clone(m.tail)} }

// holds finds a stamp in the log: 0 for the end of what is committed, i for the i-th entry behind it.
func (m *Machine) holds(s Stamp) (int, bool) {
	if s == m.base.Last {
		return 0, true
	}
	for i, e := range m.tail {
		if e.Stamp == s {
			return i + 1, true
		}
	}
	return 0, false
}

// openView gives a view its own first entry: with it the new tail holds all that the head held.
func (m *Machine) openView() {
	if m.place() == 0 && m.last().View != m.view.No && m.isWhole() {
		m.write(Change{Kind: OpenView})
	}
	if len(m.tail) > 0 && m.isTail() && m.last().View == m.view.No {
		m.commitAt(m.last()) // after a start: all members above hold what this one holds
	}
}

// write adds an entry at the head.
func (m *Machine) write(c Change) Stamp {
	prev := m.last()
	e := Entry{Stamp: Stamp{Seq: prev.Seq + 1, View: m.view.No}, Prev: prev, Change: c}
	m.take(e)
	m.passed()
	return e.Stamp
}

func (m *Machine) take(e Entry) {
	m.tail = append(m.tail, e)
	m.sync(Record{Entry: &e})
}

// passed goes on after entries were taken: down the chain, or, at the tail, back up as committed.
func (m *Machine) passed() {
	if m.isTail() {
		if m.last().View == m.view.No {
			m.commitAt(m.last())
		}
		return
	}
	m.push()
}

// push sends the next member what it is not known to have been sent.
func (m *Machine) push() {
	at := m.place()
	if at < 0 || at+1 >= len(m.view.Chain) || m.last().View != m.view.No || m.sent == m.last() {
		return
	}
	from := len(m.tail) - 1
	if i, ok := m.holds(m.sent); ok && m.sent != (Stamp{}) {
		from = i
	}
	m.pushFrom(from)
}

// pushFrom sends the next member the entries from one on.
func (m *Machine) pushFrom(from int) {
	at := m.place()
	if at < 0 || at+1 >= len(m.view.Chain) || m.last().View != m.view.No {
		return
	}
	if from < 0 || from >= len(m.tail) {
		m.sent, m.sentAt = m.last(), m.now
		m.send(m.view.Chain[at+1], Message{Append: &Append{View: m.view.No}})
		return
	}
	m.sent, m.sentAt = m.last(), m.now
	m.send(m.view.Chain[at+1], Message{Append: &Append{View: m.view.No, Entries: slices.Clone(m.tail[from:])}})
}

// belowHolds is told by the next member what it has, and sends what it lacks: the entries behind
// that, or everything where its log is not a beginning of this one. A gap is one that it has seen
// itself; otherwise what it lacks may still be on its way.
func (m *Machine) belowHolds(s Stamp, gap bool) {
	if m.last().View != m.view.No || m.place() < 0 || s.View == m.view.No && s.Seq < m.base.Last.Seq {
		return // in the last case the word is old: what is committed is held by all
	}
	first := m.below == Stamp{}
	m.below = s
	i, known := m.holds(s)
	switch {
	case known && s == m.last():
	case known && s == (Stamp{}):
		// It holds nothing, and nothing was ever committed: push would take that for not having heard.
		if gap || m.now-m.sentAt >= m.c.Again {
			m.sent, m.sentAt = m.last(), m.now
			m.send(m.view.Chain[m.place()+1], Message{Append: &Append{View: m.view.No, Entries: slices.Clone(m.tail)}})
		}
	case known:
		// Who holds nothing at all gets everything too: with the newest entry alone it would say again
		// that there is a gap, at once and for ever.
		if first || gap || m.now-m.sentAt >= m.c.Again {
			m.pushFrom(i)
		}
	case m.now-m.fillAt >= m.c.Again:
		m.sent, m.sentAt, m.fillAt = m.last(), m.now, m.now
		m.send(m.view.Chain[m.place()+1], Message{Fill: &Fill{View: m.view.No, Whole: m.log()}})
	}
}

func (m *Machine) appendFrom(from Ident, a Append) {
	at := m.place()
	if !m.faults.noFence && a.View != m.view.No {
		if a.View < m.view.No {
			m.news(from)
		}
		return
	}
	if at <= 0 || m.view.Chain[at-1] != from {
		return
	}
	took, gap := false, false
	for _, e := range a.Entries {
		if e.Seq <= m.base.Last.Seq {
			continue
		}
		if _, ok := m.holds(e.Stamp); ok {
			continue
		}
		if e.Prev != m.last() && !(m.faults.noPrev && e.Seq > m.last().Seq) {
			gap = true
			break
		}
		m.take(e)
		took = true
	}
	if took {
		m.passed()
	}
	m.tell(gap)
}

func (m *Machine) tellAbove() { m.tell(false) }

func (m *Machine) tell(gap bool) {
	if at := m.place(); at > 0 {
		m.send(m.view.Chain[at-1], Message{Appended: &Appended{View: m.view.No, Last: m.last(), Committed: m.base.Last, Gap: gap}})
	}
}

func (m *Machine) appendedBy(from Ident, a Appended) {
	at := m.place()
	if a.View != m.view.No || at < 0 || at+1 >= len(m.view.Chain) || m.view.Chain[at+1] != from {
		return
	}
	m.commitAt(a.Committed)
	m.belowHolds(a.Last, a.Gap)
}

// fill takes the whole state from the member above, or, outside the chain, from the member that
// fills joiners. One that comes late must not take away entries that were already told upwards.
func (m *Machine) fill(from Ident, f Fill) {
	if f.View != m.view.No || !slices.Contains(m.view.Chain, from) {
		return
	}
	at := m.place()
	if at == 0 || at > 0 && m.view.Chain[at-1] != from {
		return
	}
	last := f.Whole.State.Last
	if n := len(f.Whole.Tail); n > 0 {
		last = f.Whole.Tail[n-1].Stamp
	}
	fresh := at > 0 && m.last().View != m.view.No || at < 0 && !m.filled
	if !fresh && last.Seq <= m.last().Seq && !m.faults.trustFill || last.Seq < m.base.Last.Seq {
		m.filled = true
		if at > 0 {
			m.tellAbove()
		}
		return
	}
	base, tail := f.Whole.State, slices.Clone(f.Whole.Tail)
	if base.Last.Seq < m.base.Last.Seq { // it knows less of what is committed than this machine
		i := slices.IndexFunc(tail, func(e Entry) bool { return e.Stamp == m.base.Last })
		if i < 0 {
			return
		}
		base, tail = m.base, tail[i+1:]
	}
	changed := base.Last != m.base.Last
	m.base, m.tail, m.filled = base, tail, true
	m.marked = base.Last.Seq
	m.sync(Record{Whole: &Whole{State: base, Tail: slices.Clone(tail)}})
	if changed {
		m.out.Changed = true
		m.settle()
	}
	if at > 0 {
		m.passed()
		m.tellAbove()
	}
}

// commitAt takes the word of a member that all up to an entry is committed, if this log has that entry.
func (m *Machine) commitAt(s Stamp) {
	if i, ok := m.holds(s); !ok || i == 0 {
		return
	}
	m.applyUpTo(s.Seq)
	m.out.Changed = true
	m.tellAbove()
	m.settle()
}

func (m *Machine) applyUpTo(seq uint64) {
	n := 0
	for n < len(m.tail) && m.tail[n].Seq <= seq {
		m.base = m.base.with(m.tail[n])
		n++
	}
	m.tail = slices.Clone(m.tail[n:])
}

// with is the state after an entry; the state before it stays as it is.
func (s State) with(e Entry) State {
	s.Last = e.Stamp
	c := e.Change
	switch c.Kind {
	case PutConfiguration:
		s.Past = remember(s.past(), c)
		if c.Edition > s.Edition {
			s.Edition, s.Body = c.Edition, c.Body
		}
	case Evacuate:
		s.Touched = cloned(s.Touched)
		s.Touched[c.Zone] = e.Stamp
		if _, ok := s.Evacuated[c.Zone]; !ok {
			s.Evacuated = cloned(s.Evacuated)
			s.Evacuated[c.Zone] = e.Seq
		}
	case TakeBack:
		s.Touched = cloned(s.Touched)
		s.Touched[c.Zone] = e.Stamp
		if _, ok := s.Evacuated[c.Zone]; ok {
			s.Evacuated = cloned(s.Evacuated)
			delete(s.Evacuated, c.Zone)
		}
	case SetOrder:
		if o, ok := s.Orders[c.Name]; !ok || c.No > o.No {
			s.Orders = cloned(s.Orders)
			s.Orders[c.Name] = Order{No: c.No, Body: c.Body, Past: remember(o.past(), c)}
		}
	}
	return s
}

func cloned[V any](in map[string]V) map[string]V {
	if in == nil {
		return map[string]V{}
	}
	return maps.Clone(in)
}

// settle answers those who waited for what is now committed.
func (m *Machine) settle() {
	order := func(a, b Stamp) int { return cmp.Compare(a.Seq, b.Seq) } // one seed, one run
	for _, s := range slices.SortedFunc(maps.Keys(m.waiting), order) {
		if s.Seq <= m.base.Last.Seq {
			for _, c := range m.waiting[s] {
				m.send(c.from, Message{Entered: &Entered{ID: c.id, Life: c.life}})
			}
			delete(m.waiting, s)
		}
	}
	m.asking = slices.DeleteFunc(m.asking, func(a *asked) bool {
		if a.need == nil || a.need.Seq > m.base.Last.Seq {
			return false
		}
		m.out.Done = append(m.out.Done, Result{ID: a.ID, Outcome: OK, State: m.State()})
		return true
	})
}

func (m *Machine) submit(s Submit) {
	m.submits = append(m.submits, &submitted{Submit: s, until: m.now + m.c.Answer, at: -1e18})
}

func (m *Machine) ask(a Ask) {
	m.asking = append(m.asking, &asked{Ask: a, until: m.now + m.c.Answer, at: -1e18})
}

// resend gives up what took too long and sends again what was not answered, to the head or tail of now.
func (m *Machine) resend() {
	m.submits = slices.DeleteFunc(m.submits, func(s *submitted) bool {
		if m.now >= s.until {
			o := Unavailable
			if s.sent {
				o = Unknown
			}
			m.out.Done = append(m.out.Done, Result{ID: s.ID, Outcome: o})
			return true
		}
		if s.after.less(m.base.Last) {
			s.after = m.base.Last
		}
		if n := len(m.view.Chain); n > 0 && (m.now-s.at >= m.c.Again || s.view != m.view.No) {
			s.at, s.view, s.sent = m.now, m.view.No, true
			m.send(m.view.Chain[0], Message{Enter: &Enter{ID: s.ID, Life: m.life, After: s.after, Change: s.Change}})
		}
		return false
	})
	m.asking = slices.DeleteFunc(m.asking, func(a *asked) bool {
		if m.now >= a.until {
			m.out.Done = append(m.out.Done, Result{ID: a.ID, Outcome: Unavailable})
			return true
		}
		if n := len(m.view.Chain); n > 0 && a.need == nil && (m.now-a.at >= m.c.Again/2 || a.view != m.view.No) {
			a.at, a.view = m.now, m.view.No
			m.send(m.view.Chain[n-1], Message{Confirm: &Confirm{ID: a.ID, Life: m.life}})
		}
		return false
	})
	if at := m.place(); at >= 0 && !m.isTail() && m.last().View == m.view.No && m.below != m.last() && m.now-m.sentAt >= m.c.Again {
		if m.below == (Stamp{}) {
			m.sent = Stamp{}
			m.push()
		} else {
			m.belowHolds(m.below, true)
		}
	}
}

// enter takes a change at the head. One that is under way already gets another caller, not another
// entry: callers send again, and bodies are large. An order whose number is committed is judged by the identity
// that is committed under it: the same is confirmed through the chain once more, another is refused. While the
// number is under way only, another order waits: which of them will be committed is not known yet.
func (m *Machine) enter(from Ident, e Enter) {
	if m.place() != 0 || m.last().View != m.view.No || e.Change.Kind == OpenView || e.Change.Kind == Repeat {
		return
	}
	c := caller{from, e.ID, e.Life}
	switch m.base.judge(e.Change) {
	case another:
		m.send(from, Message{Entered: &Entered{ID: e.ID, Life: e.Life, Refused: true}})
		return
	case repeated:
		e.Change = Change{Kind: Repeat, Edition: e.Change.Edition, Name: e.Change.Name, No: e.Change.No}
	}
	touched := m.base.Touched[e.Change.Zone]
	for _, t := range m.tail {
		if e.Change.zoned() && t.Change.zoned() && t.Change.Zone == e.Change.Zone {
			touched = t.Stamp
		}
		w := m.waiting[t.Stamp]
		if slices.Contains(w, c) {
			return
		}
		// Another caller's order for a zone gets its own entry: between the two, the zone may have
		// been asked to change back by one who gave up.
		if !e.Change.zoned() && t.Change.equal(e.Change) {
			m.waiting[t.Stamp] = append(w, c)
			return
		}
		if t.Change.inTheWayOf(e.Change) {
			return
		}
	}
	if e.Change.zoned() && e.After.less(touched) && !m.faults.lateOrders {
		m.send(from, Message{Entered: &Entered{ID: e.ID, Life: e.Life, Stale: m.last()}})
		return
	}
	if len(m.tail) >= m.c.Window {
		return
	}
	s := Stamp{Seq: m.last().Seq + 1, View: m.view.No}
	m.waiting[s] = append(m.waiting[s], c) // before the write: a chain of one commits within it
	m.write(e.Change)
	if m.faults.ackEarly {
		m.send(from, Message{Entered: &Entered{ID: e.ID, Life: e.Life}})
	}
}

func (m *Machine) entered(e Entered) {
	if e.Life != m.life {
		return
	}
	m.submits = slices.DeleteFunc(m.submits, func(s *submitted) bool {
		if s.ID != e.ID {
			return false
		}
		if e.Stale != (Stamp{}) {
			if s.after.less(e.Stale) {
				s.after, s.at = e.Stale, -1e18
			}
			return false
		}
		o := OK
		if e.Refused {
			o = Refused
		}
		m.out.Done = append(m.out.Done, Result{ID: s.ID, Outcome: o})
		return true
	})
}

// confirm answers at the tail, once it holds the view's opening entry and while its leases last.
func (m *Machine) confirm(from Ident, c Confirm) {
	if !m.isTail() || m.base.Last.View != m.view.No || m.leasedUntil() <= m.now && !m.faults.ignoreLeases {
		return
	}
	a := &ConfirmAnswer{ID: c.ID, Life: c.Life, At: m.base.Last}
	if !slices.Contains(m.view.Chain, from) {
		a.State = m.State()
		a.State.Past = nil // the head judges by them, nobody else
	}
	m.send(from, Message{ConfirmAnswer: a})
}

func (m *Machine) confirmed(a ConfirmAnswer) {
	if a.Life != m.life {
		return
	}
	m.asking = slices.DeleteFunc(m.asking, func(q *asked) bool {
		if q.ID != a.ID {
			return false
		}
		switch {
		case a.At.Seq <= m.base.Last.Seq:
			m.out.Done = append(m.out.Done, Result{ID: q.ID, Outcome: OK, State: m.State()})
			return true
		case a.State != nil:
			m.out.Done = append(m.out.Done, Result{ID: q.ID, Outcome: OK, State: a.State})
			return true
		}
		q.need = &a.At
		return false
	})
}

// zoned says whether a change only holds in its order with others of the same zone.
func (c Change) zoned() bool { return c.Kind == Evacuate || c.Kind == TakeBack }

func (c Change) equal(o Change) bool {
	return c.Kind == o.Kind && c.Edition == o.Edition && c.Zone == o.Zone && c.Name == o.Name && c.No == o.No &&
		bytes.Equal(c.Body, o.Body)
}
