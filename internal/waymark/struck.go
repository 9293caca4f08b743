package waymark

// TermShift parts a roster's version: above it the term of the duty that read the platform's list, below it a number.
const TermShift = 32

// Struck is a worker to which nothing more is to be sent, by the platform's list as a bothy has read it while
// nobody had the duty to. Such facts only take away, so they add up in any order. They are fenced: At is the newest
// version of the roster that was known then, and whatever a holder of the duty tells of the worker in a
// later version, or of all in a later term, goes before it.
type Struck struct {
	ID string `cbor:"1,keyasint,omitempty"`
	At uint64 `cbor:"2,keyasint,omitempty"`
}

// Void tells whether a holder's word goes before it: that of a version about all, and about the worker at another.
func (s Struck) Void(version, changed uint64) bool {
	return version>>TermShift > s.At>>TermShift || changed > s.At
}
