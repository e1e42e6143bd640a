package balance

import (
	"math"
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// hintMost is how far a leaf's own report may move its cost, up or down.
	hintMost = 0.2
	// hintDecay is the time in which a report loses all but 1/e of its weight.
	hintDecay = time.Second
	// slowStart is how long a cold leaf takes to get its whole share; coldLeast is its share at first.
	slowStart = 3 * time.Second
	coldLeast = 0.1
	// outlastFactor raises the latency estimate of a leaf with each call in a row that was given up
	// late: the time it took is only the least that the call would have taken. outlastMost bounds it:
	// with it a leaf that stays slow is tried about every 5 s.
	outlastFactor = 4
	latenessMost  = 8
	outlastMost   = 10 * time.Second
	// errorFactor and shedFactor raise the latency estimate of a leaf that failed or shed, which may
	// answer quickly and would attract calls otherwise; penaltyLeast and penaltyMost bound it.
	errorFactor  = 5
	shedFactor   = 2
	penaltyLeast = 10 * time.Millisecond
	penaltyMost  = 250 * time.Millisecond
	// shedHold is how long after a shed a leaf counts as shedding.
	shedHold = time.Second
)

// leafState is what is known of one leaf. The balancer's mutex guards it.
type leafState struct {
	// begun is when each call in flight was sent, the oldest first.
	begun       []time.Time
	late        lateness
	incarnation uint64
	latency     peakEWMA
	tail        tail
	limit       limiter
	// cold is when a new incarnation was first seen, zero for one that was there from the start.
	cold time.Time
	// hint is the leaf's reported utilisation, 0 to 1, and when it came.
	hint   float64
	hintAt time.Time
	// shed is when the leaf last shed.
	shed time.Time
	// told is when the leaf's capacity was last set.
	told time.Time
}

// cost is the expected time of a call sent now, in nanoseconds. The estimate of a leaf that was not
// heard of for a while has fallen to nothing; it is not believed below least, or calls would pile
// up on the leaf before the first of them ends.
func (l *leafState) cost(now time.Time, least float64) float64 {
	latency := l.latency.get(now)
	if l.latency.stale(now) {
		latency = max(latency, least)
	}
	return max(latency, l.waited(now)) * float64(l.inFlight()+1) * (1 + l.tilt(now))
}

// inFlight returns the number of calls in flight.
func (l *leafState) inFlight() int { return len(l.begun) }

// waited is how long the oldest call in flight has run, in nanoseconds: the least that it takes, known
// before it ends.
func (l *leafState) waited(now time.Time) float64 {
	if len(l.begun) == 0 {
		return 0
	}
	return float64(now.Sub(l.begun[0]))
}

// ended takes out a call that was sent at the time.
func (l *leafState) ended(begun time.Time) {
	if i := slices.Index(l.begun, begun); i >= 0 {
		l.begun = slices.Delete(l.begun, i, i+1)
	}
}

// tilt is what the leaf's report adds to its cost, -hintMost to +hintMost, less with its age.
func (l *leafState) tilt(now time.Time) float64 {
	if l.hintAt.IsZero() {
		return 0
	}
	weight := math.Exp(-float64(now.Sub(l.hintAt)) / float64(hintDecay))
	return hintMost * (2*l.hint - 1) * weight
}

// report takes in the leaf's own load report.
func (l *leafState) report(now time.Time, load *pb.LeafLoad) {
	u := load.GetUtilisation()
	if math.IsNaN(u) {
		return
	}
	l.hint, l.hintAt = min(1, max(0, u)), now
}

// share is the part of its usual calls that the leaf takes: less than 1 while it is cold.
func (l *leafState) share(now time.Time) float64 {
	if l.cold.IsZero() {
		return 1
	}
	return min(1, max(coldLeast, float64(now.Sub(l.cold))/float64(slowStart)))
}

// restart forgets what was learned of an earlier incarnation.
func (l *leafState) restart(now time.Time, incarnation uint64) {
	if l.incarnation != 0 {
		l.cold = now
		l.latency, l.tail = peakEWMA{}, tail{}
		l.hintAt, l.shed = time.Time{}, time.Time{}
		l.limit.restart()
	}
	l.incarnation = incarnation
}

// done takes in the end of a call; late is true where it ran for longer than its group's hedge delay.
func (l *leafState) done(now time.Time, took time.Duration, late bool, r Result) {
	switch r {
	case ResultOK:
		l.observe(now, took)
	case ResultCancelled:
		l.givenUp(now, took, late)
	case ResultTimeout:
		if !l.limit.near(took) { // else the caller gave the call too little time
			l.limit.refuse(now)
		}
		l.givenUp(now, took, late)
	case ResultShed:
		l.shed = now
		l.penalise(now, max(took, penaltyLeast), shedFactor)
		l.limit.refuse(now)
	case ResultError:
		l.penalise(now, max(took, penaltyLeast), errorFactor)
	case ResultNeutral:
	}
}

func (l *leafState) observe(now time.Time, took time.Duration) {
	l.late = 0
	l.latency.observe(now, took)
	l.tail.add(now, took)
	l.limit.sample(now, took)
}

// givenUp takes in a call that was given up: its latency is not known, but more than this. So it
// counts only where it was late, or exceeds the estimates as it is. Without that, a straggler whose
// calls always lose to their hedges would never be seen to be slow.
func (l *leafState) givenUp(now time.Time, took time.Duration, late bool) {
	if late {
		l.tail.add(now, took)
		l.latency.observe(now, l.late.next(took))
	} else if float64(took) > l.latency.get(now) {
		l.latency.observe(now, took)
	}
	if !l.limit.near(took) {
		l.limit.sample(now, took)
	}
}

// lateness is how many calls in a row were given up late.
type lateness int

// next returns the latency to assume for one more such call.
func (n *lateness) next(took time.Duration) time.Duration {
	assumed := took
	for range *n {
		assumed = min(assumed*outlastFactor, outlastMost)
	}
	*n = min(*n+1, latenessMost)
	return max(assumed, took)
}

func (l *leafState) penalise(now time.Time, took time.Duration, factor float64) {
	p := time.Duration(factor * l.latency.get(now))
	p = min(p, penaltyMost)
	l.latency.observe(now, max(p, took))
}

// overloaded tells whether the leaf is at its limit or shed lately.
func (l *leafState) overloaded(now time.Time) bool {
	return !l.limit.allows(l.inFlight()) || l.shedLately(now)
}

func (l *leafState) shedLately(now time.Time) bool {
	return !l.shed.IsZero() && now.Sub(l.shed) < shedHold
}
