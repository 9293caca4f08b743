package chain

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// chainState is the state of replication: entries go from the head to the tail, and commits go back up.
type chainState struct {
	successorLast  LogPosition // newest entry that the successor reported to hold; zero before its first report
	sentLast       LogPosition // newest entry sent to the successor
	sentAt         float64
	snapshotSentAt float64                  // when the successor was last sent a snapshot
	waitingCallers map[LogPosition][]caller // at the head: callers to answer once an entry is committed
	pendingChanges []*pendingChange
	pendingReads   []*pendingRead
}

// caller is a request forwarded to the head that waits for an entry to be committed.
type caller struct {
	from        MachineID
	id          uint64
	incarnation uint64
}

// pendingChange is a change requested by a local caller that is not answered yet.
type pendingChange struct {
	Submit
	deadline      float64
	sentAt        float64
	sentInView    uint64
	knownPosition LogPosition
	everSent      bool
}

// pendingRead is a read requested by a local caller that is not answered yet.
type pendingRead struct {
	Read
	deadline   float64
	sentAt     float64
	sentInView uint64
	required   *LogPosition // what the tail had committed when asked; nil before it answers
}

// resetChain resets the replication state of a view. Requests of local callers are kept; they are
// sent to the new head or tail.
func (m *Machine) resetChain() {
	m.successorLast, m.sentLast, m.sentAt, m.snapshotSentAt, m.waitingCallers = LogPosition{}, LogPosition{}, -1e18, -1e18, map[LogPosition][]caller{}
}

// chainIndex returns this machine's position in the chain, or -1 outside it.
func (m *Machine) chainIndex() int { return slices.Index(m.view.Chain, m.self) }

// isTail reports whether this machine is the last one of the chain.
func (m *Machine) isTail() bool {
	n := len(m.view.Chain)
	return n > 0 && m.view.Chain[n-1] == m.self
}

// lastPosition returns the position of the newest entry held, committed or not.
func (m *Machine) lastPosition() LogPosition {
	if n := len(m.uncommitted); n > 0 {
		return m.uncommitted[n-1].LogPosition
	}
	return m.committed.Last
}

// logSnapshot returns a snapshot of the log.
func (m *Machine) logSnapshot() LogSnapshot {
	return LogSnapshot{State: m.committed, Uncommitted: slices.Clone(m.uncommitted)}
}

// findEntry looks up a position in the log. It returns 0 for the last committed entry and i for the
// i-th uncommitted entry after it.
func (m *Machine) findEntry(position LogPosition) (int, bool) {
	if position == m.committed.Last {
		return 0, true
	}
	for i, e := range m.uncommitted {
		if e.LogPosition == position {
			return i + 1, true
		}
	}
	return 0, false
}

// openView writes the opening entry of a view at the head. Once the tail has that entry, it holds
// everything the head held. At the tail it commits what a restart left uncommitted.
func (m *Machine) openView() {
	if m.chainIndex() == 0 && m.lastPosition().View != m.view.Number && m.isComplete() {
		m.appendAtHead(Change{Kind: OpenView})
	}
	if len(m.uncommitted) > 0 && m.isTail() && m.lastPosition().View == m.view.Number {
		m.commitThrough(m.lastPosition()) // after a restart: all members above this one hold what it holds
	}
}

// appendAtHead appends a change at the head as a new entry and propagates it.
func (m *Machine) appendAtHead(change Change) LogPosition {
	prev := m.lastPosition()
	entry := Entry{LogPosition: LogPosition{Seq: prev.Seq + 1, View: m.view.Number}, Prev: prev, Change: change}
	m.appendEntry(entry)
	m.propagate()
	return entry.LogPosition
}

// appendEntry appends an entry to the log and to the records to be synced.
func (m *Machine) appendEntry(entry Entry) {
	m.uncommitted = append(m.uncommitted, entry)
	m.persist(Record{Entry: &entry})
}

// propagate propagates newly appended entries: down the chain, or, at the tail, by committing them.
func (m *Machine) propagate() {
	if m.isTail() {
		if m.lastPosition().View == m.view.Number {
			m.commitThrough(m.lastPosition())
		}
		return
	}
	m.sendToSuccessor()
}

// sendToSuccessor sends the successor the entries that it has not been sent yet.
func (m *Machine) sendToSuccessor() {
	index := m.chainIndex()
	if index < 0 || index+1 >= len(m.view.Chain) || m.lastPosition().View != m.view.Number || m.sentLast == m.lastPosition() {
		return
	}
	first := len(m.uncommitted) - 1
	if i, ok := m.findEntry(m.sentLast); ok && m.sentLast != (LogPosition{}) {
		first = i
	}
	m.sendEntriesFrom(first)
}

