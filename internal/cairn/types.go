// Package cairn implements chain replication with view changes for one machine of the core, as a
// pure state machine. Events stamped with a monotonic clock go in; records to persist, messages to
// send and results come out.
//
// The head of a chain numbers the changes and passes them down as log entries. An entry is
// committed once the tail holds it, and the commit travels back up. Reads are answered by the tail,
// which holds leases from a majority of the core. The core agrees on each next view by
// single-decree Paxos.
//
// The package reads no clock, opens no sockets or files, and takes all randomness from a seed in
// its configuration, so that a run can be repeated.
package cairn

// Ident identifies a machine together with its disk. A machine that has lost its disk gets a new
// Disk and counts as a different machine.
type Ident struct {
	Addr string `cbor:"1,keyasint,omitempty"`
	Disk string `cbor:"2,keyasint,omitempty"`
}

// View is one configuration of the cluster: the chain that replicates the state, head first, and
// the core, whose members vote on the next view.
type View struct {
	No    uint64  `cbor:"1,keyasint,omitempty"`
	Chain []Ident `cbor:"2,keyasint,omitempty"`
	Core  []Ident `cbor:"3,keyasint,omitempty"`
	// Removed counts the core members that were removed or replaced by one at another address.
	// While it stays the same, addresses were only added.
	Removed uint64 `cbor:"4,keyasint,omitempty"`
	// Epoch counts the changes of the core's addresses. All votes on other matters under one epoch
	// are taken among the same members.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	// Seats is the number of members that the core should have.
	Seats int `cbor:"6,keyasint,omitempty"`
}

// Stamp identifies a log entry by its position. A view has a single head that assigns sequence
// numbers, so no two entries share a position.
type Stamp struct {
	Seq  uint64 `cbor:"1,keyasint,omitempty"`
	View uint64 `cbor:"2,keyasint,omitempty"`
}

// Order is an operator's order that is stored under a name. The order with the highest number is in
// force. The identities of all orders that have been in force, including this one, are kept with
// it.
type Order struct {
	No   uint64 `cbor:"No"`
	Body []byte
	Past []Identity `cbor:"Past,omitempty"`
}

// State is the replicated state. It is never modified after it has been handed out.
type State struct {
	Last      Stamp
	Edition   uint64
	Body      []byte
	Evacuated map[string]uint64 // zone to the sequence number of the change that evacuated it
	Touched   map[string]Stamp  `cbor:"Touched"` // zone to the last change that evacuated it or ended its evacuation
	Orders    map[string]Order
	// Past lists the identities of committed configurations by ascending edition, whether or not they
	// ever came into force.
	Past []Identity `cbor:"Past,omitempty"`
}

// ChangeKind is the kind of a change.
type ChangeKind uint8

const (
	// OpenView opens a view. Only the head writes it.
	OpenView ChangeKind = iota
	// PutConfiguration sets the configuration if its edition is above the one in force; otherwise
	// it changes nothing.
	PutConfiguration
	// Evacuate evacuates a zone.
	Evacuate
	// TakeBack ends the evacuation of a zone.
	TakeBack
	// SetOrder stores an order under its name if its number is above the stored one.
	SetOrder
	// Repeat stands for an order that was submitted again after it had been committed. It changes
	// nothing. Only the head writes it, and its commit proves that the head is still the head.
	Repeat
)

// Change is a requested modification of the state.
type Change struct {
	Kind    ChangeKind `cbor:"1,keyasint,omitempty"`
	Edition uint64     `cbor:"2,keyasint,omitempty"`
	Body    []byte     `cbor:"3,keyasint,omitempty"`
	Zone    string     `cbor:"4,keyasint,omitempty"`
	Name    string     `cbor:"5,keyasint,omitempty"`
	No      uint64     `cbor:"6,keyasint,omitempty"`
}

// Entry is a log entry. Prev is the position of the entry before it, so two logs that share an entry
// are identical up to that entry.
type Entry struct {
	Stamp  `cbor:"1,keyasint,omitempty"`
	Prev   Stamp  `cbor:"2,keyasint,omitempty"`
	Change Change `cbor:"3,keyasint,omitempty"`
}

// Ballot orders the attempts to agree on one view.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint,omitempty"`
	By    Ident  `cbor:"2,keyasint,omitempty"`
}

