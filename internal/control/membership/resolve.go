package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// minZoneMembers is how many gatekeepers of their zone clients should get: with one, its loss leaves
	// them none until they resolve again.
	minZoneMembers = 2
	// rotationMs is the interval at which the window moves by one member if a group has more members than
	// an answer holds. All of them get clients, and only few connections are given up at a time.
	rotationMs = 2000
)

// Resolve returns up to maxCount addresses for the clients of a zone:
//
//   - The ready members of the zone. The rest of its region is added if the zone has fewer than two,
//     or less than half of the average of the region's zones (it lost most of them, and the others
//     would be overloaded).
//   - All other ready members, if the region has none.
//   - Members that aren't ready, if none is; members that are leaving, if there are no others. An
//     empty answer counts as a failure, so it is the last resort.
//
// The zone's own members come first, then the region's, in an order that differs between zones.
func Resolve(now float64, list MemberList, region, zone string, maxCount int) []string {
	for _, eligible := range []func(Member) bool{
		func(g Member) bool { return g.Ready && !g.Leaving && !g.Overloaded },
		func(g Member) bool { return g.Ready && !g.Leaving },
		func(g Member) bool { return !g.Leaving },
		func(Member) bool { return true },
	} {
		if found := pickAddresses(now, list, eligible, region, zone, maxCount); len(found) > 0 {
			return found
		}
	}
	return nil
}

// pickAddresses returns addresses of eligible members, those of the zone first.
func pickAddresses(now float64, list MemberList, eligible func(Member) bool, region, zone string, maxCount int) []string {
	var zoneMembers, regionMembers, otherMembers []Member
	zones := map[string]bool{zone: true}
	for _, member := range list.Members {
		switch {
		case member.ClientAddr == "" || !eligible(member):
		case member.Zone == zone:
			zoneMembers = append(zoneMembers, member)
		case member.Region == region:
			regionMembers = append(regionMembers, member)
			zones[member.Zone] = true
		default:
			otherMembers = append(otherMembers, member)
		}
	}
	groups := [][]Member{zoneMembers}
	if len(zoneMembers) < minZoneMembers || 2*len(zoneMembers)*len(zones) < len(zoneMembers)+len(regionMembers) {
		groups = append(groups, regionMembers)
	}
	if len(zoneMembers)+len(regionMembers) == 0 {
		groups = append(groups, otherMembers)
	}
	var found []string
	for _, group := range groups {
		slices.SortFunc(group, func(a, b Member) int {
			return cmp.Or(cmp.Compare(rendezvousHash(zone, a.Node), rendezvousHash(zone, b.Node)), cmp.Compare(a.Node, b.Node))
		})
		first, room := 0, maxCount-len(found)
		if len(group) > room {
			first = int(math.Mod(math.Floor(math.Abs(now)/rotationMs), float64(len(group))))
		}
		for i := range min(room, len(group)) {
			found = append(found, group[(first+i)%len(group)].ClientAddr)
		}
	}
	return found
}

// Owner returns the address for other gatekeepers of a service's owner among the ready members of a
// zone, or "" if there is none.
func Owner(list MemberList, zone, service string) string {
	var ready []string
	for _, member := range list.Members {
		if member.Zone == zone && member.Ready && !member.Leaving {
			ready = append(ready, member.PeerAddr)
		}
	}
	return OwnerAmong(ready, zone, service)
}

// OwnerAmong returns a service's owner among the ready members of a zone, given by their addresses for
// other gatekeepers. It is the one with the highest hash, so that a change of members moves only the
// services it concerns. Registries and gatekeepers compute it independently.
func OwnerAmong(ready []string, zone, service string) string {
	var owner string
	var ownerHash uint64
	for _, addr := range ready {
		if hash := rendezvousHash(zone+"\x00"+service, addr); owner == "" || hash > ownerHash || hash == ownerHash && addr < owner {
			owner, ownerHash = addr, hash
		}
	}
	return owner
}

// rendezvousHash returns the weight of a member for a key; the highest one wins.
func rendezvousHash(key, member string) uint64 { return xxh3.HashString(key + "\x00" + member) }
