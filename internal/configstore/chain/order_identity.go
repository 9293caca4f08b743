package chain

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// An operator submits an order again if its answer was lost, possibly through another machine and
// after a view change, and two operators may choose the same number. The state therefore keeps the
// identity of each committed order, so that a repeated order can be told from a conflicting one.

// maxIdentities is the maximum number of identities kept for each kind of order. The lowest numbers are
// dropped first; an order below all kept numbers counts as never seen.
const maxIdentities = 1024

// Identity is the number or version of an order and the xxh3 hash of its body.
type Identity struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Digest [16]byte
}

// identityOf returns the identity of an order.
func identityOf(no uint64, body []byte) Identity {
	return Identity{Number: no, Digest: xxh3.Hash128(body).Bytes()}
}

// identity returns the identity of a configuration or a named order.
func (c *Change) identity() Identity {
	if c.Kind == SetOrder {
		return identityOf(c.Number, c.Body)
	}
	return identityOf(c.Edition, c.Body)
}

// identities returns the identities of the committed configurations. A state written before identities
// were stored yields only the configuration in force.
func (s *State) identities() []Identity {
	if len(s.Identities) == 0 && len(s.Body) > 0 {
		return []Identity{identityOf(s.Edition, s.Body)}
	}
	return s.Identities
}

// identities returns the identities of the orders committed under a name. An order written before
// identities were stored yields only itself.
func (o *NamedOrder) identities() []Identity {
	if len(o.Identities) == 0 && len(o.Body) > 0 {
		return []Identity{identityOf(o.Number, o.Body)}
	}
	return o.Identities
}

// findIdentity searches identities, which are sorted by number, for a number.
func findIdentity(identities []Identity, no uint64) (int, bool) {
	return slices.BinarySearchFunc(identities, no, func(identity Identity, no uint64) int { return cmp.Compare(identity.Number, no) })
}

// addIdentity returns the identities with that of a change added. If the number is taken, the existing
// identity stays.
func addIdentity(identities []Identity, change Change) []Identity {
	identity := change.identity()
	index, ok := findIdentity(identities, identity.Number)
	if ok {
		return identities
	}
	identities = slices.Insert(slices.Clone(identities), index, identity)
	if excess := len(identities) - maxIdentities; excess > 0 {
		identities = identities[excess:]
	}
	return identities
}

// orderStatus is the relation of an order to the committed state.
type orderStatus uint8

const (
	orderNew         orderStatus = iota // the number is not used
	orderRepeated                       // this order is committed already
	orderConflicting                    // the number is used by a different order or, for a named order, below the one in force
)

// classify compares an order with the committed ones. A configuration below the one in force that was
// never seen is new: it is acknowledged and changes nothing. A named order below the one in force
// is a conflict, because nobody would learn that it never took effect.
func (s *State) classify(change Change) orderStatus {
	var past []Identity
	superseded := false
	switch change.Kind {
	case PutConfiguration:
		past = s.identities()
	case SetOrder:
		stored := s.Orders[change.Name]
		past, superseded = stored.identities(), change.Number <= stored.Number
	default:
		return orderNew
	}
	identity := change.identity()
	switch index, ok := findIdentity(past, identity.Number); {
	case ok && past[index] == identity:
		return orderRepeated
	case ok || superseded:
		return orderConflicting
	}
	return orderNew
}

// WasCommitted reports whether a named order was committed and in force under its number at any time.
func (s *State) WasCommitted(name string, no uint64, body []byte) bool {
	return s.classify(Change{Kind: SetOrder, Name: name, Number: no, Body: body}) == orderRepeated
}

// blocks reports whether an uncommitted order may use the number of another one or supersede
// it.
func (c Change) blocks(other Change) bool {
	switch {
	case c.Kind != other.Kind:
		return false
	case c.Kind == PutConfiguration:
		return c.Edition == other.Edition
	case c.Kind == SetOrder:
		return c.Name == other.Name && c.Number >= other.Number
	}
	return false
}
