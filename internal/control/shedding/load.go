// Package shedding maintains one load-shedding level for all gatekeepers. Every request has a position
// on a priority scale (policy.ShedPosition). The level is a threshold on that scale; requests at or above it
// are refused before they are queued.
//
// Gatekeepers report their pressure and the load at each position. The registry (program bothy)
// that holds the shedding duty learns how much load can be served and sets the threshold accordingly,
// so that it follows the load at once without waiting for more pressure. Each gatekeeper applies the
// last level it received. A gatekeeper that receives none applies the stricter of that level and a
// threshold of its own, and the received level ages out.
//
// Times are in milliseconds of the caller's steady clock. Only ages are sent between machines.
package shedding

import (
	"maps"
	"slices"

	"foxwood/policy"
)

// Load is the load in requests per second by bins of the priority scale.
type Load map[uint32]float64

// sumPrecision is the number of counting units per request. Sums are taken in whole units so that they
// don't depend on the order of addition.
const sumPrecision = 1e6

// Sum returns the total load.
func (l Load) Sum() float64 { return l.AdmittedBy(policy.ShedNothing) }

// AdmittedBy returns the load that a threshold admits.
func (l Load) AdmittedBy(threshold policy.ShedPosition) float64 {
	sum := int64(0)
	for bin, rate := range l {
		if policy.BinStart(bin) < threshold {
			sum += int64(rate * sumPrecision)
		}
	}
	return float64(sum) / sumPrecision
}

// ThresholdAt returns the highest threshold that admits no more than a rate. A bin is admitted whole or not
// at all: otherwise a caller that makes up most of its bin would be admitted and refused in turn as
// the other load fluctuates.
func (l Load) ThresholdAt(rate float64) policy.ShedPosition {
	sum := 0.0
	for _, bin := range slices.Sorted(maps.Keys(l)) {
		if sum += l[bin]; sum > rate {
			return max(policy.BinStart(bin), 1) // load that is never shed is at position 0
		}
	}
	return policy.ShedNothing
}

// Blend moves a smoothed load towards the load seen in an interval, by a weight from 0 to 1.
func (l Load) Blend(seen Load, weight float64) {
	for bin := range seen {
		if _, ok := l[bin]; !ok {
			l[bin] = 0
		}
	}
	for bin, rate := range l {
		if rate += weight * (seen[bin] - rate); rate < 1e-3 {
			delete(l, bin)
		} else {
			l[bin] = rate
		}
	}
}

// add adds a load that was counted before the given number of hash rotations.
func (l Load) add(counted map[uint32]float32, rotations uint64) {
	rotated := make(Load, len(counted))
	for bin, rate := range counted {
		rotated[bin] = float64(rate)
	}
	rotated.Rotate(rotations)
	for bin, rate := range rotated {
		l[bin] += rate
	}
}

// Rotate applies rotations of the hash to the positions of a load, so that a threshold admits as much as
// before. Load that is never shed stays at position 0.
func (l Load) Rotate(rotations uint64) {
	if rotations %= policy.BinsPerTier; rotations == 0 {
		return
	}
	moved := Load{}
	for bin, rate := range l {
		newBin := bin/policy.BinsPerTier*policy.BinsPerTier + (bin+uint32(rotations))%policy.BinsPerTier
		if bin == 0 {
			newBin = 0
		}
		moved[newBin] += rate
	}
	clear(l)
	maps.Copy(l, moved)
}
