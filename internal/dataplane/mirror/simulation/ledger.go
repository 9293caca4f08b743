package simulation

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"

	"foxwood/internal/dataplane/mirror"
)

// liveRun is a request that a live worker ran and to which the mirroring rule applies.
type liveRun struct {
	piece    int
	at       float64
	selected bool // by the rule at its gatekeeper
}

// deliveredFlow is the copies of one flow as they were sent.
type deliveredFlow struct {
	complete bool
	of       int
	pieces   []int
	id       mirror.FlowID
}

// deliveryKey identifies a flow and the incarnation of its collector.
type deliveryKey struct {
	incarnation uint64
	flow        mirror.FlowID
}

// selectionKey identifies a flow and a rule.
type selectionKey struct {
	name string
	rule uint64
}

// ledger records what clients, live workers and mirror targets have seen.
type ledger struct {
	unsafeRuns     map[int]int // runs of each unsafe request, by its ID
	liveRuns       map[string][]liveRun
	flowOf         map[int]string // flow name by piece
	copiesSent     map[int]int    // by piece; a negative value is the ID of an unsafe request that is not copied yet
	openDeliveries map[deliveryKey]*deliveredFlow
	deliveries     []*deliveredFlow
	selections     map[selectionKey]bool
	ruleTimes      map[uint64]float64
	brokenByDay    [days]map[mirror.Cause]int // broken flows by the day on which they ended
	completeByDay  [days]int                  // complete flows by the day on which they ended
	flowsByHour    [days * 24][3]int          // selected flows by the hour in which they began: all, complete, others
	totals         mirror.Counts
	maxOpenByHour  [days * 24]int // largest number of flows being collected in each hour
	maxBytes       int            // largest memory use of a gatekeeper's engine

	verdict     verdict
	abruptExits int // releases whose process ended before all was fetched and handed over
}

// verdict holds the results of the checks.
type verdict struct {
	Requests, Matching, FlowNames, Copies                                                                                               int
	UnsafeRepeated, CopiesAtLiveWorkers, MissingPieces, Duplicated, OutOfOrder, DifferingSelections, LeakedCredentials, MalformedCopies int
	Complete, Partial, Broken                                                                                                           int // deliveries: complete, marked as complete but not finished, marked as broken
	CopiedTwice                                                                                                                         int
	Selected, Delivered                                                                                                                 [days]int         // flows by the day on which they began
	Examples                                                                                                                            map[string]string // the first example of each check
}

// newLedger returns an empty ledger.
func newLedger() *ledger {
	ledger := &ledger{unsafeRuns: map[int]int{}, liveRuns: map[string][]liveRun{}, flowOf: map[int]string{}, copiesSent: map[int]int{}, openDeliveries: map[deliveryKey]*deliveredFlow{},
		selections: map[selectionKey]bool{}, ruleTimes: map[uint64]float64{}}
	for i := range ledger.brokenByDay {
		ledger.brokenByDay[i] = map[mirror.Cause]int{}
	}
	return ledger
}

// recordRule records when a rule was set.
func (l *ledger) recordRule(now float64, rule *mirror.Rule) { l.ruleTimes[rule.Number] = now }

// recordRun records that a live worker ran a request.
func (l *ledger) recordRun(sim *simulation, request *clientRequest, piece int, selected bool) {
	l.verdict.Requests++
	route := routes[request.route]
	if !route.safe {
		l.unsafeRuns[request.id]++
	}
	if route.wanted && request.flow.tenant != excludedTenant {
		l.verdict.Matching++
		l.liveRuns[request.flow.name] = append(l.liveRuns[request.flow.name], liveRun{piece, sim.now, selected})
		l.flowOf[piece] = request.flow.name
		if !route.safe {
			l.copiesSent[piece] = -request.id // the request's ID, until a copy is sent
		}
	}
}

// recordSelection records a gatekeeper's decision on a flow, and counts differing decisions under
// one rule.
func (l *ledger) recordSelection(name string, rule uint64, selected bool) {
	key := selectionKey{name, rule}
	if previous, ok := l.selections[key]; ok && previous != selected {
		l.verdict.DifferingSelections++
	}
	l.selections[key] = selected
}

