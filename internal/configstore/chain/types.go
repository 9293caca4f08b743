// Package chain implements chain replication with view changes for one machine of the core, as a
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
package chain

// MachineID identifies a machine together with its disk. A machine that has lost its disk gets a new
// Disk and counts as a different machine.
type MachineID struct {
	Addr string `cbor:"1,keyasint,omitempty"`
	Disk string `cbor:"2,keyasint,omitempty"`
}

// View is one configuration of the cluster: the chain that replicates the state, head first, and
// the core, whose members vote on the next view.
type View struct {
	Number uint64      `cbor:"1,keyasint,omitempty"`
	Chain  []MachineID `cbor:"2,keyasint,omitempty"`
	Core   []MachineID `cbor:"3,keyasint,omitempty"`
	// Removed counts the core members that were removed or replaced by one at another address.
	// While it stays the same, addresses were only added.
	Removed uint64 `cbor:"4,keyasint,omitempty"`
	// Epoch counts the changes of the core's addresses. All votes on other matters under one epoch
	// are taken among the same members.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	// Seats is the number of members that the core should have.
	Seats int `cbor:"6,keyasint,omitempty"`
}

// LogPosition identifies a log entry by its position. A view has a single head that assigns sequence
// numbers, so no two entries share a position.
type LogPosition struct {
	Seq  uint64 `cbor:"1,keyasint,omitempty"`
	View uint64 `cbor:"2,keyasint,omitempty"`
}

// NamedOrder is an operator's order that is stored under a name. The order with the highest number is in
// force. The identities of all orders that have been in force, including this one, are kept with
// it.
type NamedOrder struct {
	Number     uint64 `cbor:"No"`
	Body       []byte
	Identities []Identity `cbor:"Past,omitempty"`
}

// State is the replicated state. It is never modified after it has been handed out.
type State struct {
	Last           LogPosition
	Edition        uint64
	Body           []byte
	Evacuated      map[string]uint64      // zone to the sequence number of the change that evacuated it
	LastZoneChange map[string]LogPosition `cbor:"Touched"` // zone to the last change that evacuated it or ended its evacuation
	Orders         map[string]NamedOrder
	// Identities lists the identities of committed configurations by ascending version, whether or not they
	// ever came into force.
	Identities []Identity `cbor:"Past,omitempty"`
}

// ChangeKind is the kind of a change.
type ChangeKind uint8

const (
	// OpenView opens a view. Only the head writes it.
	OpenView ChangeKind = iota
	// PutConfiguration sets the configuration if its version is above the one in force; otherwise
	// it changes nothing.
	PutConfiguration
	// Evacuate evacuates a zone.
	Evacuate
	// EndEvacuation ends the evacuation of a zone.
	EndEvacuation
	// SetOrder stores an order under its name if its number is above the stored one.
	SetOrder
	// RepeatedOrder stands for an order that was submitted again after it had been committed. It changes
	// nothing. Only the head writes it, and its commit proves that the head is still the head.
	RepeatedOrder
)

// Change is a requested modification of the state.
type Change struct {
	Kind    ChangeKind `cbor:"1,keyasint,omitempty"`
	Edition uint64     `cbor:"2,keyasint,omitempty"`
	Body    []byte     `cbor:"3,keyasint,omitempty"`
	Zone    string     `cbor:"4,keyasint,omitempty"`
	Name    string     `cbor:"5,keyasint,omitempty"`
	Number  uint64     `cbor:"6,keyasint,omitempty"`
}

// Entry is a log entry. Prev is the position of the entry before it, so two logs that share an entry
// are identical up to that entry.
type Entry struct {
	LogPosition `cbor:"1,keyasint,omitempty"`
	Prev        LogPosition `cbor:"2,keyasint,omitempty"`
	Change      Change      `cbor:"3,keyasint,omitempty"`
}

// Ballot orders the attempts to agree on one view.
type Ballot struct {
	Round uint64    `cbor:"1,keyasint,omitempty"`
	By    MachineID `cbor:"2,keyasint,omitempty"`
}

