// Package election elects the holder of each cluster duty. A duty is won by ballots among the
// registries (program bothy) named by the replicated log's current view, and held under a lease that has to
// be renewed.
//
// No two registries ever hold a duty at the same real time, whatever messages are lost, delayed or
// duplicated:
//
//   - A voter promises a duty to one candidate at a time, for one lease from its answer. The candidate
//     counts its lease from when it sent the ballot, so the candidate's lease ends first. Clocks of
//     different nodes are never compared.
//   - Votes name the candidate's incarnation, term and round, so that a late vote can't prolong a
//     lease requested later, nor one of an earlier incarnation.
//   - A voter that has just started doesn't know its earlier promises and gives no vote for one lease.
//   - Majorities of two electorates need not have a voter in common. An electorate is therefore
//     trusted only for a limited time after its last confirmation, and a candidate under a new
//     electorate also needs the majorities of older ones that others may still trust.
package election

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/zeebo/xxh3"
)

// DefaultLeaseMs is the length of a voter's promise in milliseconds.
const DefaultLeaseMs = 1500

const (
	// holderLeaseShare is the share of a lease that a holder counts on; the rest covers clock drift.
	holderLeaseShare = 0.95
	// trustLeases is the number of leases for which an electorate is trusted after its confirmation. A
	// view change may take 2 s, and duties should survive it.
	trustLeases = 2
	// minRoundShare is the share of a lease for which a candidate waits for votes before it releases them,
	// if the voters are near. Otherwise it waits voteTimeFactor times as long as a majority's votes take
	// to arrive, but no longer than maxRoundShare of a lease.
	minRoundShare  = 0.2
	voteTimeFactor = 1.5
	maxRoundShare  = 0.6
	// initialVacancyMs is how long a duty counts as vacant at the very first start.
	initialVacancyMs = 1e9
	// delayPerDutyMs is how much later a node stands as a candidate for each duty that it holds or stands
	// for.
	delayPerDutyMs = 120
	// minJitterMs and jitterPerVoterMs bound the random part of the waiting time, which keeps candidates
	// from splitting the vote. It grows with the electorate, so that the first candidate stands as early
	// as in a small one and the second one follows at least as late.
	minJitterMs      = 150
	jitterPerVoterMs = 30
)

// MessageKind is the type of a message.
type MessageKind uint8

const (
	// Announce tells that its sender is running, and which duties it holds.
	Announce MessageKind = iota + 1
	// Ballot requests a vote; a holder renews its lease with ballots of the same term.
	Ballot
	// Vote answers a ballot.
	Vote
	// Release releases votes that the sender no longer counts on.
	Release
)

// Message is sent from one registry to another. The caller must not take From from the wire unless
// it has verified that the sender is that node.
type Message struct {
	Kind         MessageKind `cbor:"1,keyasint,omitempty"`
	From         string      `cbor:"2,keyasint,omitempty"`
	To           string      `cbor:"3,keyasint,omitempty"`
	Duty         string      `cbor:"4,keyasint,omitempty"`
	Term         uint64      `cbor:"5,keyasint,omitempty"`
	Incarnation  uint64      `cbor:"6,keyasint,omitempty"` // incarnation of the candidate, repeated in a Vote
	Round        uint64      `cbor:"7,keyasint,omitempty"` // number of the candidate's round, repeated in a Vote
	Granted      bool        `cbor:"8,keyasint,omitempty"`
	RetryAfterMs float64     `cbor:"9,keyasint,omitempty"`  // of a Vote that refuses: how long the voter is bound
	HighestTerm  uint64      `cbor:"10,keyasint,omitempty"` // of a Vote: the highest term the voter knows of
	VacantMs     float64     `cbor:"11,keyasint,omitempty"` // of a Vote that accepts: how long the voter has certainly not been bound to another candidate
	NotHeldMs    float64     `cbor:"12,keyasint,omitempty"` // of a Vote: how long the voter itself has certainly not held the duty
	HeldDuties   []Tenure    `cbor:"13,keyasint,omitempty"` // of an Announce
	KnownTerms   []Tenure    `cbor:"14,keyasint,omitempty"` // of an Announce: the highest known term of each duty, so that terms increase even if the voters change
}

