package scaletest

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/timetable"
)

// TestASmallFleet: all find each other and get each configuration, and no more of a quota is allotted than
// there is. How fast that is depends on the machine, and is not judged.
func TestASmallFleet(t *testing.T) {
	o := &Options{Gatekeepers: 12, Cores: 3, Zones: 3, Regions: 2, Routes: 20, Tenants: 9, Net: fmt.Sprint("127.", 200+os.Getpid()%40), Dir: t.TempDir()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var cores []*part
	for i := range o.Cores {
		cores = append(cores, inside(ctx, o, "core", i, 0))
	}
	fleets := []*part{inside(ctx, o, "fleet", 0, 5), inside(ctx, o, "fleet", 5, 12)}
	r, err := measure(ctx, o, cores, fleets, 100*time.Millisecond, 700*time.Millisecond, 1, time.Minute)
	for _, p := range append(fleets, cores...) {
		p.stop()
	}
	assert.NilError(t, err)
	assert.Equal(t, r.Sessions, 12)
	assert.Equal(t, r.Members, 12)
	assert.Equal(t, len(r.OverQuota), 0, "%v", r.OverQuota)
	assert.Assert(t, r.Signs > 0 && r.Draws > 0 && r.DrawMs[2] > 0, "%+v", r)
	assert.Equal(t, len(r.Changes), 1)
	for _, c := range r.Changes {
		assert.Assert(t, c.Held == 12 && c.AckMs > 0 && c.P50Ms <= c.P99Ms && c.P99Ms <= c.SlowMs, "%+v", c)
	}
}

func TestConfigurationIsProper(t *testing.T) {
	o := &Options{Gatekeepers: 1000, Routes: 50, Tenants: 20}
	for _, edition := range []uint64{1, 2} {
		table, err := timetable.Parse(o.configuration(edition))
		assert.NilError(t, err)
		assert.Equal(t, table.Edition, edition)
		assert.Equal(t, len(table.Courses), 50)
		assert.Equal(t, len(table.Senders), 20)
		for _, s := range table.Senders {
			assert.Equal(t, s.RatePerS, o.tenants()[s.Name].RatePerS)
		}
	}
}

func TestControls(t *testing.T) {
	o := &Options{Cores: 5, Zones: 6, Regions: 2, Net: "127.1"}
	first := map[string]int{}
	for i := range 600 {
		all := o.controls(i)
		assert.Equal(t, len(all), 5)
		near := map[string]bool{} // a gatekeeper's region has its own first
		for c := range o.Cores {
			if o.region(c) == o.region(i%o.Zones) {
				near[o.ip(corePart, c)+":7460"] = true
			}
		}
		for k, at := range all {
			assert.Equal(t, near[at], k < len(near), "%d: %v", i, all)
		}
		first[all[0]]++
	}
	assert.Equal(t, len(first), 5)
	for at, n := range first {
		assert.Assert(t, n > 50, "%s is the first of %d", at, n)
	}
}

func TestAChangeIsJudgedByAllThatTookIt(t *testing.T) {
	acked := time.Unix(1000, 0)
	var taken []time.Time
	for i := range 100 {
		taken = append(taken, acked.Add(time.Duration(99-i)*time.Millisecond))
	}
	taken[7] = acked.Add(-time.Second) // held before the operator heard of it
	var c Change
	c.among(taken, acked)
	assert.DeepEqual(t, c, Change{P50Ms: 49, P99Ms: 99, SlowMs: 99, Held: 100})
	c.among(nil, acked)
	assert.DeepEqual(t, c, Change{})
}
