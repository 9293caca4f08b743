package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// faults switches on deliberate faults and special modes. Tests use it to show that their checks
// detect each fault.
type faults struct {
	ackEarly           bool // the head acknowledges a change as soon as it has appended the entry itself
	forgetVotes        bool // promises and votes are lost at a restart
	ignoreLeases       bool // the tail answers without holding leases
	voteDespiteLeases  bool // votes do not wait for granted leases
	skipPrevCheck      bool // entries are appended without a check of their predecessor
	allowAnyHead       bool // incomplete members count as complete members of the old chain
	acceptOldViews     bool // entries of an older view are accepted
	acceptLateSnapshot bool // a delayed snapshot may remove entries
	acceptLateChanges  bool // a zone change may be applied after newer ones
	removeAtRandom     bool // not a fault: operators remove machines at arbitrary times
	replaceMachines    bool // not a fault: machines are replaced and restarted gracefully
	alwaysAddSeats     bool // a joining machine adds a seat instead of taking over a vacant one
	leaveAtOnce        bool // a leaving process does not wait until the others hold what it held
	halfIsMajority     bool // half of the core counts as a majority
	takeHeardSeats     bool // a joining machine may at once take the seat of a member that others still hear
}

// peer is what this machine knows of another one. Times are in milliseconds of the local clock.
type peer struct {
	heardAt        float64
	heartbeat      Heartbeat
	snapshotSentAt float64 // when a snapshot was last sent to it
	viewSentAt     float64 // when the view was last sent to it
}

// Machine is the replication state machine of one core machine. It is not safe for concurrent use.
type Machine struct {
	config        Config
	self          MachineID
	incarnation   uint64
	rng           *rand.Rand
	now           float64
	startedAt     float64
	output        Output
	localMessages []Message
	recordBytes   int
	startRecords  []Record // records of an empty disk, written at the first step
	faults        faults

	view        View
	viewSince   float64
	complete    bool // held everything acknowledged in earlier views when this view began
	hasSnapshot bool

	committed      State // the committed state
	uncommitted    []Entry
	recordedCommit uint64 // highest sequence number that is recorded on disk as committed

	peers              map[MachineID]*peer
	nextHeartbeat      float64
	leaving            bool
	seatPending        bool            // takes part in the cluster's first start and has never had a core seat
	pendingSeats       map[string]bool // addresses of other machines that took part in the first start, until they have had a core seat
	majorityLostAt     float64         // since when no majority of the core has been heard; 0 while one is heard
	majorityRegainedAt float64         // when a majority was last heard again after a loss

	ballotState
	leaseState
	chainState
	removalState
}

// New creates a machine from the records on its disk, in the order in which they were written.
func New(config Config, stored []Record, now float64) *Machine {
	config.setDefaults()
	m := &Machine{config: config, self: MachineID{Addr: config.Self.Addr}, now: now, startedAt: now, viewSince: now,
		peers: map[MachineID]*peer{}, pendingSeats: map[string]bool{}, rng: rand.New(rand.NewPCG(config.Seed, 0x9e3779b97f4a7c15)), majorityRegainedAt: now - 1e9}
	m.incarnation = m.rng.Uint64() | 1
	for _, record := range stored {
		m.restoreRecord(record)
	}
	m.noVoteBefore = now
	if len(stored) > 0 {
		m.noVoteBefore = now + config.LeaseDuration + config.LeaseSlack // an earlier incarnation may have granted leases that are still held
	}
	if m.self.Disk == "" {
		var record Record
		if config.FirstRun && slices.Contains(config.Seeds, m.self.Addr) {
			m.self.Disk = "first"
			seeds := slices.Clone(config.Seeds)
			slices.Sort(seeds)
			view := View{Number: 1, Epoch: 1}
			for _, addr := range slices.Compact(seeds) {
				view.Core = append(view.Core, MachineID{addr, "first"})
			}
			view.Chain, view.Seats = slices.Clone(view.Core), len(view.Core)
			m.view, m.complete = view, true
			// One record holds both, so that a restart never finds the disk's name without its view.
			record.View = &ViewRecord{View: view, Complete: true}
		} else {
			m.self.Disk = fmt.Sprintf("%016x", m.rng.Uint64())
			m.seatPending, record.FirstStart = config.FirstRun, config.FirstRun
		}
		record.Disk = m.self.Disk
		m.startRecords = []Record{record}
	}
	m.resetViewState()
	return m
}