// CallName implements rpc.CallNamer. The message got its name when the package was called warden.
func (Message) CallName() string { return "warden.Message" }

// Tenure is a duty held in a term. VacantMs tells, for a duty just won, for how long before that
// certainly no node held it; the duty may have been vacant for longer.
type Tenure struct {
	Duty     string  `cbor:"1,keyasint,omitempty"`
	Term     uint64  `cbor:"2,keyasint,omitempty"`
	VacantMs float64 `cbor:"3,keyasint,omitempty"`
}

// EventKind is the type of an event.
type EventKind uint8

const (
	// Tick tells that time has passed. It should occur every 20 to 50 ms.
	Tick EventKind = iota + 1
	// Received is a message received from another registry.
	Received
	// Shutdown is the shutdown of this node (SIGTERM): it gives up its duties and is no candidate any more.
	Shutdown
)

// Event is the input of one step.
type Event struct {
	Kind    EventKind
	Message Message
}

// Output is the result of a step. The caller must act on Lost before Send.
type Output struct {
	Send      []Message
	Won, Lost []Tenure
	Vacant    []Tenure // of held duties: a longer known vacancy before they were won
}

// electorate is a set of voters as this node was told of it.
type electorate struct {
	shrunk      uint64 // how often the core had lost an address
	edition     uint64
	voters      []string
	learnedAt   float64
	confirmedAt float64
}

// duty is what a node knows about a duty, as a voter and as a candidate.
type duty struct {
	// As a voter.
	votedFor            string // candidate that has this node's vote
	votedForIncarnation uint64
	votedTerm           uint64 // term of the last vote
	voteUntil           float64
	otherVotesUntil     float64 // end of the last vote given to any other candidate than votedFor
	voteReleased        bool
	released            map[string]releasedTerm // by candidate
	voteBound           bool                    // the vote could not be given when last checked
	highestTerm         uint64                  // the highest known term
	holder              string                  // according to its own announcement
	holderTerm          uint64
	holderAt            float64

	// As a candidate.
	standAt             float64
	dutyCountAtSchedule int // number of duties that standAt was computed with
	standing            bool
	held                bool
	term                uint64
	requestedAt         float64
	leaseUntil          float64 // when the held lease ends
	rounds              map[uint64]*round
	lostAt              float64 // when this node last held the duty, or when its process started
	wonAt               float64
	vacantMs            float64 // for how long it certainly had been vacant when it was won
}

// releasedTerm is the last term that a candidate has released. A ballot of it that arrives later would
// otherwise bind the vote for one lease to a candidate that doesn't count it.
type releasedTerm struct {
	incarnation, term uint64
}

// round is one round of ballots.
type round struct {
	startedAt         float64
	accepted, refused map[string]bool
	vacantMs          map[string]float64 // reported vacancy, by voters that accepted
	idleMs            map[string]float64 // how long a voter certainly hasn't held the duty, by all that answered
}

// Machine is one node's state machine. It isn't safe for concurrent use.
type Machine struct {
	self                string
	incarnation         uint64
	leaseMs             float64
	trustMs             float64
	silentUntil         float64 // gives no vote before
	candidateFrom       float64 // is no candidate before
	soleElectorateSince float64 // since when no node trusts any other electorate than the newest
	first               bool
	stepped             bool
	rememberedVoters    []string // the electorate known to an earlier incarnation
	rememberedEdition   uint64   // its number; 0 if not known
	resigned            bool     // is no candidate any more
	rng                 *rand.Rand
	dutyNames           []string // names of the duties, sorted
	duties              map[string]*duty
	electorates         []electorate // oldest first
	heardAt             map[string]float64
	announcedAt         float64
	lastRound           uint64
	roundStartedAt      map[uint64]float64 // when rounds were started, including those given up
	voteTimeMs          map[string]float64 // how long a voter's vote takes to arrive, in milliseconds
}

