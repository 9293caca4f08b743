package capture

import (
	"encoding/json"
	"fmt"

	"foxwood/capture/capturepb"
	"foxwood/policy"
)

// Decoder converts records back into the arguments of the decision module's calls. It
// uses the capture's key to restore customer ids and counter names.
type Decoder struct{ key *Key }

// NewDecoder creates a Decoder.
func NewDecoder(key *Key) *Decoder { return &Decoder{key: key} }

// Settings returns the settings of a BEGAN or CLASSES record.
func (*Decoder) Settings(r *capturepb.Record) (s policy.Settings, err error) {
	if err := json.Unmarshal(r.GetSettings(), &s); err != nil {
		return s, fmt.Errorf("capture: settings of a record are no valid JSON object: %w", err)
	}
	return s, nil
}

// State returns the module's state of a CHECKPOINT or RECOVERED record.
func (d *Decoder) State(r *capturepb.Record) (s policy.Snapshot, err error) {
	if err := json.Unmarshal(r.GetSettings(), &s); err != nil {
		return s, fmt.Errorf("capture: state of a record is no valid JSON object: %w", err)
	}
	return d.key.decryptState(s), nil
}

// PeerDraw returns the quota draw of a BESIDE record.
func (d *Decoder) PeerDraw(r *capturepb.Record) policy.PeerDraw {
	return policy.PeerDraw{Customer: d.key.decryptID(r.GetCustomer(), customerTweak), Plan: int(r.GetPlan()), GatewayCount: int(r.GetSpread()),
		Units: r.GetUnits(), Settlement: r.GetSettles(), Server: policy.Server(r.GetServer())}
}

// Request returns the request of a REQUESTED record.
func (d *Decoder) Request(r *capturepb.Record) policy.Request {
	return policy.Request{ID: r.GetId(), Class: int(r.GetClass()), Plan: int(r.GetPlan()),
		Customer: d.key.decryptID(r.GetCustomer(), customerTweak), TimeLeft: r.GetLeft(), Units: r.GetUnits(),
		GatewayCount: int(r.GetSpread()), IsRetry: r.GetAgain(), BodyPending: r.GetFilling()}
}

// Outcome returns the outcome of an ENDED record.
func (*Decoder) Outcome(r *capturepb.Record) policy.Outcome {
	return policy.Outcome{ID: r.GetId(), Latency: r.GetLatency(), Terminal: r.GetTerminal(), Status: policy.Status(r.GetStatus()),
		ActualUnits: r.GetSettled(), QuotaUsed: int(r.GetUsed()), Attempt: int(r.GetAttempt()), Server: policy.Server(r.GetServer()),
		LoadReport: r.GetLoad()}
}

// CounterName returns the counter name of a COUNT or COUNTED record.
func (d *Decoder) CounterName(r *capturepb.Record) uint64 {
	return d.key.decryptID(r.GetName(), counterTweak)
}

// Workers returns the workers of a LISTED record.
func (*Decoder) Workers(r *capturepb.Record) []policy.Entry {
	all := make([]policy.Entry, 0, len(r.GetEntries()))
	for _, e := range r.GetEntries() {
		all = append(all, policy.Entry{Server: policy.Server(e.GetServer()), State: policy.State(e.GetState()), Weight: e.GetWeight(),
			Zone: int(e.GetZone()), Cell: int(e.GetCell()), ReadyAt: e.GetReadyAt()})
	}
	return all
}
