// Package membership tracks which gatekeepers are members of the cluster. Each gatekeeper sends
// heartbeats to one registry (program bothy), the registries report their sessions to each
// other, and a gatekeeper is a member while its heartbeats reach any of them.
//
// Times are in milliseconds of the caller's steady clock. Registries send each other only ages,
// since their clocks are unrelated.
package membership

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// DefaultLapseMs is how long a gatekeeper stays a member without a heartbeat, in milliseconds: three
	// waits of its call.
	DefaultLapseMs = 1500
	// retentionMs is how long a lapsed gatekeeper is still known, and how long an ended incarnation is
	// remembered.
	retentionMs = 30_000
	// departureRepeatMs is how long reports repeat that a gatekeeper left, in case some are lost.
	departureRepeatMs = 5000
	// peerTimeoutMs is how long another registry counts as connected without a report: long enough for
	// two lost reports, and shorter than the time after which the sessions it reported lapse.
	peerTimeoutMs = 700
	// maxClockDrift is the largest relative drift between two clocks.
	maxClockDrift = 0.001
)

// Member is what a gatekeeper reports about itself in a heartbeat.
type Member struct {
	Node        string  `cbor:"1,keyasint,omitempty"`
	Zone        string  `cbor:"2,keyasint,omitempty"`
	Region      string  `cbor:"3,keyasint,omitempty"`
	Incarnation uint64  `cbor:"4,keyasint,omitempty"` // incarnation: drawn at random by each process
	Sequence    uint64  `cbor:"5,keyasint,omitempty"` // sequence number of the heartbeat, so that a delayed report can't override a newer heartbeat
	ClientAddr  string  `cbor:"6,keyasint,omitempty"` // ip:port for clients
	PeerAddr    string  `cbor:"7,keyasint,omitempty"` // ip:port for other gatekeepers
	Ready       bool    `cbor:"8,keyasint,omitempty"`
	Leaving     bool    `cbor:"9,keyasint,omitempty"`
	Load        float64 `cbor:"10,keyasint,omitempty"`
	Overloaded  bool    `cbor:"11,keyasint,omitempty"` // overloaded while the others are not: clients should prefer the others
}

// Session is a gatekeeper that sends heartbeats to the reporting registry.
type Session struct {
	Member Member  `cbor:"1,keyasint,omitempty"`
	AgeMs  float64 `cbor:"2,keyasint,omitempty"` // since its last heartbeat
	Left   bool    `cbor:"3,keyasint,omitempty"` // it has left the cluster
}

// Report is a report that one registry sends to the others.
type Report struct {
	From        string    `cbor:"1,keyasint,omitempty"`
	Incarnation uint64    `cbor:"2,keyasint,omitempty"` // incarnation of the sender
	Sequence    uint64    `cbor:"3,keyasint,omitempty"` // increases within that incarnation
	Sessions    []Session `cbor:"4,keyasint,omitempty"`
	Renewals    []Renewal `cbor:"5,keyasint,omitempty"` // sessions of gatekeepers that were reported in full before
	// SentAt is when the report was made, by the sender's clock, and never 0. If a process freezes before it
	// sends a report, the ages in it are out of date; comparing SentAt with that of other reports shows this.
	SentAt float64 `cbor:"6,keyasint,omitempty"`
}

// Renewal is a session of a gatekeeper that the receiver already knows in its current state.
type Renewal struct {
	Incarnation uint64  `cbor:"1,keyasint,omitempty"`
	Sequence    uint64  `cbor:"2,keyasint,omitempty"`
	AgeMs       float64 `cbor:"3,keyasint,omitempty"`
}

// MemberList is the list of members at one moment.
type MemberList struct {
	Incarnation uint64   // incarnation of the registry; versions are only comparable within it
	Version     uint64   // increases when a member joins, leaves or changes; a change of Load alone doesn't count
	Members     []Member // sorted by node
}

// MemberIndex returns the index of a node in the sorted member list and the number of members. The index is
// -1 if the node is not a member.
func (r MemberList) MemberIndex(node string) (memberIndex, count int) {
	index, ok := slices.BinarySearchFunc(r.Members, node, func(member Member, target string) int {
		if member.Node < target {
			return -1
		} else if member.Node > target {
			return 1
		}
		return 0
	})
	if !ok {
		return -1, len(r.Members)
	}
	return index, len(r.Members)
}

// nodeEntry is the newest information about a node from any registry.
type nodeEntry struct {
	member            Member
	heartbeatAt       float64            // of its last heartbeat
	left              bool               // it has left the cluster
	ended             map[uint64]float64 // replaced incarnations, and when they were replaced
	startedAt         float64            // when the incarnation was first reported
	previousStartedAt float64            // when the previous incarnation was first reported, -Inf for none
}