// Record is a unit of durable storage. It must be on disk before the output it belongs to is
// released. Any of its parts may be absent.
type Record struct {
	Disk      string      `cbor:",omitempty"`
	First     bool        `cbor:"First,omitempty"` // the disk was created at the cluster's first start, and a core seat of its own is pending
	View      *ViewRecord `cbor:",omitempty"`
	Promise   *Promised   `cbor:",omitempty"`
	Accept    *Acceptance `cbor:",omitempty"`
	Entry     *Entry      `cbor:",omitempty"`
	Whole     *Whole      `cbor:"Whole,omitempty"`
	Committed uint64      `cbor:",omitempty"` // all entries up to this sequence number are known to be committed
}

// ViewRecord stores a decided view and whether this machine held everything that was acknowledged
// before that view.
type ViewRecord struct {
	View  View
	Whole bool `cbor:"Whole"`
}

// Promised stores a promise not to vote for a lower ballot on the view with the given number.
type Promised struct {
	For    uint64 `cbor:"For"`
	Ballot Ballot
}

// Acceptance stores a vote for a value, cast on the view with the given number.
type Acceptance struct {
	For    uint64 `cbor:"For"`
	Ballot Ballot
	Value  View
}

// Whole is a snapshot of a log: the committed state and the entries after it that may be
// uncommitted.
type Whole struct {
	State State
	Tail  []Entry `cbor:"Tail"`
}

// Message is sent from one core machine to another. Exactly one of its parts is set. A To without a
// disk addresses whichever machine has the address.
type Message struct {
	From          Ident          `cbor:"1,keyasint,omitempty"`
	To            Ident          `cbor:"2,keyasint,omitempty"`
	Beat          *Beat          `cbor:"3,keyasint,omitempty"`
	Grant         *Grant         `cbor:"4,keyasint,omitempty"`
	Release       *Grant         `cbor:"5,keyasint,omitempty"`
	Prepare       *Prepare       `cbor:"6,keyasint,omitempty"`
	Promise       *Promise       `cbor:"7,keyasint,omitempty"`
	Accept        *Accept        `cbor:"8,keyasint,omitempty"`
	Accepted      *Accepted      `cbor:"9,keyasint,omitempty"`
	News          *View          `cbor:"10,keyasint,omitempty"`
	Append        *Append        `cbor:"11,keyasint,omitempty"`
	Appended      *Appended      `cbor:"12,keyasint,omitempty"`
	Fill          *Fill          `cbor:"13,keyasint,omitempty"`
	Enter         *Enter         `cbor:"14,keyasint,omitempty"`
	Entered       *Entered       `cbor:"15,keyasint,omitempty"`
	Confirm       *Confirm       `cbor:"16,keyasint,omitempty"`
	ConfirmAnswer *ConfirmAnswer `cbor:"17,keyasint,omitempty"`
	Forget        *Forget        `cbor:"18,keyasint,omitempty"`
}

// Beat is a heartbeat. It says that a machine is running and what it holds. A heartbeat from a
// machine outside the core is a request to join.
type Beat struct {
	View      uint64 `cbor:"1,keyasint,omitempty"`
	Last      Stamp  `cbor:"2,keyasint,omitempty"`
	Committed Stamp  `cbor:"3,keyasint,omitempty"`
	Whole     bool   `cbor:"4,keyasint,omitempty"`  // the sender holds everything that was acknowledged before this view
	Filled    bool   `cbor:"5,keyasint,omitempty"`  // the sender has received a snapshot in this view
	Hears     uint64 `cbor:"6,keyasint,omitempty"`  // bit set by position in the core: the members that the sender has heard recently
	Round     uint64 `cbor:"7,keyasint,omitempty"`  // the highest ballot round the sender has seen for the next view, so that the next attempt is higher at once
	Ask       uint64 `cbor:"8,keyasint,omitempty"`  // number of the lease request by the tail; 0 for none
	Life      uint64 `cbor:"9,keyasint,omitempty"`  // incarnation of the requesting process
	Leaving   bool   `cbor:"10,keyasint,omitempty"` // the sender's process is about to end
	First     bool   `cbor:"11,keyasint,omitempty"` // the sender takes part in the cluster's first start and has never had a core seat
}

