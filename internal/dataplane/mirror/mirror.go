// Package mirror implements traffic mirroring. Each gatekeeper selects live flows by a mirroring
// rule and copies their requests; one gatekeeper per flow, its collector, fetches the copies,
// checks that the flow is complete, and sends the copies in order to a mirror target. Answers of
// mirror targets are discarded.
//
// The package does no I/O. An Engine receives events with the time of a monotonic clock in
// milliseconds, and returns the calls to make, the responses to give and the copies to send.
// docs/design/shadow.md describes the protocol and proves it.
//
// A flow is a series of requests with the same name (a header, cookie or trace ID) in which no
// gap is longer than the rule's idle timeout. One request of a flow is a piece.
//
// An Engine is not safe for concurrent use.
package mirror

import "fmt"

// Member identifies one incarnation of a gatekeeper process on a node. Each flow is collected by
// one such member.
type Member struct {
	Node            string `cbor:"1,keyasint,omitempty"`
	Incarnation     uint64 `cbor:"2,keyasint,omitempty"`
	Region          string `cbor:"3,keyasint,omitempty"`
	InternalAddress string `cbor:"4,keyasint,omitempty"` // internal address for calls; not part of the identity
}

// Cause is the reason why a flow is broken or left out. The list below is complete.
type Cause uint8

// The causes. NotBroken means that the flow is not broken.
const (
	NotBroken        Cause = iota
	GatekeeperFull         // a gatekeeper had no memory or ticket left for a copy
	Overloaded             // a gatekeeper was overloaded
	BodyTooLarge           // a request body exceeded the rule's limit
	NoAnswer               // the real request got no complete answer, so it could not be copied
	OutsideRegion          // a copy would have left the regions in which the request may be served
	MemberDied             // a gatekeeper's incarnation ended before all its items were fetched
	ItemsLost              // a gatekeeper dropped items and can't tell whose
	Unresponsive           // a gatekeeper did not respond for longer than the rule waits
	Reassigned             // another member collected the flow for a part of its time
	RuleChanged            // the rule changed during the flow, and the rule that applied at its start is uncertain
	CollectorStarted       // the flow may have started before its collector did
	CollectorFull          // the collector had no memory for it
	TooLong                // it lasted longer than the rule's maximum duration
	TargetQueueFull        // the queue for its mirror target was full
	TargetIsLive           // a mirror target's address belonged to a live worker
	RuleStopped            // mirroring was stopped
	causeCount
)

var causeNames = [causeCount]string{"fine", "queue", "pressed", "too_large", "given_up", "home", "died", "gap", "silent", "moved", "changed",
	"started", "room", "long", "limit", "struck", "stopped"}

// String returns the name of the cause, as reports and counters show it.
func (c Cause) String() string {
	if c < causeCount {
		return causeNames[c]
	}
	return fmt.Sprintf("cause %d", uint8(c))
}

// Causes returns all causes but NotBroken.
func Causes() (all []Cause) {
	for c := GatekeeperFull; c < causeCount; c++ {
		all = append(all, c)
	}
	return all
}

// Config holds the settings of an Engine.
type Config struct {
	Self     Member
	Now      float64 // start of the incarnation in ms, before its first request
	MaxBytes int     // memory limit for all copies, in bytes
	// PollIntervalMs is the interval between two fetches from one gatekeeper, in ms; 0 means 500.
	PollIntervalMs float64
}

// Counts are totals since the start of the incarnation. They are encoded by name, so renamed fields
// keep the old name as a tag.
type Counts struct {
	// Requests.
	Matched  uint64 `cbor:"Seen"` // on the rule's routes
	Unnamed  uint64 // without a flow name
	Selected uint64 `cbor:"Chosen"` // of selected flows
	Copied   uint64 `cbor:"Taken"`  // copied
	Lost     uint64 // of selected flows, but not copied

	// Flows.
	Complete      uint64 `cbor:"Whole"` // found complete
	Broken        uint64
	Delivered     uint64             // all copies were answered
	Withheld      uint64             `cbor:"Held"`      // broken and not delivered
	NotSelected   uint64             `cbor:"NotChosen"` // copied for the previous rule, but not selected by the current one
	BrokenByCause [causeCount]uint64 `cbor:"By"`        // broken flows by cause

	// CopiesIssued to mirror targets.
	CopiesIssued   uint64 `cbor:"Copies"`     // issued for sending
	CopiesAnswered uint64 `cbor:"CopiesDone"` // answered
	CopiesFailed   uint64 // not answered
	CopiesUnsent   uint64 // dropped, mostly since an earlier copy of the flow was not answered

	UncertainOrder uint64 `cbor:"Doubt"` // pieces whose order within their flow is uncertain
}

// Status is the current state of an Engine. It is encoded by name, so renamed fields keep the old name
// as a tag.
type Status struct {
	RuleNumber        uint64   `cbor:"Order"`   // number of the current rule, 0 without one
	Active            bool     `cbor:"On"`      // requests are being copied
	InactiveCause     Cause    `cbor:"Why"`     // TargetIsLive or Overloaded if one of these has stopped copying
	OpenFlows         int      `cbor:"Open"`    // flows being collected here
	WaitingFlows      int      `cbor:"Waiting"` // flows in delivery or queued for it
	QueuedItems       int      `cbor:"Queued"`  // items not fetched yet
	UsedBytes         int      `cbor:"Bytes"`   // memory in use
	MaxBytes          int      `cbor:"Room"`    // memory limit in bytes
	UnresponsiveNodes []string `cbor:"Silent"`  // nodes that have not responded for over five poll intervals
	Members           int
	Counts            Counts
	CoverageAgeMs     float64 `cbor:"CoverMs"` // age of the time up to which the items of all gatekeepers are known
	MembersAgeMs      float64 `cbor:"ListMs"`  // age of the member list
	Settling          bool    // not all gatekeepers have the same rule and members
}