// session is a gatekeeper that sends heartbeats to this registry.
type session struct {
	member      Member
	heartbeatAt float64
	left        bool
}

// peer is another registry.
type peer struct {
	incarnation, sequence uint64
	lastReportAt          float64
	connectedSince        float64 // since when it has been connected
	ended                 map[uint64]float64
	clockLeadMs           float64 // how far the local clock is ahead of the peer's, plus the delay of the fastest report
	hasClockLead          bool
}

// extraDelay returns how much longer than the fastest report a report took to arrive.
func (p *peer) extraDelay(now, sentAt float64) float64 {
	if sentAt == 0 {
		return 0
	}
	if leadMs := now - sentAt; !p.hasClockLead {
		p.clockLeadMs, p.hasClockLead = leadMs, true
	} else {
		p.clockLeadMs = min(leadMs, p.clockLeadMs+maxClockDrift*(now-p.lastReportAt))
	}
	return now - sentAt - p.clockLeadMs
}

// Registry is the view that one registry has of all sessions. It isn't safe for concurrent use.
type Registry struct {
	self              string
	incarnation       uint64
	lapseMs           float64
	createdAt         float64
	sequence          uint64
	sessions          map[string]session
	entries           map[string]*nodeEntry
	peers             map[string]*peer
	members           MemberList
	membersValidUntil float64 // valid until then if nothing changes, 0 if it has to be computed again
	// restored holds when this process learned of an incarnation of a node that an earlier process had
	// recorded.
	restored map[string]float64
}

// New returns an empty Registry. The caller draws the incarnation at random for each process:
// otherwise the reports of a restarted registry would look older than those before.
func New(self string, incarnation uint64, now, lapseMs float64) *Registry {
	if lapseMs <= 0 {
		lapseMs = DefaultLapseMs
	}
	return &Registry{self: self, incarnation: incarnation, lapseMs: lapseMs, createdAt: now, sessions: map[string]session{}, entries: map[string]*nodeEntry{},
		peers: map[string]*peer{}, members: MemberList{Incarnation: incarnation, Version: 1}}
}

// Heartbeat handles a heartbeat received by this registry.
func (b *Registry) Heartbeat(now float64, member Member) {
	if b.record(now, now, member, false) {
		b.sessions[member.Node] = session{member: member, heartbeatAt: now}
	}
}

// Leave handles a gatekeeper's announcement that its process ends; no earlier report can make it a
// member again. A broken connection doesn't count as leaving, since the gatekeeper may continue at
// another registry.
func (b *Registry) Leave(now float64, node string, incarnation uint64) {
	entry := b.entries[node]
	if entry == nil || entry.member.Incarnation != incarnation {
		return
	}
	entry.left, entry.heartbeatAt = true, now
	b.membersValidUntil = 0
	b.sessions[node] = session{member: entry.member, heartbeatAt: now, left: true}
}

// FullReport returns the full report for the other registries. Lapsed sessions are included while they
// are in KnownNodes, so that a registry that has just started reserves the same quotas for them.
func (b *Registry) FullReport(now float64) Report {
	b.removeExpired(now)
	b.sequence++
	page := Report{From: b.self, Incarnation: b.incarnation, Sequence: b.sequence, SentAt: math.Round(now) + 1}
	for _, name := range slices.Sorted(maps.Keys(b.sessions)) {
		s := b.sessions[name]
		page.Sessions = append(page.Sessions, Session{Member: s.member, AgeMs: max(0, now-s.heartbeatAt), Left: s.left})
	}
	return page
}

// Receive handles another registry's report. A report older than the last one is dropped, because its
// ages would make old sessions look recent. A silent registry needs no special handling: its
// sessions grow older and lapse.
func (b *Registry) Receive(now float64, page Report) {
	if page.From == b.self {
		return
	}
	sender := b.peers[page.From]
	switch {
	case sender == nil:
		sender = &peer{incarnation: page.Incarnation, ended: map[uint64]float64{}}
		b.peers[page.From] = sender
	case sender.incarnation == page.Incarnation:
		if page.Sequence <= sender.sequence {
			return
		}
	default:
		if _, ended := sender.ended[page.Incarnation]; ended && now-sender.lastReportAt <= 2*b.lapseMs {
			return
		}
		delete(sender.ended, page.Incarnation)
		sender.ended[sender.incarnation] = now
		sender.incarnation, sender.hasClockLead = page.Incarnation, false
	}
	extraDelayMs := sender.extraDelay(now, page.SentAt)
	if sender.lastReportAt == 0 || now-sender.lastReportAt > peerTimeoutMs {
		sender.connectedSince = now
	}
	sender.sequence, sender.lastReportAt = page.Sequence, now
	for _, s := range page.Sessions {
		b.record(now, now-extraDelayMs-max(0, s.AgeMs), s.Member, s.Left)
	}
	if len(page.Renewals) == 0 {
		return
	}
	byIncarnation := make(map[uint64]*nodeEntry, len(b.entries))
	for _, e := range b.entries {
		byIncarnation[e.member.Incarnation] = e
	}
	for _, s := range page.Renewals {
		if e := byIncarnation[s.Incarnation]; e != nil { // otherwise a full report will follow
			member := e.member
			member.Sequence = s.Sequence
			b.record(now, now-extraDelayMs-max(0, s.AgeMs), member, false)
		}
	}
}

