package chain

import (
	"cmp"
	"maps"
	"slices"
)

// ballotState is the state of the agreement on the next view: single-decree Paxos among the core of the
// current view. Times are in milliseconds of the local clock.
type ballotState struct {
	promised Ballot
	accepted *Vote

	highestRound    uint64   // highest ballot round seen
	ownAttempt      *attempt // the ballot led by this machine, if any
	viewWantedSince float64  // since when a new view has been wanted; 0 if none is
	turnRank        int      // this machine's rank among the candidate leaders when turnAt was computed
	turnAt          float64  // earliest time at which this machine leads a ballot
	attempts        int      // number of ballots led for the next view; the delay between ballots grows with it
	lastCheckedAt   float64  // when the need for a new view was last checked
	nextAttemptAt   float64  // earliest time of the next ballot
	votedAt         float64  // when this machine last voted without learning the outcome
}

// regainGraceIntervals is the number of heartbeat intervals for which a machine that hears a majority
// again waits for the other members before it proposes a view without them.
const regainGraceIntervals = 1.5

// undecidedVoteRank is the rank of a machine that wants no new view but only to finish the vote it
// has cast.
const undecidedVoteRank = -2

// attempt is a ballot that this machine leads.
type attempt struct {
	ballot          Ballot
	value           View
	highestAccepted *Vote // the highest vote reported in promises; its value must be proposed again
	promises        map[MachineID]bool
	votes           map[MachineID]bool
	voting          bool    // a majority has promised
	startedAt       float64 // when the attempt began
}

// resetBallots resets the ballot state of a view.
func (m *Machine) resetBallots() {
	m.highestRound, m.ownAttempt, m.viewWantedSince, m.attempts, m.nextAttemptAt = 0, nil, 0, 0, 0
	m.votedAt, m.lastCheckedAt = m.now, m.now-1e9
}

// inCore reports whether this machine, with its current disk, is a member of the core.
func (m *Machine) inCore() bool { return slices.Contains(m.view.Core, m.self) }

// isMajority reports whether n members are more than half of the core.
func (m *Machine) isMajority(n int) bool { return m.moreThanHalf(n, len(m.view.Core)) }

// moreThanHalf reports whether n is more than half of a total.
func (m *Machine) moreThanHalf(n, of int) bool {
	return 2*n > of || m.faults.halfIsMajority && 2*n == of
}

// hearsMajority reports whether a majority of the core is reachable in both directions.
func (m *Machine) hearsMajority() bool {
	count := 0
	for _, member := range m.view.Core {
		if m.isReachable(member) {
			count++
		}
	}
	return m.isMajority(count)
}

// isComplete reports whether this machine holds everything that was acknowledged in earlier views and,
// as a member of the chain, in this one. Only such members may lead a later chain: a machine that
// joined a chain which was never opened may lack what was acknowledged after it got its snapshot.
func (m *Machine) isComplete() bool {
	return m.complete || m.chainIndex() >= 0 && m.lastPosition().View == m.view.Number
}

// sendHeartbeats sends a heartbeat to the other machines and drops peers that have been silent for
// long.
func (m *Machine) sendHeartbeats() {
	heartbeat := Heartbeat{View: m.view.Number, Last: m.lastPosition(), Committed: m.committed.Last, Complete: m.isComplete(), HasSnapshot: m.hasSnapshot,
		Round: max(m.highestRound, m.promised.Round), LeaseRequest: m.nextLeaseRequest(), Incarnation: m.incarnation, Leaving: m.leaving, FirstStart: m.seatPending}
	for index, id := range m.view.Core {
		if index < 64 && m.hears(id) {
			heartbeat.Hears |= 1 << index
		}
	}
	addrs := map[string]bool{m.self.Addr: true}
	for _, id := range m.view.Core {
		if id != m.self {
			addrs[id.Addr] = true
			to := id
			if id.Addr == m.self.Addr {
				continue
			}
			if !m.hears(id) {
				to.Disk = "" // whichever machine has the address now learns where the core is
			}
			m.send(to, Message{Heartbeat: &heartbeat})
		}
	}
	if !m.inCore() || m.majorityLostAt > 0 { // the core may have moved to machines that the seeds name
		for _, addr := range m.config.Seeds {
			if !addrs[addr] {
				addrs[addr] = true
				m.send(MachineID{Addr: addr}, Message{Heartbeat: &heartbeat})
			}
		}
	}
	for _, id := range m.knownPeers() {
		p := m.peers[id]
		if m.now-p.heardAt > 20*m.config.SuspectTimeout {
			delete(m.peers, id)
		} else if m.inCore() && !slices.Contains(m.view.Core, id) && m.now-p.heardAt < m.config.SuspectTimeout {
			m.send(id, Message{Heartbeat: &heartbeat}) // a joining machine must learn which members hear it
		}
	}
}

