package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Report returns a text with the scenario, resource usage and metrics, the share of requests served per second and per
// group, and the findings.
func (r *Run) Report() string {
	var text strings.Builder
	requests := r.clientPool.requests
	fmt.Fprintf(&text, "%s", r.scenario)
	u := &r.usage
	fmt.Fprintf(&text, "served %.2f%% of %d requests; at most %d processes, %d MB; cores in use: %s %.2f, %s %.2f, %s %.2f\n", 100*servedShare(requests), len(requests),
		u.maxRunning, u.maxMemory>>20, Proxy, u.cpuCores(Proxy), Registry, u.cpuCores(Registry), ConfigStore, u.cpuCores(ConfigStore))
	if broken := r.ledger.BrokenCount(); broken > 0 {
		fmt.Fprintf(&text, "answers that workers broke off: %d\n", broken)
	}
	fmt.Fprintf(&text, "%s", r.metrics)
	text.WriteString("second: asked, served, median ms of those served; how others ended\n")
	keys, grouped := groupBy(requests, func(q *request) int { return int(q.startedAt.Sub(r.startedAt) / time.Second) })
	for _, key := range keys {
		if groupShare := servedShare(grouped[key]); groupShare < recoveredShare || key%10 == 0 {
			fmt.Fprintf(&text, "%4d: %5d %6.1f%% %6.0f  %s\n", key, len(grouped[key]), 100*groupShare, median(grouped[key]), unservedReasons(grouped[key]))
		}
	}
	for _, grouping := range []struct {
		label string
		keyOf func(*request) string
	}{
		{"kind", func(q *request) string { return requestKinds[q.kind].name }},
		{"tenant", func(q *request) string { return r.tenants[q.tenant].name }},
	} {
		keys, grouped := groupBy(requests, grouping.keyOf)
		slices.SortStableFunc(keys, func(x, y string) int { return cmp.Compare(servedShare(grouped[x]), servedShare(grouped[y])) })
		for _, key := range keys[:min(len(keys), 6)] {
			fmt.Fprintf(&text, "%s %s: %.1f%% of %d, %.0f ms; %s\n", grouping.label, key, 100*servedShare(grouped[key]), len(grouped[key]), median(grouped[key]), unservedReasons(grouped[key]))
		}
	}
	findings := r.Findings()
	counts := map[Rule]int{}
	for _, f := range findings {
		if counts[f.Rule]++; counts[f.Rule] <= 8 {
			fmt.Fprintf(&text, "%s\n", f)
		}
	}
	fmt.Fprintf(&text, "findings: %d %v\n", len(findings), counts)
	return text.String()
}

// median returns the median duration of the served requests in milliseconds, and 0 if there are none.
func median(requests []*request) float64 {
	var durations []time.Duration
	for _, q := range requests {
		if q.wasServed() {
			durations = append(durations, q.duration)
		}
	}
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return float64(durations[len(durations)/2]) / float64(time.Millisecond)
}
