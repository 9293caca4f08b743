package policy

import "slices"

// Load shedding before the queue. All requests have a position in one order, those to be served first lowest:
// by the rank of their tenant, the rank of their route, the order among routes of one rank, and last a keyed
// hash of tenant and caller. A cut refuses all requests at or above a position. Gateways with the same cut
// treat the same caller alike, as nothing is random.

// ShedPosition is a position in the shedding order: twelve bits of tier, then twelve bits of position within the
// tier.
type ShedPosition = uint32

const (
	// ShedNothing is the cut that refuses nothing.
	ShedNothing ShedPosition = 1 << 24
	// BinsPerTier is the number of bins of a tier in which load is counted.
	BinsPerTier = 16

	offsetBits   = 12
	offsetMask   = 1<<offsetBits - 1
	maxRank      = 15
	shedTurnStep = 1 << (offsetBits - 4) // positions by which one turn moves all callers
	shedBaseWait = second / 2
	maxShedWait  = 4 * second
	maxRanksPast = 3 // from this many ranks above the cut on, the wait grows no further
)

// Tier returns a request's tier, from the ranks of its tenant and its route and the route's order within its
// rank.
func Tier(tenant, route, waits int) int {
	clamp := func(rank int) int { return min(max(rank, 0), maxRank) }
	return clamp(tenant)<<8 | clamp(route)<<4 | clamp(waits)
}

// TierStart returns the position at which a tier begins.
func TierStart(tier int) ShedPosition { return max(ShedPosition(tier)<<offsetBits, 1) }

// TierOf returns the tier of a position.
func TierOf(m ShedPosition) int { return int(m >> offsetBits) }

// BinOf returns the bin that counts the load at a position; BinStart returns the position at which a bin
// begins.
func BinOf(m ShedPosition) uint32        { return m / (1 << offsetBits / BinsPerTier) }
func BinStart(bin uint32) ShedPosition   { return bin * (1 << offsetBits / BinsPerTier) }
func offsetOf(m ShedPosition) (part int) { return int(m & offsetMask) }

// ShedTerms are the parameters of the shedding order. All gateways must have the same.
type ShedTerms struct {
	Key            uint64  // secret key of the hash, so that callers cannot find out who is refused first
	Turn           uint64  // increases slowly, so that no caller is always refused first
	NeverBelowRank int     // tenants with a rank below it are never shed
	KeptFraction   float64 // fraction of each tier that is never shed
}

// Position returns a request's position. Requests that are never shed have position 0. A turn rotates all callers
// of a tier by a sixteenth, so that each of them crosses a cut at most once.
func (t ShedTerms) Position(tenantRank, tier int, tenant, caller string) ShedPosition {
	if tenantRank < t.NeverBelowRank {
		return 0
	}
	offset := (CallerHash(t.Key, tenant, caller)>>(64-offsetBits) + t.Turn*shedTurnStep) & offsetMask
	if float64(offset) < t.KeptFraction*(1<<offsetBits) {
		return 0
	}
	return ShedPosition(tier)<<offsetBits | ShedPosition(offset)
}

// Sheds reports whether a cut refuses a request. It never refuses position 0.
func Sheds(spot, cut ShedPosition) bool { return spot != 0 && spot >= cut }

// CallerHash is the keyed hash of a tenant and the caller it names.
func CallerHash(key uint64, tenant, caller string) uint64 {
	sum := hash(key, 0x5b0e)
	for i := range len(tenant) {
		sum = (sum ^ uint64(tenant[i])) * 0x100000001b3
	}
	sum = hash(sum, key) // separates the names, whatever bytes they hold
	for i := range len(caller) {
		sum = (sum ^ uint64(caller[i])) * 0x100000001b3
	}
	return hash(sum, key)
}

// ShedWait returns how long a refused client is told to wait: longer the further its tier is above the cut,
// and spread by caller and salt, so that a tier does not return all at once.
func ShedWait(spot, cut ShedPosition, salt uint64) Micros {
	ranksPast := min(max(TierOf(spot)>>4-TierOf(cut)>>4, 0), maxRanksPast) // by the tenants' and routes' ranks only
	maxWait := min(shedBaseWait*Micros(int64(1)<<(ranksPast+1)), maxShedWait)
	fraction := float64(offsetOf(spot))/(1<<offsetBits)*0.5 + float64(hash(salt, uint64(spot))%1024)/1024*0.5
	return maxWait/2 + Micros(fraction*float64(maxWait)/2)
}

// RouteProperties are the properties of a route that decide its order within its rank.
type RouteProperties struct {
	Rank          int
	LatencyTarget Micros
	WorkLog2      int // log2 of a request's work; 0 if unknown
}

// RouteOrder returns the order of each route within its rank. A route with a longer latency target comes later,
// since it can wait longer; with equal targets the one whose refusal frees more work. Routes with equal
// figures get equal numbers.
func RouteOrder(routes []RouteProperties) []int {
	order := make([]int, len(routes))
	for i, route := range routes {
		var before []RouteProperties
		for _, other := range routes {
			if other.Rank == route.Rank && (other.LatencyTarget < route.LatencyTarget || other.LatencyTarget == route.LatencyTarget &&
				other.WorkLog2 < route.WorkLog2) && !slices.Contains(before, other) {
				before = append(before, other)
			}
		}
		order[i] = min(len(before), maxRank)
	}
	return order
}

// Occupancy returns the limit on attempts in flight, the attempts that count against it, and the number of
// requests waiting in the queue.
func (g *Gateway) Occupancy() (bound float64, out, held int) {
	return g.inFlightLimit, max(g.inFlight-g.inFlightSilent-g.inFlightBodies, 0), g.queued
}
