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

// cheapest returns the index of the candidate with the lowest cost. A full leaf is chosen only if all are full.
// Requires mu.
func (t *Table) cheapest(now time.Time, typical time.Duration, candidates []Candidate) int {
	best, lowest, bestFull := 0, math.Inf(1), true
	for i, c := range candidates {
		l := t.leaf(c, now)
		cost, full := t.cost(l, now, typical, c), t.full(l, now) || l.stalled(now) || l.unresponsiveFor(now) > 0
		if bestFull && !full || bestFull == full && cost < lowest {
			best, lowest, bestFull = i, cost, full
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
	return t.expected(t.leaves[best.ID], now, typical, best)
}

// decay moves a value exponentially toward its resting value according to its age.
func decay(value, rest float64, age, constant time.Duration) float64 {
	return rest + (value-rest)*math.Exp(-float64(age)/float64(constant))
}

// queue estimates the number of requests at the leaf from its load report, which ages, and this VM's calls in
// flight. Calls sent since the report are not included in it.
func (l *leaf) queue(now time.Time) float64 { return l.queueAfter(now, now.Sub(l.loadAt)) }

// queueAfter returns the queue at a leaf whose report counts as having the given age.
func (l *leaf) queueAfter(now time.Time, age time.Duration) float64 {
	own := float64(len(l.inFlight))
	if l.loadAt.IsZero() {
		return own
	}
	since := 0.0
	for c := range l.inFlight {
		if c.sentAt.After(l.loadAt) {
			since++
		}
	}
	reported := float64(l.load.Running + l.load.Waiting)
	return max(own, decay(reported, own-since, age, loadDecay)+since)
}

// speed returns how long a call currently holds a slot of the leaf, as a multiple of the typical time.
func (l *leaf) speed(now time.Time) float64 {
	factor := decay(l.timeFactor, 1, now.Sub(l.timeFactorAt), timeFactorDecay)
	if l.recentSlow.now(now) > slowShareThreshold {
		factor = max(factor, l.slowFactor)
	}
	if l.load.WorkTimePercent > 0 {
		factor *= decay(float64(l.load.WorkTimePercent)/typicalWorkPercent, 1, now.Sub(l.loadAt), loadDecay)
	}
	return factor
}

// expected returns how long a call to the leaf is expected to take, and how many times as long as on an idle leaf that
// is. The calls of other routes that wait there count with the mean slot time of the service: they may take three
// times as long as those of the asking route. Requires mu.
func (t *Table) expected(l *leaf, now time.Time, typical time.Duration, c Candidate) (duration time.Duration, queueFactor float64) {
	idle := max(1, float64(typical)*l.speed(now))
	queueFactor = 1 + float64(t.waitAt(l, now, typical, c))/idle
	return time.Duration(idle * queueFactor), queueFactor
}

// cost returns the expected time of a call, plus the cost of failures and slow calls and the time for which a
// stalled leaf has not answered. Requires mu.
func (t *Table) cost(l *leaf, now time.Time, typical time.Duration, c Candidate) float64 {
	expected, queueFactor := t.expected(l, now, typical, c)
	cost := float64(expected)
	cost += float64(typical) * busyCost * l.queue(now) / l.slots(c)
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
