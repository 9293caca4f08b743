package shedding

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"foxwood/policy"
)

// Level is the shedding level that all gatekeepers apply. A higher number replaces a lower one.
type Level struct {
	Number    uint64              `cbor:"1,keyasint,omitempty"` // the term of the duty, and a counter
	Threshold policy.ShedPosition `cbor:"2,keyasint,omitempty"`
	Rotation  uint64              `cbor:"3,keyasint,omitempty"` // number of rotations of the callers' hash
	Key       uint64              `cbor:"4,keyasint,omitempty"` // of the callers' hash

	NeverShedBelow int     `cbor:"5,keyasint,omitempty"` // tenants with a priority below this number are never shed
	MinServedShare float64 `cbor:"6,keyasint,omitempty"` // share of each tier that is never shed
	CallerHeader   string  `cbor:"7,keyasint,omitempty"` // request header that names a tenant's caller

	Version    uint64 `cbor:"8,keyasint,omitempty"` // version of the configuration whose routes RouteCosts refers to
	RouteCosts []byte `cbor:"9,keyasint,omitempty"` // cost of a request in doublings of a millisecond, by route

	Reason string `cbor:"10,keyasint,omitempty"` // what caused the level, in words
	// Pressure is the current pressure of the cluster; it changes without a new number.
	Pressure float64 `cbor:"11,keyasint,omitempty"`
	// Capacity is the capacity estimated by the holder, for the next holder; it changes without a new number
	// too.
	Capacity float64 `cbor:"12,keyasint,omitempty"`
	// ServiceThresholds are the thresholds of services that lack capacity. They apply in addition to Threshold, which is for
	// the resources that all services share. A map is never changed; each number has its own.
	ServiceThresholds map[string]policy.ShedPosition `cbor:"13,keyasint,omitempty"`
}

// ThresholdFor returns the threshold that applies to a service's requests.
func (l Level) ThresholdFor(service string) policy.ShedPosition {
	if threshold, ok := l.ServiceThresholds[service]; ok {
		return min(threshold, l.Threshold)
	}
	return l.Threshold
}

// Open reports whether no request is refused.
func (l Level) Open() bool { return l.Threshold >= policy.ShedNothing && len(l.ServiceThresholds) == 0 }

// Terms returns how requests are positioned on the priority scale under this level.
func (l Level) Terms() policy.ShedTerms {
	return policy.ShedTerms{Key: l.Key, Turn: l.Rotation, NeverBelowRank: l.NeverShedBelow, KeptFraction: l.MinServedShare}
}

// Report is a gatekeeper's report about itself.
type Report struct {
	Node           string                   `cbor:"1,keyasint,omitempty"`
	Incarnation    uint64                   `cbor:"2,keyasint,omitempty"`
	Sequence       uint64                   `cbor:"3,keyasint,omitempty"` // sequence number within this incarnation
	Pressure       float64                  `cbor:"4,keyasint,omitempty"`
	Reason         string                   `cbor:"5,keyasint,omitempty"` // the cause of the pressure
	Load           map[uint32]float32       `cbor:"6,keyasint,omitempty"`
	AnswerRate     float64                  `cbor:"7,keyasint,omitempty"` // workers' answers per second
	Level          Level                    `cbor:"8,keyasint,omitempty"` // the level it applies, for a holder that knows none
	Version        uint64                   `cbor:"9,keyasint,omitempty"`
	RouteCostsMs   map[int]float32          `cbor:"10,keyasint,omitempty"` // milliseconds per request by route
	Forwarded      bool                     `cbor:"11,keyasint,omitempty"` // passed on by a registry that doesn't hold the duty
	SharedPressure float64                  `cbor:"12,keyasint,omitempty"` // the part of Pressure that no service's lack of capacity explains
	Services       map[string]ServiceReport `cbor:"13,keyasint,omitempty"` // by service; this load is not included in Load
}

// ServiceReport is a gatekeeper's report about one service.
type ServiceReport struct {
	Pressure   float64            `cbor:"1,keyasint,omitempty"`
	Load       map[uint32]float32 `cbor:"2,keyasint,omitempty"`
	AnswerRate float64            `cbor:"3,keyasint,omitempty"`
}

const (
	reportTimeoutMs = 2200.0  // time for which a report counts: gatekeepers without pressure report once a second
	initialGatherMs = 1500.0  // time after winning the duty, before any change
	rotationMs      = 60000.0 // time between rotations of the callers' hash
	stepIntervalMs  = 100.0   // time between steps
	costHysteresis  = 1.25    // factor beyond its doubling that a route's cost must move to change it
	counterBits     = 32      // bits of the counter in a level's number
)