// Record is a unit of durable storage. It must be on disk before the output it belongs to is
// released. Any of its parts may be absent.
type Record struct {
	Disk       string         `cbor:",omitempty"`
	FirstStart bool           `cbor:"First,omitempty"` // the disk was created at the cluster's first start, and a core seat of its own is pending
	View       *ViewRecord    `cbor:",omitempty"`
	Promise    *PromiseRecord `cbor:",omitempty"`
	Accept     *Vote          `cbor:",omitempty"`
	Entry      *Entry         `cbor:",omitempty"`
	Snapshot   *LogSnapshot   `cbor:"Whole,omitempty"`
	Committed  uint64         `cbor:",omitempty"` // all entries up to this sequence number are known to be committed
}

// ViewRecord stores a decided view and whether this machine held everything that was acknowledged
// before that view.
type ViewRecord struct {
	View     View
	Complete bool `cbor:"Whole"`
}

// PromiseRecord stores a promise not to vote for a lower ballot on the view with the given number.
type PromiseRecord struct {
	ForView uint64 `cbor:"For"`
	Ballot  Ballot
}

// Vote stores a vote for a value, cast on the view with the given number.
type Vote struct {
	ForView uint64 `cbor:"For"`
	Ballot  Ballot
	Value   View
}

// LogSnapshot is a snapshot of a log: the committed state and the entries after it that may be
// uncommitted.
type LogSnapshot struct {
	State       State
	Uncommitted []Entry `cbor:"Tail"`
}

// Message is sent from one core machine to another. Exactly one of its parts is set. A To without a
// disk addresses whichever machine has the address.
type Message struct {
	From            MachineID         `cbor:"1,keyasint,omitempty"`
	To              MachineID         `cbor:"2,keyasint,omitempty"`
	Heartbeat       *Heartbeat        `cbor:"3,keyasint,omitempty"`
	Grant           *LeaseGrant       `cbor:"4,keyasint,omitempty"`
	Release         *LeaseGrant       `cbor:"5,keyasint,omitempty"`
	Prepare         *Prepare          `cbor:"6,keyasint,omitempty"`
	Promise         *Promise          `cbor:"7,keyasint,omitempty"`
	Accept          *Accept           `cbor:"8,keyasint,omitempty"`
	Accepted        *Accepted         `cbor:"9,keyasint,omitempty"`
	NewView         *View             `cbor:"10,keyasint,omitempty"`
	Append          *Append           `cbor:"11,keyasint,omitempty"`
	Appended        *Appended         `cbor:"12,keyasint,omitempty"`
	Snapshot        *SnapshotTransfer `cbor:"13,keyasint,omitempty"`
	ForwardedChange *ForwardedChange  `cbor:"14,keyasint,omitempty"`
	ChangeOutcome   *ChangeOutcome    `cbor:"15,keyasint,omitempty"`
	ReadRequest     *ReadRequest      `cbor:"16,keyasint,omitempty"`
	ReadAnswer      *ReadAnswer       `cbor:"17,keyasint,omitempty"`
	Removal         *RemovalOrder     `cbor:"18,keyasint,omitempty"`
}

// Heartbeat is a heartbeat. It says that a machine is running and what it holds. A heartbeat from a
// machine outside the core is a request to join.
type Heartbeat struct {
	View         uint64      `cbor:"1,keyasint,omitempty"`
	Last         LogPosition `cbor:"2,keyasint,omitempty"`
	Committed    LogPosition `cbor:"3,keyasint,omitempty"`
	Complete     bool        `cbor:"4,keyasint,omitempty"`  // the sender holds everything that was acknowledged before this view
	HasSnapshot  bool        `cbor:"5,keyasint,omitempty"`  // the sender has received a snapshot in this view
	Hears        uint64      `cbor:"6,keyasint,omitempty"`  // bit set by position in the core: the members that the sender has heard recently
	Round        uint64      `cbor:"7,keyasint,omitempty"`  // the highest ballot round the sender has seen for the next view, so that the next attempt is higher at once
	LeaseRequest uint64      `cbor:"8,keyasint,omitempty"`  // number of the lease request by the tail; 0 for none
	Incarnation  uint64      `cbor:"9,keyasint,omitempty"`  // incarnation of the requesting process
	Leaving      bool        `cbor:"10,keyasint,omitempty"` // the sender's process is about to end
	FirstStart   bool        `cbor:"11,keyasint,omitempty"` // the sender takes part in the cluster's first start and has never had a core seat
}

