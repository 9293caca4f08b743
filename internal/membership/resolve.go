package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// fewest is how many gatekeepers of a zone its clients should have: with one, its loss leaves
	// them nothing until they ask again.
	fewest = 2
	// turnMs moves the window by one place where a group has more members than an answer holds, so
	// that all of them get clients and few connections are given up at a time.
	turnMs = 2000
)

// Resolve is the addresses for clients of a zone.
//
//   - The zone's ready members; the rest of its region is added where the zone has fewer than two,
//     or less than half of what the region's zones have on average (it lost most of them, and
//     those left would drown).
//   - All others, where the region has none.
//   - Those that aren't ready, where nobody is; those that leave, where nobody else is. An empty
//     answer counts as a failure, so it is the worst of all.
//
// The zone's own come first, then the region's, in an order that each zone has for itself.
func Resolve(now float64, roll Roll, region, zone string, most int) []string {
	for _, fit := range []func(Member) bool{
		func(g Member) bool { return g.Ready && !g.Leaving && !g.Alone },
		func(g Member) bool { return g.Ready && !g.Leaving },
		func(g Member) bool { return !g.Leaving },
		func(Member) bool { return true },
	} {
		if found := pick(now, roll, fit, region, zone, most); len(found) > 0 {
			return found
		}
	}
	return nil
}

func pick(now float64, roll Roll, fit func(Member) bool, region, zone string, most int) []string {
	var own, near, far []Member
	zones := map[string]bool{zone: true}
	for _, g := range roll.Members {
		switch {
		case g.Counter == "" || !fit(g):
		case g.Zone == zone:
			own = append(own, g)
		case g.Region == region:
			near = append(near, g)
			zones[g.Zone] = true
		default:
			far = append(far, g)
		}
	}
	groups := [][]Member{own}
	if len(own) < fewest || 2*len(own)*len(zones) < len(own)+len(near) {
		groups = append(groups, near)
	}
	if len(own)+len(near) == 0 {
		groups = append(groups, far)
	}
	var found []string
	for _, group := range groups {
		slices.SortFunc(group, func(a, b Member) int {
			return cmp.Or(cmp.Compare(rank(zone, a.Station), rank(zone, b.Station)), cmp.Compare(a.Station, b.Station))
		})
		first, room := 0, most-len(found)
		if len(group) > room {
			first = int(math.Mod(math.Floor(math.Abs(now)/turnMs), float64(len(group))))
		}
		for i := range min(room, len(group)) {
			found = append(found, group[(first+i)%len(group)].Counter)
		}
	}
	return found
}

// Home is the inner address of the zone's home gatekeeper of a service, among the zone's ready
// members. "" if none.
func Home(roll Roll, zone, service string) string {
	var ready []string
	for _, g := range roll.Members {
		if g.Zone == zone && g.Ready && !g.Leaving {
			ready = append(ready, g.Inner)
		}
	}
	return HomeAmong(ready, zone, service)
}

// HomeAmong is the home among a zone's ready members, by their inner addresses: the one with the
// highest hash, so that a change of members moves only the services that it concerns. Bothies and
// gatekeepers find it each for themselves.
func HomeAmong(ready []string, zone, service string) string {
	var home string
	var best uint64
	for _, at := range ready {
		if h := rank(zone+"\x00"+service, at); home == "" || h > best || h == best && at < home {
			home, best = at, h
		}
	}
	return home
}

func rank(key, station string) uint64 { return xxh3.HashString(key + "\x00" + station) }