// Grant gives the lease that was requested under a number. As Message.Release it gives that lease
// back.
type Grant struct {
	View uint64 `cbor:"1,keyasint,omitempty"`
	Ask  uint64 `cbor:"2,keyasint,omitempty"`
	Life uint64 `cbor:"3,keyasint,omitempty"`
}

// Prepare asks for a promise. Base is the decided view whose core votes.
type Prepare struct {
	Ballot Ballot `cbor:"1,keyasint,omitempty"`
	Base   View   `cbor:"2,keyasint,omitempty"`
}

// Promise answers a Prepare. If OK is false, it names the higher ballot that was promised before.
type Promise struct {
	For      uint64      `cbor:"1,keyasint,omitempty"`
	Ballot   Ballot      `cbor:"2,keyasint,omitempty"`
	OK       bool        `cbor:"3,keyasint,omitempty"`
	Seen     Ballot      `cbor:"4,keyasint,omitempty"`
	Accepted *Acceptance `cbor:"5,keyasint,omitempty"`
}

// Accept asks for a vote.
type Accept struct {
	Ballot Ballot `cbor:"1,keyasint,omitempty"`
	Base   View   `cbor:"2,keyasint,omitempty"`
	Value  View   `cbor:"3,keyasint,omitempty"`
}

// Accepted answers an Accept. If OK is false, it names the higher ballot that was promised before.
type Accepted struct {
	For    uint64 `cbor:"1,keyasint,omitempty"`
	Ballot Ballot `cbor:"2,keyasint,omitempty"`
	OK     bool   `cbor:"3,keyasint,omitempty"`
	Seen   Ballot `cbor:"4,keyasint,omitempty"`
}

// Append passes log entries down the chain.
type Append struct {
	View    uint64  `cbor:"1,keyasint,omitempty"`
	Entries []Entry `cbor:"2,keyasint,omitempty"`
}

// Appended tells the predecessor in the chain what the sender holds and what it knows to be
// committed.
type Appended struct {
	View      uint64 `cbor:"1,keyasint,omitempty"`
	Last      Stamp  `cbor:"2,keyasint,omitempty"`
	Committed Stamp  `cbor:"3,keyasint,omitempty"`
	Gap       bool   `cbor:"4,keyasint,omitempty"` // the received entries did not follow on Last
}

// Fill transfers a snapshot of the log.
type Fill struct {
	View  uint64 `cbor:"1,keyasint,omitempty"`
	Whole Whole  `cbor:"2,keyasint,omitempty"`
}

// Enter forwards a change to the head, with the newest entry that the sender knew of. A zone change
// that arrives late, long after its caller gave up, must not undo what was done since. Positions
// are compared by view first, because a head that was excluded from the chain may have assigned
// many sequence numbers that were never committed.
type Enter struct {
	ID     uint64 `cbor:"1,keyasint,omitempty"`
	Life   uint64 `cbor:"2,keyasint,omitempty"`
	After  Stamp  `cbor:"3,keyasint,omitempty"`
	Change Change `cbor:"4,keyasint,omitempty"`
}

// Entered answers a forwarded change: it is committed; or, if Stale is set, the zone has changed
// meanwhile and the change must be sent again with a known position of at least Stale; or, if
// Refused is set, another order is committed under the same number and this one never will be.
type Entered struct {
	ID      uint64 `cbor:"1,keyasint,omitempty"`
	Life    uint64 `cbor:"2,keyasint,omitempty"`
	Stale   Stamp  `cbor:"3,keyasint,omitempty"`
	Refused bool   `cbor:"4,keyasint,omitempty"`
}

// Confirm asks the tail what is committed now.
type Confirm struct {
	ID   uint64 `cbor:"1,keyasint,omitempty"`
	Life uint64 `cbor:"2,keyasint,omitempty"`
}

// ConfirmAnswer says what was committed when the tail was asked. The state is included for machines
// outside the chain, which have no other way to get it.
type ConfirmAnswer struct {
	ID    uint64 `cbor:"1,keyasint,omitempty"`
	Life  uint64 `cbor:"2,keyasint,omitempty"`
	At    Stamp  `cbor:"3,keyasint,omitempty"`
	State *State `cbor:"4,keyasint,omitempty"`
}

