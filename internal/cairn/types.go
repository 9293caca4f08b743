// Package cairn is one core machine's part in the chain and the view, as a state machine. Events
// with the time of a steady clock go in; records to sync, messages to send and answers come out.
// It reads no clock, knows no socket and no file, and draws only from the seed it is given.
package cairn

// Ident names a machine together with its disk, so that a machine that has forgotten is another one.
type Ident struct {
	Addr string `cbor:"1,keyasint,omitempty"`
	Disk string `cbor:"2,keyasint,omitempty"`
}

// View says who keeps the state, head first, and who votes on the next view.
type View struct {
	No    uint64  `cbor:"1,keyasint,omitempty"`
	Chain []Ident `cbor:"2,keyasint,omitempty"`
	Core  []Ident `cbor:"3,keyasint,omitempty"`
	// Removed is how many seats of the core were given up or to another address so far: while it is the
	// same, addresses were only added.
	Removed uint64 `cbor:"4,keyasint,omitempty"`
	// Epoch is how often the addresses of the core have changed so far: who votes on anything else under one
	// epoch is the same.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	// Seats is how many members the core is to have.
	Seats int `cbor:"6,keyasint,omitempty"`
}

// Stamp names an entry: only one head gives numbers in a view, so no two entries share one.
type Stamp struct {
	Seq  uint64 `cbor:"1,keyasint,omitempty"`
	View uint64 `cbor:"2,keyasint,omitempty"`
}

// Order is an operator's order that is kept by name; the highest number holds. Past is the identities of
// those that held, this one among them.
type Order struct {
	No   uint64
	Body []byte
	Past []Identity `cbor:",omitempty"`
}

// State is all that the chain keeps. It is never changed in place once it has been handed out.
type State struct {
	Last      Stamp
	Edition   uint64
	Body      []byte
	Evacuated map[string]uint64 // zone to the number of the change that emptied it
	Touched   map[string]Stamp  // zone to the last change that emptied it or took it back
	Orders    map[string]Order
	// Past is the identities of configurations that were committed, by their editions upwards, in force or not.
	Past []Identity `cbor:",omitempty"`
}

// ChangeKind is what a change does.
type ChangeKind uint8

const (
	// OpenView begins a view; it is made by the head alone.
	OpenView ChangeKind = iota
	// PutConfiguration holds if its edition is above the one in force; otherwise it does nothing.
	PutConfiguration
	// Evacuate empties a zone.
	Evacuate
	// TakeBack ends a zone's evacuation.
	TakeBack
	// SetOrder keeps an order by name if its number is above the one kept.
	SetOrder
	// Repeat stands for an order that is committed already and has come again. It does nothing: the head
	// alone makes it, and that it is committed shows that the head still leads.
	Repeat
)

// Change is what somebody wants done to the state.
type Change struct {
	Kind    ChangeKind `cbor:"1,keyasint,omitempty"`
	Edition uint64     `cbor:"2,keyasint,omitempty"`
	Body    []byte     `cbor:"3,keyasint,omitempty"`
	Zone    string     `cbor:"4,keyasint,omitempty"`
	Name    string     `cbor:"5,keyasint,omitempty"`
	No      uint64     `cbor:"6,keyasint,omitempty"`
}

// Entry is a change with its place. Prev ties it to the entry before it, so that two logs that
// share an entry share everything before it.
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

// Record is what must be on disk before what goes with it is sent. Each part may be absent.
type Record struct {
	Disk      string      `cbor:",omitempty"`
	First     bool        `cbor:",omitempty"` // the disk was begun at the very first start, for a seat of its own
	View      *ViewRecord `cbor:",omitempty"`
	Promise   *Promised   `cbor:",omitempty"`
	Accept    *Acceptance `cbor:",omitempty"`
	Entry     *Entry      `cbor:",omitempty"`
	Whole     *Whole      `cbor:",omitempty"`
	Committed uint64      `cbor:",omitempty"` // all entries up to this number are known to be committed
}

// ViewRecord is a decided view; Whole says that this machine held all that was acknowledged before it.
type ViewRecord struct {
	View  View
	Whole bool
}

// Promised says that ballots under this one get no vote for the view.
type Promised struct {
	For    uint64
	Ballot Ballot
}

