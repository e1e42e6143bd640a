package replica

import (
	"math"
	"time"
)

const (
	// paceForget is the time constant by which a pace goes back to 1.
	paceForget = 4 * time.Second
	// mostlySlow is the part of slow calls among the latest from which a leaf is expected to be slow again: five in
	// a row, more than a pause strikes of one VM.
	mostlySlow = 0.6
	// slowCost is what a slow call costs in usual times: most are hedged after two to three, and what the
	// hedge takes from the budget is missing elsewhere.
	slowCost = 6
	// failCost is what a failed call costs in usual times: the wait for its end and for the call after
	// it, and the extra call that is missing elsewhere then.
	failCost = 6
	// failMost bounds the rate of failure in a cost, which would be endless for a leaf that always fails.
	failMost = 0.9
	// loadForget is the time constant by which a leaf's own report of its load ages.
	loadForget = 150 * time.Millisecond
	// overdueAfter is how many times the expected time a call is in flight before its leaf is taken
	// to be paused.
	overdueAfter = 2.5
	// busyCost is the cost of a used slot, in parts of a usual time, so that an idle leaf goes first.
	busyCost = 0.15
	// farCost is the factor of a leaf in another zone, where bytes are dear and a round trip takes a
	// millisecond more. Leaves of a shard differ in speed by up to 1.6: one of the own zone with a
	// free slot goes before a faster one elsewhere. One without is worth no more than the others, so that no leaf fills
	// up while others idle.
	farCost = 1.7
	// openCost is what opening a connection takes: a round trip, and 6 ms in which it holds a slot.
	openCost = 7 * time.Millisecond
	// noiseUsual is the figure by which a leaf reports that its work takes as long as usual.
	noiseUsual = 100
)

// cheapest returns the index of the cheapest of some candidates. Requires mu.
func (t *Table) cheapest(now time.Time, usual time.Duration, from []Candidate) int {
	best, least := 0, math.Inf(1)
	for i, c := range from {
		if cost := t.cost(t.leaf(c, now), now, usual, c); cost < least {
			best, least = i, cost
		}
	}
	return best
}

// Expect returns how long a call to the cheapest of some candidates is expected to take, and by what factor that
// is for want of a slot there.
func (t *Table) Expect(now time.Time, route string, guess time.Duration, from []Candidate) (takes time.Duration, crowd float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usual := t.usualOf(route, guess)
	best := from[t.cheapest(now, usual, from)]
	l := t.leaves[best.ID]
	crowd = l.crowd(l.queue(now), best)
	return l.expected(now, usual, crowd), crowd
}

// toward moves a value to its rest by the time passed.
func toward(value, rest float64, age, constant time.Duration) float64 {
	return rest + (value-rest)*math.Exp(-float64(age)/float64(constant))
}

// queue estimates the requests at the leaf now: the report, which ages, and our own.
func (l *leaf) queue(now time.Time) float64 {
	own := float64(len(l.begun))
	if l.loadAt.IsZero() {
		return own
	}
	reported := float64(l.load.Running + l.load.Waiting)
	return max(own, toward(reported, own, now.Sub(l.loadAt), loadForget))
}

// expected is the time that a call to the leaf would take where it is crowded by the given factor.
func (l *leaf) expected(now time.Time, usual time.Duration, crowd float64) time.Duration {
	pace := toward(l.pace, 1, now.Sub(l.paceAt), paceForget)
	if l.slowly.now(now) > mostlySlow {
		pace = max(pace, l.slowPace)
	}
	if l.load.WorkTimePercent > 0 {
		pace *= toward(float64(l.load.WorkTimePercent)/noiseUsual, 1, now.Sub(l.loadAt), loadForget)
	}
	return time.Duration(float64(usual) * pace * crowd)
}

// crowd is how many times as long as on an idle leaf a call takes that finds the queue.
func (l *leaf) crowd(queue float64, c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	return 1 + max(0, queue+1-slots)/slots
}

// cost is the expected time, with what failures cost and how long a leaf that stands still already has.
// Requires mu.
func (t *Table) cost(l *leaf, now time.Time, usual time.Duration, c Candidate) float64 {
	queue := l.queue(now)
	crowd := l.crowd(queue, c)
	cost := float64(l.expected(now, usual, crowd))
	cost += float64(usual) * busyCost * queue / float64(max(c.Slots, 1))
	fail, slow := t.rates(l, now)
	cost += float64(usual) * (failCost*fail/(1-min(fail, failMost)) + slowCost*slow)
	if stood := l.overdue(now); stood > 0 {
		cost += float64(stood) // a leaf that stood still for so long is likely to do so as long again
	}
	if !c.Near || crowd > 1 {
		cost *= farCost
	}
	if !c.Open {
		cost += float64(openCost)
	}
	return cost
}

// overdue is how long the oldest call has been in flight beyond its due time; 0 where none is.
func (l *leaf) overdue(now time.Time) time.Duration {
	var most time.Duration
	for c := range l.begun {
		if age := now.Sub(c.begun); float64(age) > overdueAfter*float64(c.expected) {
			most = max(most, age)
		}
	}
	return most
}