// receivedReport is a gatekeeper's newest report.
type receivedReport struct {
	Report
	receivedAt float64
}

// Holder computes the level at the registry that holds the shedding duty. The other registries keep one
// too and record the levels they pass on, in case they win the duty.
type Holder struct {
	// NeverShedBelow, MinServedShare and CallerHeader are settings of this node: what is never shed, and the header that names
	// callers, as in Level.
	NeverShedBelow int
	MinServedShare float64
	CallerHeader   string
	// SingleThreshold selects one threshold for all services, set by the pressure that most requests meet at theirs.
	SingleThreshold bool

	level             Level
	term              uint64
	counter           uint64
	active            bool
	beganAt           float64
	steppedAt         float64
	rotatedAt         float64
	changedAt         float64 // when the threshold was last changed
	resumed           bool    // the controllers continue from the level of the last holder
	reports           map[string]*receivedReport
	load              Load
	served            float64
	controller        Controller
	services          map[string]*serviceState
	overrideThreshold policy.ShedPosition // by an operator's order
	overrideUntil     float64
	pressedCount      int
	behind            bool   // gatekeepers apply a higher number than ours
	levelSent         bool   // a level of this term was sent
	counterStart      uint64 // of the counter in each term
}

// serviceState is what is known about one service.
type serviceState struct {
	controller Controller
	load       Load
	served     float64
	pressures  []float64 // of the gatekeepers that send requests to it
}

// NewHolder returns a Holder. The caller draws the key at random; it is used if no other one is known.
// The counter starts at a value derived from the key. Otherwise, after the core has lost its terms, a
// number could be issued again that a partitioned gatekeeper associates with a different level.
func NewHolder(key uint64) *Holder {
	return &Holder{counterStart: key >> 34, level: Level{Threshold: policy.ShedNothing, Key: key}, reports: map[string]*receivedReport{}, load: Load{},
		services: map[string]*serviceState{}}
}

// Level returns the current level.
func (h *Holder) Level() Level { return h.level }

// ChangedAt returns when the threshold was last changed.
func (h *Holder) ChangedAt() float64 { return h.changedAt }

// AdmittedRate returns the admitted rate in requests per second, 0 for no limit.
func (h *Holder) AdmittedRate() float64 { return h.controller.Rate() }

// Load returns the reported load.
func (h *Holder) Load() Load { return h.load }

// ServiceRates returns the admitted requests per second of the services that are limited.
func (h *Holder) ServiceRates() map[string]float64 {
	rates := map[string]float64{}
	for name, state := range h.services {
		if rate := state.controller.Rate(); rate > 0 {
			rates[name] = math.Round(rate)
		}
	}
	return rates
}

// Observe records the level of another holder.
func (h *Holder) Observe(level Level) {
	if !h.active && level.Number > h.level.Number {
		h.level = level
	}
}

// Begin starts a term of the duty. The levels received from other holders stay in force until enough
// is known to change them: a new holder must not stop shedding by its start.
func (h *Holder) Begin(now float64, term uint64) {
	h.active, h.term, h.counter, h.beganAt, h.rotatedAt = true, term, h.counterStart, now, now
	h.resumed, h.levelSent = false, false
	clear(h.reports)
	h.load, h.served = Load{}, 0
}

// End ends the term.
func (h *Holder) End() { h.active, h.overrideUntil = false, 0 }

// Receive handles a report and returns whether it was accepted. A report older than the last one of its
// incarnation is ignored.
func (h *Holder) Receive(now float64, report Report) bool {
	previous := h.reports[report.Node]
	if previous != nil && previous.Incarnation == report.Incarnation && report.Sequence <= previous.Sequence {
		return false
	}
	if !isValid(report) {
		return false
	}
	switch {
	case report.Level.Number <= h.level.Number:
	case !h.active || now-h.beganAt < initialGatherMs:
		pressure := h.level.Pressure
		h.level = report.Level
		h.level.Pressure = pressure
	default: // after a loss of the whole core, terms may start over: our number must still be higher
		h.level.Number, h.behind = report.Level.Number, true
	}
	h.reports[report.Node] = &receivedReport{Report: report, receivedAt: now}
	return true
}