// Acceptance is a vote.
type Acceptance struct {
	For    uint64
	Ballot Ballot
	Value  View
}

// Whole is a log in full: what is committed, and the entries behind it that may not be.
type Whole struct {
	State State
	Tail  []Entry
}

// Message goes from one core machine to another; one of the parts is there. A To without a disk is
// meant for whoever has the address.
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

// Beat tells that a machine is there and what it holds. One from a machine outside the core asks to join.
type Beat struct {
	View      uint64 `cbor:"1,keyasint,omitempty"`
	Last      Stamp  `cbor:"2,keyasint,omitempty"`
	Committed Stamp  `cbor:"3,keyasint,omitempty"`
	Whole     bool   `cbor:"4,keyasint,omitempty"`  // holds all that was acknowledged before this view
	Filled    bool   `cbor:"5,keyasint,omitempty"`  // was given the whole state in this view
	Hears     uint64 `cbor:"6,keyasint,omitempty"`  // bits by place in the core: whom it has heard lately
	Round     uint64 `cbor:"7,keyasint,omitempty"`  // the highest round of a ballot it has seen for the next view, so that the next is higher at once
	Ask       uint64 `cbor:"8,keyasint,omitempty"`  // the number of a lease that the tail asks for; 0 for none
	Life      uint64 `cbor:"9,keyasint,omitempty"`  // the life of the process that asks
	Leaving   bool   `cbor:"10,keyasint,omitempty"` // its process is about to end
	First     bool   `cbor:"11,keyasint,omitempty"` // it is one of the machines of the very first start, and never had a seat
}

// Grant gives (or, as a release, gives back) the lease that was asked for under a number.
type Grant struct {
	View uint64 `cbor:"1,keyasint,omitempty"`
	Ask  uint64 `cbor:"2,keyasint,omitempty"`
	Life uint64 `cbor:"3,keyasint,omitempty"`
}

// Prepare asks for a promise; Base is the decided view whose core votes.
type Prepare struct {
	Ballot Ballot `cbor:"1,keyasint,omitempty"`
	Base   View   `cbor:"2,keyasint,omitempty"`
}

// Promise answers Prepare. When not OK, Seen is the ballot that stands in the way.
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

// Accepted answers Accept.
type Accepted struct {
	For    uint64 `cbor:"1,keyasint,omitempty"`
	Ballot Ballot `cbor:"2,keyasint,omitempty"`
	OK     bool   `cbor:"3,keyasint,omitempty"`
	Seen   Ballot `cbor:"4,keyasint,omitempty"`
}

// Append passes entries down the chain.
type Append struct {
	View    uint64  `cbor:"1,keyasint,omitempty"`
	Entries []Entry `cbor:"2,keyasint,omitempty"`
}

// Appended tells the member above what is held and what is committed below.
type Appended struct {
	View      uint64 `cbor:"1,keyasint,omitempty"`
	Last      Stamp  `cbor:"2,keyasint,omitempty"`
	Committed Stamp  `cbor:"3,keyasint,omitempty"`
	Gap       bool   `cbor:"4,keyasint,omitempty"` // entries came that do not follow on Last
}

// Fill gives the whole state.
type Fill struct {
	View  uint64 `cbor:"1,keyasint,omitempty"`
	Whole Whole  `cbor:"2,keyasint,omitempty"`
}

// Enter brings a change to the head. After is the newest entry that its sender knew of: a change
// of a zone that comes late, when its caller has long given up, must not undo what was done since.
// Stamps are compared by view first: a head that was left out may have numbered far ahead in vain.
type Enter struct {
	ID     uint64 `cbor:"1,keyasint,omitempty"`
	Life   uint64 `cbor:"2,keyasint,omitempty"`
	After  Stamp  `cbor:"3,keyasint,omitempty"`
	Change Change `cbor:"4,keyasint,omitempty"`
}

// Entered tells that the change is committed; or, where Stale is set, that the zone was changed
// meanwhile, and after what the change must come; or, where Refused is set, that another order is committed
// under its number, so that it never will be.
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

