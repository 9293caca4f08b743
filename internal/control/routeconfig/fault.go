package routeconfig

import "fmt"

// FaultKind classifies the faults of a configuration. The list below is closed.
type FaultKind string

// The kinds of fault.
const (
	Unreadable         FaultKind = "unreadable"          // not exactly one JSON object, or nested too deeply
	InvalidVersion     FaultKind = "odd_edition"         // not eight hexadecimal digits
	MissingRoutes      FaultKind = "no_courses"          // the table of routes (courses) is missing
	InvalidTable       FaultKind = "odd_table"           // neither columns with rows nor a list of objects
	RowLength          FaultKind = "row_length"          // the number of values in a row differs from the number of columns
	WrongType          FaultKind = "wrong_type"          // a value's type does not fit its field
	MissingName        FaultKind = "no_name"             // a destination or sender without a name
	DuplicateName      FaultKind = "same_name"           // two rows of a table have the same name
	DuplicateKey       FaultKind = "same_key"            // two senders have the same key
	MissingDomain      FaultKind = "no_domain"           // a route without a domain
	InvalidPrefix      FaultKind = "odd_prefix"          // a path prefix that does not start with a slash
	DuplicateRoute     FaultKind = "same_place"          // two routes have the same domain and path prefix
	UnknownKind        FaultKind = "unknown_kind"        // a kind of route that is neither safe nor unsafe
	InvalidDeadline    FaultKind = "odd_deadline"        // missing, 0, negative or not finite
	InvalidWeights     FaultKind = "odd_weights"         // a missing or negative weight, or weights whose sum is 0 or not finite
	MissingDestination FaultKind = "no_destination"      // neither a destination nor a split
	UnknownDestination FaultKind = "unknown_destination" // a destination that is not in the table of destinations
	InvalidTries       FaultKind = "odd_tries"           // fewer than 1 try
	InvalidQuota       FaultKind = "odd_quota"           // a negative rate or surge
	InvalidLimit       FaultKind = "odd_limit"           // a limit on clients that is not positive
	InvalidNumber      FaultKind = "odd_number"          // any other number that is out of range
)

// Fault is a reason to reject a configuration. Its text never contains an API key.
type Fault struct {
	Kind   FaultKind
	Path   string // of the field, such as courses[3].deadlineS; empty for the whole document
	Reason string
}

// Error implements error.
func (f *Fault) Error() string {
	if f.Path == "" {
		return fmt.Sprintf("%s (%s)", f.Reason, f.Kind)
	}
	return fmt.Sprintf("%s: %s (%s)", f.Path, f.Reason, f.Kind)
}
