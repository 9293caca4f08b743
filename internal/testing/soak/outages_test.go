package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOutages checks that a period without a served request is found for all requests, for a kind and for a tenant within
// its quota, and that shorter periods and those of few requests are not.
func TestOutages(t *testing.T) {
	const (
		read, submit = 0, 1
		few          = starvedMinRequests - 1
		many         = starvedMinRequests + 1
	)
	startedAt := time.Now()
	for _, c := range []struct {
		name     string
		unserved int // requests
		length   time.Duration
		kinds    []int // of the unserved ones, in turn
		served   int   // requests of kind submit, spread over the same period
		quota    float64
		want     []Rule
	}{
		{"everything", many, outageTime, []int{read, submit}, 0, 100, []Rule{RuleOutage, RuleOutage}}, // all and the tenant; each kind has too few requests
		{"a kind", many, outageTime, []int{read}, 100, 100, []Rule{RuleOutage}},
		{"a shorter period", many, outageTime - time.Second, []int{read}, 0, 100, nil},
		{"few requests", few, outageTime, []int{read}, 0, 100, nil},
		{"a tenant over its quota", many, outageTime, []int{read, submit}, 0, 0.1, []Rule{RuleOutage}}, // all
	} {
		run, gatekeeper := newTestRun(startedAt)
		run.tenants[0].ratePerS = c.quota
		for i := range c.unserved {
			offset := c.length * time.Duration(i) / time.Duration(c.unserved-1)
			run.addRequest(gatekeeper, c.kinds[i%len(c.kinds)], outcomeRefused, offset, 0, 0)
		}
		for i := range c.served {
			run.addRequest(gatekeeper, submit, outcomeServed, c.length*time.Duration(i)/time.Duration(c.served), 0, 1)
		}
		var got []Rule
		run.checkOutages(func(rule Rule, _ string, _ ...any) { got = append(got, rule) })
		assert.DeepEqual(t, got, c.want)
	}
}