// New returns the machine of one process. Each process must draw the seed at random, since it also
// determines the incarnation. The flag first is only for the very first start of the whole system: no
// vote has been given yet, so there is nothing to wait for.
func New(self string, seed uint64, now, leaseMs float64, first bool, duties ...string) *Machine {
	if leaseMs <= 0 {
		leaseMs = DefaultLeaseMs
	}
	m := &Machine{self: self, leaseMs: leaseMs, trustMs: trustLeases * leaseMs, silentUntil: now + leaseMs, first: first,
		rng: rand.New(rand.NewPCG(seed, xxh3.HashString(self))), duties: map[string]*duty{}, heardAt: map[string]float64{},
		announcedAt: now - leaseMs, roundStartedAt: map[uint64]float64{}, voteTimeMs: map[string]float64{}}
	m.incarnation = m.rng.Uint64()
	if first {
		m.silentUntil = now
	}
	otherVotesUntil := m.silentUntil // an earlier incarnation may have given a vote right before this start
	if first {
		otherVotesUntil = now - initialVacancyMs
	}
	m.dutyNames = slices.Compact(slices.Sorted(slices.Values(duties)))
	for _, name := range m.dutyNames {
		m.duties[name] = &duty{rounds: map[uint64]*round{}, released: map[string]releasedTerm{}, otherVotesUntil: otherVotesUntil, voteUntil: otherVotesUntil, lostAt: now}
		m.scheduleCandidacy(m.duties[name], now, 0)
	}
	return m
}

// RestoreElectorate restores the electorate that an earlier incarnation of this node got from SoleElectorate. If no
// address was ever removed from the core and the first electorate is the same, or if the number is the
// same, there was no other electorate in between that any node still trusts. It must be called before
// the first call of SetElectorate.
func (m *Machine) RestoreElectorate(voters []string, edition uint64) {
	m.rememberedEdition, m.rememberedVoters = edition, slices.Compact(slices.Sorted(slices.Values(voters)))
}

// SoleElectorate returns the electorate and its number if no node trusts any other, and nil otherwise. Only
// this may be passed to RestoreElectorate by a later incarnation: an electorate just learned says nothing about those
// before it.
func (m *Machine) SoleElectorate(now float64) (voters []string, edition uint64) {
	if m.dropOldElectorates(now); len(m.electorates) != 1 || now < m.soleElectorateSince {
		return nil, 0
	}
	return slices.Clone(m.electorates[0].voters), m.electorates[0].edition
}

// SetElectorate sets the voters. Editions number the electorates from 1; 0 is one that was agreed before
// they were numbered. It must be called whenever the view is confirmed, where queriedAt is when the
// query was sent whose answer confirmed it: the view was in force at some moment since then. Without
// that, a partitioned node could go on forever under an old view while others are two views ahead.
//
// Editions should be reported one by one: after a gap nothing is known of those in between, and this
// node is no candidate until no node trusts them. shrunk is how often the core has lost an address so
// far.
func (m *Machine) SetElectorate(now, queriedAt float64, voters []string, edition, shrunk uint64) {
	voters = slices.Compact(slices.Sorted(slices.Values(voters)))
	if n := len(m.electorates); n > 0 {
		last := &m.electorates[n-1]
		if edition < last.edition {
			return
		}
		if edition == last.edition {
			last.confirmedAt = max(last.confirmedAt, queriedAt)
			return
		}
		if slices.Equal(voters, last.voters) && shrunk == last.shrunk {
			// The view has changed but not the voters. Addresses were only added to the core (internal/configstore/chain), so
			// there was no other electorate in between either.
			last.edition, last.confirmedAt = edition, max(last.confirmedAt, queriedAt)
			return
		}
		m.soleElectorateSince = now + m.trustMs
		if edition > last.edition+1 {
			m.candidateFrom = now + m.trustMs
		}
	} else if m.soleElectorateSince = now - initialVacancyMs; !m.first && edition != 1 && (shrunk > 0 && edition != m.rememberedEdition || !slices.Equal(voters, m.rememberedVoters)) {
		// Earlier electorates are unknown, and other nodes may still trust them.
		m.candidateFrom, m.soleElectorateSince = now+m.trustMs, now+m.trustMs
	}
	m.electorates = append(m.electorates, electorate{edition: edition, shrunk: shrunk, voters: voters, learnedAt: now, confirmedAt: queriedAt})
}

