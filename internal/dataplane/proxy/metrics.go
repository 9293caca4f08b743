package proxy

import (
	"context"

	"foxwood/internal/metrics"
)

// Figures implements metrics.Source.
func (p *Proxy) Figures(ctx context.Context) []metrics.Sample {
	figures := make(chan []metrics.Sample, 1)
	p.loop.Post(func() { figures <- p.collectMetrics() })
	select {
	case f := <-figures:
		return f
	case <-ctx.Done():
		return nil
	}
}

// collectMetrics returns the metrics. It runs on the loop.
func (p *Proxy) collectMetrics() []metrics.Sample {
	now := p.clock.Now()
	version := uint64(0)
	if p.config != nil {
		version = p.config.Version
	}
	_, quotaLease := p.tenants.Holdings(p.micros())
	figures := []metrics.Sample{
		metrics.BoolGauge("ready", "Whether /ready answers 200.", p.ready()),
		metrics.BoolGauge("draining", "Whether the process is about to end.", p.draining),
		metrics.Gauge("configuration_version", "Version of the configuration in force here.", float64(version)),
		metrics.Gauge("members", "Gatekeepers that are members, according to the registry.", float64(p.memberCount)),
		metrics.Gauge("control_heard_seconds", "Age of the newest state of the chain's tail that a registry has passed on.", (now-p.tailStateAt)/1000),
		metrics.Gauge("quota_lease_seconds", "Remaining lease on the quota slices; below 0 only the minimums apply.", float64(quotaLease)/1e6),
		metrics.Gauge("slow_start_lease_seconds", "Remaining lease on the budget of cold workers; below 0 they get nothing.", p.slowStart.Remaining(now)/1000),
		metrics.Counter("sessions_failed_total", "Calls of the session with a registry that failed.", p.counts.HeartbeatsFailed),
		metrics.Counter("sessions_moved_total", "Changes of the session to another registry.", p.counts.Moves),
		metrics.Counter("quota_draws_total", "Calls for quota slices.", p.counts.Allocations),
		metrics.Gauge("quota_draw_seconds", "Time that the last answered call for quota slices took.", p.lastAllocationMs/1000),
		metrics.Counter("quota_homes_unreached_total", "Requests for which neither owner of their tenant's quota answered; the local bucket then decides.", p.counts.OwnerUnreached),
		metrics.Counter("quota_draws_failed_total", "Calls for quota slices that failed.", p.counts.AllocationsFailed),
		metrics.Counter("requests_total", "Requests of clients that were read.", p.counts.Requests),
		metrics.Counter("failures_total", "Requests that ended without an answer or a promise that they never ran.", p.counts.Failed),
		metrics.Counter("misdirected_total", "Answers of 421: another process has a worker's address.", p.counts.Misdirected),
	}
	for reason, n := range map[string]uint64{
		"quota": p.counts.OverQuota, "no_home": p.counts.NoCommonRegion, "no_route": p.counts.NoRoute, "key_unknown": p.counts.NoKey,
		"no_key_lease": p.counts.NoKeyLease, "bad_request": p.counts.Malformed, "no_room": p.counts.Refused,
	} {
		figures = append(figures, metrics.Counter("refusals_total", "Requests refused before they were sent, by reason.", n, metrics.Label{Name: "reason", Value: reason}))
	}
	for cause, n := range map[string]uint64{"no_lease": p.counts.NoQuotaLease, "bucket_empty": p.counts.BucketEmpty, "home_empty": p.counts.OwnerEmpty} {
		figures = append(figures, metrics.Counter("quota_refusals_total", "Requests refused because a quota had no token, by cause.", n, metrics.Label{Name: "cause", Value: cause}))
	}
	figures = append(figures, p.requestStats.metrics(now)...)
	for _, pool := range p.poolList {
		load, service := pool.core.Load(), metrics.Label{Name: "service", Value: pool.name}
		ready, listed := pool.core.WorkerCounts()
		figures = append(figures,
			metrics.Gauge("requests_queued", "Requests that wait to be sent to a worker.", float64(load.Queued), service),
			metrics.Gauge("requests_in_flight", "Requests that are at a worker.", float64(load.InFlight), service),
			metrics.Gauge("workers_ready", "Workers that take work.", float64(ready), service),
			metrics.Gauge("workers_listed", "Workers that are listed.", float64(listed), service),
			metrics.Counter("cold_sends_total", "Requests sent to workers that were cold.", load.ColdSends, service))
	}
	return figures
}
