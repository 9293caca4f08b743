package timetable

import "fmt"

// FaultKind classifies the faults of a configuration. The list below is closed.
type FaultKind string

// The kinds of fault.
const (
	Unreadable         FaultKind = "unreadable"          // not exactly one JSON object, or nested too deeply
	OddEdition         FaultKind = "odd_edition"         // not eight hexadecimal digits
	NoCourses          FaultKind = "no_courses"          // the table of courses is missing
	OddTable           FaultKind = "odd_table"           // neither columns with rows nor a list of objects
	RowLength          FaultKind = "row_length"          // the number of values in a row differs from the number of columns
	WrongType          FaultKind = "wrong_type"          // a value's type does not fit its field
	NoName             FaultKind = "no_name"             // a destination or sender without a name
	SameName           FaultKind = "same_name"           // two rows of a table have the same name
	SameKey            FaultKind = "same_key"            // two senders have the same key
	NoDomain           FaultKind = "no_domain"           // a course without a domain
	OddPrefix          FaultKind = "odd_prefix"          // a path prefix that does not start with a slash
	SamePlace          FaultKind = "same_place"          // two courses have the same domain and path prefix
	UnknownKind        FaultKind = "unknown_kind"        // a kind of course that is neither safe nor unsafe
	OddDeadline        FaultKind = "odd_deadline"        // missing, 0, negative or not finite
	OddWeights         FaultKind = "odd_weights"         // a missing or negative weight, or weights whose sum is 0 or not finite
	NoDestination      FaultKind = "no_destination"      // neither a destination nor a split
	UnknownDestination FaultKind = "unknown_destination" // a destination that is not in the table of destinations
	OddTries           FaultKind = "odd_tries"           // fewer than 1 try
	OddQuota           FaultKind = "odd_quota"           // a negative rate or surge
	OddLimit           FaultKind = "odd_limit"           // a limit on clients that is not positive
	OddNumber          FaultKind = "odd_number"          // any other number that is out of range
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
