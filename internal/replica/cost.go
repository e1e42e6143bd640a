package replica

import (
	"math"
	"time"
)

const (
	// timeFactorDecay is the time constant by which a time factor returns to 1.
	timeFactorDecay = 4 * time.Second
	// slowShareThreshold is the share of slow calls among the latest from which a leaf is expected to be slow
	// again: five in a row, more than one pause affects at one VM.
	slowShareThreshold = 0.6
	// slowCost is the cost of a slow call as a multiple of the typical call time. Most are hedged after two to
	// three typical times, and the budget that a hedge uses is missing elsewhere.
	slowCost = 6
	// failCost is the cost of a failed call as a multiple of the typical call time: the wait for its end and for
	// the call after it, and the extra call that is then missing elsewhere.
	failCost = 6
	// maxFailRate bounds the failure rate in a cost, which would be infinite for a leaf that always fails.
	maxFailRate = 0.9
	// loadDecay is the time constant by which a leaf's load report ages.
	loadDecay = 150 * time.Millisecond
	// overdueFactor is the multiple of the expected time after which the leaf of a call in flight is assumed to be
	// paused.
	overdueFactor = 2.5
	// busyCost is the cost of a used slot as a fraction of the typical call time, so that an idle leaf is
	// preferred.
	busyCost = 0.15
	// otherZoneFactor is the cost factor of a leaf in another zone, where traffic is expensive and a round trip
	// takes a millisecond more. Leaves of a shard differ in speed by up to 1.6, so a leaf in the own zone with a
	// free slot goes before a faster one elsewhere. A leaf in the own zone without a free slot gets the same
	// factor as the others, so that no leaf fills up while others idle.
	otherZoneFactor = 1.7
	// connectCost is the cost of opening a connection: a round trip, and 6 ms in which it occupies a slot.
	connectCost = 7 * time.Millisecond
	// typicalWorkPercent is the WorkTimePercent of a leaf whose work takes the typical time.
	typicalWorkPercent = 100
)

// cheapest returns the index of the candidate with the lowest cost among those that are not disturbed, or of a
// disturbed one that is to be probed. If none of the others has a free slot, it is the one with the lowest cost among
// all: without the disturbed leaf, the queues at the others could grow as long as it is disturbed. Requires mu.
func (t *Table) cheapest(now time.Time, typical time.Duration, candidates []Candidate) int {
	best, lowest := -1, math.Inf(1)
	probe, lowestProbe := -1, math.Inf(1)
	anyDisturbed := false
	for i, c := range candidates {
		l := t.leaf(c, now)
		cost := t.usualCost(l, now, typical, c)
		if !t.disturbed(l, now) {
			if best < 0 || cost < lowest {
				best, lowest = i, cost
			}
			continue
		}
		anyDisturbed = true
		if l.probeDue(now) && cost < lowestProbe {
			probe, lowestProbe = i, cost
		}
	}
	switch {
	case best < 0, anyDisturbed && t.full(candidates[best], now):
		return t.cheapestOfAll(now, typical, candidates)
	case probe >= 0 && lowestProbe < probeCostFactor*lowest:
		return probe
	}
	return best
}

// full reports whether a call to the leaf would wait for a slot. Requires mu.
func (t *Table) full(c Candidate, now time.Time) bool {
	return t.leaf(c, now).queue(now)+1 > float64(max(c.Slots, 1))
}

// cheapestOfAll returns the index of the candidate with the lowest cost, disturbed or not. Requires mu.
func (t *Table) cheapestOfAll(now time.Time, typical time.Duration, candidates []Candidate) int {
	best, lowest := 0, math.Inf(1)
	for i, c := range candidates {
		if cost := t.cost(t.leaf(c, now), now, typical, c); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// Expect returns how long a call to the cheapest candidate is expected to take, and the queue factor included in
// that time.
func (t *Table) Expect(now time.Time, route string, estimate time.Duration, candidates []Candidate) (duration time.Duration, queueFactor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	typical := t.typicalOf(route, estimate)
	best := candidates[t.cheapest(now, typical, candidates)]
	l := t.leaves[best.ID]
	queueFactor = l.queueFactor(l.queue(now), best)
	return l.expected(now, typical, queueFactor), queueFactor
}

// decay moves a value exponentially toward its resting value according to its age.
func decay(value, rest float64, age, constant time.Duration) float64 {
	return rest + (value-rest)*math.Exp(-float64(age)/float64(constant))
}

// queue estimates the number of requests at the leaf from its load report, which ages, and this VM's calls in
// flight.
func (l *leaf) queue(now time.Time) float64 {
	own := float64(len(l.inFlight))
	if l.loadAt.IsZero() {
		return own
	}
	reported := float64(l.load.Running + l.load.Waiting)
	return max(own, decay(reported, own, now.Sub(l.loadAt), loadDecay))
}

// factor returns how long a call is expected to take at the leaf without a queue, as a multiple of the typical time.
func (l *leaf) factor(now time.Time) float64 {
	factor := decay(l.timeFactor, 1, now.Sub(l.timeFactorAt), timeFactorDecay)
	if l.recentSlow.now(now) > slowShareThreshold {
		factor = max(factor, l.slowFactor)
	}
	return factor
}

// expected returns how long a call to the leaf is expected to take with the given queue factor.
func (l *leaf) expected(now time.Time, typical time.Duration, queueFactor float64) time.Duration {
	factor := l.factor(now)
	if l.load.WorkTimePercent > 0 {
		factor *= decay(float64(l.load.WorkTimePercent)/typicalWorkPercent, 1, now.Sub(l.loadAt), loadDecay)
	}
	return time.Duration(float64(typical) * factor * queueFactor)
}

// queueFactor returns how many times as long as on an idle leaf a call takes that finds the given queue.
func (l *leaf) queueFactor(queue float64, c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	factor := 1 + max(0, queue+1-slots)/slots
	if fillsUp(queue, c) {
		factor *= l.crowding.factor()
	}
	return factor
}

// cost returns the expected time of a call, plus the cost of failures and slow calls and the time for which a
// stalled leaf has not answered. Requires mu.
func (t *Table) cost(l *leaf, now time.Time, typical time.Duration, c Candidate) float64 {
	queue := l.queue(now)
	queueFactor := l.queueFactor(queue, c)
	cost := float64(l.expected(now, typical, queueFactor))
	cost += float64(typical) * busyCost * queue / float64(max(c.Slots, 1))
	fail, slow := t.rates(l, now)
	cost += float64(typical) * (failCost*fail/(1-min(fail, maxFailRate)) + slowCost*slow)
	if stalled := l.overdue(now); stalled > 0 {
		cost += float64(stalled) // a leaf that has stalled for this long is likely to stall as long again
	}
	if !c.SameZone || queueFactor > 1 {
		cost *= otherZoneFactor
	}
	if !c.Connected {
		cost += float64(connectCost)
	}
	return cost
}

// overdue returns how long the oldest overdue call has been in flight; 0 if no call is overdue.
func (l *leaf) overdue(now time.Time) time.Duration {
	var longest time.Duration
	for c := range l.inFlight {
		if age := now.Sub(c.sentAt); float64(age) > overdueFactor*float64(c.expected) {
			longest = max(longest, age)
		}
	}
	return longest
}