// ObserveTerm records a term that a holder reported to someone. Registries that were all restarted know
// no terms; what gatekeepers remember keeps the terms increasing.
func (m *Machine) ObserveTerm(name string, term uint64) {
	if state := m.duties[name]; state != nil {
		state.highestTerm = max(state.highestTerm, term)
	}
}

// Holds reports whether this node holds the duty at this moment, and in which term. It must be called
// with the current time right before anything is done under the duty.
func (m *Machine) Holds(now float64, name string) (term uint64, ok bool) {
	state := m.duties[name]
	if state == nil || !state.held || now >= state.leaseUntil {
		return 0, false
	}
	return state.term, true
}

// Duties returns the names of the duties that this node is a candidate for.
func (m *Machine) Duties() []string { return m.dutyNames }

// Holder returns the node that last announced that it holds the duty, or "" if none has within one
// lease.
func (m *Machine) Holder(now float64, name string) string {
	state := m.duties[name]
	if state == nil {
		return ""
	}
	if _, ok := m.Holds(now, name); ok {
		return m.self
	}
	if state.holder == m.self || now-state.holderAt > m.leaseMs {
		return ""
	}
	return state.holder
}

// Step handles one event. The time must be read right before the call, and after the message was
// received: a process that was frozen in between must find its leases expired.
func (m *Machine) Step(now float64, event Event) Output {
	var output Output
	if !m.stepped { // from here on the address belongs to this process
		m.stepped = true
		for _, state := range m.duties {
			state.lostAt = now
			if m.first {
				state.lostAt -= initialVacancyMs
			}
		}
	}
	m.dropOldElectorates(now)
	m.releaseExpired(now, &output)
	switch event.Kind {
	case Tick:
	case Received:
		m.receive(now, event.Message, &output)
	case Shutdown:
		m.resign(now, &output)
	}
	if !m.resigned {
		m.advance(now, &output)
	}
	return output
}

// dropOldElectorates removes the electorates that no node can trust any more: the next one was agreed
// before it was learned here, and no node confirmed an older one since.
func (m *Machine) dropOldElectorates(now float64) {
	for len(m.electorates) > 1 && now-m.electorates[1].learnedAt > m.trustMs {
		m.electorates = m.electorates[1:]
	}
}

// requiredElectorates returns the electorates whose majorities a candidate must have: the newest, and
// those that other nodes may still trust and that could elect a holder without any voter of the newest
// one's majority.
func (m *Machine) requiredElectorates(now float64) []electorate {
	count := len(m.electorates)
	var required []electorate
	for i, candidate := range m.electorates {
		if i == count-1 || now-m.electorates[i+1].learnedAt <= m.trustMs && !majoritiesIntersect(candidate.voters, m.electorates[count-1].voters) {
			required = append(required, candidate)
		}
	}
	return required
}

// majoritiesIntersect reports whether any majority of a has a voter in common with any majority of b.
func majoritiesIntersect(a, b []string) bool {
	combined := len(b)
	for _, id := range a {
		if !slices.Contains(b, id) {
			combined++
		}
	}
	return len(a)/2+1+len(b)/2+1 > combined
}

// peers returns all other voters.
func (m *Machine) peers() []string {
	ids := map[string]bool{}
	for _, c := range m.electorates {
		for _, id := range c.voters {
			ids[id] = true
		}
	}
	delete(ids, m.self)
	return slices.Sorted(maps.Keys(ids))
}

// majority reports whether the nodes for which has is true are a majority of every required
// electorate.
func (m *Machine) majority(now float64, has func(id string) bool) bool {
	for _, voterSet := range m.requiredElectorates(now) {
		count := 0
		for _, id := range voterSet.voters {
			if has(id) {
				count++
			}
		}
		if 2*count <= len(voterSet.voters) {
			return false
		}
	}
	return len(m.electorates) > 0
}