// knownPeers returns all machines heard of, in a fixed order, so that runs with the same seed are
// identical.
func (m *Machine) knownPeers() []MachineID {
	return slices.SortedFunc(maps.Keys(m.peers), func(a, b MachineID) int {
		return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(m.peers[b].heardAt, m.peers[a].heardAt), cmp.Compare(a.Disk, b.Disk))
	})
}

// hears reports whether a machine was heard recently. After a start, every machine counts as
// heard until it has had the time to send a heartbeat.
func (m *Machine) hears(id MachineID) bool {
	return id == m.self || m.silentFor(id) < m.config.SuspectTimeout
}

// isReachable reports whether a machine is reachable in both directions. One that is heard but hears
// nobody would block the chain.
func (m *Machine) isReachable(id MachineID) bool {
	if !m.hears(id) {
		return false
	}
	index := slices.Index(m.view.Core, m.self)
	if sender := m.peers[id]; id != m.self && sender != nil && sender.heartbeat.View == m.view.Number && index >= 0 && index < 64 {
		return sender.heartbeat.Hears>>index&1 == 1
	}
	return true
}

// handleHeartbeat processes a heartbeat.
func (m *Machine) handleHeartbeat(from MachineID, sender *peer, heartbeat Heartbeat) {
	if m.silentFor(from) >= m.config.SuspectTimeout {
		m.nextHeartbeat = m.now // tells the sender at once that the connection is back
	}
	sender.heardAt, sender.heartbeat = m.now, heartbeat
	m.notePendingSeat(from, heartbeat)
	// Views are exchanged with a machine at most every 40 ms.
	if heartbeat.View < m.view.Number && m.now-sender.viewSentAt > 40 {
		sender.viewSentAt = m.now
		m.sendView(from)
	}
	if heartbeat.View > m.view.Number && m.now-sender.viewSentAt > 40 {
		sender.viewSentAt = m.now
		m.send(from, Message{Heartbeat: &Heartbeat{View: m.view.Number, Last: m.lastPosition(), Committed: m.committed.Last}}) // the sender will answer with its view
	}
	if heartbeat.View != m.view.Number {
		return
	}
	m.highestRound = max(m.highestRound, heartbeat.Round)
	m.grantLease(from, heartbeat)
	index := m.chainIndex()
	if slices.Contains(m.view.Chain, from) {
		if index >= 0 && index+1 < len(m.view.Chain) && m.view.Chain[index+1] == from {
			m.handleSuccessorPosition(heartbeat.Last, false)
		}
		m.commitThrough(heartbeat.Committed)
		return
	}
	if index >= 0 && !heartbeat.Leaving && m.needsSnapshot(from, heartbeat) && m.isComplete() && m.now-sender.snapshotSentAt > 2*m.config.RetryDelay && m.isReachable(from) && m.reachableRank() == 0 {
		sender.snapshotSentAt = m.now
		m.send(from, Message{Snapshot: &SnapshotTransfer{View: m.view.Number, Snapshot: m.logSnapshot()}})
	}
}