// ContentHash returns a hash of what FullReport reports except ages and sequence numbers. While it is unchanged, a
// receiver of a full report only needs brief ones.
func (b *Registry) ContentHash(now float64) uint64 {
	b.removeExpired(now)
	hash := xxh3.New()
	for _, name := range slices.Sorted(maps.Keys(b.sessions)) {
		s := b.sessions[name]
		s.member.Sequence, s.member.Load = 0, 0
		_, _ = fmt.Fprint(hash, s.member, s.left)
	}
	return hash.Sum64()
}

// BriefReport returns the report for receivers of a full report with the same ContentHash: it only renews sessions.
func (b *Registry) BriefReport(now float64) Report {
	b.sequence++
	page := Report{From: b.self, Incarnation: b.incarnation, Sequence: b.sequence, SentAt: math.Round(now) + 1}
	for _, name := range slices.Sorted(maps.Keys(b.sessions)) {
		if s := b.sessions[name]; !s.left && now-s.heartbeatAt <= b.lapseMs {
			page.Renewals = append(page.Renewals, Renewal{Incarnation: s.member.Incarnation, Sequence: s.member.Sequence, AgeMs: math.Round(max(0, now-s.heartbeatAt))})
		}
	}
	return page
}

// record takes one heartbeat, sent at the time sentAt, and reports whether it counts.
//
// Of two incarnations of a node, the one with the more recent heartbeat is current and the other has
// ended: a delayed report of it is ignored. An ended incarnation only becomes current again when the
// one that replaced it has been silent for two lapse times; otherwise a very late report could exclude
// a running gatekeeper until its next start.
func (b *Registry) record(now, sentAt float64, member Member, left bool) bool {
	if now-sentAt > retentionMs {
		return false
	}
	entry := b.entries[member.Node]
	if entry == nil || left || entry.left || now-entry.heartbeatAt > b.lapseMs || !equalExceptLoad(entry.member, member) {
		b.membersValidUntil = 0
	}
	if entry == nil {
		b.entries[member.Node] = &nodeEntry{member: member, heartbeatAt: sentAt, left: left, ended: map[uint64]float64{}, startedAt: now, previousStartedAt: b.previousStart(member.Node)}
		return true
	}
	if entry.member.Incarnation == member.Incarnation {
		if entry.left {
			return false
		}
		if left || member.Sequence > entry.member.Sequence || member.Sequence == entry.member.Sequence && sentAt >= entry.heartbeatAt {
			entry.member, entry.left = member, left
		} else if member.Sequence < entry.member.Sequence {
			return false
		}
		entry.heartbeatAt = max(entry.heartbeatAt, sentAt)
		return true
	}
	if _, ended := entry.ended[member.Incarnation]; ended && sentAt-entry.heartbeatAt <= 2*b.lapseMs {
		return false
	}
	if sentAt <= entry.heartbeatAt {
		entry.ended[member.Incarnation] = now
		return false
	}
	delete(entry.ended, member.Incarnation)
	entry.ended[entry.member.Incarnation] = now
	entry.member, entry.heartbeatAt, entry.left = member, sentAt, left
	entry.startedAt, entry.previousStartedAt = now, entry.startedAt
	return true
}

// RestartedWithin reports whether an earlier incarnation of the node was first reported less than withinMs
// milliseconds ago. What an incarnation may use only once in that time may then have been used
// already. A registry that has just started takes every incarnation for a new one.
func (b *Registry) RestartedWithin(now float64, node string, withinMs float64) bool {
	entry := b.entries[node]
	return entry != nil && now-entry.previousStartedAt < withinMs
}

// RestoreStarts installs the nodes of which an earlier process of this registry recorded that an
// incarnation had started recently. It may have started right before this process did.
func (b *Registry) RestoreStarts(now float64, nodes []string) {
	b.restored = make(map[string]float64, len(nodes))
	for _, node := range nodes {
		b.restored[node] = now
	}
}

// previousStart returns when an earlier process knew of an incarnation of a node that is new here, or
// -Inf if it didn't.
func (b *Registry) previousStart(node string) float64 {
	at, ok := b.restored[node]
	if !ok {
		return math.Inf(-1)
	}
	delete(b.restored, node)
	return at
}