// mayRequestVotes reports whether this node may request votes now.
func (m *Machine) mayRequestVotes(now float64) bool {
	if len(m.electorates) == 0 || now < m.candidateFrom {
		return false
	}
	newest := m.electorates[len(m.electorates)-1]
	if now >= newest.confirmedAt+m.trustMs || !slices.Contains(newest.voters, m.self) {
		return false
	}
	return m.majority(now, func(id string) bool { return m.isReachable(now, id) })
}

// isReachable reports whether a message of a node arrived within one lease.
func (m *Machine) isReachable(now float64, id string) bool {
	lastHeardAt, ok := m.heardAt[id]
	return id == m.self || ok && now-lastHeardAt <= m.leaseMs
}

// releaseExpired gives up the duties whose lease has ended.
func (m *Machine) releaseExpired(now float64, output *Output) {
	for _, name := range m.dutyNames {
		if state := m.duties[name]; state.held && now >= state.leaseUntil {
			m.release(now, name, output)
		}
	}
}

// release ends a held duty or a candidacy and releases the votes: none of them is counted from now on,
// so they can be given to others at once.
func (m *Machine) release(now float64, name string, output *Output) {
	state := m.duties[name]
	if state.held {
		state.lostAt = now
		output.Lost = append(output.Lost, Tenure{Duty: name, Term: state.term})
	}
	state.held, state.standing = false, false
	clear(state.rounds)
	message := Message{Kind: Release, From: m.self, Duty: name, Term: state.term, Incarnation: m.incarnation}
	m.releaseVote(now, message)
	for _, id := range m.peers() {
		message.To = id
		output.Send = append(output.Send, message)
	}
	m.scheduleCandidacy(state, now, 0)
}

// scheduleCandidacy sets when to stand next. The more duties this node has, the later that is, so that
// duties are spread over the nodes.
func (m *Machine) scheduleCandidacy(state *duty, now, minDelayMs float64) {
	state.dutyCountAtSchedule = m.dutyCount()
	state.standAt = now + max(0, minDelayMs) + delayPerDutyMs*float64(state.dutyCountAtSchedule) + m.maxJitter()*m.rng.Float64()
}

// maxJitter returns the largest random delay of a candidacy in milliseconds.
func (m *Machine) maxJitter() float64 {
	voters := 0
	if n := len(m.electorates); n > 0 {
		voters = len(m.electorates[n-1].voters)
	}
	return max(minJitterMs, jitterPerVoterMs*float64(voters))
}

// dutyCount returns the number of duties that this node holds or stands for.
func (m *Machine) dutyCount() int {
	count := 0
	for _, d := range m.duties {
		if d.held || d.standing {
			count++
		}
	}
	return count
}

// resign gives up all duties and tells the other voters.
func (m *Machine) resign(now float64, output *Output) {
	m.resigned = true
	for _, name := range m.dutyNames {
		if d := m.duties[name]; d.held || d.standing {
			m.release(now, name, output)
		}
	}
	for _, id := range m.peers() {
		output.Send = append(output.Send, Message{Kind: Announce, From: m.self, To: id})
	}
}

// receive handles a message from another node.
func (m *Machine) receive(now float64, message Message, output *Output) {
	if message.From == m.self || message.From == "" {
		return
	}
	m.heardAt[message.From] = now
	if message.Kind == Announce {
		m.recordAnnouncement(now, message)
		return
	}
	state := m.duties[message.Duty]
	if state == nil {
		return
	}
	switch message.Kind {
	case Ballot:
		m.yieldTo(now, state, message, output)
		output.Send = append(output.Send, m.vote(now, state, message))
	case Vote:
		m.countVote(now, state, message, output)
	case Release:
		m.releaseVote(now, message)
		if !state.held && !state.standing && now >= state.voteUntil {
			// The vote that this node was told to wait for may be over.
			m.scheduleCandidacy(state, now, 0)
		}
	}
}