// Forget tells a member of the chain that an operator wants a machine removed from the core of this
// view.
type Forget struct {
	View uint64 `cbor:"1,keyasint,omitempty"`
	Who  Ident  `cbor:"2,keyasint,omitempty"`
}

// Event is one input of the state machine. An empty event is a clock tick.
type Event struct {
	Message *Message
	Submit  *Submit
	Ask     *Ask
	Drop    *Drop
	Rebuild *Rebuild
	Leave   bool // the process is about to end and should hand over
}

// Drop is an operator's order to remove the machine at an address, which is gone for good, from the
// core.
type Drop struct {
	ID   uint64
	Addr string
}

// Rebuild is an operator's order to start a new core of this machine alone from its copy of the
// log, because the other members are gone for good. Last identifies the copy that the operator
// found to be the newest.
type Rebuild struct {
	ID   uint64
	Last Stamp
}

// Submit is a change requested by a local caller. IDs must not repeat within an incarnation. If the
// caller gives the newest entry that it knew of, as reported by the tail, a zone change that was
// delayed while others changed the zone is rejected.
type Submit struct {
	ID     uint64
	Change Change
	After  Stamp
}

// Ask requests the current state, including everything acknowledged before the request.
type Ask struct {
	ID uint64
}

// Outcome says how a request of a local caller ended.
type Outcome uint8

const (
	// OK means that the change is committed, or that the returned state is current as of the
	// request.
	OK Outcome = iota
	// Unavailable means that nothing was done and nothing will be.
	Unavailable
	// Unknown means that the change may take effect now, later or never.
	Unknown
	// Overtaken means that the zone was changed after the state the caller knew of, possibly by
	// this same change.
	Overtaken
	// Refused means that another order is committed under this number. The change is not in force and
	// never will be.
	Refused
)

// Result answers the request with the same ID.
type Result struct {
	ID      uint64
	Outcome Outcome
	State   *State // set for a read that is OK
}

// Out is what one step requires. The records must be on disk before the messages and results are
// released, and before the state is read.
type Out struct {
	Sync    []Record
	Send    []Message
	Done    []Result
	Changed bool // the committed state has changed
	Compact bool // the records on disk may be replaced by Snapshot
}

// Config configures a machine. Durations are in milliseconds. Zero selects the default, which is
// given behind each field.
type Config struct {
	Self     Ident // the Disk part is taken from the disk
	Seeds    []string
	FirstRun bool
	Seed     uint64 // must differ between incarnations: the incarnation and, on an empty disk, the disk's name derive from it

	Beat    float64 // interval between heartbeats: 150
	Suspect float64 // silence after which a machine is left out of the chain: 900
	Lease   float64 // duration of a lease as the tail counts it: 600
	Slack   float64 // time by which the granter extends a lease: 50
	Answer  float64 // time after which a change or a read fails: 900
	Again   float64 // delay before an unanswered message is sent again: 250
	Ballot  float64 // delay before a ballot is retried, which must exceed the lease and its slack: 900
	Vacant  float64 // silence after which a joining machine may take a member's seat: 2000
	Lost    float64 // time without a majority after which an operator may rebuild the core: 10000
	Window  int     // maximum number of uncommitted entries: 8
	Bytes   int     // size of the records after which they may be compacted: 4 MiB
}

func (c *Config) setDefaults() {
	setDefault := func(field *float64, value float64) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&c.Beat, 150)
	setDefault(&c.Suspect, 900)
	setDefault(&c.Lease, 600)
	setDefault(&c.Slack, 50)
	setDefault(&c.Answer, 900)
	setDefault(&c.Again, 250)
	setDefault(&c.Ballot, 900)
	setDefault(&c.Vacant, 2000)
	setDefault(&c.Lost, 10000)
	if c.Window == 0 {
		c.Window = 8
	}
	if c.Bytes == 0 {
		c.Bytes = 4 << 20
	}
}

func (s Stamp) less(other Stamp) bool {
	return s.View < other.View || s.View == other.View && s.Seq < other.Seq
}

func (b Ballot) less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	if b.By.Addr != other.By.Addr {
		return b.By.Addr < other.By.Addr
	}
	return b.By.Disk < other.By.Disk
}

// CallName implements rpc.Named. Processes of different releases call each other, so the message keeps the name
// under which it was first released.
func (Message) CallName() string { return "cairn.Message" }