// isValid reports whether all numbers of a report are finite and not negative, and all bins are on the
// priority scale.
func isValid(report Report) bool {
	valid := func(value float64) bool { return value >= 0 && !math.IsInf(value, 0) && !math.IsNaN(value) }
	loads := func(load map[uint32]float32) bool {
		for bin, value := range load {
			if !valid(float64(value)) || bin >= policy.BinOf(policy.ShedNothing) {
				return false
			}
		}
		return true
	}
	for _, part := range report.Services {
		if !valid(part.Pressure) || !valid(part.AnswerRate) || !loads(part.Load) {
			return false
		}
	}
	return valid(report.Pressure) && valid(report.SharedPressure) && valid(report.AnswerRate) && loads(report.Load)
}

// Override applies an operator's threshold for durationMs milliseconds; 0 removes it.
func (h *Holder) Override(now float64, threshold policy.ShedPosition, durationMs float64) {
	h.overrideThreshold, h.overrideUntil = threshold, now+durationMs
}

// Step updates the level by the reports and returns whether it has changed. members is the number of
// gatekeepers in the member list.
func (h *Holder) Step(now float64, members int) bool {
	if !h.active || now-h.steppedAt < stepIntervalMs {
		return false
	}
	h.steppedAt = now
	for id, report := range h.reports {
		if now-report.receivedAt > reportTimeoutMs {
			delete(h.reports, id)
		}
	}
	h.sumReports()
	pressure, shared := h.pressures(members)
	h.level.Pressure = pressure
	if h.SingleThreshold {
		shared = pressure
	}
	if now-h.beganAt < initialGatherMs { // no new level is sent yet: it could admit requests that are to be refused
		return false
	}
	if !h.resumed {
		h.resumed = true
		h.controller.Resume(now, h.level.Threshold, h.load, h.level.Capacity)
		if h.level.Threshold >= policy.ShedNothing {
			h.controller = Controller{}
		}
		for name, threshold := range h.level.ServiceThresholds {
			state := h.service(name)
			state.controller.Resume(now, threshold, state.load, 0)
		}
	}
	if h.rotate(now) { // a rotation changes every caller's position, so load smoothed by the old positions tells nothing
		return true
	}
	threshold := h.controller.Step(now, shared, h.load, h.served, policy.ShedNothing)
	h.level.Capacity = h.controller.Rate()
	thresholds, pressedServices := h.stepServices(now, threshold)
	reason := h.reason(members) + pressedServices
	if now < h.overrideUntil {
		threshold, thresholds, reason = h.overrideThreshold, nil, "by an operator's order"
	}
	changed := h.updateCosts()
	if threshold != h.level.Threshold || !maps.Equal(thresholds, h.level.ServiceThresholds) {
		h.level.Threshold, h.level.ServiceThresholds, h.level.Reason, h.changedAt, changed = threshold, thresholds, reason, now, true
	}
	if level := &h.level; level.NeverShedBelow != h.NeverShedBelow || level.MinServedShare != h.MinServedShare || level.CallerHeader != h.CallerHeader {
		level.NeverShedBelow, level.MinServedShare, level.CallerHeader, changed = h.NeverShedBelow, h.MinServedShare, h.CallerHeader, true
	}
	if changed || h.behind || !h.levelSent {
		h.behind = false
		h.assignNumber()
		return true
	}
	return false
}

// service returns the state of a service and creates it if necessary.
func (h *Holder) service(name string) *serviceState {
	state := h.services[name]
	if state == nil {
		state = &serviceState{load: Load{}}
		h.services[name] = state
	}
	return state
}

// stepServices updates the thresholds of the services, given the one that all share. It returns the
// services' thresholds and a description of the services under pressure.
func (h *Holder) stepServices(now float64, sharedThreshold policy.ShedPosition) (thresholds map[string]policy.ShedPosition, pressedServices string) {
	for _, name := range slices.Sorted(maps.Keys(h.services)) {
		state := h.services[name]
		pressure := majorityValue(state.pressures, len(state.pressures))
		threshold := policy.ShedNothing
		if !h.SingleThreshold {
			threshold = state.controller.Step(now, pressure, state.load, state.served, sharedThreshold)
		}
		if threshold < policy.ShedNothing {
			if thresholds == nil {
				thresholds = map[string]policy.ShedPosition{}
			}
			thresholds[name] = threshold
		}
		if pressure >= pressed && !h.SingleThreshold {
			pressedServices += fmt.Sprintf(", %s %.2f", name, pressure)
		}
		if len(state.pressures) == 0 && state.controller.Rate() == 0 {
			delete(h.services, name)
		}
	}
	return thresholds, pressedServices
}

// assignNumber gives the level its next number.
func (h *Holder) assignNumber() {
	h.counter, h.levelSent = h.counter+1, true
	h.level.Number = max(h.term<<counterBits|h.counter, h.level.Number+1)
}