// recordAnnouncement records which duties the sender holds, and the terms it knows.
func (m *Machine) recordAnnouncement(now float64, message Message) {
	for _, state := range m.duties {
		if state.holder == message.From {
			state.holder = ""
		}
	}
	for _, tenure := range message.HeldDuties {
		state := m.duties[tenure.Duty]
		if state == nil {
			continue
		}
		state.holder, state.holderTerm, state.holderAt = message.From, tenure.Term, now
	}
	for _, tenure := range message.KnownTerms {
		m.ObserveTerm(tenure.Duty, tenure.Term)
	}
}

// yieldTo ends this node's candidacy in favor of a rival that takes precedence; otherwise two candidates
// that split the vote would both wait for their rounds to end. The term was never held, so the rival
// may have it.
func (m *Machine) yieldTo(now float64, state *duty, ballot Message, output *Output) {
	if !state.standing || ballot.Term < state.term || ballot.Term == state.term && precedence(ballot, ballot.From) < precedence(ballot, m.self) {
		return
	}
	m.release(now, ballot.Duty, output)
	state.votedTerm = min(state.votedTerm, ballot.Term-1)
}

// precedence orders rivals differently in each term, so that a candidate that can't win isn't always
// preferred.
func precedence(ballot Message, id string) uint64 {
	return xxh3.HashStringSeed(ballot.Duty+"\x00"+id, ballot.Term)
}

// vote answers a ballot.
func (m *Machine) vote(now float64, state *duty, ballot Message) Message {
	state.highestTerm = max(state.highestTerm, ballot.Term)
	answer := Message{Kind: Vote, From: m.self, To: ballot.From, Duty: ballot.Duty, Term: ballot.Term, Incarnation: ballot.Incarnation, Round: ballot.Round}
	votedForCandidate := state.votedFor == ballot.From && state.votedForIncarnation == ballot.Incarnation
	released := state.released[ballot.From]
	switch {
	case released.incarnation == ballot.Incarnation && ballot.Term <= released.term:
	case now < m.silentUntil:
		answer.RetryAfterMs = m.silentUntil - now
	case !votedForCandidate && now < state.voteUntil:
		answer.RetryAfterMs = state.voteUntil - now
	case ballot.Term > state.votedTerm, ballot.Term == state.votedTerm && votedForCandidate && !state.voteReleased:
		if !votedForCandidate {
			state.otherVotesUntil = max(state.otherVotesUntil, state.voteUntil)
		}
		answer.VacantMs = max(now-state.otherVotesUntil, 0)
		state.votedFor, state.votedForIncarnation, state.votedTerm, state.voteReleased = ballot.From, ballot.Incarnation, ballot.Term, false
		state.voteUntil = now + m.leaseMs
		answer.Granted = true
	}
	answer.HighestTerm = state.highestTerm
	if !state.held {
		answer.NotHeldMs = max(now-state.lostAt, 0)
	}
	return answer
}

// releaseVote releases a vote. The term stays used: a later ballot of it gets no vote.
func (m *Machine) releaseVote(now float64, message Message) {
	state := m.duties[message.Duty]
	if state.holder == message.From && state.holderTerm <= message.Term {
		state.holder = ""
	}
	if released := state.released[message.From]; released.incarnation != message.Incarnation || released.term < message.Term {
		state.released[message.From] = releasedTerm{incarnation: message.Incarnation, term: message.Term}
	}
	if state.votedFor != message.From || state.votedForIncarnation != message.Incarnation || state.votedTerm > message.Term || state.voteReleased {
		return
	}
	state.voteReleased = true
	state.voteUntil = min(state.voteUntil, now)
}

// recordVoteTime records how long a vote took, even if no round waits for it any more: otherwise a
// distant voter would never be waited for.
func (m *Machine) recordVoteTime(now float64, vote Message) {
	startedAt, ok := m.roundStartedAt[vote.Round]
	if !ok || vote.Incarnation != m.incarnation {
		return
	}
	tookMs := now - startedAt
	if previousMs, ok := m.voteTimeMs[vote.From]; ok {
		tookMs = (previousMs + tookMs) / 2
	}
	m.voteTimeMs[vote.From] = tookMs
}

