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

// NamedSource is the capture of one gatekeeper, which may cover several runs.
type NamedSource struct {
	Name string
	From Source
}

// MergedCaptures is a sequence of the records of several gatekeepers' captures, ordered by time.
type MergedCaptures struct {
	sources []*mergeSource
	Notes   []string // gaps and truncated segments, each with the name of its capture
}

// mergeSource is a capture with its next record.
type mergeSource struct {
	NamedSource
	record *capturepb.Record
	at     policy.Micros
	ended  bool
}

// Merge merges captures. Their times must come from synchronized clocks.
func Merge(captures ...NamedSource) *MergedCaptures {
	m := &MergedCaptures{}
	for _, c := range captures {
		m.sources = append(m.sources, &mergeSource{NamedSource: c})
	}
	return m
}

// Next returns the earliest remaining record, its time, and the name of its capture. Among
// records of the same time, the capture that was passed to Merge first comes first. The
// record is valid until the next call. The error is io.EOF after the last record.
func (m *MergedCaptures) Next() (name string, r *capturepb.Record, at policy.Micros, err error) {
	var first *mergeSource
	for _, s := range m.sources {
		if s.record == nil && !s.ended {
			if err := m.readNext(s); err != nil {
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

// readNext reads the next record of a capture.
func (m *MergedCaptures) readNext(s *mergeSource) error {
	for {
		r, at, err := s.From.Next()
		var gap *capture.GapError
		var cut *capture.TruncatedError
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
	updated     policy.Micros
	maxDeficit  float64 // the largest deficit in units, 0 if there was none
}

// take removes units at a time.
func (b *bucket) take(units float64, at policy.Micros) {
	b.level = min(b.level+b.rate*float64(at-b.updated)/1e6, b.burst) - units
	b.updated = at
	b.maxDeficit = max(b.maxDeficit, -b.level)
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

// auditedRequest is an open request of an audit.
type auditedRequest struct {
	account *Account
	units   float64
	sent    bool
}

// Audit adds up the units sent per customer, over all gatekeepers whose captures are
// merged, and compares them with quota and ceiling. The estimated units of a request count
// when its first attempt is sent, and are corrected to the actual units by its answer. The
// accounts are ordered by excess, the largest first.
func Audit(m *MergedCaptures, key *capture.Key) ([]*Account, error) {
	decoder := capture.NewDecoder(key)
	accounts := map[uint64]*Account{}
	openRequests := map[string]map[uint32]*auditedRequest{}
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
			s, err := decoder.Settings(r)
			if err != nil {
				return nil, err
			}
			settings[name], openRequests[name] = s, map[uint32]*auditedRequest{}
		case capturepb.Kind_REQUESTED:
			decoded := decoder.Request(r)
			plans := settings[name].Plans
			if openRequests[name] == nil || decoded.Plan < 0 || decoded.Plan >= len(plans) {
				continue
			}
			account := accounts[decoded.Customer]
			if account == nil {
				account = newAccount(decoded, plans[decoded.Plan], at)
				accounts[decoded.Customer] = account
			}
			account.Requests++
			openRequests[name][decoded.ID] = &auditedRequest{account: account, units: decoded.Units}
		case capturepb.Kind_SEND:
			if request := openRequests[name][r.GetId()]; request != nil && !request.sent {
				request.sent = true
				request.account.Sent++
				request.account.charge(request.units, at)
			}
		case capturepb.Kind_ENDED:
			request := openRequests[name][r.GetId()]
			if request != nil && r.GetSettled() > 0 && policy.Status(r.GetStatus()) == policy.OK && settings[name].SettlesUnits {
				request.account.charge(r.GetSettled()-request.units, at)
				request.units = r.GetSettled()
			}
			if request != nil && r.GetTerminal() {
				delete(openRequests[name], r.GetId())
			}
		case capturepb.Kind_REFUSE:
			if request := openRequests[name][r.GetId()]; request != nil {
				request.account.Refused++
			}
		}
	}
	all := slices.Collect(maps.Values(accounts))
	slices.SortFunc(all, func(account, b *Account) int {
		return cmp.Or(cmp.Compare(b.OverCeiling, account.OverCeiling), cmp.Compare(b.OverQuota, account.OverQuota), cmp.Compare(account.Customer, b.Customer))
	})
	return all, nil
}

// newAccount returns the account of a customer whose first request arrives, with full buckets.
func newAccount(request policy.Request, plan policy.Plan, at policy.Micros) *Account {
	return &Account{Customer: request.Customer, Plan: request.Plan, HasCeiling: plan.CeilingRate > 0, CeilingSlack: plan.CeilingTolerance,
		quota:   bucket{rate: plan.Rate, burst: plan.Burst, level: plan.Burst, updated: at},
		ceiling: bucket{rate: plan.CeilingRate, burst: plan.CeilingBurst, level: plan.CeilingBurst, updated: at}}
}

// charge charges units to the account.
func (a *Account) charge(units float64, at policy.Micros) {
	a.Units += units
	a.quota.take(units, at)
	a.OverQuota = a.quota.maxDeficit
	if a.HasCeiling {
		a.ceiling.take(units, at)
		a.OverCeiling = a.ceiling.maxDeficit
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
