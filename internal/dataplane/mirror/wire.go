package mirror

// EffectiveRule is the effective rule of a gatekeeper: its member list and its selection of flows.
// Gatekeepers with equal effective rules treat every flow alike.
type EffectiveRule struct {
	MembersHash       uint64 `cbor:"1,keyasint,omitempty"` // hash of the member list
	ScopeHash         uint64 `cbor:"2,keyasint,omitempty"` // hash of the rule's fields that affect flow IDs, collectors or targets, without the share
	Threshold         uint64 `cbor:"3,keyasint,omitempty"` // threshold of the current rule's share
	SelectsAll        bool   `cbor:"4,keyasint,omitempty"` // the share is 1: all flows are selected
	PreviousThreshold uint64 `cbor:"5,keyasint,omitempty"` // threshold of the previous rule, while its flows are still copied
	RuleNumber        uint64 `cbor:"6,keyasint,omitempty"` // number of the current rule
}

// FetchRequest is a collector's request to fetch items from a gatekeeper, about twice a second. It
// acknowledges the items up to number LastReceived, which the gatekeeper then drops.
type FetchRequest struct {
	To           Member  `cbor:"1,keyasint"`
	From         Member  `cbor:"2,keyasint"`
	LastReceived uint64  `cbor:"3,keyasint,omitempty"`
	MaxBytes     int     `cbor:"4,keyasint,omitempty"` // size limit of the response, in bytes
	HistoryMs    float64 `cbor:"6,keyasint,omitempty"` // how far back past effective rules are needed; 0 means all
	SentAt       float64 `cbor:"5,keyasint,omitempty"` // time of the fetch by the collector's clock, in ms; only the collector itself uses it
}

// FetchResponse is a gatekeeper's response to a fetch. All items for this collector whose requests began
// more than LagMs before the fetch are in this response or in an earlier one.
type FetchResponse struct {
	From             Member        `cbor:"1,keyasint"`
	UptimeMs         float64       `cbor:"2,keyasint,omitempty"` // since its incarnation started
	FirstNumber      uint64        `cbor:"3,keyasint,omitempty"` // number of the first item; above LastReceived+1 if some were lost
	Items            []Item        `cbor:"4,keyasint,omitempty"`
	LagMs            float64       `cbor:"5,keyasint,omitempty"` // age of the oldest item or open request for this collector that is not in a response yet
	Rule             EffectiveRule `cbor:"6,keyasint"`
	PastRules        []PastRule    `cbor:"7,keyasint,omitempty"`  // earlier effective rules, as far as they are kept
	HistoryMs        float64       `cbor:"8,keyasint,omitempty"`  // ms: the effective rules in this response are all of this time
	RuleAgeMs        float64       `cbor:"9,keyasint,omitempty"`  // time since the current effective rule began
	Done             bool          `cbor:"10,keyasint,omitempty"` // this incarnation copies no more requests and has nothing left for this collector
	Idle             bool          `cbor:"12,keyasint,omitempty"` // no request was forwarded under the current effective rule, which lacks members or a rule
	WrongIncarnation bool          `cbor:"11,keyasint,omitempty"` // the fetch was meant for another incarnation
}

// PastRule is a past effective rule, and how long ago it began and ended.
type PastRule struct {
	Rule    EffectiveRule `cbor:"1,keyasint"`
	BeganMs float64       `cbor:"2,keyasint,omitempty"`
	EndedMs float64       `cbor:"3,keyasint,omitempty"`
}

// Item is a piece of a flow, a report that a piece was lost, or a part of a hand-over.
type Item struct {
	Flow       FlowID          `cbor:"1,keyasint"`
	AgeMs      float64         `cbor:"2,keyasint,omitempty"` // time since the request was forwarded
	LostCause  Cause           `cbor:"3,keyasint,omitempty"` // not NotBroken: there is no copy, for this reason
	Copy       RequestCopy     `cbor:"4,keyasint,omitempty"`
	Response   LiveResponse    `cbor:"5,keyasint,omitempty"`
	ScopeHash  uint64          `cbor:"6,keyasint,omitempty"` // scope hash of the rule by which it was copied
	Target     string          `cbor:"7,keyasint,omitempty"` // address of the mirror target
	HandedOver *HandedOverFlow `cbor:"8,keyasint,omitempty"` // a flow that is handed over
	Report     *HandoverReport `cbor:"9,keyasint,omitempty"` // a collector's report after handing over its flows
}

// HandedOverFlow is a flow that its collector hands over to the next one.
type HandedOverFlow struct {
	MembersHash uint64  `cbor:"1,keyasint,omitempty"` // hash of the last member list under which it was collected
	FirstAgeMs  float64 `cbor:"2,keyasint,omitempty"` // age of its first piece at most; LastAgeMs: age of its last piece at least
	LastAgeMs   float64 `cbor:"3,keyasint,omitempty"`
	Cause       Cause   `cbor:"4,keyasint,omitempty"`
	Pieces      []Piece `cbor:"5,keyasint,omitempty"`
	Counted     bool    `cbor:"6,keyasint,omitempty"` // already counted as broken
}

// Piece is a piece of a flow that is handed over.
type Piece struct {
	MinAgeMs float64      `cbor:"1,keyasint,omitempty"` // its age is at least this
	MaxAgeMs float64      `cbor:"2,keyasint,omitempty"` // and at most this
	Copy     RequestCopy  `cbor:"3,keyasint,omitempty"`
	Response LiveResponse `cbor:"4,keyasint,omitempty"`
	Target   string       `cbor:"5,keyasint,omitempty"`
}

// HandoverReport is a collector's report after it has handed over all flows that a change of members
// reassigned. It covers the flows that it collected under the list and that the receiver now
// collects. The sender knew no others; it had complete data of the flows that began less than
// CompleteSinceMs ago; and no gatekeeper has used the list for UnusedSinceMs.
type HandoverReport struct {
	MembersHash     uint64     `cbor:"1,keyasint,omitempty"`
	Members         []Member   `cbor:"2,keyasint,omitempty"`
	CompleteSinceMs float64    `cbor:"3,keyasint,omitempty"`
	UnusedSinceMs   float64    `cbor:"4,keyasint,omitempty"`
	Unreliable      bool       `cbor:"5,keyasint,omitempty"` // the sender can't guarantee completeness at all
	PastRules       []PastRule `cbor:"7,keyasint,omitempty"` // effective rules that gatekeepers had, as far as the receiver may need them
	Unlisted        []Member   `cbor:"6,keyasint,omitempty"` // members on no list whose items are not all fetched yet
}

// LiveResponse describes the live worker's answer.
type LiveResponse struct {
	Status     int     `cbor:"1,keyasint,omitempty"`
	DurationMs float64 `cbor:"2,keyasint,omitempty"`
	BodyHash   uint64  `cbor:"3,keyasint,omitempty"` // xxh3 hash of the answer's body
}