// sendEntriesFrom sends the successor the uncommitted entries from an index on. An index outside
// the range sends an empty Append.
func (m *Machine) sendEntriesFrom(first int) {
	index := m.chainIndex()
	if index < 0 || index+1 >= len(m.view.Chain) || m.lastPosition().View != m.view.Number {
		return
	}
	if first < 0 || first >= len(m.uncommitted) {
		m.sentLast, m.sentAt = m.lastPosition(), m.now
		m.send(m.view.Chain[index+1], Message{Append: &Append{View: m.view.Number}})
		return
	}
	m.sentLast, m.sentAt = m.lastPosition(), m.now
	m.send(m.view.Chain[index+1], Message{Append: &Append{View: m.view.Number, Entries: slices.Clone(m.uncommitted[first:])}})
}

// handleSuccessorPosition processes the successor's report of its newest entry and sends what it
// lacks: the entries after that one, or a snapshot if its log is not a prefix of this one. If gap
// is set, the successor has detected missing entries itself; otherwise the missing entries may
// still be on their way.
func (m *Machine) handleSuccessorPosition(position LogPosition, gap bool) {
	if m.lastPosition().View != m.view.Number || m.chainIndex() < 0 || position.View == m.view.Number && position.Seq < m.committed.Last.Seq {
		return // a report below the committed entries is outdated: all members hold those
	}
	firstReport := m.successorLast == LogPosition{}
	m.successorLast = position
	index, known := m.findEntry(position)
	switch {
	case known && position == m.lastPosition():
	case known && position == (LogPosition{}):
		// The successor holds nothing and nothing was ever committed. sendToSuccessor cannot tell
		// this from a successor that has not reported yet, so all entries are sent here.
		if gap || m.now-m.sentAt >= m.config.RetryDelay {
			m.sentLast, m.sentAt = m.lastPosition(), m.now
			m.send(m.view.Chain[m.chainIndex()+1], Message{Append: &Append{View: m.view.Number, Entries: slices.Clone(m.uncommitted)}})
		}
	case known:
		// A successor that holds nothing is sent everything too: given the newest entry alone, it would
		// report a gap again at once, without end.
		if firstReport || gap || m.now-m.sentAt >= m.config.RetryDelay {
			m.sendEntriesFrom(index)
		}
	case m.now-m.snapshotSentAt >= m.config.RetryDelay:
		m.sentLast, m.sentAt, m.snapshotSentAt = m.lastPosition(), m.now, m.now
		m.send(m.view.Chain[m.chainIndex()+1], Message{Snapshot: &SnapshotTransfer{View: m.view.Number, Snapshot: m.logSnapshot()}})
	}
}

// handleAppend appends the entries received from the predecessor and acknowledges them.
func (m *Machine) handleAppend(from MachineID, msg Append) {
	index := m.chainIndex()
	if !m.faults.acceptOldViews && msg.View != m.view.Number {
		if msg.View < m.view.Number {
			m.sendView(from)
		}
		return
	}
	if index <= 0 || m.view.Chain[index-1] != from {
		return
	}
	appended, gap := false, false
	for _, entry := range msg.Entries {
		if entry.Seq <= m.committed.Last.Seq {
			continue
		}
		if _, ok := m.findEntry(entry.LogPosition); ok {
			continue
		}
		if entry.Prev != m.lastPosition() && !(m.faults.skipPrevCheck && entry.Seq > m.lastPosition().Seq) {
			gap = true
			break
		}
		m.appendEntry(entry)
		appended = true
	}
	if appended {
		m.propagate()
	}
	m.acknowledgeOrReportGap(gap)
}

// acknowledge reports this machine's log position to its predecessor.
func (m *Machine) acknowledge() { m.acknowledgeOrReportGap(false) }

// acknowledgeOrReportGap reports this machine's log position to its predecessor. If gap is set,
// entries were missing.
func (m *Machine) acknowledgeOrReportGap(gap bool) {
	if index := m.chainIndex(); index > 0 {
		m.send(m.view.Chain[index-1], Message{Appended: &Appended{View: m.view.Number, Last: m.lastPosition(), Committed: m.committed.Last, Gap: gap}})
	}
}

// handleAppended processes the successor's acknowledgement.
func (m *Machine) handleAppended(from MachineID, msg Appended) {
	index := m.chainIndex()
	if msg.View != m.view.Number || index < 0 || index+1 >= len(m.view.Chain) || m.view.Chain[index+1] != from {
		return
	}
	m.commitThrough(msg.Committed)
	m.handleSuccessorPosition(msg.Last, msg.Gap)
}

