package configstore

import (
	"context"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/metrics"
)

// Figures returns the store's metrics. It implements metrics.Source.
func (s *Store) Figures(ctx context.Context) []metrics.Sample {
	figures := make(chan []metrics.Sample, 1)
	select {
	case s.events <- event{inspect: func() { figures <- s.collectMetrics() }}:
	case <-ctx.Done():
		return nil
	}
	select {
	case f := <-figures:
		return f
	case <-ctx.Done():
		return nil
	}
}

// collectMetrics returns the metrics. It must be called on the loop.
func (s *Store) collectMetrics() []metrics.Sample {
	figures := []metrics.Sample{
		metrics.BoolGauge("disk_down", "Whether the disk is lost or hangs.", s.diskDown()),
		metrics.Gauge("disk_bytes", "Size of what is on the disk.", float64(s.size)),
		metrics.Gauge("view", "Number of the core's view.", float64(s.known.view.Number)),
		metrics.Gauge("chain_members", "Machines of the chain in that view.", float64(len(s.known.view.Chain))),
		metrics.Gauge("core_members", "Machines of the core in that view.", float64(len(s.known.view.Core))),
		metrics.Counter("syncs_total", "Syncs of the disk.", s.counts.Syncs),
		metrics.Counter("records_total", "Records written.", s.counts.Records),
		metrics.Counter("disk_stalls_total", "Times that the disk hung.", s.counts.Stalls),
		metrics.Counter("disk_losses_total", "Times that the disk took nothing.", s.counts.Lost),
		metrics.Counter("submits_total", "Changes asked for here.", s.counts.Submits),
		metrics.Counter("submits_unavailable_total", "Changes that were not taken.", s.counts.Unavailable),
		metrics.Counter("submits_unknown_total", "Changes of which it is not known whether they were taken.", s.counts.Unknown),
		metrics.Counter("messages_unsent_total", "Messages to other core machines that were not sent.", s.counts.Unsent),
	}
	if s.known.state != nil {
		figures = append(figures, metrics.Gauge("configuration_version", "Version of the newest configuration known to be committed.", float64(s.known.state.Edition)),
			metrics.Gauge("committed_number", "Number of the last change known to be committed.", float64(s.known.state.Last.Seq)))
	}
	if s.machine == nil {
		return figures
	}
	return append(figures, machineFigures(s.machine.Status())...)
}

// machineFigures returns the metrics of the state machine.
func machineFigures(status chain.Status) []metrics.Sample {
	return []metrics.Sample{
		metrics.BoolGauge("whole", "Whether this machine holds all that was acknowledged.", status.Complete),
		metrics.BoolGauge("chain_role", "The machine's part in the chain.", true, metrics.Label{Name: "role", Value: status.Role}),
		metrics.Gauge("uncommitted_entries", "Entries held that are not known to be committed.", float64(status.Uncommitted)),
		metrics.Gauge("tail_lease_seconds", "What is left of the tail's leases; 0 at others.", status.LeaseMillis/1000),
		metrics.Gauge("majority_lost_seconds", "Time since a majority of the core was last heard; 0 while one is.", status.MajorityLostMillis/1000),
	}
}
