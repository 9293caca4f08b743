package capture

import (
	"encoding/json"
	"fmt"

	"foxwood/capture/capturepb"
	"foxwood/policy"
)

// Decoder turns records back into what the module was told, with a capture's key.
type Decoder struct{ key *Key }

// NewDecoder makes a decoder.
func NewDecoder(key *Key) *Decoder { return &Decoder{key: key} }

// Settings is what a BEGAN or CLASSES record holds.
func (*Decoder) Settings(r *capturepb.Record) (s policy.Settings, err error) {
	if err := json.Unmarshal(r.GetSettings(), &s); err != nil {
		return s, fmt.Errorf("capture: settings: %w", err)
	}
	return s, nil
}

// State is what a CHECKPOINT or RECOVERED record holds.
func (d *Decoder) State(r *capturepb.Record) (s policy.Snapshot, err error) {
	if err := json.Unmarshal(r.GetSettings(), &s); err != nil {
		return s, fmt.Errorf("capture: checkpoint: %w", err)
	}
	return d.key.showState(s), nil
}

// Beside is what a BESIDE record holds.
func (d *Decoder) Beside(r *capturepb.Record) policy.Draw {
	return policy.Draw{Customer: d.key.show(r.GetCustomer(), ofCustomers), Plan: int(r.GetPlan()), Spread: int(r.GetSpread()),
		Units: r.GetUnits(), Settles: r.GetSettles(), Server: policy.Server(r.GetServer())}
}

// Request is what a REQUESTED record holds.
func (d *Decoder) Request(r *capturepb.Record) policy.Request {
	return policy.Request{ID: r.GetId(), Class: int(r.GetClass()), Plan: int(r.GetPlan()),
		Customer: d.key.show(r.GetCustomer(), ofCustomers), Left: r.GetLeft(), Units: r.GetUnits(),
		Spread: int(r.GetSpread()), Again: r.GetAgain(), Filling: r.GetFilling()}
}

// Outcome is what an ENDED record holds.
func (*Decoder) Outcome(r *capturepb.Record) policy.Outcome {
	return policy.Outcome{ID: r.GetId(), Latency: r.GetLatency(), Terminal: r.GetTerminal(), Status: policy.Status(r.GetStatus()),
		Settled: r.GetSettled(), Used: int(r.GetUsed()), Attempt: int(r.GetAttempt()), Server: policy.Server(r.GetServer()),
		Load: r.GetLoad()}
}

// Name is the counter name of a COUNT or COUNTED record.
func (d *Decoder) Name(r *capturepb.Record) uint64 { return d.key.show(r.GetName(), ofNames) }

// Entries is what a LISTED record holds.
func (*Decoder) Entries(r *capturepb.Record) []policy.Entry {
	all := make([]policy.Entry, 0, len(r.GetEntries()))
	for _, e := range r.GetEntries() {
		all = append(all, policy.Entry{Server: policy.Server(e.GetServer()), State: policy.State(e.GetState()), Weight: e.GetWeight(),
			Zone: int(e.GetZone()), Cell: int(e.GetCell()), ReadyAt: e.GetReadyAt()})
	}
	return all
}
