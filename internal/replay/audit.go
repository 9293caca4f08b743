package replay

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/policy"
)

// Named is the capture of one gatekeeper, which may cover several runs.
type Named struct {
	Name string
	From Source
}

// Merged is a sequence of the records of several gatekeepers' captures, ordered by time.
type Merged struct {
	sources []*upcoming
	Notes   []string // gaps and truncated segments, each with the name of its capture
}

// upcoming is a capture with its next record.
type upcoming struct {
	Named
	record *capturepb.Record
	at     policy.Micros
	ended  bool
}

// Merge merges captures. Their times must come from synchronized clocks.
func Merge(captures ...Named) *Merged {
	m := &Merged{}
	for _, c := range captures {
		m.sources = append(m.sources, &upcoming{Named: c})
	}
	return m
}

// Next returns the earliest remaining record, its time, and the name of its capture. Among
// records of the same time, the capture that was passed to Merge first comes first. The
// record is valid until the next call. The error is io.EOF after the last record.
func (m *Merged) Next() (name string, r *capturepb.Record, at policy.Micros, err error) {
	var first *upcoming
	for _, s := range m.sources {
		if s.record == nil && !s.ended {
			if err := m.fill(s); err != nil {
				return s.Name, nil, 0, err
			}
		}
		if !s.ended && (first == nil || s.at < first.at) {
			first = s
		}
	}
	if first == nil {
		return "", nil, 0, io.EOF
	}
	r, first.record = first.record, nil
	return first.Name, r, first.at, nil
}

// fill reads the next record of a capture.
func (m *Merged) fill(s *upcoming) error {
	for {
		r, at, err := s.From.Next()
		var gap *capture.Gap
		var cut *capture.Cut
		switch {
		case errors.Is(err, io.EOF):
			s.ended = true
			return nil
		case errors.As(err, &gap), errors.As(err, &cut):
			m.Notes = append(m.Notes, s.Name+": "+err.Error())
			continue
		case err != nil:
			return fmt.Errorf("%s: %w", s.Name, err)
		}
		s.record, s.at = r, at
		return nil
	}
}

// bucket is a token bucket that allows its level to become negative, to measure by how much
// a limit was exceeded.
type bucket struct {
	rate, burst float64 // units per second, and units
	level       float64
	at          policy.Micros
	worst       float64 // the largest deficit in units, 0 if there was none
}

// take removes units at a time.
func (b *bucket) take(units float64, at policy.Micros) {
	b.level = min(b.level+b.rate*float64(at-b.at)/1e6, b.burst) - units
	b.at = at
	b.worst = max(b.worst, -b.level)
}

// Account sums up one customer's requests to all gatekeepers.
type Account struct {
	Customer       uint64
	Plan           int
	Requests       int
	Sent, Refused  int     // requests sent to a worker, and requests refused
	Units          float64 // units of the requests sent
	OverQuota      float64 // largest excess over the quota's rate and burst, in units
	HasCeiling     bool
	OverCeiling    float64 // largest excess over the ceiling's rate and burst, in units
	CeilingSlack   float64 // excess over the ceiling that the plan allows, in units
	quota, ceiling bucket
}

// followed is an open request of an audit.
type followed struct {
	account *Account
	units   float64
	sent    bool
}

// Audit adds up the units sent per customer, over all gatekeepers whose captures are
// merged, and compares them with quota and ceiling. The estimated units of a request count
// when its first attempt is sent, and are corrected to the actual units by its answer. The
// accounts are ordered by excess, the largest first.
func Audit(m *Merged, key *capture.Key) ([]*Account, error) {
	dec := capture.NewDecoder(key)
	accounts := map[uint64]*Account{}
	open := map[string]map[uint32]*followed{}
	settings := map[string]policy.Settings{}
	for {
		name, r, at, err := m.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		switch r.GetKind() {
		case capturepb.Kind_BEGAN:
			s, err := dec.Settings(r)
			if err != nil {
				return nil, err
			}
			settings[name], open[name] = s, map[uint32]*followed{}
		case capturepb.Kind_REQUESTED:
			q := dec.Request(r)
			plans := settings[name].Plans
			if open[name] == nil || q.Plan < 0 || q.Plan >= len(plans) {
				continue
			}
			a := accounts[q.Customer]
			if a == nil {
				a = newAccount(q, plans[q.Plan], at)
				accounts[q.Customer] = a
			}
			a.Requests++
			open[name][q.ID] = &followed{account: a, units: q.Units}
		case capturepb.Kind_SEND:
			if f := open[name][r.GetId()]; f != nil && !f.sent {
				f.sent = true
				f.account.Sent++
				f.account.use(f.units, at)
			}
		case capturepb.Kind_ENDED:
			f := open[name][r.GetId()]
			if f != nil && r.GetSettled() > 0 && policy.Status(r.GetStatus()) == policy.OK && settings[name].Settles {
				f.account.use(r.GetSettled()-f.units, at)
				f.units = r.GetSettled()
			}
			if f != nil && r.GetTerminal() {
				delete(open[name], r.GetId())
			}
		case capturepb.Kind_REFUSE:
			if f := open[name][r.GetId()]; f != nil {
				f.account.Refused++
			}
		}
	}
	all := slices.Collect(maps.Values(accounts))
	slices.SortFunc(all, func(a, b *Account) int {
		return cmp.Or(cmp.Compare(b.OverCeiling, a.OverCeiling), cmp.Compare(b.OverQuota, a.OverQuota), cmp.Compare(a.Customer, b.Customer))
	})
	return all, nil
}

// newAccount returns the account of a customer whose first request arrives, with full buckets.
func newAccount(q policy.Request, p policy.Plan, at policy.Micros) *Account {
	return &Account{Customer: q.Customer, Plan: q.Plan, HasCeiling: p.CeilingRate > 0, CeilingSlack: p.CeilingSlack,
		quota:   bucket{rate: p.Rate, burst: p.Burst, level: p.Burst, at: at},
		ceiling: bucket{rate: p.CeilingRate, burst: p.CeilingBurst, level: p.CeilingBurst, at: at}}
}

// use charges units to the account.
func (a *Account) use(units float64, at policy.Micros) {
	a.Units += units
	a.quota.take(units, at)
	a.OverQuota = a.quota.worst
	if a.HasCeiling {
		a.ceiling.take(units, at)
		a.OverCeiling = a.ceiling.worst
	}
}

// WriteAccounts prints accounts as a table, in the given order.
func WriteAccounts(to io.Writer, all []*Account) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "customer\tplan\trequests\tsent\trefused\tunits\tover quota\tover ceiling\tallowed slack\t")
	for _, a := range all {
		ceiling, slack := "-", "-"
		if a.HasCeiling {
			ceiling, slack = fmt.Sprintf("%.2f", a.OverCeiling), fmt.Sprintf("%.2f", a.CeilingSlack)
		}
		fmt.Fprintf(w, "%016x\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%s\t%s\t\n", a.Customer, a.Plan, a.Requests, a.Sent, a.Refused, a.Units,
			a.OverQuota, ceiling, slack)
	}
	return w.Flush()
}
