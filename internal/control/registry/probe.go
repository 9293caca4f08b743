package registry

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Health probes are rare and belong to the duty of reading the platform's list. They go to workers
// that are new or cold, to learn how long they stay cold sooner than from the list, which is
// delayed. A probe occupies a slot of its worker and is charged for, so probes are off by default.

const (
	probeInterval      = 250 * time.Millisecond
	probeTimeout       = 400 * time.Millisecond // for an answer
	probeRepeatMs      = 2000.0                 // milliseconds between two probes of one worker
	newWorkerMs        = 5000.0                 // milliseconds that a worker counts as new
	probeValidMs       = 2000.0                 // milliseconds that a probe's answer overrides the list, which is older
	maxProbesPerSecond = 20.0                   // limit of the rate
	workerIDHeader     = "X-Foxwood-Worker-Id"
	coldHeader         = "X-Foxwood-Cold-Ms"
)

// SetProbeRate sets how many workers this registry probes per second while it holds the duty. It must be
// called before Serve.
func (b *Registry) SetProbeRate(perSecond float64) {
	b.probeRate = min(max(perSecond, 0), maxProbesPerSecond)
}

// takeDueProbes returns the workers to probe, those first whose last probe is the oldest, and
// records them as probed.
func (l *endpointList) takeDueProbes(now float64, limit int) (ids []string) {
	var due []*listedWorker
	for _, worker := range l.workers {
		cold, isNew := worker.coldUntil > now, worker.listedAt > 0 && now-worker.listedAt < newWorkerMs
		if !worker.Removed && !worker.Draining && (cold || isNew) && (worker.probedAt == 0 || now-worker.probedAt >= probeRepeatMs) {
			due = append(due, worker)
		}
	}
	slices.SortFunc(due, func(a, b *listedWorker) int {
		return cmp.Or(cmp.Compare(a.probedAt, b.probedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, worker := range due[:min(len(due), max(limit, 0))] {
		worker.probedAt = now
		ids = append(ids, worker.ID)
	}
	return ids
}

// applyProbe records a worker's own statement of how long it stays cold, and reports whether that
// changes anything.
func (l *endpointList) applyProbe(now float64, term uint64, id string, coldMs float64) bool {
	worker := l.workers[id]
	coldUntil := now + max(coldMs, 0)
	if worker == nil || worker.Removed || max(coldUntil-worker.coldUntil, worker.coldUntil-coldUntil) <= coldToleranceMs || coldUntil <= now && worker.coldUntil <= now {
		return false
	}
	version := l.nextVersion(term)
	worker.coldUntil, worker.changedVersion, worker.coldReportedAt = coldUntil, version, now
	l.destinationVersions[worker.Destination], l.version = version, version
	return true
}

// probeWorkers probes the workers that are due, if this registry holds the duty.
func (b *Registry) probeWorkers(ctx context.Context) {
	b.mu.Lock()
	term, ok := b.election.Holds(b.now(), dutyEndpoints)
	b.probeBudget = min(b.probeBudget+b.probeRate*probeInterval.Seconds(), max(b.probeRate, 1))
	var addresses []string
	var ids []string
	if ok && b.configuration != nil {
		for _, id := range b.endpoints.takeDueProbes(b.now(), int(b.probeBudget)) {
			worker := b.endpoints.workers[id]
			if destination := b.configuration.Destinations[worker.Destination]; destination != nil && destination.HealthPath != "" {
				ids, addresses = append(ids, id), append(addresses, "http://"+worker.Addr+destination.HealthPath)
			}
		}
	}
	b.probeBudget -= float64(len(ids))
	b.mu.Unlock()
	for i := range ids {
		coldMs, ok := probeWorker(ctx, addresses[i], ids[i])
		b.mu.Lock()
		b.counters.Probes++
		if currentTerm, held := b.election.Holds(b.now(), dutyEndpoints); ok && held && currentTerm == term && b.endpoints.applyProbe(b.now(), term, ids[i], coldMs) {
			b.notifyWaiters()
		}
		b.mu.Unlock()
	}
}

// probeWorker asks a worker how long it stays cold. The answer of another worker that now uses the
// address is ignored.
func probeWorker(ctx context.Context, address, id string) (coldMs float64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, false
	}
	response, err := platformClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4<<10))
	if response.Header.Get(workerIDHeader) != id || response.StatusCode != http.StatusOK {
		return 0, false
	}
	coldMs, err = strconv.ParseFloat(response.Header.Get(coldHeader), 64)
	if response.Header.Get(coldHeader) == "" {
		return 0, true
	}
	return coldMs, err == nil && coldMs >= 0 && coldMs < 600e3
}
