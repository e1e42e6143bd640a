package replica

import (
	"math"
	"time"
)

const (
	// timeFactorDecay is the time constant by which a pace goes back to 1.
	timeFactorDecay = 4 * time.Second
	// slowShareThreshold is the part of slow calls among the latest from which a leaf is expected to be slow again: five in
	// a row, more than a pause strikes of one VM.
	slowShareThreshold = 0.6
	// slowCost is what a slow call costs in usual times: most are hedged after two to three, and what the
	// hedge takes from the budget is missing elsewhere.
	slowCost = 6
	// failCost is what a failed call costs in usual times: the wait for its end and for the call after
	// it, and the extra call that is missing elsewhere then.
	failCost = 6
	// maxFailRate bounds the rate of failure in a cost, which would be endless for a leaf that always fails.
	maxFailRate = 0.9
	// loadDecay is the time constant by which a leaf's own report of its load ages.
	loadDecay = 150 * time.Millisecond
	// overdueFactor is how many times the expected time a call is in flight before its leaf is taken
	// to be paused.
	overdueFactor = 2.5
	// busyCost is the cost of a used slot, in parts of a usual time, so that an idle leaf goes first.
	busyCost = 0.15
	// otherZoneFactor is the factor of a leaf in another zone, where bytes are dear and a round trip takes a
	// millisecond more. Leaves of a shard differ in speed by up to 1.6: one of the own zone with a
	// free slot goes before a faster one elsewhere. One without is worth no more than the others, so that no leaf fills
	// up while others idle.
	otherZoneFactor = 1.7
	// connectCost is what opening a connection takes: a round trip, and 6 ms in which it holds a slot.
	connectCost = 7 * time.Millisecond
	// typicalWorkPercent is the figure by which a leaf reports that its work takes as long as usual.
	typicalWorkPercent = 100
)

// cheapest returns the index of the cheapest of some candidates. Requires mu.
func (t *Table) cheapest(now time.Time, typical time.Duration, candidates []Candidate) int {
	best, lowest := 0, math.Inf(1)
	for i, c := range candidates {
		if cost := t.cost(t.leaf(c, now), now, typical, c); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// Expect returns how long a call to the cheapest of some candidates is expected to take, and by what factor that
// is for want of a slot there.
func (t *Table) Expect(now time.Time, route string, estimate time.Duration, candidates []Candidate) (duration time.Duration, queueFactor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	typical := t.typicalOf(route, estimate)
	best := candidates[t.cheapest(now, typical, candidates)]
	l := t.leaves[best.ID]
	queueFactor = l.queueFactor(l.queue(now), best)
	return l.expected(now, typical, queueFactor), queueFactor
}

// decay moves a value to its rest by the time passed.
func decay(value, rest float64, age, constant time.Duration) float64 {
	return rest + (value-rest)*math.Exp(-float64(age)/float64(constant))
}

// queue estimates the requests at the leaf now: the report, which ages, and our own.
func (l *leaf) queue(now time.Time) float64 {
	own := float64(len(l.inFlight))
	if l.loadAt.IsZero() {
		return own
	}
	reported := float64(l.load.Running + l.load.Waiting)
	return max(own, decay(reported, own, now.Sub(l.loadAt), loadDecay))
}

// expected is the time that a call to the leaf would take where it is crowded by the given factor.
func (l *leaf) expected(now time.Time, typical time.Duration, queueFactor float64) time.Duration {
	factor := decay(l.timeFactor, 1, now.Sub(l.timeFactorAt), timeFactorDecay)
	if l.recentSlow.now(now) > slowShareThreshold {
		factor = max(factor, l.slowFactor)
	}
	if l.load.WorkTimePercent > 0 {
		factor *= decay(float64(l.load.WorkTimePercent)/typicalWorkPercent, 1, now.Sub(l.loadAt), loadDecay)
	}
	return time.Duration(float64(typical) * factor * queueFactor)
}

// queueFactor is how many times as long as on an idle leaf a call takes that finds the queue.
func (l *leaf) queueFactor(queue float64, c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	return 1 + max(0, queue+1-slots)/slots
}

// cost is the expected time, with what failures cost and how long a leaf that stands still already has.
// Requires mu.
func (t *Table) cost(l *leaf, now time.Time, typical time.Duration, c Candidate) float64 {
	queue := l.queue(now)
	queueFactor := l.queueFactor(queue, c)
	cost := float64(l.expected(now, typical, queueFactor))
	cost += float64(typical) * busyCost * queue / float64(max(c.Slots, 1))
	fail, slow := t.rates(l, now)
	cost += float64(typical) * (failCost*fail/(1-min(fail, maxFailRate)) + slowCost*slow)
	if stalled := l.overdue(now); stalled > 0 {
		cost += float64(stalled) // a leaf that stood still for so long is likely to do so as long again
	}
	if !c.SameZone || queueFactor > 1 {
		cost *= otherZoneFactor
	}
	if !c.Connected {
		cost += float64(connectCost)
	}
	return cost
}

// overdue is how long the oldest call has been in flight beyond its due time; 0 where none is.
func (l *leaf) overdue(now time.Time) time.Duration {
	var longest time.Duration
	for c := range l.inFlight {
		if age := now.Sub(c.sentAt); float64(age) > overdueFactor*float64(c.expected) {
			longest = max(longest, age)
		}
	}
	return longest
}