// roundTimeout returns how long to wait for the votes of a round, in milliseconds.
func (m *Machine) roundTimeout() float64 {
	var timesMs []float64
	voters := m.electorates[len(m.electorates)-1].voters
	for _, id := range voters {
		if ms, ok := m.voteTimeMs[id]; ok {
			timesMs = append(timesMs, ms)
		}
	}
	slices.Sort(timesMs)
	timeoutMs := minRoundShare * m.leaseMs
	if majorityIndex := min(len(voters)/2, len(timesMs)); majorityIndex > 0 {
		timeoutMs = max(timeoutMs, voteTimeFactor*timesMs[majorityIndex-1])
	}
	return min(timeoutMs, maxRoundShare*m.leaseMs)
}

// countVote handles a vote.
func (m *Machine) countVote(now float64, state *duty, vote Message, output *Output) {
	m.recordVoteTime(now, vote)
	state.highestTerm = max(state.highestTerm, vote.HighestTerm)
	ballots := state.rounds[vote.Round]
	if vote.Incarnation != m.incarnation || vote.Term != state.term || ballots == nil {
		return
	}
	ballots.idleMs[vote.From] = vote.NotHeldMs
	if !vote.Granted {
		ballots.refused[vote.From] = true
		majorityLost := !m.majority(now, func(id string) bool { return !ballots.refused[id] && m.isReachable(now, id) })
		if state.standing && majorityLost {
			m.release(now, vote.Duty, output)
			m.scheduleCandidacy(state, now, min(vote.RetryAfterMs, m.leaseMs/3))
		}
		m.extendVacancy(now, vote.Duty, state, ballots, output)
		return
	}
	ballots.accepted[vote.From], ballots.vacantMs[vote.From] = true, vote.VacantMs
	m.updateLease(now, vote.Duty, state, ballots, output)
	m.extendVacancy(now, vote.Duty, state, ballots, output)
}

// updateLease turns a majority into a lease, which starts when the ballots were sent.
func (m *Machine) updateLease(now float64, name string, state *duty, ballots *round, output *Output) {
	if !m.majority(now, func(id string) bool { return ballots.accepted[id] }) || now < m.candidateFrom {
		return
	}
	newest := m.electorates[len(m.electorates)-1]
	leaseUntil := min(ballots.startedAt+holderLeaseShare*m.leaseMs, newest.confirmedAt+m.trustMs)
	if now >= leaseUntil {
		return
	}
	if !state.held {
		vacantMs := m.knownVacancy(now, state, ballots)
		state.held, state.standing, state.leaseUntil = true, false, leaseUntil
		state.wonAt, state.vacantMs = now, vacantMs
		output.Won = append(output.Won, Tenure{Duty: name, Term: state.term, VacantMs: vacantMs})
		m.announcedAt = now - m.leaseMs
	}
	state.leaseUntil = max(state.leaseUntil, leaseUntil)
}

// knownVacancy returns for how long the duty being won has certainly been vacant. An earlier holder
// had the votes of a majority, and one of those voters is also in this majority, so the shortest time
// that its voters report is safe.
func (m *Machine) knownVacancy(now float64, state *duty, ballots *round) float64 {
	vacantMs := min(now-state.lostAt, now-m.soleElectorateSince)
	for _, ms := range ballots.vacantMs {
		vacantMs = min(vacantMs, ms)
	}
	return max(holderLeaseShare*vacantMs, 0) // allows for clock drift
}

