package mirror

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"
)

// FlowID identifies a flow: the hash of its name with the rule's key, equal at every gatekeeper.
// SelectionHash is compared with the rule's threshold; CollectorHash selects the collector.
type FlowID struct {
	SelectionHash uint64 `cbor:"1,keyasint"`
	CollectorHash uint64 `cbor:"2,keyasint"`
}

// RequestInfo holds the properties of a request by which it is selected. Header returns the value of a
// header that occurs exactly once; its name may be given in any case.
type RequestInfo struct {
	Route, Destination, Tenant string
	AllowedRegions             []string // regions in which both the route and the tenant may be served; empty means all
	Header                     func(name string) ([]byte, bool)
}

const maxFlowNameBytes = 512

// matches reports whether the rule applies to the request's route, tenant and destination.
func (o *Rule) matches(request *RequestInfo) bool {
	return !o.Stopped && slices.Contains(o.Routes, request.Route) && !slices.Contains(o.ExcludedTenants, request.Tenant) && o.target(request.Route, request.Destination) != nil
}

// FlowOf returns the request's flow, and false if the request has none or the rule does not apply
// to it.
func (o *Rule) FlowOf(request *RequestInfo) (FlowID, bool) {
	if !o.matches(request) {
		return FlowID{}, false
	}
	return o.flowID(request)
}

// flowID returns the hash of the flow name that the rule's source finds in the request.
func (o *Rule) flowID(request *RequestInfo) (FlowID, bool) {
	var name []byte
	tenant := ""
	switch o.FlowSource.Kind {
	case "header":
		name, _ = request.Header(o.FlowSource.Name)
	case "caller":
		name, _ = request.Header(o.FlowSource.Name)
		tenant = request.Tenant
	case "cookie":
		if header, ok := request.Header("Cookie"); ok {
			name = cookieValue(header, o.FlowSource.Name)
		}
	case "trace":
		if header, ok := request.Header("Traceparent"); ok {
			name = traceID(header)
		}
	}
	if len(name) == 0 || len(name) > maxFlowNameBytes {
		return FlowID{}, false
	}
	var buffer [256]byte
	encoded := binary.AppendUvarint(buffer[:0], uint64(len(tenant)))
	encoded = append(append(encoded, tenant...), name...)
	h := xxh3.Hash128Seed(encoded, o.seed)
	return FlowID{h.Hi, h.Lo}, true
}

// Selects reports whether the rule's share includes the flow.
func (o *Rule) Selects(id FlowID) bool {
	return !o.Stopped && (o.selectsAll || id.SelectionHash < o.threshold)
}

// cookieValue returns the value of the cookie with that name, if there is exactly one.
func cookieValue(header []byte, name string) (value []byte) {
	for len(header) > 0 {
		var pair []byte
		pair, header, _ = bytes.Cut(header, []byte{';'})
		key, text, ok := bytes.Cut(bytes.Trim(pair, " \t"), []byte{'='})
		if !ok || string(key) != name {
			continue
		}
		if value != nil {
			return nil
		}
		value = bytes.Trim(text, "\"")
		if value == nil {
			value = []byte{}
		}
	}
	return value
}

// traceID returns the trace ID of a W3C traceparent header: 32 lower-case hexadecimal digits, not
// all 0.
func traceID(header []byte) []byte {
	if len(header) < 55 || header[2] != '-' || header[35] != '-' || header[52] != '-' || len(header) > 55 && (header[55] != '-' || string(header[:2]) == "00") || string(header[:2]) == "ff" {
		return nil
	}
	zero := true
	for i, c := range header[:55] {
		if i == 2 || i == 35 || i == 52 {
			continue
		}
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f') {
			return nil
		}
		if i > 2 && i < 35 && c != '0' {
			zero = false
		}
	}
	if zero {
		return nil
	}
	return header[3:35]
}

// mirrors reports whether a gatekeeper with this effective rule copies the flow, whose ID comes
// from a rule with that scope hash.
func (s EffectiveRule) mirrors(scopeHash uint64, id FlowID) bool {
	return s.ScopeHash == scopeHash && scopeHash != 0 && (s.SelectsAll || id.SelectionHash < max(s.Threshold, s.PreviousThreshold))
}

// key returns the member's identity without its region and address.
func (s Member) key() memberKey { return memberKey{s.Node, s.Incarnation} }

// memberKey is the identity of a member.
type memberKey struct {
	node        string
	incarnation uint64
}

// hashMembers returns a hash of the members' nodes, regions and incarnations, never 0.
func hashMembers(members []Member) uint64 {
	var encoded []byte
	for _, member := range members {
		for _, text := range []string{member.Node, member.Region} {
			encoded = binary.AppendUvarint(encoded, uint64(len(text)))
			encoded = append(encoded, text...)
		}
		encoded = binary.LittleEndian.AppendUint64(encoded, member.Incarnation)
	}
	return max(xxh3.Hash(encoded), 1)
}

// memberList is a list of members by node name, with a hash of each for rendezvous hashing.
type memberList struct {
	hash    uint64
	members []Member
	hashes  []uint64
}

// newMemberList sorts the members by node and keeps one per node.
func newMemberList(members []Member) *memberList {
	list := &memberList{members: slices.Clone(members)}
	slices.SortFunc(list.members, func(a, b Member) int {
		return bytes.Compare([]byte(a.Node), []byte(b.Node))
	})
	list.members = slices.CompactFunc(list.members, func(a, b Member) bool { return a.Node == b.Node })
	list.hash = hashMembers(list.members)
	for _, member := range list.members {
		list.hashes = append(list.hashes, xxh3.HashStringSeed(member.Node, member.Incarnation))
	}
	return list
}

func (l *memberList) contains(key memberKey) bool {
	return l != nil && slices.ContainsFunc(l.members, func(s Member) bool { return s.key() == key })
}

// collector returns the member that collects a flow: the one in the region with the highest hash
// of flow and member. It returns false if the region has no member.
func (l *memberList) collector(region string, id FlowID) (Member, bool) {
	bestScore, bestIndex := uint64(0), -1
	for i, memberHash := range l.hashes {
		if region != "" && l.members[i].Region != region {
			continue
		}
		if score := mixBits(memberHash ^ id.CollectorHash); bestIndex < 0 || score > bestScore {
			bestScore, bestIndex = score, i
		}
	}
	if bestIndex < 0 {
		return Member{}, false
	}
	return l.members[bestIndex], true
}

// mixBits is a bijective bit mixer for the scores of rendezvous hashing.
func mixBits(x uint64) uint64 {
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
