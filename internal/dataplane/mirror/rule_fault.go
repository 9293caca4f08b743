package mirror

import "fmt"

// FaultKind names what is wrong with a mirroring rule. The list below is complete.
type FaultKind string

// The kinds of faults.
const (
	Unreadable          FaultKind = "unreadable"     // not exactly one JSON object
	UnknownField        FaultKind = "unknown_field"  // the field is not known
	WrongType           FaultKind = "wrong_type"     // the value's type is not the field's
	OutOfRange          FaultKind = "odd_number"     // outside the field's range
	MissingNumber       FaultKind = "no_number"      // the rule's number is missing
	StaleNumber         FaultKind = "low_number"     // not above the previous rule's number
	MissingRoutes       FaultKind = "no_routes"      // no routes, and the rule is not a stop
	ShortKey            FaultKind = "no_key"         // shorter than 8 bytes
	MissingName         FaultKind = "no_name"        // a flow source, mirror target, header or route has no name
	DuplicateEntry      FaultKind = "same_name"      // the same entry twice in one list
	UnknownSource       FaultKind = "unknown_source" // the flow's name is taken from an unknown place
	UnknownBrokenPolicy FaultKind = "unknown_broken" // neither hold nor deliver
	InvalidAddress      FaultKind = "odd_address"    // not ip:port
	MissingTarget       FaultKind = "no_shadow"      // no mirror target
	LiveAddress         FaultKind = "live_worker"    // a mirror target's address belongs to a live worker
	UnexpectedField     FaultKind = "extra_field"    // a field that this kind of rule or source must not have
)

// Fault is a reason to reject a mirroring rule. It never contains the rule's key.
type Fault struct {
	Kind   FaultKind
	Path   string // such as shadows[1].address; empty for the whole document
	Reason string
}

// Error returns the path, the reason and the kind.
func (f *Fault) Error() string {
	if f.Path == "" {
		return fmt.Sprintf("%s (%s)", f.Reason, f.Kind)
	}
	return fmt.Sprintf("%s: %s (%s)", f.Path, f.Reason, f.Kind)
}
