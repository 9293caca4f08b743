package gatekeeper

import (
	"strconv"
	"testing"

	"foxwood/policy"
)

// TestMemoryIsBoundedForOneTimeCustomersAndWorkers guards against state that is kept for
// customers and workers that never come back. A new customer arrives twice a second and a
// new worker replaces an old one every minute; after four simulated hours the tables must
// not be larger than after one.
func TestMemoryIsBoundedForOneTimeCustomersAndWorkers(t *testing.T) {
	r := newHarness(t, func(s *policy.Settings) {
		s.GatewayCount, s.HasCounter, s.CounterTimeout, s.MaxUnits, s.SettlesUnits = 80, true, 50e3, 6, true
		s.Plans = []policy.Plan{{Rate: 2, Burst: 12, Price: 1, OverrunCost: 1}}
		s.ColdCapacity, s.ColdDuration, s.OverloadMultiple, s.OverloadWindow = 0.2, 10e6, 3, 1500e3
	})
	totals := map[uint64]float64{}
	customer, worker := uint64(0), policy.Server(2)
	tableSizes := func() map[string]int {
		s := r.module.Snapshot()
		return map[string]int{"requests": len(r.requests), "names": len(r.openNames), "timers": len(r.timers.heap), "counts": len(r.pendingCalls),
			"workers": len(r.workers), "customers": len(s.Customers), "servers": len(s.Servers), "draws": len(s.PendingCalls)}
	}
	runHour := func() {
		for halfSecond := range 7200 {
			customer++
			r.Submit(&Request{Customer: customer, TimeLeft: 1000, EstimatedUnits: 2, GatekeeperCount: 60, Responder: r, Name: strconv.FormatUint(customer, 16)})
			for ms := 0; ms < 500; ms += 50 {
				r.advance(50)
				for len(r.calls) > 0 {
					c := r.calls[0]
					r.calls = r.calls[1:]
					totals[c.Name] += c.Amount
					if halfSecond%5 == 0 { // some counter calls get no answer
						continue
					}
					r.CounterCallEnded(c, policy.OK, totals[c.Name])
				}
				for _, x := range r.executions {
					r.ExecutionEnded(x, Outcome{Status: policy.OK, Units: 3})
				}
				r.executions, r.log = r.executions[:0], r.log[:0]
			}
			if halfSecond%120 == 0 {
				old := worker - 1
				worker++
				r.UpdateWorkers(policy.ListDelta, []policy.Entry{{Server: worker, State: policy.Ready, ReadyAt: micros(r.clock.Now())},
					{Server: old, State: policy.Gone}})
			}
		}
		clear(totals)
	}
	runHour()
	afterOneHour := tableSizes()
	for range 3 {
		runHour()
	}
	for table, n := range tableSizes() {
		if n > afterOneHour[table]+afterOneHour[table]/5+20 {
			t.Errorf("%s: %d entries after four hours, %d after one", table, n, afterOneHour[table])
		}
	}
	t.Log(afterOneHour, tableSizes())
}