// LeaseGrant gives the lease that was requested under a number. As Message.Release it gives that lease
// back.
type LeaseGrant struct {
	View        uint64 `cbor:"1,keyasint,omitempty"`
	Request     uint64 `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

// Prepare asks for a promise. Base is the decided view whose core votes.
type Prepare struct {
	Ballot Ballot `cbor:"1,keyasint,omitempty"`
	Base   View   `cbor:"2,keyasint,omitempty"`
}

// Promise answers a Prepare. If OK is false, it names the higher ballot that was promised before.
type Promise struct {
	ForView         uint64 `cbor:"1,keyasint,omitempty"`
	Ballot          Ballot `cbor:"2,keyasint,omitempty"`
	OK              bool   `cbor:"3,keyasint,omitempty"`
	HighestPromised Ballot `cbor:"4,keyasint,omitempty"`
	Accepted        *Vote  `cbor:"5,keyasint,omitempty"`
}

// Accept asks for a vote.
type Accept struct {
	Ballot Ballot `cbor:"1,keyasint,omitempty"`
	Base   View   `cbor:"2,keyasint,omitempty"`
	Value  View   `cbor:"3,keyasint,omitempty"`
}

// Accepted answers an Accept. If OK is false, it names the higher ballot that was promised before.
type Accepted struct {
	ForView         uint64 `cbor:"1,keyasint,omitempty"`
	Ballot          Ballot `cbor:"2,keyasint,omitempty"`
	OK              bool   `cbor:"3,keyasint,omitempty"`
	HighestPromised Ballot `cbor:"4,keyasint,omitempty"`
}

// Append passes log entries down the chain.
type Append struct {
	View    uint64  `cbor:"1,keyasint,omitempty"`
	Entries []Entry `cbor:"2,keyasint,omitempty"`
}

// Appended tells the predecessor in the chain what the sender holds and what it knows to be
// committed.
type Appended struct {
	View      uint64      `cbor:"1,keyasint,omitempty"`
	Last      LogPosition `cbor:"2,keyasint,omitempty"`
	Committed LogPosition `cbor:"3,keyasint,omitempty"`
	Gap       bool        `cbor:"4,keyasint,omitempty"` // the received entries did not follow on Last
}

// SnapshotTransfer transfers a snapshot of the log.
type SnapshotTransfer struct {
	View     uint64      `cbor:"1,keyasint,omitempty"`
	Snapshot LogSnapshot `cbor:"2,keyasint,omitempty"`
}

// ForwardedChange forwards a change to the head, with the newest entry that the sender knew of. A zone change
// that arrives late, long after its caller gave up, must not undo what was done since. Positions
// are compared by view first, because a head that was excluded from the chain may have assigned
// many sequence numbers that were never committed.
type ForwardedChange struct {
	ID            uint64      `cbor:"1,keyasint,omitempty"`
	Incarnation   uint64      `cbor:"2,keyasint,omitempty"`
	KnownPosition LogPosition `cbor:"3,keyasint,omitempty"`
	Change        Change      `cbor:"4,keyasint,omitempty"`
}

// ChangeOutcome answers a forwarded change: it is committed; or, if Stale is set, the zone has changed
// meanwhile and the change must be sent again with a known position of at least Stale; or, if
// Refused is set, another order is committed under the same number and this one never will be.
type ChangeOutcome struct {
	ID          uint64      `cbor:"1,keyasint,omitempty"`
	Incarnation uint64      `cbor:"2,keyasint,omitempty"`
	Stale       LogPosition `cbor:"3,keyasint,omitempty"`
	Refused     bool        `cbor:"4,keyasint,omitempty"`
}

// ReadRequest asks the tail what is committed now.
type ReadRequest struct {
	ID          uint64 `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// ReadAnswer says what was committed when the tail was asked. The state is included for machines
// outside the chain, which have no other way to get it.
type ReadAnswer struct {
	ID          uint64      `cbor:"1,keyasint,omitempty"`
	Incarnation uint64      `cbor:"2,keyasint,omitempty"`
	Committed   LogPosition `cbor:"3,keyasint,omitempty"`
	State       *State      `cbor:"4,keyasint,omitempty"`
}

// RemovalOrder tells a member of the chain that an operator wants a machine removed from the core of this
// view.
type RemovalOrder struct {
	View   uint64    `cbor:"1,keyasint,omitempty"`
	Member MachineID `cbor:"2,keyasint,omitempty"`
}

// Event is one input of the state machine. An empty event is a clock tick.
type Event struct {
	Message *Message
	Submit  *Submit
	Read    *Read
	Remove  *Remove
	Rebuild *Rebuild
	Leave   bool // the process is about to end and should hand over
}

// Remove is an operator's order to remove the machine at an address, which is gone for good, from the
// core.
type Remove struct {
	ID   uint64
	Addr string
}

// Rebuild is an operator's order to start a new core of this machine alone from its copy of the
// log, because the other members are gone for good. Last identifies the copy that the operator
// found to be the newest.
type Rebuild struct {
	ID   uint64
	Last LogPosition
}

// Submit is a change requested by a local caller. IDs must not repeat within an incarnation. If the
// caller gives the newest entry that it knew of, as reported by the tail, a zone change that was
// delayed while others changed the zone is rejected.
type Submit struct {
	ID            uint64
	Change        Change
	KnownPosition LogPosition
}

// Read requests the current state, including everything acknowledged before the request.
type Read struct {
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
	// Superseded means that the zone was changed after the state the caller knew of, possibly by
	// this same change.
	Superseded
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

// Output is what one step requires. The records must be on disk before the messages and results are
// released, and before the state is read.
type Output struct {
	Persist      []Record
	Send         []Message
	Results      []Result
	StateChanged bool // the committed state has changed
	Compact      bool // the records on disk may be replaced by Snapshot
}

// Config configures a machine. Durations are in milliseconds. Zero selects the default, which is
// given behind each field.
type Config struct {
	Self     MachineID // the Disk part is taken from the disk
	Seeds    []string
	FirstRun bool
	Seed     uint64 // must differ between incarnations: the incarnation and, on an empty disk, the disk's name derive from it

	HeartbeatInterval float64 // interval between heartbeats: 150
	SuspectTimeout    float64 // silence after which a machine is left out of the chain: 900
	LeaseDuration     float64 // duration of a lease as the tail counts it: 600
	LeaseSlack        float64 // time by which the granter extends a lease: 50
	AnswerTimeout     float64 // time after which a change or a read fails: 900
	RetryDelay        float64 // delay before an unanswered message is sent again: 250
	BallotTimeout     float64 // delay before a ballot is retried, which must exceed the lease and its slack: 900
	VacantTimeout     float64 // silence after which a joining machine may take a member's seat: 2000
	RebuildDelay      float64 // time without a majority after which an operator may rebuild the core: 10000
	MaxUncommitted    int     // maximum number of uncommitted entries: 8
	CompactBytes      int     // size of the records after which they may be compacted: 4 MiB
}

func (c *Config) setDefaults() {
	setDefault := func(field *float64, value float64) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&c.HeartbeatInterval, 150)
	setDefault(&c.SuspectTimeout, 900)
	setDefault(&c.LeaseDuration, 600)
	setDefault(&c.LeaseSlack, 50)
	setDefault(&c.AnswerTimeout, 900)
	setDefault(&c.RetryDelay, 250)
	setDefault(&c.BallotTimeout, 900)
	setDefault(&c.VacantTimeout, 2000)
	setDefault(&c.RebuildDelay, 10000)
	if c.MaxUncommitted == 0 {
		c.MaxUncommitted = 8
	}
	if c.CompactBytes == 0 {
		c.CompactBytes = 4 << 20
	}
}

func (s LogPosition) less(other LogPosition) bool {
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

// CallName implements rpc.CallNamer. Processes of different releases call each other, so the message keeps the name
// under which it was first released.
func (Message) CallName() string { return "cairn.Message" }
