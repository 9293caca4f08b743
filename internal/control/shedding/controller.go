package shedding

import (
	"maps"
	"math"
	"slices"

	"foxwood/policy"
)

// Pressure is the used share of the capacity: above pressed there is too much load, and below calm
// there is room for more.
const (
	pressed = 1.0
	calm    = 0.9
)

const (
	settleMs               = 1200.0  // time for a threshold to reach all gatekeepers and to show in their reports
	defaultReductionFactor = 0.95    // share of the admitted load that is kept when the rate is reduced and nothing else is known
	minReductionFactor     = 0.7     // smallest share of the admitted load kept by one reduction
	minRateFactor          = 0.7     // smallest share of the rate kept by one reduction: the load counted on a stalled machine may be far too low
	minAdmittedShare       = 0.05    // smallest admitted share of the offered load
	servedAllowance        = 1.08    // allowance above the reported rate of answers, which is out of date while load rises
	fallingShare           = 0.95    // pressure below this share of its mean is falling
	pressureMeanMs         = 500.0   // time constant of that mean
	increaseIntervalMs     = 1000.0  // time between increases of the rate
	maxIncreaseFactor      = 1.25    // largest factor of an increase; smaller by the square of the unused capacity
	increaseWeight         = 0.4     // weight of that square
	increaseEffectMs       = 4000.0  // pressure within this time after an increase is attributed to it
	minProbeDelayMs        = 2000.0  // time without pressure after a reduction before the first increase
	maxProbeDelayMs        = 60000.0 // largest such wait; it is doubled each time an increase caused pressure
	probeResetMs           = 90000.0 // time without a reduction until the wait is reset
	raiseDelayMs           = 2500.0  // time for which a higher threshold must have fitted
	maxToleratedPressureMs = 3000.0  // longest pressure that is tolerated because the threshold just followed a rising load
	unlimitAfterMs         = 8000.0  // time of load well below the known capacity until the rate is unlimited again
	lowPressure            = 0.5     // pressure far below capacity
	lowPressureDelayMs     = 600.0   // time of low pressure until the threshold is raised quickly
	quickIntervalMs        = 700.0   // time between quick increases, and for which a higher threshold must have fitted then
	quickStepFactor        = 1.2     // largest factor of the admitted load per quick step
	quickIncreaseWeight    = 0.4     // weight of the squared unused capacity in quick increases
	raiseStepShare         = 0.5     // share of the unused rate that is admitted at once: refused clients retry in addition
	lowerTolerance         = 1.03    // load above this multiple of the rate lowers the threshold
	raiseTolerance         = 1.0     // load below this multiple of the rate may raise the threshold
	maxRateFactor          = 2.0     // largest multiple of the admitted load that the rate is raised to
)

// Controller learns how much load can be served and keeps the shedding threshold there. To avoid
// oscillation, the capacity is kept as a rate: load that comes and goes moves the threshold and not
// the rate.
type Controller struct {
	rate               float64 // admitted requests per second, 0 for no limit
	threshold          policy.ShedPosition
	started            bool
	reducedAt          float64
	reduced            bool // the rate was reduced at least once
	increasedAt        float64
	increased          bool    // since the last reduction
	probeDelayMs       float64 // time without pressure required before the next increase
	raisableSince      float64
	raisableTo         policy.ShedPosition // lowest threshold that has fitted since raisableSince
	lastNearCapacityAt float64
	followedLoadAt     float64 // when the threshold followed a rising load
	lastUnpressedAt    float64 // when pressure was last below pressed
	lastStepAt         float64
	meanPressure       float64 // smoothed pressure
	lastNotLowAt       float64 // when pressure was last not low
	noQuickUntil       float64 // no quick increase before
	quick              bool
	lastIncreaseQuick  bool // the last increase was quick
}

// Threshold returns the current threshold.
func (v *Controller) Threshold() policy.ShedPosition {
	if !v.started {
		return policy.ShedNothing
	}
	return v.threshold
}

// Rate returns the admitted rate in requests per second, 0 for no limit.
func (v *Controller) Rate() float64 { return v.rate }

// Resume continues with the threshold and the capacity of another Controller. A rate of 0 means that the
// capacity is not known.
func (v *Controller) Resume(now float64, threshold policy.ShedPosition, load Load, rate float64) {
	*v = Controller{threshold: threshold, started: true, probeDelayMs: minProbeDelayMs, reducedAt: now, reduced: threshold < policy.ShedNothing, rate: rate, lastNearCapacityAt: now, followedLoadAt: now,
		raisableSince: now, raisableTo: policy.ShedNothing, lastStepAt: now, lastUnpressedAt: now, lastNotLowAt: now}
	if v.reduced {
		v.rate = max(load.AdmittedBy(threshold), rate, 1e-3)
	}
}

