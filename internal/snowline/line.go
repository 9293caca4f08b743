// Package snowline agrees on one shedding level for all gatekeepers. All requests stand on one
// line (policy.Mark); the level is a cut of it, and what lies above is refused before it queues.
//
// Gatekeepers report how pressed they are and how much load stands where on the line. The bothy
// with the duty holds the valve: it learns how much fits and cuts the line there, so that the
// cut follows the load at once, without another round of pressure. Each gatekeeper applies what
// it has heard last; one that hears nothing goes on with the stricter of that and a valve of its
// own, and what it heard ages out.
//
// Times are milliseconds of the caller's steady clock. Only ages cross machines.
package snowline

import (
	"maps"
	"math"
	"slices"

	"foxwood/policy"
)

// Load is requests a second by the bins of the line.
type Load map[uint32]float64

// grain is what sums are counted in: in whole ones their order makes no difference.
const grain = 1e6

// Sum is all of it.
func (l Load) Sum() float64 { return l.Below(policy.MarkOpen) }

// Below is the load that a cut lets in.
func (l Load) Below(cut policy.Mark) float64 {
	sum := int64(0)
	for bin, v := range l {
		if policy.BinMark(bin) < cut {
			sum += int64(v * grain)
		}
	}
	return float64(sum) / grain
}

// CutAt is the highest cut that lets in no more than a rate. A bin passes whole or not at all: a
// caller that is most of its bin would else be let in and out by the noise of the others.
func (l Load) CutAt(rate float64) policy.Mark {
	sum := 0.0
	for _, bin := range slices.Sorted(maps.Keys(l)) {
		if sum += l[bin]; sum > rate {
			return max(policy.BinMark(bin), 1) // what is never shed stands at nothing
		}
	}
	return policy.MarkOpen
}

// Blend moves a smoothed load towards what was seen in a span.
func (l Load) Blend(seen Load, part float64) {
	for bin := range seen {
		if _, ok := l[bin]; !ok {
			l[bin] = 0
		}
	}
	for bin, v := range l {
		if v += part * (seen[bin] - v); v < 1e-3 {
			delete(l, bin)
		} else {
			l[bin] = v
		}
	}
}

// add adds a load by earlier turns of the hash.
func (l Load) add(more map[uint32]float32, turns uint64) {
	own := make(Load, len(more))
	for bin, v := range more {
		own[bin] = float64(v)
	}
	own.Turn(turns)
	for bin, v := range own {
		l[bin] += v
	}
}

// Turn moves the places of a load with turns of the hash, so that a cut lets in as much as before.
// What is never shed stays at the line's start.
func (l Load) Turn(turns uint64) {
	if turns %= policy.MarkBins; turns == 0 {
		return
	}
	moved := Load{}
	for bin, v := range l {
		to := bin/policy.MarkBins*policy.MarkBins + (bin+uint32(turns))%policy.MarkBins
		if bin == 0 {
			to = 0
		}
		moved[to] += v
	}
	clear(l)
	maps.Copy(l, moved)
}

// Pressure is what is fitted in as a share of what fits: past pressed there is too much, and
// under calm there is room for more.
const (
	pressed = 1.0
	calm    = 0.9
)

const (
	settleMs   = 1200.0 // for a cut to reach all gatekeepers and to show in what they report
	cutLittle  = 0.95   // of what was let in stays at a cut, where no more is known
	cutMost    = 0.7
	rateFall   = 0.7   // of the rate stays at a cut: what is counted on a machine that stalls may be far too low
	rateLeast  = 0.05  // of what is offered
	servedMore = 1.08  // what is answered is told late: it was less a moment ago
	fallPart   = 0.95  // of its mean: pressure falls
	fallMs     = 500.0 // of that mean
	riseMs     = 1000.0
	riseMost   = 1.25    // a second, and less by the square of what pressure leaves free
	risePart   = 0.4     // of that
	riseShows  = 4000.0  // pressure that comes within it of a rise is the rise's
	probeFirst = 2000.0  // of calm after a cut before more is let in
	probeMost  = 60000.0 // doubled up to that where it has pressed again
	probeEnds  = 90000.0 // without a cut, and the first holds again
	looseMs    = 2500.0  // that a wider cut must have fitted throughout
	holdMs     = 3000.0  // of pressure at most that a cut which followed the load excuses
	openMs     = 8000.0  // of load well under what is known to fit ends what is known
	low        = 0.5     // of pressure: far from full
	lowMs      = 600.0   // of it, and the cut opens quickly
	quickMs    = 700.0   // between rises then, and that a wider cut must have fitted
	quickMore  = 1.2     // at most than what is let in, each time
	quickPart  = 0.4     // of what the pressure leaves free, squared
	stepPart   = 0.5     // of what is free is let in at once: refused clients come back as many
	slackTight = 1.03
	slackLoose = 1.0
	mostMore   = 2.0 // than what comes in is never said to fit
)

// Valve learns how much fits and holds the line's cut there. It guards against swinging: what
// fits is kept as a rate, so that load that comes and goes moves the cut and not the rate.
type Valve struct {
	rate    float64 // requests a second that are let in, 0 for no bound
	cut     policy.Mark
	began   bool
	tightAt float64
	tight   bool // there was a cut yet
	roseAt  float64
	rose    bool    // since the last cut
	probe   float64 // how long calm lasts before the next rise
	looseAt float64
	loose   policy.Mark // the least that has fitted since looseAt
	underAt float64
	movedAt float64 // the cut followed a load that rose
	calmAt  float64 // last not pressed
	stepAt  float64
	mean    float64 // of the pressure
	lowAt   float64 // last not low
	slowTo  float64 // no quick opening until then
	quick   bool
	hasty   bool // the last rise or opening was quick
}

