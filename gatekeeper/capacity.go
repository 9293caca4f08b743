package gatekeeper

// Concurrency returns the decision module's limit on concurrent executions, the number of
// executions that count against it, and the number of requests that wait for it. It is a
// measure of how loaded the gatekeeper is. All three are 0 if the module has no such limit.
func (g *Gatekeeper) Concurrency() (bound float64, out, held int) {
	if m, ok := g.module.(interface{ Occupancy() (float64, int, int) }); ok {
		return m.Occupancy()
	}
	return 0, 0, 0
}

// Elapsed returns how long an execution has been running, in milliseconds.
func (g *Gatekeeper) Elapsed(x *Execution) float64 { return g.clock.Now() - x.started }