// reachableRank returns this machine's position among the reachable members of the chain, or -1 outside
// the chain.
func (m *Machine) reachableRank() int {
	if m.chainIndex() < 0 {
		return -1
	}
	rank := 0
	for _, member := range m.view.Chain[:m.chainIndex()] {
		if m.isReachable(member) {
			rank++
		}
	}
	return rank
}

// wantedView returns the view that should come next, if there is one and it can be formed. Leaving
// members are left out if the remaining ones can form a chain.
func (m *Machine) wantedView() (View, bool) {
	if !m.hearsMajority() {
		return View{}, false
	}
	if slices.ContainsFunc(m.view.Chain, m.isLeaving) {
		if next, ok := m.proposeView(true); ok {
			return next, true
		}
	}
	return m.proposeView(false)
}

// lastReport returns the last heartbeat of a machine and whether it belongs to this view.
func (m *Machine) lastReport(id MachineID) (Heartbeat, bool) {
	if id == m.self {
		return Heartbeat{View: m.view.Number, Complete: m.isComplete(), Leaving: m.leaving}, true
	}
	sender := m.peers[id]
	if sender == nil || sender.heardAt == 0 && sender.heartbeat.View == 0 {
		return Heartbeat{}, false
	}
	return sender.heartbeat, sender.heartbeat.View == m.view.Number
}

// proposeView returns the view that should follow. letGo leaves out members that are leaving.
func (m *Machine) proposeView(letGo bool) (View, bool) {
	var complete, incomplete, returning []MachineID
	shrinks := false
	for _, id := range m.view.Chain {
		if !m.isReachable(id) && m.now-m.majorityRegainedAt < regainGraceIntervals*m.config.HeartbeatInterval {
			return View{}, false // it was partitioned together with this machine or from it, and may be heard soon
		}
		if !m.isReachable(id) || letGo && m.isLeaving(id) {
			shrinks = true
			continue
		}
		report, ok := m.lastReport(id)
		if !ok && m.now-m.viewSince < m.config.SuspectTimeout {
			return View{}, false // it will learn of this view soon
		}
		if ok && (report.Complete || m.faults.allowAnyHead) {
			complete = append(complete, id)
		} else {
			incomplete = append(incomplete, id)
		}
	}
	if len(complete) == 0 {
		return View{}, false
	}
	for _, id := range m.view.Core {
		if report, ok := m.lastReport(id); ok && report.HasSnapshot && !slices.Contains(m.view.Chain, id) && m.isReachable(id) && m.heardByChain(id) {
			returning = append(returning, id)
		}
	}
	chain := slices.Concat(complete, incomplete, returning)
	proposed := m.assignSeats(chain)
	if !shrinks && len(returning) == 0 && proposed.Epoch == m.view.Epoch && slices.Equal(proposed.Core, m.view.Core) {
		return View{}, false
	}
	if !m.moreThanHalf(len(proposed.Chain), len(proposed.Core)) || !slices.Contains(complete, proposed.Chain[0]) {
		return View{}, false
	}
	return proposed, true
}

// heardByChain reports whether all reachable members of the chain hear a core member. One that only
// some of them hear would be added and left out in turns.
func (m *Machine) heardByChain(id MachineID) bool {
	index := slices.Index(m.view.Core, id)
	for _, member := range m.view.Chain {
		if p := m.peers[member]; member != m.self && index < 64 && m.isReachable(member) && p != nil && p.heartbeat.View == m.view.Number && p.heartbeat.Hears>>index&1 == 0 {
			return false
		}
	}
	return true
}

