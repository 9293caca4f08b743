package policy

// Accounting between two processes of one gateway while one replaces the other. Each tells the other what it
// draws on the quotas and budgets that both hold.

// Draw is what the other process of the gateway has drawn.
type Draw struct {
	Customer uint64  `json:"customer"`
	Plan     int     `json:"plan"`
	Spread   int     `json:"spread"`
	Units    float64 `json:"units,omitempty"`   // of a request's first attempt, or the difference that settles it
	Settles  bool    `json:"settles,omitempty"` // Units is such a difference; ceilings ignore it
	Server   Server  `json:"server,omitempty"`  // that an attempt went to; 0 for none
}

// Beside records a draw of the other process. The shared bucket is left alone: the counter reports the use
// like that of any other gateway.
func (g *Gateway) Beside(now Micros, draw Draw) {
	if draw.Plan < 0 || draw.Plan >= len(g.plans) {
		return
	}
	g.now = now
	cust := g.customerFor(Request{Customer: draw.Customer, Plan: draw.Plan, Spread: draw.Spread})
	g.refill(cust)
	cust.tokens -= draw.Units
	if !draw.Settles && cust.plan.CeilingRate > 0 {
		cust.ceilingTokens -= draw.Units
	}
	if srv := g.byID[draw.Server]; srv != nil {
		g.recordSend(srv)
	}
}

// Joined takes over the start time of the process that this one replaces, so that customers that neither has
// met have had as long to fill their buckets.
func (g *Gateway) Joined(s Snapshot) { g.startedAt = min(g.startedAt, s.Born) }

// Handed prepares a snapshot for a process that runs beside the one it was taken of: use that the old process
// has not reported to the counter stays its own to report. It returns the requests that the snapshot has
// drawn units for, though they are not sent.
func (s *Snapshot) Handed() (drawn []uint32) {
	for i := range s.Clients {
		s.Clients[i].Untold = 0
	}
	for _, rec := range s.Requests {
		if rec.Admitted && !rec.Sent && !rec.Done {
			drawn = append(drawn, rec.ID)
		}
	}
	return drawn
}