// handleSnapshot installs a snapshot from the predecessor, or, outside the chain, from the member
// that sends snapshots to joining machines. A delayed snapshot must not remove entries that were
// already acknowledged to the predecessor.
func (m *Machine) handleSnapshot(from MachineID, msg SnapshotTransfer) {
	if msg.View != m.view.Number || !slices.Contains(m.view.Chain, from) {
		return
	}
	index := m.chainIndex()
	if index == 0 || index > 0 && m.view.Chain[index-1] != from {
		return
	}
	last := msg.Snapshot.State.Last
	if length := len(msg.Snapshot.Uncommitted); length > 0 {
		last = msg.Snapshot.Uncommitted[length-1].LogPosition
	}
	needed := index > 0 && m.lastPosition().View != m.view.Number || index < 0 && !m.hasSnapshot
	if !needed && last.Seq <= m.lastPosition().Seq && !m.faults.acceptLateSnapshot || last.Seq < m.committed.Last.Seq {
		m.hasSnapshot = true
		if index > 0 {
			m.acknowledge()
		}
		return
	}
	committed, uncommitted := msg.Snapshot.State, slices.Clone(msg.Snapshot.Uncommitted)
	if committed.Last.Seq < m.committed.Last.Seq { // the sender knows of fewer commits than this machine
		index := slices.IndexFunc(uncommitted, func(e Entry) bool { return e.LogPosition == m.committed.Last })
		if index < 0 {
			return
		}
		committed, uncommitted = m.committed, uncommitted[index+1:]
	}
	changed := committed.Last != m.committed.Last
	m.committed, m.uncommitted, m.hasSnapshot = committed, uncommitted, true
	m.recordedCommit = committed.Last.Seq
	m.persist(Record{Snapshot: &LogSnapshot{State: committed, Uncommitted: slices.Clone(uncommitted)}})
	if changed {
		m.output.StateChanged = true
		m.answerCommitted()
	}
	if index > 0 {
		m.propagate()
		m.acknowledge()
	}
}

// commitThrough commits all entries up to a position that another member reports as committed, provided
// this log holds that entry.
func (m *Machine) commitThrough(position LogPosition) {
	if index, ok := m.findEntry(position); !ok || index == 0 {
		return
	}
	m.applyThrough(position.Seq)
	m.output.StateChanged = true
	m.acknowledge()
	m.answerCommitted()
}

// applyThrough applies the uncommitted entries up to a sequence number to the committed state.
func (m *Machine) applyThrough(seq uint64) {
	count := 0
	for count < len(m.uncommitted) && m.uncommitted[count].Seq <= seq {
		m.committed = m.committed.apply(m.uncommitted[count])
		count++
	}
	m.uncommitted = slices.Clone(m.uncommitted[count:])
}

// apply returns the state after an entry. The receiver is not modified.
func (s State) apply(entry Entry) State {
	s.Last = entry.LogPosition
	change := entry.Change
	switch change.Kind {
	case PutConfiguration:
		s.Identities = addIdentity(s.identities(), change)
		if change.Edition > s.Edition {
			s.Edition, s.Body = change.Edition, change.Body
		}
	case Evacuate:
		s.LastZoneChange = cloneMap(s.LastZoneChange)
		s.LastZoneChange[change.Zone] = entry.LogPosition
		if _, ok := s.Evacuated[change.Zone]; !ok {
			s.Evacuated = cloneMap(s.Evacuated)
			s.Evacuated[change.Zone] = entry.Seq
		}
	case EndEvacuation:
		s.LastZoneChange = cloneMap(s.LastZoneChange)
		s.LastZoneChange[change.Zone] = entry.LogPosition
		if _, ok := s.Evacuated[change.Zone]; ok {
			s.Evacuated = cloneMap(s.Evacuated)
			delete(s.Evacuated, change.Zone)
		}
	case SetOrder:
		if o, ok := s.Orders[change.Name]; !ok || change.Number > o.Number {
			s.Orders = cloneMap(s.Orders)
			s.Orders[change.Name] = NamedOrder{Number: change.Number, Body: change.Body, Identities: addIdentity(o.identities(), change)}
		}
	}
	return s
}

// cloneMap returns a copy of a map, or an empty map for nil.
func cloneMap[V any](in map[string]V) map[string]V {
	if in == nil {
		return map[string]V{}
	}
	return maps.Clone(in)
}

