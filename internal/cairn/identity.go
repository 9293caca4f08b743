package cairn

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// An operator's order comes again where its answer was lost, through any machine, and after any change of
// view; and two operators may choose one number. What a number stands for is therefore part of the state: the
// identity of each order that was committed, by which the same is told from another.

// pastMost is how many identities are kept of each kind of order. The lowest are dropped first: an order
// below all that are kept counts as one that was never seen.
const pastMost = 1024

// Identity is an order's number, an edition or another, and the xxh3 hash of its body.
type Identity struct {
	_      struct{} `cbor:",toarray"`
	No     uint64
	Digest [16]byte
}

func identityOf(no uint64, body []byte) Identity {
	return Identity{No: no, Digest: xxh3.Hash128(body).Bytes()}
}

// identity is the change's own, where it has one.
func (c *Change) identity() Identity {
	if c.Kind == SetOrder {
		return identityOf(c.No, c.Body)
	}
	return identityOf(c.Edition, c.Body)
}

// past is the identities of a state. One from before there were any knows what is in force.
func (s *State) past() []Identity {
	if len(s.Past) == 0 && len(s.Body) > 0 {
		return []Identity{identityOf(s.Edition, s.Body)}
	}
	return s.Past
}

func (o *Order) past() []Identity {
	if len(o.Past) == 0 && len(o.Body) > 0 {
		return []Identity{identityOf(o.No, o.Body)}
	}
	return o.Past
}

func find(past []Identity, no uint64) (int, bool) {
	return slices.BinarySearchFunc(past, no, func(x Identity, no uint64) int { return cmp.Compare(x.No, no) })
}

// remember is the identities with a change's among them; the first under a number stays.
func remember(past []Identity, c Change) []Identity {
	id := c.identity()
	i, ok := find(past, id.No)
	if ok {
		return past
	}
	past = slices.Insert(slices.Clone(past), i, id)
	if n := len(past) - pastMost; n > 0 {
		past = past[n:]
	}
	return past
}

// verdict is what a committed state makes of an order.
type verdict uint8

const (
	fresh    verdict = iota // its number is not taken
	repeated                // it is committed already
	another                 // its number is taken, or overtaken
)

// judge tells an order that came again from another under the same number. A configuration below the one in
// force that was never seen is fresh: it is acknowledged and changes nothing. An order by name is not: nobody
// would learn that it never held.
func (s *State) judge(c Change) verdict {
	var past []Identity
	low := false
	switch c.Kind {
	case PutConfiguration:
		past = s.past()
	case SetOrder:
		o := s.Orders[c.Name]
		past, low = o.past(), c.No <= o.No
	default:
		return fresh
	}
	id := c.identity()
	switch i, ok := find(past, id.No); {
	case ok && past[i] == id:
		return repeated
	case ok || low:
		return another
	}
	return fresh
}

// Took tells whether an order by name was committed and in force under its number, now or before.
func (s *State) Took(name string, no uint64, body []byte) bool {
	return s.judge(Change{Kind: SetOrder, Name: name, No: no, Body: body}) == repeated
}

// inTheWayOf says whether an order that is under way may take another's number, or overtake it.
func (c Change) inTheWayOf(o Change) bool {
	switch {
	case c.Kind != o.Kind:
		return false
	case c.Kind == PutConfiguration:
		return c.Edition == o.Edition
	case c.Kind == SetOrder:
		return c.Name == o.Name && c.No >= o.No
	}
	return false
}