// restoreRecord applies one record from the disk.
func (m *Machine) restoreRecord(record Record) {
	if record.Disk != "" {
		m.self.Disk, m.seatPending = record.Disk, record.FirstStart
	}
	if record.View != nil && record.View.View.Number > m.view.Number {
		m.view, m.complete = record.View.View, record.View.Complete
		m.seatPending = m.seatPending && !m.inCore()
		m.promised, m.accepted = Ballot{}, nil
	}
	if !m.faults.forgetVotes {
		if promise := record.Promise; promise != nil && promise.ForView == m.view.Number+1 && m.promised.less(promise.Ballot) {
			m.promised = promise.Ballot
		}
		if vote := record.Accept; vote != nil && vote.ForView == m.view.Number+1 {
			m.accepted = vote
			if m.promised.less(vote.Ballot) {
				m.promised = vote.Ballot
			}
		}
	}
	if snapshot := record.Snapshot; snapshot != nil {
		m.committed, m.uncommitted = snapshot.State, slices.Clone(snapshot.Uncommitted)
	}
	if entry := record.Entry; entry != nil && entry.Prev == m.lastPosition() {
		m.uncommitted = append(m.uncommitted, *entry)
	}
	if record.Committed > 0 {
		m.applyThrough(record.Committed)
	}
	m.recordedCommit = m.committed.Last.Seq
}

// resetViewState resets everything that belongs to a single view.
func (m *Machine) resetViewState() {
	m.resetBallots()
	m.resetLeases()
	m.resetChain()
}

// Step processes one event at a time of the monotonic clock, in milliseconds.
func (m *Machine) Step(now float64, event Event) Output {
	m.now = max(m.now, now)
	m.output = Output{Persist: m.startRecords}
	m.startRecords = nil
	switch {
	case event.Message != nil:
		if to := event.Message.To; to.Addr == m.self.Addr && (to.Disk == "" || to.Disk == m.self.Disk) && event.Message.From != m.self {
			m.receive(*event.Message)
		}
	case event.Submit != nil:
		m.queueChange(*event.Submit)
	case event.Read != nil:
		m.queueRead(*event.Read)
	case event.Remove != nil:
		m.pendingRemovals = append(m.pendingRemovals, &pendingRemoval{Remove: *event.Remove, deadline: m.now + removalTimeout, sentAt: -1e18})
	}
	if event.Leave {
		m.startLeaving()
	}
	if event.Rebuild != nil {
		m.rebuildCore(*event.Rebuild)
	}
	m.openView()
	m.runTimers()
	for len(m.localMessages) > 0 {
		msg := m.localMessages[0]
		m.localMessages = m.localMessages[1:]
		m.receive(msg)
		m.openView()
	}
	for i := range m.output.Persist {
		m.recordBytes += m.output.Persist[i].size()
	}
	m.output.Compact = m.recordBytes > m.config.CompactBytes
	return m.output
}

func (m *Machine) runTimers() {
	if m.now >= m.nextHeartbeat {
		m.nextHeartbeat = m.now + m.config.HeartbeatInterval
		m.sendHeartbeats()
	}
	m.trackMajority()
	m.castHeldVote()
	m.resend()
	m.resendRemovals()
	m.considerBallot()
	if m.recordedCommit < m.committed.Last.Seq && len(m.output.Send) == 0 {
		// Record the commit so that it is known right after a restart, before the chain answers.
		m.recordCommit()
	}
}

func (m *Machine) recordCommit() {
	m.recordedCommit = m.committed.Last.Seq
	m.persist(Record{Committed: m.recordedCommit})
}

func (m *Machine) persist(record Record) { m.output.Persist = append(m.output.Persist, record) }

func (m *Machine) send(to MachineID, msg Message) {
	msg.From, msg.To = m.self, to
	if to == m.self {
		m.localMessages = append(m.localMessages, msg)
		return
	}
	m.output.Send = append(m.output.Send, msg)
}

