package proxy

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"foxwood/internal/control/membership"
	"foxwood/internal/dataplane/outlier"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// outlierInterval is the time between two outlier reports of a gatekeeper with something to report, and between two
// judgements of a zone home.
const outlierInterval = 300 * time.Millisecond

// outlierReporter is this gatekeeper's part in sharing outlier reports about workers with its zone. Its methods run
// on the loop.
type outlierReporter struct {
	p        *Proxy
	judges   map[string]*outlier.Detector   // by destination of which this gatekeeper is the zone home
	verdicts map[string]*outlier.Subscriber // the newest verdicts of the zone home, by destination
	active   map[string]bool                // destinations with verdicts in force
	counts   struct {
		ReportsSent      uint64 `json:"Told"`
		ReportsReceived  uint64 `json:"Heard"`
		VerdictsIssued   uint64 `json:"Issued"`
		VerdictsReceived uint64 `json:"Posted"`
	}
}

// EnableOutlierReports has this gatekeeper share outlier reports with its zone. It is to be called before Serve.
func (p *Proxy) EnableOutlierReports() {
	h := &outlierReporter{p: p, judges: map[string]*outlier.Detector{}, verdicts: map[string]*outlier.Subscriber{}, active: map[string]bool{}}
	p.runOnLoop(func() {
		p.outliers = h
		p.loop.Every(outlierInterval, h.tick)
		p.loop.Every(countersLogInterval, h.logCounters)
	})
}

// tick reports what was observed, judges where this gatekeeper is the zone home, and drops verdicts that have
// expired.
func (h *outlierReporter) tick() {
	p := h.p
	var zonePeers []string
	peers := map[string]*rpc.Peer{}
	p.fanout.withLock(func(float64) {
		zonePeers = slices.Clone(p.fanout.zonePeers)
		for _, addr := range zonePeers {
			peers[addr] = p.fanout.peer(addr)
		}
	})
	self := p.settings.InnerAddress(0)
	ready := zonePeers
	if p.isReady.Load() {
		ready = append(slices.Clone(zonePeers), self)
	}
	now := p.clock.Now()
	var calls []func()
	for _, pool := range p.poolList {
		zoneHome := membership.OwnerAmong(ready, p.settings.Zone, pool.name)
		if observed := pool.core.Sightings(); len(observed) > 0 {
			h.counts.ReportsSent++
			report := api.OutlierReport{From: self, Destination: pool.name, Reports: outlier.EncodeReports(observed)}
			if zoneHome == self {
				h.judge(pool.name).Receive(now, self, report.Reports)
			} else if peer := peers[zoneHome]; peer != nil {
				calls = append(calls, func() { _ = rpc.Notify(peer, report) })
			}
		}
		if zoneHome != self {
			delete(h.judges, pool.name)
		} else if judge := h.judges[pool.name]; judge != nil {
			judge.Step(now, pool.usableWorkers())
			if issue, due := judge.Announcement(now); due {
				h.counts.VerdictsIssued++
				h.receive(api.OutlierAnnouncement{Destination: pool.name, Announcement: issue})
				for _, peer := range peers {
					calls = append(calls, func() { _ = rpc.Notify(peer, api.OutlierAnnouncement{Destination: pool.name, Announcement: issue}) })
				}
			}
		}
		if h.active[pool.name] { // verdicts expire unless they are renewed
			h.apply(pool)
		}
	}
	if len(calls) > 0 { // a peer that does not read must not block the loop
		go func() {
			for _, call := range calls {
				call()
			}
		}()
	}
}

// judge returns the judge of a destination of which this gatekeeper is the zone home.
func (h *outlierReporter) judge(destination string) *outlier.Detector {
	judge := h.judges[destination]
	if judge == nil {
		judge = outlier.NewDetector(h.p.incarnation)
		h.judges[destination] = judge
	}
	return judge
}

// usableWorkers returns the workers that may get new requests, with the bit of their region.
func (s *pool) usableWorkers() map[uint32]int {
	p, regions := s.p, map[uint32]int{}
	for _, w := range p.workers {
		if w.Destination == s.name && !w.Draining && !w.misdirected && !p.evacuated[w.Zone] {
			regions[outlier.WorkerID(policy.Server(hash64(w.ID)))] = p.regionOf(w.Zone)
		}
	}
	return regions
}

// receive takes the verdicts of a zone home. It runs on the loop.
func (h *outlierReporter) receive(verdicts api.OutlierAnnouncement) {
	pool := h.p.pools[verdicts.Destination]
	if pool == nil {
		return
	}
	current := h.verdicts[verdicts.Destination]
	if current == nil {
		current = &outlier.Subscriber{}
		h.verdicts[verdicts.Destination] = current
	}
	if current.Receive(h.p.clock.Now(), verdicts.Announcement) {
		h.counts.VerdictsReceived++
		h.apply(pool)
	}
}

// apply passes the verdicts that are in force now to the core of a pool.
func (h *outlierReporter) apply(pool *pool) {
	beliefs := h.verdicts[pool.name].Verdicts(h.p.clock.Now(), h.p.settings.InnerAddress(0))
	byServer := make(map[policy.Server]policy.Verdict, len(beliefs))
	for _, w := range h.p.workers {
		id := policy.Server(hash64(w.ID))
		if belief, ok := beliefs[outlier.WorkerID(id)]; ok && w.Destination == pool.name {
			byServer[id] = belief
		}
	}
	h.active[pool.name] = len(byServer) > 0
	pool.core.Believe(byServer)
}

// handleReport receives what a zone peer has observed, as its zone home. A report for a destination that is not
// served here is dropped.
func (p *Proxy) handleReport(_ context.Context, report api.OutlierReport) (answer api.OutlierAck, err error) {
	p.loop.Post(func() {
		if h := p.outliers; h != nil && p.pools[report.Destination] != nil {
			h.counts.ReportsReceived++
			h.judge(report.Destination).Receive(p.clock.Now(), report.From, report.Reports)
		}
	})
	return answer, nil
}

// handleVerdicts receives the verdicts of a zone home.
func (p *Proxy) handleVerdicts(_ context.Context, verdicts api.OutlierAnnouncement) (answer api.OutlierAck, err error) {
	p.loop.Post(func() {
		if p.outliers != nil {
			p.outliers.receive(verdicts)
		}
	})
	return answer, nil
}

// logCounters writes the counters to the log.
func (h *outlierReporter) logCounters() {
	if h.counts.ReportsSent+h.counts.VerdictsReceived > 0 {
		e := h.p.log.Info().Interface("counts", h.counts)
		for name, d := range h.judges {
			e = e.Uints64(name, []uint64{d.Ejections, d.Readmissions, d.MassReadmissions})
		}
		e.Msg("outlier report counters")
	}
}

// statusLines returns its lines of the status command. It runs on the loop.
func (h *outlierReporter) statusLines() (lines []string) {
	now := h.p.clock.Now()
	for _, name := range slices.Sorted(maps.Keys(h.verdicts)) {
		out := 0
		beliefs := h.verdicts[name].Verdicts(now, h.p.settings.InnerAddress(0))
		for _, b := range beliefs {
			if b == policy.Unhealthy || b == policy.OnProbe {
				out++
			}
		}
		lines = append(lines, fmt.Sprintf("bulletin of %s: %d workers named, %d out", name, len(beliefs), out))
	}
	return lines
}
