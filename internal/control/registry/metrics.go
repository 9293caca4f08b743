package registry

import (
	"context"

	"foxwood/internal/metrics"
)

// Figures implements metrics.Source.
func (b *Registry) Figures(context.Context) []metrics.Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	figures := []metrics.Sample{
		metrics.Gauge("view", "Number of the core's view as known here.", float64(b.view.Number)),
		metrics.Gauge("core_members", "Machines of the core in that view.", float64(len(b.view.Core))),
		metrics.Gauge("configuration_version", "Version of the newest configuration known to be committed.", float64(b.committed.Edition)),
		metrics.Gauge("zones_evacuated", "Zones that are evacuated.", float64(len(b.committed.Evacuated))),
		metrics.Gauge("control_heard_seconds", "Time since the tail was last asked with success.", (now-b.tailConfirmedAt)/1000),
		metrics.Gauge("members", "Gatekeepers whose sessions stand, here or elsewhere.", float64(len(b.sessions.Members(now).Members))),
		metrics.Gauge("workers_listed", "Workers on the platform's list as known here.", float64(len(b.endpoints.workers))),
		metrics.Gauge("roster_version", "Version of that list.", float64(b.endpoints.version)),
		metrics.Counter("sign_calls_total", "Calls of sessions answered.", b.counters.Heartbeats),
		metrics.Counter("resolve_calls_total", "Answers of the directory.", b.counters.Resolves),
		metrics.Counter("quota_draws_total", "Calls for quota slices answered.", b.counters.AllocationRequests),
		metrics.Counter("quota_holdings_looked_total", "Holdings of one gatekeeper of one quota looked at to answer calls for slices.", b.allocator.HoldingsExamined()),
		metrics.Gauge("quota_allot_seconds_sum", "Time spent on answers to calls for slices since the start.", float64(b.counters.AllocationNanos)/1e9),
		metrics.Counter("duties_won_total", "Duties won.", b.counters.DutiesWon),
		metrics.Counter("duties_lost_total", "Duties lost, those given up among them.", b.counters.DutiesLost),
		metrics.Counter("platform_calls_total", "Readings of the platform's list.", b.counters.PlatformReads),
		metrics.Counter("platform_calls_failed_total", "Readings of the platform's list that failed.", b.counters.PlatformReadsFailed),
		metrics.Counter("probes_total", "Health probes of workers.", b.counters.Probes),
		metrics.Counter("confirms_total", "Questions to the tail.", b.counters.TailReads),
		metrics.Counter("confirms_failed_total", "Questions to the tail that failed.", b.counters.TailReadsFailed),
		metrics.Counter("configurations_taken_total", "Configurations acknowledged here.", b.counters.ConfigurationsStored),
	}
	for reason, n := range map[string]uint64{"conflict": b.counters.Conflicts, "invalid": b.counters.InvalidRequests, "unavailable": b.counters.UnavailableRequests} {
		figures = append(figures, metrics.Counter("refusals_total", "Outside calls refused, by reason.", n, metrics.Label{Name: "reason", Value: reason}))
	}
	for _, duty := range b.election.Duties() {
		term, held := b.election.Holds(now, duty)
		label := metrics.Label{Name: "duty", Value: duty}
		figures = append(figures, metrics.BoolGauge("duty_held", "Whether this process holds the duty.", held, label),
			metrics.Gauge("duty_term", "Term in which it holds the duty; 0 for none.", float64(term), label))
	}
	return figures
}