func (m *Machine) receive(msg Message) {
	if msg.From != m.self {
		sender := m.peers[msg.From]
		if sender == nil {
			sender = &peer{snapshotSentAt: -1e18, viewSentAt: -1e18}
			m.peers[msg.From] = sender
		}
		if msg.Heartbeat != nil {
			m.handleHeartbeat(msg.From, sender, *msg.Heartbeat)
		}
	}
	switch {
	case msg.Grant != nil:
		m.handleGrant(msg.From, *msg.Grant)
	case msg.Release != nil:
		m.handleRelease(msg.From, *msg.Release)
	case msg.Prepare != nil:
		m.handlePrepare(msg.From, *msg.Prepare)
	case msg.Promise != nil:
		m.handlePromise(msg.From, *msg.Promise)
	case msg.Accept != nil:
		m.handleAccept(msg.From, *msg.Accept)
	case msg.Accepted != nil:
		m.handleAccepted(msg.From, *msg.Accepted)
	case msg.NewView != nil:
		m.adoptView(*msg.NewView)
	case msg.Append != nil:
		m.handleAppend(msg.From, *msg.Append)
	case msg.Appended != nil:
		m.handleAppended(msg.From, *msg.Appended)
	case msg.Snapshot != nil:
		m.handleSnapshot(msg.From, *msg.Snapshot)
	case msg.ForwardedChange != nil:
		m.handleForwardedChange(msg.From, *msg.ForwardedChange)
	case msg.ChangeOutcome != nil:
		m.handleChangeOutcome(*msg.ChangeOutcome)
	case msg.ReadRequest != nil:
		m.handleRead(msg.From, *msg.ReadRequest)
	case msg.ReadAnswer != nil:
		m.handleReadAnswer(*msg.ReadAnswer)
	case msg.Removal != nil:
		m.handleRemoval(*msg.Removal)
	}
}

// Self returns the identity of this machine.
func (m *Machine) Self() MachineID { return m.self }

// View returns the newest view that this machine knows to be decided. Number 0 means none.
func (m *Machine) View() View { return m.view }

// State returns the state that this machine knows to be committed. It must not be modified.
func (m *Machine) State() *State {
	s := m.committed
	return &s
}

// Snapshot returns the smallest set of records that restores the machine as of the last step. The
// caller must have synced that step; the records may then replace all earlier ones.
func (m *Machine) Snapshot() []Record {
	records := []Record{{Disk: m.self.Disk, FirstStart: m.seatPending}}
	if m.view.Number > 0 {
		records[0].View = &ViewRecord{View: m.view, Complete: m.complete}
	}
	if m.promised != (Ballot{}) {
		records = append(records, Record{Promise: &PromiseRecord{ForView: m.view.Number + 1, Ballot: m.promised}})
	}
	if m.accepted != nil {
		records = append(records, Record{Accept: m.accepted})
	}
	records = append(records, Record{Snapshot: &LogSnapshot{State: m.committed, Uncommitted: slices.Clone(m.uncommitted)}})
	m.recordBytes = 0
	return records
}

func (r Record) size() int {
	total := 64
	if r.Entry != nil {
		total += len(r.Entry.Change.Body)
	}
	if r.Snapshot != nil {
		total += len(r.Snapshot.State.Body)
		for _, entry := range r.Snapshot.Uncommitted {
			total += len(entry.Change.Body)
		}
	}
	return total
}

// Status is a report for operators.
type Status struct {
	Self               MachineID
	View               View
	Role               string // one of head, tail, member, sole, core, joining
	Last               LogPosition
	Committed          LogPosition
	Uncommitted        int         // entries that are held but not known to be committed
	LeaseMillis        float64     // remaining time of the tail's leases, in milliseconds
	Reachable          []MachineID // core members with a connection in both directions
	Complete           bool
	MajorityLostMillis float64 // how long no majority of the core has been heard, in milliseconds; 0 while one is heard
}

// Status returns a report on the machine's current condition.
func (m *Machine) Status() Status {
	status := Status{Self: m.self, View: m.view, Last: m.lastPosition(), Committed: m.committed.Last, Uncommitted: len(m.uncommitted),
		LeaseMillis: max(0, m.leasedUntil()-m.now), Complete: m.isComplete(), MajorityLostMillis: m.majorityLostFor(), Role: "joining"}
	for _, member := range m.view.Core {
		if member != m.self && m.isReachable(member) {
			status.Reachable = append(status.Reachable, member)
		}
	}
	index, length := m.chainIndex(), len(m.view.Chain)
	switch {
	case index == 0 && length == 1:
		status.Role = "sole"
	case index == 0:
		status.Role = "head"
	case index == length-1 && index > 0:
		status.Role = "tail"
	case index > 0:
		status.Role = "member"
	case slices.Contains(m.view.Core, m.self):
		status.Role = "core"
	}
	return status
}