// Step updates the threshold by the pressure, the arriving load and the rate of workers' answers. The
// otherThreshold applies in addition.
func (v *Controller) Step(now, pressure float64, load Load, served float64, otherThreshold policy.ShedPosition) policy.ShedPosition {
	if !v.started {
		v.Resume(now, policy.ShedNothing, load, 0)
		v.reducedAt, v.followedLoadAt = now-settleMs, now-settleMs
	}
	total, admitted := load.Sum(), load.AdmittedBy(min(v.threshold, otherThreshold))
	if pressure < pressed {
		v.lastUnpressedAt = now
	}
	falling := pressure < fallingShare*v.meanPressure
	v.meanPressure += (1 - math.Exp(-(now-v.lastStepAt)/pressureMeanMs)) * (pressure - v.meanPressure)
	v.lastStepAt = now
	if pressure >= lowPressure {
		v.lastNotLowAt = now
	}
	v.quick = now-v.lastNotLowAt >= lowPressureDelayMs && now >= v.noQuickUntil && now-v.reducedAt >= settleMs
	switch {
	case pressure >= pressed:
		v.lastNearCapacityAt = now
		// The effect of the last reduction must have become visible first, and that of following a rising load
		// too: the queue of a load that rose too fast to be counted tells nothing about the capacity.
		if v.reduced && now-v.reducedAt < settleMs || v.rate > 0 && (falling || now-v.followedLoadAt < settleMs) && now-v.lastUnpressedAt < maxToleratedPressureMs {
			break
		}
		if v.increased && now-v.increasedAt < increaseEffectMs && now-v.followedLoadAt > increaseEffectMs {
			v.probeDelayMs = min(2*v.probeDelayMs, maxProbeDelayMs)
			if v.lastIncreaseQuick {
				v.noQuickUntil = now + v.probeDelayMs
			}
		}
		rate := defaultReductionFactor * admitted
		if served > 0 {
			rate = min(rate, servedAllowance*served)
		}
		v.rate = max(rate, minReductionFactor*admitted, minRateFactor*v.rate, minAdmittedShare*total, 1e-3)
		v.reducedAt, v.reduced, v.increased = now, true, false
	case v.rate > 0:
		v.increase(now, pressure, total, admitted, load)
	}
	if v.rate == 0 {
		v.threshold = policy.ShedNothing
		return v.threshold
	}
	v.updateThreshold(now, load, admitted)
	return v.threshold
}

// increase increases the rate in small steps after a time without pressure.
func (v *Controller) increase(now, pressure, total, admitted float64, load Load) {
	if total > lowerTolerance*v.rate*calm {
		v.lastNearCapacityAt = now
	}
	if now-v.lastNearCapacityAt > unlimitAfterMs {
		v.rate = 0
		return
	}
	if now-v.reducedAt > probeResetMs {
		v.probeDelayMs = minProbeDelayMs
	}
	delayMs, intervalMs, weight, maxFactor := v.probeDelayMs, increaseIntervalMs, increaseWeight, maxRateFactor
	if v.quick {
		delayMs, intervalMs, weight, maxFactor = 0, quickIntervalMs, quickIncreaseWeight, maxIncreaseFactor
	}
	if pressure >= calm || now-v.reducedAt < delayMs || now-v.increasedAt < intervalMs || v.threshold >= policy.ShedNothing {
		return
	}
	unused := calm - pressure
	factor := min(1+weight*unused*unused, maxIncreaseFactor)
	// No further than the next bin requires: load that is not admitted tells nothing about the capacity.
	maxRate := max(admitted*min(calm/max(pressure, 1e-3), maxFactor), v.loadWithNextBin(load)*lowerTolerance)
	target := v.rate * factor
	if v.quick { // add a share of the offered load, as it would take long to grow from nearly nothing
		target += minAdmittedShare * total * unused
		maxRate = max(maxRate, admitted+minAdmittedShare*total)
	}
	v.rate = max(v.rate, min(target, maxRate))
	v.increased, v.increasedAt, v.lastIncreaseQuick = true, now, v.quick
}

// loadWithNextBin returns the load including the first bin above the threshold.
func (v *Controller) loadWithNextBin(load Load) float64 {
	sum := 0.0
	for _, bin := range slices.Sorted(maps.Keys(load)) {
		sum += load[bin]
		if policy.BinStart(bin) >= v.threshold {
			break
		}
	}
	return sum
}

// updateThreshold sets the threshold by the rate: it is lowered at once, and raised when the higher one has
// fitted for some time.
func (v *Controller) updateThreshold(now float64, load Load, admitted float64) {
	if load.AdmittedBy(v.threshold) > lowerTolerance*v.rate {
		v.threshold, v.raisableSince = load.ThresholdAt(v.rate), now
		v.raisableTo, v.followedLoadAt = policy.ShedNothing, now
		return
	}
	rate := raiseTolerance * v.rate
	// In steps: when refused requests are admitted again, waiting ones are sent too.
	if v.quick {
		rate = min(rate, max(quickStepFactor*admitted, admitted+minAdmittedShare*load.Sum(), v.loadWithNextBin(load)))
	} else {
		rate = min(rate, max(admitted+raiseStepShare*(rate-admitted), v.loadWithNextBin(load)))
	}
	higher := load.ThresholdAt(rate)
	if higher <= v.threshold {
		v.raisableSince, v.raisableTo = now, policy.ShedNothing
		return
	}
	v.raisableTo = min(v.raisableTo, higher)
	delayMs := raiseDelayMs
	if v.quick {
		delayMs = quickIntervalMs
	}
	if now-v.raisableSince >= delayMs {
		v.threshold, v.raisableSince, v.raisableTo = v.raisableTo, now, policy.ShedNothing
	}
}

// AgedThreshold returns a threshold that was received too long ago, raised so that a part of the refused load
// is admitted again.
func AgedThreshold(threshold policy.ShedPosition, load Load, share float64) policy.ShedPosition {
	if share >= 1 || threshold >= policy.ShedNothing {
		return policy.ShedNothing
	}
	admitted, total := load.AdmittedBy(threshold), load.Sum()
	return max(threshold, load.ThresholdAt(admitted+math.Max(share, 0)*(total-admitted)))
}