// answerCommitted answers the requests that waited for what is now committed.
func (m *Machine) answerCommitted() {
	bySequence := func(a, b LogPosition) int { return cmp.Compare(a.Seq, b.Seq) } // a fixed order keeps runs with the same seed identical
	for _, position := range slices.SortedFunc(maps.Keys(m.waitingCallers), bySequence) {
		if position.Seq <= m.committed.Last.Seq {
			for _, waiter := range m.waitingCallers[position] {
				m.send(waiter.from, Message{ChangeOutcome: &ChangeOutcome{ID: waiter.id, Incarnation: waiter.incarnation}})
			}
			delete(m.waitingCallers, position)
		}
	}
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(read *pendingRead) bool {
		if read.required == nil || read.required.Seq > m.committed.Last.Seq {
			return false
		}
		m.output.Results = append(m.output.Results, Result{ID: read.ID, Outcome: OK, State: m.State()})
		return true
	})
}

// queueChange queues a change; resend sends it to the head.
func (m *Machine) queueChange(request Submit) {
	m.pendingChanges = append(m.pendingChanges, &pendingChange{Submit: request, deadline: m.now + m.config.AnswerTimeout, sentAt: -1e18, knownPosition: request.KnownPosition})
}

// queueRead queues a read; resend sends it to the tail.
func (m *Machine) queueRead(request Read) {
	m.pendingReads = append(m.pendingReads, &pendingRead{Read: request, deadline: m.now + m.config.AnswerTimeout, sentAt: -1e18})
}

// resend fails requests past their deadline and sends unanswered ones again, to the current head or
// tail. It also sends the successor again what it has not acknowledged.
func (m *Machine) resend() {
	m.pendingChanges = slices.DeleteFunc(m.pendingChanges, func(change *pendingChange) bool {
		if m.now >= change.deadline {
			outcome := Unavailable
			if change.everSent {
				outcome = Unknown
			}
			m.output.Results = append(m.output.Results, Result{ID: change.ID, Outcome: outcome})
			return true
		}
		if change.KnownPosition == (LogPosition{}) && change.knownPosition.less(m.committed.Last) {
			change.knownPosition = m.committed.Last
		}
		if length := len(m.view.Chain); length > 0 && (m.now-change.sentAt >= m.config.RetryDelay || change.sentInView != m.view.Number) {
			change.sentAt, change.sentInView, change.everSent = m.now, m.view.Number, true
			m.send(m.view.Chain[0], Message{ForwardedChange: &ForwardedChange{ID: change.ID, Incarnation: m.incarnation, KnownPosition: change.knownPosition, Change: change.Change}})
		}
		return false
	})
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(read *pendingRead) bool {
		if m.now >= read.deadline {
			m.output.Results = append(m.output.Results, Result{ID: read.ID, Outcome: Unavailable})
			return true
		}
		if length := len(m.view.Chain); length > 0 && read.required == nil && (m.now-read.sentAt >= m.config.RetryDelay/2 || read.sentInView != m.view.Number) {
			read.sentAt, read.sentInView = m.now, m.view.Number
			m.send(m.view.Chain[length-1], Message{ReadRequest: &ReadRequest{ID: read.ID, Incarnation: m.incarnation}})
		}
		return false
	})
	if index := m.chainIndex(); index >= 0 && !m.isTail() && m.lastPosition().View == m.view.Number && m.successorLast != m.lastPosition() && m.now-m.sentAt >= m.config.RetryDelay {
		if m.successorLast == (LogPosition{}) {
			m.sentLast = LogPosition{}
			m.sendToSuccessor()
		} else {
			m.handleSuccessorPosition(m.successorLast, true)
		}
	}
}