// StartedWithin reports whether a node's incarnation was first reported less than withinMs milliseconds ago.
func (b *Registry) StartedWithin(now float64, node string, withinMs float64) bool {
	entry := b.entries[node]
	return entry != nil && now-entry.startedAt < withinMs
}

// RecentlyStarted returns, sorted, the nodes of which an incarnation was first reported less than withinMs
// milliseconds ago, to this process or an earlier one.
func (b *Registry) RecentlyStarted(now, withinMs float64) (nodes []string) {
	for name, entry := range b.entries {
		if now-max(entry.startedAt, entry.previousStartedAt) < withinMs {
			nodes = append(nodes, name)
		}
	}
	for name, at := range b.restored {
		if now-at < withinMs {
			nodes = append(nodes, name)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// Members returns the current member list. The caller must not change it; Sequence and Load of members may
// be a second old. It is requested at every heartbeat, so it is only computed again if a member has
// joined, left, changed or may have lapsed.
func (b *Registry) Members(now float64) MemberList {
	if now < b.membersValidUntil {
		return b.members
	}
	b.removeExpired(now)
	b.membersValidUntil = now + b.lapseMs
	var members []Member
	for _, name := range slices.Sorted(maps.Keys(b.entries)) {
		if entry := b.entries[name]; !entry.left && now-entry.heartbeatAt <= b.lapseMs {
			members = append(members, entry.member)
			b.membersValidUntil = min(b.membersValidUntil, entry.heartbeatAt+b.lapseMs)
		}
	}
	if !slices.EqualFunc(members, b.members.Members, equalExceptLoad) {
		b.members.Version++
	}
	b.members.Members = members
	return b.members
}

// equalExceptLoad compares members without the fields that change with every heartbeat, which would
// otherwise produce a new version each time.
func equalExceptLoad(first, second Member) bool {
	first.Sequence, first.Load = second.Sequence, second.Load
	return first == second
}

// KnownNodes returns the members and the gatekeepers that lapsed or left within the last 30 s, for which
// quotas are still reserved.
func (b *Registry) KnownNodes(now float64) []string {
	b.removeExpired(now)
	return slices.Sorted(maps.Keys(b.entries))
}

// ConnectedPeers returns the registries whose reports arrived within the lapse time.
func (b *Registry) ConnectedPeers(now float64) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		if now-b.peers[name].lastReportAt <= b.lapseMs {
			names = append(names, name)
		}
	}
	return names
}

// IsComplete reports whether the member list may be passed on: either all other registries are
// connected, or a majority of all of them has been for the lapse time. Otherwise the list may lack
// most members, since those with sessions elsewhere have lapsed here or were not reported yet, and
// gatekeepers would divide shared limits among too few.
func (b *Registry) IsComplete(now float64, nodes []string) bool {
	others, connectedSince := 0, make([]float64, 0, len(nodes))
	for _, name := range nodes {
		if name == b.self {
			continue
		}
		others++
		if sender := b.peers[name]; sender != nil && now-sender.lastReportAt <= peerTimeoutMs {
			connectedSince = append(connectedSince, sender.connectedSince)
		}
	}
	if len(connectedSince) == others {
		return true
	}
	needed := (others + 1) / 2 // together with this one more than half
	if len(connectedSince) < needed {
		return false
	}
	slices.Sort(connectedSince)
	return now-connectedSince[needed-1] >= b.lapseMs
}

// CompleteAsOf returns the time as of which the list contains all members: when the registry that has been
// silent longest sent its last report. The time is not known if one has never sent a report.
func (b *Registry) CompleteAsOf(now float64, nodes []string) (asOf float64, known bool) {
	asOf = now
	for _, name := range nodes {
		if name == b.self {
			continue
		}
		sender := b.peers[name]
		if sender == nil {
			return 0, false
		}
		asOf = min(asOf, sender.lastReportAt)
	}
	return asOf, true
}

// removeExpired removes expired sessions, entries and peers.
func (b *Registry) removeExpired(now float64) {
	for name, current := range b.sessions {
		if now-current.heartbeatAt > retentionMs || current.left && now-current.heartbeatAt > departureRepeatMs {
			delete(b.sessions, name)
		}
	}
	for name, entry := range b.entries {
		if now-entry.heartbeatAt > retentionMs {
			delete(b.entries, name)
			continue
		}
		forgetExpired(entry.ended, now)
	}
	for name, sender := range b.peers {
		if now-sender.lastReportAt > retentionMs {
			delete(b.peers, name)
			continue
		}
		forgetExpired(sender.ended, now)
	}
}

// forgetExpired removes the ended incarnations that need not be remembered any more.
func forgetExpired(ended map[uint64]float64, now float64) {
	maps.DeleteFunc(ended, func(_ uint64, at float64) bool { return now-at > retentionMs })
}
