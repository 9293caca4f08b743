package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Report tells what a run was and what came of it: shares served, second by second and by group, and findings.
func (r *Run) Report() string {
	var b strings.Builder
	all := r.crowd.requests
	fmt.Fprintf(&b, "%s", r.scenario)
	u := &r.usage
	fmt.Fprintf(&b, "served %.2f%% of %d requests; at most %d processes, %d MB; cores in use: %s %.2f, %s %.2f, %s %.2f\n", 100*share(all), len(all),
		u.runningMost, u.memoryMost>>20, Proxy, u.cores(Proxy), Registry, u.cores(Registry), ConfigStore, u.cores(ConfigStore))
	fmt.Fprintf(&b, "%s", r.figures)
	b.WriteString("second: asked, served, median ms of those served; how others ended\n")
	keys, of := groups(all, func(q *request) int { return int(q.at.Sub(r.began) / time.Second) })
	for _, k := range keys {
		if s := share(of[k]); s < recoverPart || k%10 == 0 {
			fmt.Fprintf(&b, "%4d: %5d %6.1f%% %6.0f  %s\n", k, len(of[k]), 100*s, median(of[k]), reasons(of[k]))
		}
	}
	for _, by := range []struct {
		what string
		name func(*request) string
	}{
		{"kind", func(q *request) string { return kinds[q.kind].name }},
		{"tenant", func(q *request) string { return r.tenants[q.tenant].name }},
	} {
		keys, of := groups(all, by.name)
		slices.SortStableFunc(keys, func(x, y string) int { return cmp.Compare(share(of[x]), share(of[y])) })
		for _, k := range keys[:min(len(keys), 6)] {
			fmt.Fprintf(&b, "%s %s: %.1f%% of %d, %.0f ms; %s\n", by.what, k, 100*share(of[k]), len(of[k]), median(of[k]), reasons(of[k]))
		}
	}
	found := r.Findings()
	counts := map[Rule]int{}
	for _, f := range found {
		if counts[f.Rule]++; counts[f.Rule] <= 8 {
			fmt.Fprintf(&b, "%s\n", f)
		}
	}
	fmt.Fprintf(&b, "findings: %d %v\n", len(found), counts)
	return b.String()
}

// median is the median time of requests that were served, in milliseconds.
func median(requests []*request) float64 {
	var took []time.Duration
	for _, q := range requests {
		if q.served() {
			took = append(took, q.took)
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return float64(took[len(took)/2]) / float64(time.Millisecond)
}
