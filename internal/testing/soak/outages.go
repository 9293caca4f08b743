package soak

import (
	"fmt"
	"slices"
	"time"
)

// outageTime is how long nothing may be served of a group of requests: service has to recover within it, at any time of a run.
const outageTime = time.Duration(recoveryTimeS * float64(time.Second))

// outage is a period in which requests of a group were made and none was served.
type outage struct {
	from, to time.Time // start of the first and of the last request
	requests []*request
}

// longestOutage returns the longest period without a served request among those of a group, in order of their starts.
func longestOutage(requests []*request) (longest outage) {
	var current outage
	for _, q := range requests {
		if q.wasServed() {
			current = outage{}
			continue
		}
		if len(current.requests) == 0 {
			current.from = q.startedAt
		}
		current.to = q.startedAt
		current.requests = append(current.requests, q)
		if current.to.Sub(current.from) >= longest.to.Sub(longest.from) {
			longest = current
		}
	}
	return longest
}

// overQuota reports whether the requests of a period, all of one tenant, exceed its quota.
func (o *outage) overQuota(t *tenant) bool {
	return float64(len(o.requests)) > t.ratePerS*o.to.Sub(o.from).Seconds()
}

// checkOutages finds tenants and kinds of requests, and a deployment, of which nothing was served for outageTime. Shares over a whole run
// do not show a period in which everything was refused.
func (r *Run) checkOutages(addFinding func(Rule, string, ...any)) {
	requests := slices.Clone(r.clientPool.requests)
	slices.SortStableFunc(requests, func(a, b *request) int { return a.startedAt.Compare(b.startedAt) })
	report := func(label string, o outage) {
		addFinding(RuleOutage, "%s: none of %d requests was served from second %.1f to %.1f; %s", label, len(o.requests),
			o.from.Sub(r.startedAt).Seconds(), o.to.Sub(r.startedAt).Seconds(), unservedReasons(o.requests))
	}
	isOutage := func(o outage) bool {
		return len(o.requests) >= starvedMinRequests && o.to.Sub(o.from) >= outageTime
	}
	if all := longestOutage(requests); isOutage(all) {
		report("all", all)
	}
	kinds, byKind := groupBy(requests, func(q *request) int { return q.kind })
	for _, kind := range kinds {
		if o := longestOutage(byKind[kind]); isOutage(o) {
			report("kind "+requestKinds[kind].name, o)
		}
	}
	tenants, byTenant := groupBy(requests, func(q *request) int { return q.tenant })
	for _, index := range tenants {
		if o := longestOutage(byTenant[index]); isOutage(o) && !o.overQuota(&r.tenants[index]) {
			report(fmt.Sprintf("tenant %s", r.tenants[index].name), o)
		}
	}
}