// ConfirmAnswer says what was committed when the tail was asked. The state comes along for those
// outside the chain, who would not get it otherwise.
type ConfirmAnswer struct {
	ID    uint64 `cbor:"1,keyasint,omitempty"`
	Life  uint64 `cbor:"2,keyasint,omitempty"`
	At    Stamp  `cbor:"3,keyasint,omitempty"`
	State *State `cbor:"4,keyasint,omitempty"`
}

// Forget tells a member of the chain that an operator wants a machine out of the core of this view.
type Forget struct {
	View uint64 `cbor:"1,keyasint,omitempty"`
	Who  Ident  `cbor:"2,keyasint,omitempty"`
}

// Event is one thing that happens; an empty one is a tick.
type Event struct {
	Message *Message
	Submit  *Submit
	Ask     *Ask
	Drop    *Drop
	Rebuild *Rebuild
	Leave   bool // the process is about to end: hand over
}

// Drop is an operator's order that the core forgets the machine at an address, which is gone for good.
type Drop struct {
	ID   uint64
	Addr string
}

// Rebuild is an operator's order to begin a core of this machine alone, from the copy that it holds, as
// the others are gone for good. Last names the copy: it is what the operator found to be the newest.
type Rebuild struct {
	ID   uint64
	Last Stamp
}

// Submit is a change wanted by a caller on this machine. IDs must not repeat within a life.
type Submit struct {
	ID     uint64
	Change Change
}

// Ask wants the state as it is now, so new that nothing acknowledged before is missing.
type Ask struct {
	ID uint64
}

// Outcome says how a Submit or an Ask ended.
type Outcome uint8

const (
	// OK : the change is committed, or the state is as new as the question.
	OK Outcome = iota
	// Unavailable : nothing was done and nothing will be.
	Unavailable
	// Unknown : the change may be in force, now or later, or never.
	Unknown
	// Refused : another order is committed under the number. The change is not in force and never will be.
	Refused
)

// Result answers a Submit or an Ask by its ID.
type Result struct {
	ID      uint64
	Outcome Outcome
	State   *State // for an Ask that is OK
}

// Out is what one step wants done. Sync must be on disk before Send and Done are let out, and
// before State is read.
type Out struct {
	Sync    []Record
	Send    []Message
	Done    []Result
	Changed bool // what is committed has changed
	Compact bool // the records on disk may be replaced by Snapshot
}

// Config is what a machine is told. The durations are in milliseconds; 0 takes the default.
type Config struct {
	Self     Ident // the disk's name is taken from the disk
	Seeds    []string
	FirstRun bool
	Seed     uint64 // must differ from life to life: it names the life and, once, the disk

	Beat    float64 // between beats: 150
	Suspect float64 // silence after which a machine is left out: 900
	Lease   float64 // how long a lease holds for the tail: 600
	Slack   float64 // how much longer the granter keeps to it: 50
	Answer  float64 // until a Submit or an Ask is given up: 900
	Again   float64 // until something unanswered is sent again: 250
	Ballot  float64 // until a ballot is tried again; over Lease and Slack: 900
	Vacant  float64 // silence after which a newcomer may have a member's seat: 2000
	Lost    float64 // without a majority, after which an operator may have the core rebuilt: 10000
	Window  int     // entries that may be under way: 8
	Bytes   int     // of records after which to compact: 4 MiB
}

func (c *Config) defaults() {
	set := func(p *float64, v float64) {
		if *p == 0 {
			*p = v
		}
	}
	set(&c.Beat, 150)
	set(&c.Suspect, 900)
	set(&c.Lease, 600)
	set(&c.Slack, 50)
	set(&c.Answer, 900)
	set(&c.Again, 250)
	set(&c.Ballot, 900)
	set(&c.Vacant, 2000)
	set(&c.Lost, 10000)
	if c.Window == 0 {
		c.Window = 8
	}
	if c.Bytes == 0 {
		c.Bytes = 4 << 20
	}
}

func (s Stamp) less(o Stamp) bool {
	return s.View < o.View || s.View == o.View && s.Seq < o.Seq
}

func (b Ballot) less(o Ballot) bool {
	if b.Round != o.Round {
		return b.Round < o.Round
	}
	if b.By.Addr != o.By.Addr {
		return b.By.Addr < o.By.Addr
	}
	return b.By.Disk < o.By.Disk
}