// considerBallot starts a ballot when a new view is wanted and it is this machine's turn, or when
// its own vote has stayed undecided, because a cast vote keeps it from granting leases.
func (m *Machine) considerBallot() {
	if !m.inCore() || m.now < m.lastCheckedAt+m.config.HeartbeatInterval/4 {
		return
	}
	m.lastCheckedAt = m.now
	undecided := m.accepted != nil && m.now-m.votedAt > m.config.BallotTimeout
	next, wanted := m.wantedView()
	if m.chainIndex() < 0 {
		wanted = false
	}
	if !wanted && !undecided {
		m.viewWantedSince = 0
		if m.ownAttempt != nil && !m.ownAttempt.voting {
			m.ownAttempt = nil
		}
		return
	}
	rank := m.reachableRank()
	if !wanted {
		rank = undecidedVoteRank
	}
	if newlyWanted := m.viewWantedSince == 0; newlyWanted || rank != m.turnRank {
		if newlyWanted {
			m.viewWantedSince = m.now
		}
		// The delay depends on the rank and is computed again when the rank changes: a long delay must
		// not remain after the machines of lower rank have failed.
		m.turnRank, m.turnAt = rank, m.viewWantedSince
		switch {
		case !wanted:
			m.turnAt += m.rng.Float64() * m.config.SuspectTimeout / 2
		case rank > 0:
			m.turnAt += float64(rank) * (m.config.BallotTimeout + m.config.LeaseDuration) * (1 + m.rng.Float64()/2)
		}
	}
	if m.now < max(m.nextAttemptAt, m.turnAt) {
		return
	}
	m.attempts++
	backoff := 1 + m.rng.Float64()*float64(min(m.attempts-1, 4))
	m.nextAttemptAt = m.now + m.config.BallotTimeout*backoff
	m.highestRound = max(m.highestRound, m.promised.Round) + 1
	m.ownAttempt = &attempt{ballot: Ballot{m.highestRound, m.self}, promises: map[MachineID]bool{}, votes: map[MachineID]bool{}, startedAt: m.now}
	if wanted {
		m.ownAttempt.value = next
	}
	for _, member := range m.view.Core {
		m.send(member, Message{Prepare: &Prepare{Ballot: m.ownAttempt.ballot, Base: m.view}})
	}
}

// syncView brings both sides of a ballot to the same view and reports whether this machine may take
// part. Ballots on an older view are answered with the newer one.
func (m *Machine) syncView(from MachineID, base View) bool {
	m.adoptView(base)
	if base.Number < m.view.Number {
		if from != m.self {
			m.sendView(from)
		}
		return false
	}
	return m.inCore()
}

// handlePrepare processes a Prepare: it promises unless a higher ballot was promised before.
func (m *Machine) handlePrepare(from MachineID, msg Prepare) {
	if !m.syncView(from, msg.Base) {
		return
	}
	m.highestRound = max(m.highestRound, msg.Ballot.Round)
	answer := &Promise{ForView: m.view.Number + 1, Ballot: msg.Ballot, HighestPromised: m.promised}
	if !msg.Ballot.less(m.promised) {
		if m.promised != msg.Ballot {
			m.promised = msg.Ballot
			m.persist(Record{Promise: &PromiseRecord{ForView: answer.ForView, Ballot: msg.Ballot}})
		}
		answer.OK, answer.Accepted = true, m.accepted
		m.noGrantBefore = m.now + m.config.BallotTimeout
		m.releaseLeases()
	}
	m.send(from, Message{Promise: answer})
}

// handlePromise processes a Promise and asks for votes once a majority has promised.
func (m *Machine) handlePromise(from MachineID, msg Promise) {
	own := m.ownAttempt
	if own == nil || msg.ForView != m.view.Number+1 || msg.Ballot != own.ballot || own.voting || !slices.Contains(m.view.Core, from) {
		return
	}
	if !msg.OK {
		m.backOff(msg.HighestPromised)
		return
	}
	if own.highestAccepted == nil && msg.Accepted == nil && own.value.Number > 0 && !slices.Contains(own.value.Core, from) && !m.isLeaving(from) && !m.faults.takeHeardSeats {
		m.ownAttempt = nil // the member that was to lose its seat has answered: it keeps the seat, and its promise must not count towards losing it
		return
	}
	own.promises[from] = true
	if vote := msg.Accepted; vote != nil && (own.highestAccepted == nil || own.highestAccepted.Ballot.less(vote.Ballot)) {
		own.highestAccepted = vote
	}
	if !m.isMajority(len(own.promises)) {
		return
	}
	if own.highestAccepted != nil {
		own.value = own.highestAccepted.Value
	}
	if own.value.Number == 0 {
		m.ownAttempt = nil
		return
	}
	own.voting = true
	for _, member := range m.view.Core {
		m.send(member, Message{Accept: &Accept{Ballot: own.ballot, Base: m.view, Value: own.value}})
	}
}