// extendVacancy finds out more about the time before a duty was won. After a restart of all nodes,
// voters can vouch for little, as their initial silence covers the promises they may have forgotten.
// But no other node has held the duty since it was won. If all voters were asked after that and
// answered, what each reports about itself covers the time before.
func (m *Machine) extendVacancy(now float64, name string, state *duty, ballots *round, output *Output) {
	if !state.held || ballots.startedAt < state.wonAt {
		return
	}
	vacantMs := min(state.wonAt-state.lostAt, state.wonAt-m.soleElectorateSince)
	for _, id := range m.electorates[len(m.electorates)-1].voters {
		if id != m.self {
			vacantMs = min(vacantMs, ballots.idleMs[id]-(now-state.wonAt))
		}
	}
	if vacantMs -= (1 - holderLeaseShare) * (vacantMs + now - state.wonAt); vacantMs > state.vacantMs {
		state.vacantMs = vacantMs
		output.Vacant = append(output.Vacant, Tenure{Duty: name, Term: state.term, VacantMs: vacantMs})
	}
}

// advance renews held duties, stands for vacant ones and sends an announcement if one is due.
func (m *Machine) advance(now float64, output *Output) {
	mayRequest := m.mayRequestVotes(now)
	for _, name := range m.dutyNames {
		state := m.duties[name]
		switch {
		case state.held:
			if (now-state.requestedAt >= m.leaseMs/3 || state.requestedAt < state.wonAt && state.vacantMs < m.trustMs) && mayRequest {
				m.startRound(now, name, state, output)
			}
		case state.standing:
			if now-state.requestedAt >= m.roundTimeout() {
				m.release(now, name, output)
			}
		case now < state.voteUntil, now < m.silentUntil, !mayRequest:
			// This node's own vote is given, can't be given yet, or no majority is visible. All nodes that wait
			// for the same vote to end draw a new delay then; otherwise they would stand at the same moment.
			state.voteBound = true
		case state.voteBound:
			state.voteBound = false
			m.scheduleCandidacy(state, now, 0)
		case now < state.standAt:
		case m.dutyCount() > state.dutyCountAtSchedule:
			m.scheduleCandidacy(state, now, 0)
		default:
			state.standing, state.term = true, max(state.highestTerm, state.votedTerm, state.term)+1
			m.startRound(now, name, state, output)
		}
	}
	if now-m.announcedAt >= m.leaseMs/3 {
		m.announcedAt = now
		announcement := Message{Kind: Announce, From: m.self}
		for _, name := range m.dutyNames {
			if highestTerm := m.duties[name].highestTerm; highestTerm > 0 {
				announcement.KnownTerms = append(announcement.KnownTerms, Tenure{Duty: name, Term: highestTerm})
			}
			if term, ok := m.Holds(now, name); ok {
				announcement.HeldDuties = append(announcement.HeldDuties, Tenure{Duty: name, Term: term})
			}
		}
		for _, id := range m.peers() {
			announcement.To = id
			output.Send = append(output.Send, announcement)
		}
	}
}

// startRound starts a round of ballots with this node's own vote.
func (m *Machine) startRound(now float64, name string, state *duty, output *Output) {
	m.lastRound++
	state.requestedAt, m.roundStartedAt[m.lastRound] = now, now
	maps.DeleteFunc(m.roundStartedAt, func(_ uint64, at float64) bool { return now-at > m.leaseMs })
	maps.DeleteFunc(state.rounds, func(_ uint64, ballots *round) bool { return now-ballots.startedAt > m.leaseMs })
	ballots := &round{startedAt: now, accepted: map[string]bool{}, refused: map[string]bool{}, vacantMs: map[string]float64{}, idleMs: map[string]float64{}}
	state.rounds[m.lastRound] = ballots
	ballot := Message{Kind: Ballot, From: m.self, Duty: name, Term: state.term, Incarnation: m.incarnation, Round: m.lastRound}
	for _, id := range m.peers() {
		ballot.To = id
		output.Send = append(output.Send, ballot)
	}
	if ownVote := m.vote(now, state, ballot); ownVote.Granted {
		ballots.accepted[m.self], ballots.vacantMs[m.self] = true, ownVote.VacantMs
		m.updateLease(now, name, state, ballots, output)
		m.extendVacancy(now, name, state, ballots, output)
	} else {
		ballots.refused[m.self] = true
	}
}
