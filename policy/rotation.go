package policy

import (
	"cmp"
	"math"
	"slices"
)

// Which servers a gateway uses, and in which order. With many gateways and many servers, each gateway rarely
// hears of a server: tens of requests per second over a hundred servers tell it about each one every few
// seconds. So it uses few of them, and those in rotation, so that chance does not add to the unevenness of
// arrivals. Positions on a ring, which need no coordination, make the subsets of all gateways cover the
// servers evenly.

const (
	minRotation     = 4    // least number of servers used
	rotationSeconds = 0.25 // or as many as each get a request of ours in this many seconds
	reportWeight    = 1.0  // added to a server's cost factor by a report of one request per slot;
	reportSeconds   = 0.5  // its weight falls by a factor of e in this many seconds
)

// RingPlace is a gateway's place among the gateways of its zone.
type RingPlace struct {
	Zone         uint64 // hash that all gateways of a zone share
	Index, Count int    // index among them, from 0, and their number; 0 if unknown
}

// SetRingPlace sets the gateway's place on the ring.
func (g *Gateway) SetRingPlace(now Micros, host Host, ring RingPlace) {
	if ring == g.ringPlace {
		return
	}
	g.beginEvent(now, host)
	g.ringPlace = ring
	g.orderByRing()
	slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.order, b.order) })
}

// subsetTerms returns the least number of servers used, and the seconds in which each gets a request.
func (g *Gateway) subsetTerms() (minimum int, seconds float64) {
	if g.settings.Rotate {
		return minRotation, rotationSeconds
	}
	return minSubset, subsetSeconds
}

// orderByRing gives the servers of each region their positions in our own order: all gateways of a zone share
// one order, and start in it at even distances. With random orders, six of 27 servers for each of 63
// gateways, some servers were used by twice as many gateways as others.
func (g *Gateway) orderByRing() {
	if !g.settings.Rotate || g.ringPlace.Count <= 0 {
		return
	}
	regions := map[int][]*server{}
	for _, srv := range g.servers {
		if srv.listed {
			regions[srv.entry.Region] = append(regions[srv.entry.Region], srv)
		}
	}
	for _, list := range regions {
		slices.SortFunc(list, func(a, b *server) int {
			return cmp.Compare(hash(uint64(a.id), g.ringPlace.Zone), hash(uint64(b.id), g.ringPlace.Zone))
		})
		for i, srv := range list {
			at := (float64(i)+0.5)/float64(len(list)) - float64(g.ringPlace.Index)/float64(g.ringPlace.Count)
			srv.order = (at - math.Floor(at)) * g.costFactor(srv)
		}
	}
}

// choiceFactor is the factor on a server's cost that keeps gateways, which see little of a server's load,
// from all choosing the same one: random, or by rotation.
func (g *Gateway) choiceFactor(srv *server) float64 {
	if g.settings.Rotate {
		return g.reportedLoadFactor(srv) / g.sinceUsed(srv)
	}
	uniform := g.random()
	exponent := cmp.Or(g.settings.ChoiceExponent, defaultExponent) * max(1-fewGateways/float64(max(g.settings.GatewayCount, 1)), 0)
	return (1 + tieBreakNoise*uniform) * math.Pow(-math.Log(1-uniform), exponent)
}

// sinceUsed is the time since our last request to a server, in µs. A server that was not among the candidates
// for a whole round gets a random time within the round: otherwise all gateways that start to use it at the
// same time, because it is new or another one is gone, would send to it at once.
func (g *Gateway) sinceUsed(srv *server) float64 {
	round := float64(g.subsetSize()) / max(g.sendRate, 1) * 1e6
	if srv.lastConsidered == 0 || float64(g.now-srv.lastConsidered) > round {
		srv.lastUsed = g.now - Micros(g.random()*round)
	}
	srv.lastConsidered = g.now
	return float64(max(g.now-srv.lastUsed, 1))
}

// reportedLoadFactor rises with the load that a server last reported, while the report is fresh.
func (g *Gateway) reportedLoadFactor(srv *server) float64 {
	return 1 + reportWeight*srv.reportedLoad*math.Exp(-float64(g.now-srv.reportedAt)/1e6/reportSeconds)
}
