package switchback

import (
	"context"

	"foxwood/internal/metrics"
)

// Figures implements metrics.Source.
func (p *Proxy) Figures(ctx context.Context) []metrics.Figure {
	figures := make(chan []metrics.Figure, 1)
	p.loop.Post(func() { figures <- p.measured() })
	select {
	case f := <-figures:
		return f
	case <-ctx.Done():
		return nil
	}
}

// measured is the figures, on the loop.
func (p *Proxy) measured() []metrics.Figure {
	now := p.clock.Now()
	version := uint64(0)
	if p.table != nil {
		version = p.table.Edition
	}
	_, quotaLease := p.tenants.Holding(p.micros())
	figures := []metrics.Figure{
		metrics.Flag("ready", "Whether /ready says 200.", p.ready()),
		metrics.Flag("draining", "Whether the process is about to end.", p.draining),
		metrics.Gauge("configuration_version", "Version of the configuration in force here.", float64(version)),
		metrics.Gauge("members", "Gatekeepers that are members, as told to this one.", float64(p.members)),
		metrics.Gauge("control_heard_seconds", "Time since the tail's word was last heard, through a registry.", (now-p.touched)/1000),
		metrics.Gauge("quota_lease_seconds", "What is left of the lease of quota slices; below 0 floors hold.", float64(quotaLease)/1e6),
		metrics.Gauge("slow_start_lease_seconds", "What is left of the lease of cold workers' budget; below 0 they get nothing.", p.slowStart.Left(now)/1000),
		metrics.Count("sessions_failed_total", "Calls of the session with a registry that failed.", p.counts.SignsFailed),
		metrics.Count("sessions_moved_total", "Changes of the session to another registry.", p.counts.Moves),
		metrics.Count("quota_draws_total", "Calls for quota slices.", p.counts.Draws),
		metrics.Gauge("quota_draw_seconds", "Time that the last answered call for quota slices took.", p.drawMs/1000),
		metrics.Count("quota_homes_unreached_total", "Requests for whose token neither home of their tenant answered; the own bucket then decides.", p.counts.HomeUnreached),
		metrics.Count("quota_draws_failed_total", "Calls for quota slices that failed.", p.counts.DrawsFailed),
		metrics.Count("requests_total", "Requests of clients that were read.", p.counts.Requests),
		metrics.Count("failures_total", "Requests that ended without an answer or a promise that they never ran.", p.counts.Failed),
		metrics.Count("misdirected_total", "Answers of 421: another process has a worker's address.", p.counts.Misdirected),
	}
	for reason, n := range map[string]uint64{
		"quota": p.counts.OverQuota, "no_home": p.counts.NoHome, "no_route": p.counts.NoRoute, "key_unknown": p.counts.NoKey,
		"no_key_lease": p.counts.NoLease, "bad_request": p.counts.Bad, "no_room": p.counts.Refused,
	} {
		figures = append(figures, metrics.Count("refusals_total", "Requests refused before they were sent, by reason.", n, metrics.Label{Name: "reason", Value: reason}))
	}
	for cause, n := range map[string]uint64{"no_lease": p.counts.NoQuotaLease, "bucket_empty": p.counts.BucketEmpty, "home_empty": p.counts.HomeEmpty} {
		figures = append(figures, metrics.Count("quota_refusals_total", "Requests refused for want of a quota's token, by what was lacking.", n, metrics.Label{Name: "cause", Value: cause}))
	}
	figures = append(figures, p.callers.figures(now)...)
	for _, s := range p.order {
		load, service := s.core.Load(), metrics.Label{Name: "service", Value: s.name}
		ready, listed := s.core.Size()
		figures = append(figures,
			metrics.Gauge("requests_queued", "Requests that wait to be sent to a worker.", float64(load.Queued), service),
			metrics.Gauge("requests_in_flight", "Requests that are at a worker.", float64(load.InFlight), service),
			metrics.Gauge("workers_ready", "Workers that take work.", float64(ready), service),
			metrics.Gauge("workers_listed", "Workers that are listed.", float64(listed), service),
			metrics.Count("cold_sends_total", "Requests sent to workers that were cold.", load.ColdSends, service))
	}
	return figures
}
