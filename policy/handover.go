package policy

// Accounting between two processes of one gateway while one replaces the other. Each tells the other what it
// draws on the quotas and budgets that both hold.

// PeerDraw is what the other process of the gateway has drawn.
type PeerDraw struct {
	Customer     uint64  `json:"customer"`
	Plan         int     `json:"plan"`
	GatewayCount int     `json:"spread"`
	Units        float64 `json:"units,omitempty"`   // of a request's first attempt, or the difference that settles it
	Settlement   bool    `json:"settles,omitempty"` // Units is such a difference; ceilings ignore it
	Server       Server  `json:"server,omitempty"`  // that an attempt went to; 0 for none
}

// RecordPeerDraw records a draw of the other process. The shared bucket is left alone: the counter reports the use
// like that of any other gateway.
func (g *Gateway) RecordPeerDraw(now Micros, draw PeerDraw) {
	if draw.Plan < 0 || draw.Plan >= len(g.plans) {
		return
	}
	g.now = now
	cust := g.customerFor(Request{Customer: draw.Customer, Plan: draw.Plan, GatewayCount: draw.GatewayCount})
	g.refill(cust)
	cust.tokens -= draw.Units
	if !draw.Settlement && cust.plan.CeilingRate > 0 {
		cust.ceilingTokens -= draw.Units
	}
	if srv := g.byID[draw.Server]; srv != nil {
		g.recordSend(srv)
	}
}

// InheritStart takes over the start time of the process that this one replaces, so that customers that neither has
// met have had as long to fill their buckets.
func (g *Gateway) InheritStart(s Snapshot) { g.startedAt = min(g.startedAt, s.StartedAt) }

// PrepareHandover prepares a snapshot for a process that runs beside the one it was taken of: use that the old process
// has not reported to the counter stays its own to report. It returns the requests that the snapshot has
// drawn units for, though they are not sent.
func (s *Snapshot) PrepareHandover() (drawn []uint32) {
	for i := range s.Customers {
		s.Customers[i].Unreported = 0
	}
	for _, rec := range s.Requests {
		if rec.Admitted && !rec.Sent && !rec.Done {
			drawn = append(drawn, rec.ID)
		}
	}
	return drawn
}