// rotate rotates the callers' hash if it is due. That is never sooner than rotationMs after the last
// rotation, even if the holder changes, since a new holder counts from the start of its term. No
// caller is therefore moved twice in that time.
func (h *Holder) rotate(now float64) bool {
	if now-h.rotatedAt < rotationMs {
		return false
	}
	h.rotatedAt = now
	h.level.Rotation++
	h.assignNumber()
	h.load.Rotate(1)
	return true
}

// sumReports adds up the reported loads, which the gatekeepers have smoothed.
func (h *Holder) sumReports() {
	h.load, h.served = Load{}, 0
	for _, state := range h.services {
		state.load, state.served, state.pressures = Load{}, 0, state.pressures[:0]
	}
	for _, id := range slices.Sorted(maps.Keys(h.reports)) {
		report := h.reports[id]
		rotations := h.level.Rotation - report.Level.Rotation
		h.load.add(report.Load, rotations)
		h.served += report.AnswerRate
		for name, part := range report.Services {
			state := h.service(name)
			state.load.add(part.Load, rotations)
			h.load.add(part.Load, rotations)
			state.served += part.AnswerRate
			state.pressures = append(state.pressures, part.Pressure)
		}
	}
}

// pressures returns the pressure that more than half of the gatekeepers reach, in total and for what
// their services share: the overload of a single gatekeeper is not the cluster's. Members without a
// report have none.
func (h *Holder) pressures(members int) (all, shared float64) {
	var totals, sharedPressures []float64
	h.pressedCount = 0
	for _, report := range h.reports {
		totals, sharedPressures = append(totals, report.Pressure), append(sharedPressures, report.SharedPressure)
		if report.Pressure >= pressed {
			h.pressedCount++
		}
	}
	return majorityValue(totals, members), majorityValue(sharedPressures, members)
}

// majorityValue returns the highest value that more than half of the members reach.
func majorityValue(values []float64, members int) float64 {
	values = slices.Clone(values)
	slices.SortFunc(values, func(a, b float64) int { return cmp.Compare(b, a) })
	index := max(members, len(values)) / 2
	if index >= len(values) {
		return 0
	}
	return values[index]
}

// reason describes what caused the level.
func (h *Holder) reason(members int) string {
	causes := map[string]int{}
	for _, report := range h.reports {
		if report.Pressure >= pressed {
			causes[report.Reason]++
		}
	}
	description := ""
	for _, cause := range slices.Sorted(maps.Keys(causes)) {
		description += fmt.Sprintf(", %s at %d", cause, causes[cause])
	}
	return fmt.Sprintf("pressure %.2f, %d of %d gatekeepers pressed%s", h.level.Pressure, h.pressedCount, max(members, len(h.reports)), description)
}

// updateCosts updates the cost per request of each route, which orders routes of the same priority. It
// is left unchanged while requests are refused: a route that changed its tier then would be preferred
// to others.
func (h *Holder) updateCosts() bool {
	if !h.level.Open() {
		return false
	}
	edition, maxRoute := uint64(0), -1
	for _, report := range h.reports {
		edition = max(edition, report.Version)
	}
	if edition == 0 {
		return false
	}
	costsByRoute := map[int][]float64{}
	for _, report := range h.reports {
		if report.Version != edition {
			continue
		}
		for route, ms := range report.RouteCostsMs {
			if ms > 0 && route >= 0 && route < 1<<14 {
				costsByRoute[route] = append(costsByRoute[route], float64(ms))
				maxRoute = max(maxRoute, route)
			}
		}
	}
	updated := make([]byte, maxRoute+1)
	if h.level.Version == edition && len(h.level.RouteCosts) > len(updated) {
		updated = make([]byte, len(h.level.RouteCosts))
	}
	if h.level.Version == edition {
		copy(updated, h.level.RouteCosts)
	}
	for route, costs := range costsByRoute {
		slices.Sort(costs)
		updated[route] = costInDoublings(costs[len(costs)/2], updated[route])
	}
	if h.level.Version == edition && bytes.Equal(updated, h.level.RouteCosts) {
		return false
	}
	h.level.Version, h.level.RouteCosts = edition, updated
	return true
}

// costInDoublings returns a time in doublings of a millisecond. It keeps the previous value while the time
// is close to it.
func costInDoublings(ms float64, previous byte) byte {
	if previous > 0 {
		lowerBound := math.Exp2(float64(previous) - 1)
		if ms > lowerBound/costHysteresis && ms < 2*lowerBound*costHysteresis {
			return previous
		}
	}
	return byte(min(max(math.Floor(math.Log2(ms))+1, 1), 30))
}