// recordCopy records a copy that is sent, and checks its content and address.
func (l *ledger) recordCopy(sim *simulation, gatekeeper *gatekeeperNode, delivery *mirror.Delivery, message []byte) {
	verdict := &l.verdict
	verdict.Copies++
	header, body, _ := bytes.Cut(message, []byte("\r\n\r\n"))
	piece, err := strconv.Atoi(string(body))
	position := fmt.Sprintf("; n=%d; of=%d;", delivery.Position, delivery.FlowSize)
	if err != nil || !bytes.Contains(header, []byte("X-Foxwood-Shadow: ")) || !bytes.Contains(header, []byte(position)) || l.flowOf[piece] == "" {
		verdict.MalformedCopies++
		return
	}
	if bytes.Contains(message, []byte("secret")) {
		verdict.LeakedCredentials++
	}
	request := 0
	if n := l.copiesSent[piece]; n < 0 {
		request, l.copiesSent[piece] = -n, 0
	}
	if l.copiesSent[piece]++; l.copiesSent[piece] > 1 {
		verdict.CopiedTwice++
	}
	if since, ok := sim.liveSince[delivery.Address]; ok && sim.now >= since {
		verdict.CopiesAtLiveWorkers++
		if request > 0 {
			l.unsafeRuns[request]++
		}
	}
	key := deliveryKey{gatekeeper.incarnation, delivery.Flow}
	delivered := l.openDeliveries[key]
	if delivery.Position == 1 && (delivered == nil || len(delivered.pieces) != 1 || delivered.pieces[0] != piece) {
		delivered = &deliveredFlow{complete: delivery.Cause == mirror.NotBroken, of: delivery.FlowSize, id: delivery.Flow}
		l.openDeliveries[key] = delivered
		l.deliveries = append(l.deliveries, delivered)
	}
	delivered.pieces = append(delivered.pieces, piece)
}

// recordCounters adds the increase of an engine's counters since the last call.
func (l *ledger) recordCounters(sim *simulation, gatekeeper *gatekeeperNode) {
	status := gatekeeper.engine.Status(gatekeeper.clock(sim.now))
	l.maxBytes = max(l.maxBytes, status.UsedBytes)
	dayIndex := min(max(int((sim.now-idleTimeoutS*second)/day), 0), days-1)
	counts, previous := status.Counts, gatekeeper.lastCounts
	gatekeeper.lastCounts = counts
	for _, cause := range mirror.Causes() {
		if added := int(counts.BrokenByCause[cause] - previous.BrokenByCause[cause]); added != 0 {
			l.brokenByDay[dayIndex][cause] += added
			l.totals.BrokenByCause[cause] += uint64(added)
		}
	}
	l.completeByDay[dayIndex] += int(counts.Complete - previous.Complete)
	l.totals.Complete += counts.Complete - previous.Complete
	l.totals.Broken += counts.Broken - previous.Broken
	l.totals.NotSelected += counts.NotSelected - previous.NotSelected
	l.totals.Copied += counts.Copied - previous.Copied
	l.totals.Lost += counts.Lost - previous.Lost
	l.totals.CopiesIssued += counts.CopiesIssued - previous.CopiesIssued
	l.totals.CopiesAnswered += counts.CopiesAnswered - previous.CopiesAnswered
	l.totals.CopiesFailed += counts.CopiesFailed - previous.CopiesFailed
	l.totals.CopiesUnsent += counts.CopiesUnsent - previous.CopiesUnsent
	l.totals.UncertainOrder += counts.UncertainOrder - previous.UncertainOrder
	if hourIndex := int(sim.now / hour); hourIndex >= 0 && hourIndex < len(l.maxOpenByHour) {
		l.maxOpenByHour[hourIndex] = max(l.maxOpenByHour[hourIndex], status.OpenFlows*sim.plan.Gatekeepers)
	}
}

// splitFlows splits the requests with one flow name where the gap exceeds the idle timeout.
func splitFlows(runs []liveRun) (flows [][]liveRun) {
	start := 0
	for i := 1; i <= len(runs); i++ {
		if i == len(runs) || runs[i].at-runs[i-1].at > idleTimeoutS*second {
			flows = append(flows, runs[start:i])
			start = i
		}
	}
	return flows
}

