package api

// TermShift separates the two parts of an endpoint list version: the bits above it are the term of the duty under which
// the platform's list was read, the bits below it are a sequence number.
const TermShift = 32

// WithdrawnWorker is a worker that must get no more requests: a registry found it missing from the platform's list while no
// registry held the duty of reading that list. Such records only remove workers, so they can be merged in any order.
// ListVersion fences a record: it is the newest endpoint list version known when the record was made. A later version in which
// the holder of the duty reports the worker, or any version of a later term, supersedes the record.
type WithdrawnWorker struct {
	ID          string `cbor:"1,keyasint,omitempty"`
	ListVersion uint64 `cbor:"2,keyasint,omitempty"`
}

// Superseded reports whether the record is superseded by an endpoint list of the given version in which the worker last
// changed at the version changed.
func (s WithdrawnWorker) Superseded(version, changed uint64) bool {
	return version>>TermShift > s.ListVersion>>TermShift || changed > s.ListVersion
}