// handleForwardedChange processes a forwarded change at the head. A change that is already
// uncommitted in the log gets another waiting caller instead of another entry, because callers
// retry and bodies are large. An order whose number is committed is compared with the identity that
// was committed under it: the same order is confirmed through the chain once more, a different one
// is refused. While the number is used by an uncommitted entry, a different order waits, since it
// is not yet known which of them will be committed.
func (m *Machine) handleForwardedChange(from MachineID, msg ForwardedChange) {
	if m.chainIndex() != 0 || m.lastPosition().View != m.view.Number || msg.Change.Kind == OpenView || msg.Change.Kind == RepeatedOrder {
		return
	}
	waiter := caller{from, msg.ID, msg.Incarnation}
	switch m.committed.classify(msg.Change) {
	case orderConflicting:
		m.send(from, Message{ChangeOutcome: &ChangeOutcome{ID: msg.ID, Incarnation: msg.Incarnation, Refused: true}})
		return
	case orderRepeated:
		msg.Change = Change{Kind: RepeatedOrder, Edition: msg.Change.Edition, Name: msg.Change.Name, Number: msg.Change.Number}
	}
	lastZoneChange := m.committed.LastZoneChange[msg.Change.Zone]
	for _, entry := range m.uncommitted {
		if msg.Change.changesZone() && entry.Change.changesZone() && entry.Change.Zone == msg.Change.Zone {
			lastZoneChange = entry.LogPosition
		}
		waiters := m.waitingCallers[entry.LogPosition]
		if slices.Contains(waiters, waiter) {
			return
		}
		// Another caller's change of a zone gets its own entry: between the two, a third caller
		// that has given up may have asked to change the zone back.
		if !msg.Change.changesZone() && entry.Change.equal(msg.Change) {
			m.waitingCallers[entry.LogPosition] = append(waiters, waiter)
			return
		}
		if entry.Change.blocks(msg.Change) {
			return
		}
	}
	if msg.Change.changesZone() && msg.KnownPosition.less(lastZoneChange) && !m.faults.acceptLateChanges {
		m.send(from, Message{ChangeOutcome: &ChangeOutcome{ID: msg.ID, Incarnation: msg.Incarnation, Stale: m.lastPosition()}})
		return
	}
	if len(m.uncommitted) >= m.config.MaxUncommitted {
		return
	}
	position := LogPosition{Seq: m.lastPosition().Seq + 1, View: m.view.Number}
	m.waitingCallers[position] = append(m.waitingCallers[position], waiter) // before the write, because a chain of one commits within it
	m.appendAtHead(msg.Change)
	if m.faults.ackEarly {
		m.send(from, Message{ChangeOutcome: &ChangeOutcome{ID: msg.ID, Incarnation: msg.Incarnation}})
	}
}

// handleChangeOutcome processes the head's answer to a forwarded change.
func (m *Machine) handleChangeOutcome(msg ChangeOutcome) {
	if msg.Incarnation != m.incarnation {
		return
	}
	m.pendingChanges = slices.DeleteFunc(m.pendingChanges, func(change *pendingChange) bool {
		if change.ID != msg.ID {
			return false
		}
		if msg.Stale != (LogPosition{}) && change.KnownPosition != (LogPosition{}) {
			m.output.Results = append(m.output.Results, Result{ID: change.ID, Outcome: Superseded})
			return true
		}
		if msg.Stale != (LogPosition{}) {
			if change.knownPosition.less(msg.Stale) {
				change.knownPosition, change.sentAt = msg.Stale, -1e18
			}
			return false
		}
		outcome := OK
		if msg.Refused {
			outcome = Refused
		}
		m.output.Results = append(m.output.Results, Result{ID: change.ID, Outcome: outcome})
		return true
	})
}

// handleRead answers a read at the tail. It answers only after the view's opening entry is committed
// and while its leases hold.
func (m *Machine) handleRead(from MachineID, msg ReadRequest) {
	if !m.isTail() || m.committed.Last.View != m.view.Number || m.leasedUntil() <= m.now && !m.faults.ignoreLeases {
		return
	}
	answer := &ReadAnswer{ID: msg.ID, Incarnation: msg.Incarnation, Committed: m.committed.Last}
	if !slices.Contains(m.view.Chain, from) {
		answer.State = m.State()
		answer.State.Identities = nil // only the head needs the identities, to compare orders
	}
	m.send(from, Message{ReadAnswer: answer})
}

// handleReadAnswer processes the tail's answer to a read.
func (m *Machine) handleReadAnswer(msg ReadAnswer) {
	if msg.Incarnation != m.incarnation {
		return
	}
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(read *pendingRead) bool {
		if read.ID != msg.ID {
			return false
		}
		switch {
		case msg.Committed.Seq <= m.committed.Last.Seq:
			m.output.Results = append(m.output.Results, Result{ID: read.ID, Outcome: OK, State: m.State()})
			return true
		case msg.State != nil:
			m.output.Results = append(m.output.Results, Result{ID: read.ID, Outcome: OK, State: msg.State})
			return true
		}
		read.required = &msg.Committed
		return false
	})
}

// changesZone reports whether a change is valid only in its order relative to other changes of the same
// zone.
func (c Change) changesZone() bool { return c.Kind == Evacuate || c.Kind == EndEvacuation }

// equal reports whether two changes are the same.
func (c Change) equal(other Change) bool {
	return c.Kind == other.Kind && c.Edition == other.Edition && c.Zone == other.Zone && c.Name == other.Name && c.Number == other.Number &&
		bytes.Equal(c.Body, other.Body)
}