// Cut is where the line is cut now.
func (v *Valve) Cut() policy.Mark {
	if !v.began {
		return policy.MarkOpen
	}
	return v.cut
}

// Rate is what is let in a second, 0 for no bound.
func (v *Valve) Rate() float64 { return v.rate }

// Resume goes on from a cut that another valve made, and from what it took to fit, 0 where that is
// not known.
func (v *Valve) Resume(now float64, cut policy.Mark, load Load, rate float64) {
	*v = Valve{cut: cut, began: true, probe: probeFirst, tightAt: now, tight: cut < policy.MarkOpen, rate: rate, underAt: now, movedAt: now,
		looseAt: now, loose: policy.MarkOpen, stepAt: now, calmAt: now, lowAt: now}
	if v.tight {
		v.rate = max(load.Below(cut), rate, 1e-3)
	}
}

// Step goes by the pressure, the load as it arrives and what workers answer a second. Under is
// a cut that holds besides.
func (v *Valve) Step(now, pressure float64, load Load, served float64, under policy.Mark) policy.Mark {
	if !v.began {
		v.Resume(now, policy.MarkOpen, load, 0)
		v.tightAt, v.movedAt = now-settleMs, now-settleMs
	}
	total, in := load.Sum(), load.Below(min(v.cut, under))
	if pressure < pressed {
		v.calmAt = now
	}
	falls := pressure < fallPart*v.mean
	v.mean += (1 - math.Exp(-(now-v.stepAt)/fallMs)) * (pressure - v.mean)
	v.stepAt = now
	if pressure >= low {
		v.lowAt = now
	}
	v.quick = now-v.lowAt >= lowMs && now >= v.slowTo && now-v.tightAt >= settleMs
	switch {
	case pressure >= pressed:
		v.underAt = now
		// What the last cut does must have shown first, and one that followed a rising load too:
		// the queue of a load that came too fast to be counted says nothing of what fits.
		if v.tight && now-v.tightAt < settleMs || v.rate > 0 && (falls || now-v.movedAt < settleMs) && now-v.calmAt < holdMs {
			break
		}
		if v.rose && now-v.roseAt < riseShows && now-v.movedAt > riseShows {
			v.probe = min(2*v.probe, probeMost)
			if v.hasty {
				v.slowTo = now + v.probe
			}
		}
		rate := cutLittle * in
		if served > 0 {
			rate = min(rate, servedMore*served)
		}
		v.rate = max(rate, cutMost*in, rateFall*v.rate, rateLeast*total, 1e-3)
		v.tightAt, v.tight, v.rose = now, true, false
	case v.rate > 0:
		v.rise(now, pressure, total, in, load)
	}
	if v.rate == 0 {
		v.cut = policy.MarkOpen
		return v.cut
	}
	v.move(now, load, in)
	return v.cut
}

// rise lets more in, a little at a time, once it has been calm.
func (v *Valve) rise(now, pressure, total, in float64, load Load) {
	if total > slackTight*v.rate*calm {
		v.underAt = now
	}
	if now-v.underAt > openMs {
		v.rate = 0
		return
	}
	if now-v.tightAt > probeEnds {
		v.probe = probeFirst
	}
	wait, every, part, ahead := v.probe, riseMs, risePart, mostMore
	if v.quick {
		wait, every, part, ahead = 0, quickMs, quickPart, riseMost
	}
	if pressure >= calm || now-v.tightAt < wait || now-v.roseAt < every || v.cut >= policy.MarkOpen {
		return
	}
	free := calm - pressure
	step := min(1+part*free*free, riseMost)
	// No further than the next bin takes: what is not let in tells nothing.
	most := max(in*min(calm/max(pressure, 1e-3), ahead), v.next(load)*slackTight)
	want := v.rate * step
	if v.quick { // from next to nothing a part of what comes, or it would take long
		want += rateLeast * total * free
		most = max(most, in+rateLeast*total)
	}
	v.rate = max(v.rate, min(want, most))
	v.rose, v.roseAt, v.hasty = true, now, v.quick
}

// next is the load with the first bin above the cut.
func (v *Valve) next(load Load) float64 {
	sum := 0.0
	for _, bin := range slices.Sorted(maps.Keys(load)) {
		sum += load[bin]
		if policy.BinMark(bin) >= v.cut {
			break
		}
	}
	return sum
}

// move brings the cut to where the rate has it: down at once, up once it has fitted for long.
func (v *Valve) move(now float64, load Load, in float64) {
	if load.Below(v.cut) > slackTight*v.rate {
		v.cut, v.looseAt = load.CutAt(v.rate), now
		v.loose, v.movedAt = policy.MarkOpen, now
		return
	}
	rate := slackLoose * v.rate
	// In steps: with what was refused comes back what waits.
	if v.quick {
		rate = min(rate, max(quickMore*in, in+rateLeast*load.Sum(), v.next(load)))
	} else {
		rate = min(rate, max(in+stepPart*(rate-in), v.next(load)))
	}
	wider := load.CutAt(rate)
	if wider <= v.cut {
		v.looseAt, v.loose = now, policy.MarkOpen
		return
	}
	v.loose = min(v.loose, wider)
	wait := looseMs
	if v.quick {
		wait = quickMs
	}
	if now-v.looseAt >= wait {
		v.cut, v.looseAt, v.loose = v.loose, now, policy.MarkOpen
	}
}

// Aged is a cut that was heard too long ago, with a part of what it refused let in again.
func Aged(cut policy.Mark, load Load, part float64) policy.Mark {
	if part >= 1 || cut >= policy.MarkOpen {
		return policy.MarkOpen
	}
	in, total := load.Below(cut), load.Sum()
	return max(cut, load.CutAt(in+math.Max(part, 0)*(total-in)))
}