// backOff abandons this machine's ballot because a higher one exists, and delays the next attempt.
func (m *Machine) backOff(seen Ballot) {
	m.highestRound = max(m.highestRound, seen.Round)
	m.ownAttempt = nil
	m.nextAttemptAt = max(m.nextAttemptAt, m.now+m.config.BallotTimeout*(0.15+m.rng.Float64()*0.2*float64(min(m.attempts, 5))))
}

// handleAccept processes an Accept. A vote for which granted leases must run out first is held back.
func (m *Machine) handleAccept(from MachineID, msg Accept) {
	if !m.syncView(from, msg.Base) {
		return
	}
	m.highestRound = max(m.highestRound, msg.Ballot.Round)
	answer := &Accepted{ForView: m.view.Number + 1, Ballot: msg.Ballot, HighestPromised: m.promised}
	if !msg.Ballot.less(m.promised) {
		if !m.mayVote() {
			m.noGrantBefore = max(m.noGrantBefore, m.now+m.config.BallotTimeout)
			m.heldVote, m.heldFrom = &msg, from
			return
		}
		m.promised = msg.Ballot
		m.accepted = &Vote{ForView: answer.ForView, Ballot: msg.Ballot, Value: msg.Value}
		m.votedAt = m.now
		m.persist(Record{Accept: m.accepted})
		answer.OK = true
	}
	m.send(from, Message{Accepted: answer})
}

// handleAccepted counts a vote. With a majority the view is decided, and the members of the old and the
// new core are told.
func (m *Machine) handleAccepted(from MachineID, msg Accepted) {
	own := m.ownAttempt
	if own == nil || msg.ForView != m.view.Number+1 || msg.Ballot != own.ballot || !own.voting || !slices.Contains(m.view.Core, from) {
		return
	}
	if !msg.OK {
		m.backOff(msg.HighestPromised)
		return
	}
	own.votes[from] = true
	if !m.isMajority(len(own.votes)) {
		return
	}
	previous, decided := m.view, own.value
	m.adoptView(decided)
	for _, member := range union(previous.Core, decided.Core) {
		if member != m.self {
			m.send(member, Message{NewView: &decided})
		}
	}
}

// sendView sends a machine the current view.
func (m *Machine) sendView(to MachineID) {
	view := m.view
	m.send(to, Message{NewView: &view})
}

// union returns the members of a followed by those of b that are not in a.
func union(a, b []MachineID) []MachineID {
	all := slices.Clone(a)
	for _, id := range b {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// adoptView enters a decided view if it is newer. From then on entries of older views are refused. A
// machine that skips a view may have missed changes in it and is incomplete until it has received
// the opening entry of the new view.
func (m *Machine) adoptView(view View) {
	if view.Number <= m.view.Number {
		return
	}
	m.enterView(view, view.Number == m.view.Number+1 && m.chainIndex() >= 0 && m.isComplete())
}

// enterView makes a view the current one and resets the state that belonged to the previous view.
func (m *Machine) enterView(view View, complete bool) {
	m.view, m.complete, m.hasSnapshot, m.viewSince = view, complete, false, m.now
	m.seatPending = m.seatPending && !m.inCore()
	for _, member := range view.Core {
		delete(m.pendingSeats, member.Addr)
	}
	m.promised, m.accepted = Ballot{}, nil
	m.resetViewState()
	m.persist(Record{View: &ViewRecord{View: view, Complete: complete}})
	m.nextHeartbeat = m.now
}