// evaluate compares the deliveries with the requests that ran.
func (l *ledger) evaluate(sim *simulation) {
	verdict := &l.verdict
	for _, n := range l.unsafeRuns {
		if n > 1 {
			verdict.UnsafeRepeated++
		}
	}
	completeDeliveries := map[int]int{} // complete deliveries by the first piece of the real flow
	verdict.Examples = map[string]string{}
	example := func(check, format string, args ...any) {
		if verdict.Examples[check] == "" {
			verdict.Examples[check] = fmt.Sprintf(format, args...)
		}
	}
	for _, delivered := range l.deliveries {
		name := l.flowOf[delivered.pieces[0]]
		var expected []liveRun
		for _, flow := range splitFlows(l.liveRuns[name]) {
			if slices.ContainsFunc(flow, func(t liveRun) bool { return t.piece == delivered.pieces[0] }) {
				expected = flow
			}
		}
		seen := map[int]bool{}
		duplicated, foreign, outOfOrder, lastAt := false, false, false, -1.0
		for _, piece := range delivered.pieces {
			index := slices.IndexFunc(expected, func(t liveRun) bool { return t.piece == piece })
			if index < 0 {
				foreign = true
				continue
			}
			duplicated = duplicated || seen[piece]
			seen[piece] = true
			if expected[index].at < lastAt-500 { // the order within 500 ms can't be determined
				outOfOrder = true
			}
			lastAt = expected[index].at
		}
		switch {
		case duplicated || foreign:
			verdict.Duplicated++
			example("double", "%s went out with %v of %v", name, delivered.pieces, expected)
		case delivered.complete && outOfOrder:
			verdict.OutOfOrder++
			example("order", "%s went out in another order: %v of %v", name, delivered.pieces, expected)
		case !delivered.complete:
			verdict.Broken++
		case len(delivered.pieces) < delivered.of: // its mirror target did not answer, or mirroring was stopped
			verdict.Partial++
		case len(seen) < len(expected):
			verdict.MissingPieces++
			example("lack", "%s went out as whole with %v of %v", name, delivered.pieces, expected)
		default:
			verdict.Complete++
			if completeDeliveries[expected[0].piece]++; completeDeliveries[expected[0].piece] > 1 {
				verdict.Duplicated++
				example("double", "%s went out twice", name)
			}
		}
	}
	for _, runs := range l.liveRuns {
		verdict.FlowNames++
		for _, flow := range splitFlows(runs) {
			dayIndex, hourIndex := int(math.Floor(flow[0].at/day)), int(math.Floor(flow[0].at/hour))
			if dayIndex < 0 || dayIndex >= days || !flow[0].selected {
				continue
			}
			verdict.Selected[dayIndex]++
			l.flowsByHour[hourIndex][0]++
			if completeDeliveries[flow[0].piece] > 0 {
				verdict.Delivered[dayIndex]++
				l.flowsByHour[hourIndex][1]++
			} else {
				l.flowsByHour[hourIndex][2]++
			}
		}
	}
}

// calmDays are the days without incidents.
var calmDays = []int{0, 2, 4, 6}

// maxBrokenShare is the share of the selected flows that may be incomplete on a calm day.
const maxBrokenShare = 0.01

// violations returns what must never happen but did, by the name of the check.
func (l *ledger) violations(playedDays int) map[string]string {
	verdict := &l.verdict
	violations := map[string]string{}
	add := func(check string, count int, what string) {
		if count > 0 {
			violations[check] = fmt.Sprintf("%d %s", count, what)
		}
	}
	add("unsafe", verdict.UnsafeRepeated, "unsafe requests ran more than once")
	add("live", verdict.CopiesAtLiveWorkers, "copies went to live workers")
	add("lack", verdict.MissingPieces, "journeys went out as whole that lack a piece: "+verdict.Examples["lack"])
	add("double", verdict.Duplicated+verdict.CopiedTwice, "journeys or copies went out doubled: "+verdict.Examples["double"])
	add("order", verdict.OutOfOrder, "journeys went out in a wrong order: "+verdict.Examples["order"])
	add("pairs", verdict.DifferingSelections, "times two gatekeepers chose differently under one order")
	add("leaks", verdict.LeakedCredentials, "copies hold a key")
	add("odd", verdict.MalformedCopies, "copies were no copies of what ran")
	for _, dayIndex := range calmDays {
		if dayIndex >= playedDays {
			continue
		}
		if lost := verdict.Selected[dayIndex] - verdict.Delivered[dayIndex]; verdict.Selected[dayIndex] == 0 || float64(lost) > maxBrokenShare*float64(verdict.Selected[dayIndex]) {
			violations["calm"] += fmt.Sprintf("on day %d %d of %d chosen journeys did not come whole. ", dayIndex, lost, verdict.Selected[dayIndex])
		}
	}
	return violations
}
