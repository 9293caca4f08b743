package spur

// Stance is the effective rule of a gatekeeper: its member list and its selection of flows.
// Gatekeepers with equal effective rules treat every flow alike.
type Stance struct {
	List  uint64 `cbor:"1,keyasint,omitempty"` // hash of the member list
	Trail uint64 `cbor:"2,keyasint,omitempty"` // hash of the rule's fields that affect flow IDs, collectors or targets, without the share
	Cut   uint64 `cbor:"3,keyasint,omitempty"` // threshold of the current rule's share
	All   bool   `cbor:"4,keyasint,omitempty"` // the share is 1: all flows are selected
	Was   uint64 `cbor:"5,keyasint,omitempty"` // threshold of the previous rule, while its flows are still copied
	Order uint64 `cbor:"6,keyasint,omitempty"` // number of the current rule
}

// Ask is a collector's request to fetch items from a gatekeeper, about twice a second. It
// acknowledges the items up to number After, which the gatekeeper then drops.
type Ask struct {
	To      Seat    `cbor:"1,keyasint"`
	From    Seat    `cbor:"2,keyasint"`
	After   uint64  `cbor:"3,keyasint,omitempty"`
	Room    int     `cbor:"4,keyasint,omitempty"` // size limit of the response, in bytes
	SinceMs float64 `cbor:"6,keyasint,omitempty"` // how far back past effective rules are needed; 0 means all
	At      float64 `cbor:"5,keyasint,omitempty"` // time of the fetch by the collector's clock, in ms; only the collector itself uses it
}

// Answer is a gatekeeper's response to a fetch. All items for this collector whose requests began
// more than LagMs before the fetch are in this response or in an earlier one.
type Answer struct {
	From    Seat     `cbor:"1,keyasint"`
	UpMs    float64  `cbor:"2,keyasint,omitempty"` // since its incarnation started
	First   uint64   `cbor:"3,keyasint,omitempty"` // number of the first item; above After+1 if some were lost
	Items   []Item   `cbor:"4,keyasint,omitempty"`
	LagMs   float64  `cbor:"5,keyasint,omitempty"` // age of the oldest item or open request for this collector that is not in a response yet
	Stance  Stance   `cbor:"6,keyasint"`
	Stances []Before `cbor:"7,keyasint,omitempty"`  // earlier effective rules, as far as they are kept
	Since   float64  `cbor:"8,keyasint,omitempty"`  // ms: the effective rules in this response are all of this time
	HeldMs  float64  `cbor:"9,keyasint,omitempty"`  // time since the current effective rule began
	Done    bool     `cbor:"10,keyasint,omitempty"` // this incarnation copies no more requests and has nothing left for this collector
	Idle    bool     `cbor:"12,keyasint,omitempty"` // no request was forwarded under the current effective rule, which lacks members or a rule
	Wrong   bool     `cbor:"11,keyasint,omitempty"` // the fetch was meant for another incarnation
}

// Before is a past effective rule, and how long ago it began and ended.
type Before struct {
	Stance  Stance  `cbor:"1,keyasint"`
	BeganMs float64 `cbor:"2,keyasint,omitempty"`
	EndedMs float64 `cbor:"3,keyasint,omitempty"`
}

// Item is a piece of a flow, a report that a piece was lost, or a part of a hand-over.
type Item struct {
	Journey Journey `cbor:"1,keyasint"`
	AgeMs   float64 `cbor:"2,keyasint,omitempty"` // time since the request was forwarded
	Lost    Cause   `cbor:"3,keyasint,omitempty"` // not Fine: there is no copy, for this reason
	Copy    Copy    `cbor:"4,keyasint,omitempty"`
	Real    Real    `cbor:"5,keyasint,omitempty"`
	Trail   uint64  `cbor:"6,keyasint,omitempty"` // scope hash of the rule by which it was copied
	Shadow  string  `cbor:"7,keyasint,omitempty"` // address of the mirror target
	Given   *Given  `cbor:"8,keyasint,omitempty"` // a flow that is handed over
	Word    *Word   `cbor:"9,keyasint,omitempty"` // a collector's report after handing over its flows
}

// Given is a flow that its collector hands over to the next one.
type Given struct {
	List    uint64  `cbor:"1,keyasint,omitempty"` // hash of the last member list under which it was collected
	FirstMs float64 `cbor:"2,keyasint,omitempty"` // age of its first piece at most; LastMs: age of its last piece at least
	LastMs  float64 `cbor:"3,keyasint,omitempty"`
	Cause   Cause   `cbor:"4,keyasint,omitempty"`
	Pieces  []Piece `cbor:"5,keyasint,omitempty"`
	Counted bool    `cbor:"6,keyasint,omitempty"` // already counted as broken
}

// Piece is a piece of a flow that is handed over.
type Piece struct {
	LowMs  float64 `cbor:"1,keyasint,omitempty"` // its age is at least this
	HighMs float64 `cbor:"2,keyasint,omitempty"` // and at most this
	Copy   Copy    `cbor:"3,keyasint,omitempty"`
	Real   Real    `cbor:"4,keyasint,omitempty"`
	Shadow string  `cbor:"5,keyasint,omitempty"`
}

// Word is a collector's report after it has handed over all flows that a change of members
// reassigned. It covers the flows that it collected under the list and that the receiver now
// collects. The sender knew no others; it had complete data of the flows that began less than
// VouchMs ago; and no gatekeeper has used the list for UntilMs.
type Word struct {
	List    uint64   `cbor:"1,keyasint,omitempty"`
	Seats   []Seat   `cbor:"2,keyasint,omitempty"`
	VouchMs float64  `cbor:"3,keyasint,omitempty"`
	UntilMs float64  `cbor:"4,keyasint,omitempty"`
	Nothing bool     `cbor:"5,keyasint,omitempty"` // the sender can't guarantee completeness at all
	Stances []Before `cbor:"7,keyasint,omitempty"` // effective rules that gatekeepers had, as far as the receiver may need them
	Others  []Seat   `cbor:"6,keyasint,omitempty"` // members on no list whose items are not all fetched yet
}

// Real describes the live worker's answer.
type Real struct {
	Status int     `cbor:"1,keyasint,omitempty"`
	TookMs float64 `cbor:"2,keyasint,omitempty"`
	Digest uint64  `cbor:"3,keyasint,omitempty"` // xxh3 hash of the answer's body
}
