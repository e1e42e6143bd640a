package balance

import (
	"math"
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// maxReportTilt is how far a leaf's own report may move its cost, up or down.
	maxReportTilt = 0.2
	// reportDecay is the time in which a report loses all but 1/e of its weight.
	reportDecay = time.Second
	// slowStartTime is how long a cold leaf takes to get its whole share; coldLeast is its share at first.
	slowStartTime = 3 * time.Second
	minColdShare  = 0.1
	// lateFactor raises the latency estimate of a leaf with each call in a row that was given up
	// late: the time it took is only the least that the call would have taken. outlastMost bounds it:
	// with it a leaf that stays slow is tried about every 5 s.
	lateFactor     = 4
	maxLateCalls   = 8
	maxLateLatency = 10 * time.Second
	// errorFactor and shedFactor raise the latency estimate of a leaf that failed or shed, which may
	// answer quickly and would attract calls otherwise; penaltyLeast and penaltyMost bound it.
	errorFactor = 5
	shedFactor  = 2
	minPenalty  = 10 * time.Millisecond
	maxPenalty  = 250 * time.Millisecond
	// shedHoldTime is how long after a shed a leaf counts as shedding.
	shedHoldTime = time.Second
)

// leafState is what is known of one leaf. The balancer's mutex guards it.
type leafState struct {
	// sentTimes is when each call in flight was sent, the oldest first.
	sentTimes   []time.Time
	lateCalls   lateRun
	incarnation uint64
	latency     peakEWMA
	histogram   latencyHistogram
	limit       limiter
	// coldSince is when a new incarnation was first seen, zero for one that was there from the start.
	coldSince time.Time
	// utilisation is the leaf's reported utilisation, 0 to 1, and when it came.
	utilisation float64
	reportedAt  time.Time
	// lastShed is when the leaf last shed.
	lastShed time.Time
	// capacitySetAt is when the leaf's capacity was last set.
	capacitySetAt time.Time
}

// cost is the expected time of a call sent now, in nanoseconds. The estimate of a leaf that was not
// heard of for a while has fallen to nothing; it is not believed below least, or calls would pile
// up on the leaf before the first of them ends.
func (l *leafState) cost(now time.Time, minLatency float64) float64 {
	latency := l.latency.get(now)
	if l.latency.stale(now) {
		latency = max(latency, minLatency)
	}
	return max(latency, l.oldestAge(now)) * float64(l.inFlight()+1) * (1 + l.reportTilt(now))
}

// inFlight returns the number of calls in flight.
func (l *leafState) inFlight() int { return len(l.sentTimes) }

// oldestAge is how long the oldest call in flight has run, in nanoseconds: the least that it takes, known
// before it ends.
func (l *leafState) oldestAge(now time.Time) float64 {
	if len(l.sentTimes) == 0 {
		return 0
	}
	return float64(now.Sub(l.sentTimes[0]))
}

// removeCall takes out a call that was sent at the time.
func (l *leafState) removeCall(sentAt time.Time) {
	if i := slices.Index(l.sentTimes, sentAt); i >= 0 {
		l.sentTimes = slices.Delete(l.sentTimes, i, i+1)
	}
}

// reportTilt is what the leaf's report adds to its cost, -hintMost to +hintMost, less with its age.
func (l *leafState) reportTilt(now time.Time) float64 {
	if l.reportedAt.IsZero() {
		return 0
	}
	weight := math.Exp(-float64(now.Sub(l.reportedAt)) / float64(reportDecay))
	return maxReportTilt * (2*l.utilisation - 1) * weight
}

// report takes in the leaf's own load report.
func (l *leafState) report(now time.Time, load *pb.LeafLoad) {
	u := load.GetUtilisation()
	if math.IsNaN(u) {
		return
	}
	l.utilisation, l.reportedAt = min(1, max(0, u)), now
}

// share is the part of its usual calls that the leaf takes: less than 1 while it is cold.
func (l *leafState) share(now time.Time) float64 {
	if l.coldSince.IsZero() {
		return 1
	}
	return min(1, max(minColdShare, float64(now.Sub(l.coldSince))/float64(slowStartTime)))
}

// restart forgets what was learned of an earlier incarnation.
func (l *leafState) restart(now time.Time, incarnation uint64) {
	if l.incarnation != 0 {
		l.coldSince = now
		l.latency, l.histogram = peakEWMA{}, latencyHistogram{}
		l.reportedAt, l.lastShed = time.Time{}, time.Time{}
		l.limit.restart()
	}
	l.incarnation = incarnation
}

// finish takes in the end of a call; late is true where it ran for longer than its group's hedge delay.
func (l *leafState) finish(now time.Time, elapsed time.Duration, late bool, r Result) {
	switch r {
	case ResultOK:
		l.observeAnswer(now, elapsed)
	case ResultCancelled:
		l.observeGivenUp(now, elapsed, late)
	case ResultTimeout:
		if !l.limit.nearMinimum(elapsed) { // else the caller gave the call too little time
			l.limit.cutAfterRefusal(now)
		}
		l.observeGivenUp(now, elapsed, late)
	case ResultShed:
		l.lastShed = now
		l.penalise(now, max(elapsed, minPenalty), shedFactor)
		l.limit.cutAfterRefusal(now)
	case ResultError:
		l.penalise(now, max(elapsed, minPenalty), errorFactor)
	case ResultNeutral:
	}
}

func (l *leafState) observeAnswer(now time.Time, elapsed time.Duration) {
	l.lateCalls = 0
	l.latency.observe(now, elapsed)
	l.histogram.add(now, elapsed)
	l.limit.sample(now, elapsed)
}

// observeGivenUp takes in a call that was given up: its latency is not known, but more than this. So it
// counts only where it was late, or exceeds the estimates as it is. Without that, a straggler whose
// calls always lose to their hedges would never be seen to be slow.
func (l *leafState) observeGivenUp(now time.Time, elapsed time.Duration, late bool) {
	if late {
		l.histogram.add(now, elapsed)
		l.latency.observe(now, l.lateCalls.next(elapsed))
	} else if float64(elapsed) > l.latency.get(now) {
		l.latency.observe(now, elapsed)
	}
	if !l.limit.nearMinimum(elapsed) {
		l.limit.sample(now, elapsed)
	}
}

// lateRun is how many calls in a row were given up late.
type lateRun int

// next returns the latency to assume for one more such call.
func (n *lateRun) next(elapsed time.Duration) time.Duration {
	assumed := elapsed
	for range *n {
		assumed = min(assumed*lateFactor, maxLateLatency)
	}
	*n = min(*n+1, maxLateCalls)
	return max(assumed, elapsed)
}

func (l *leafState) penalise(now time.Time, elapsed time.Duration, factor float64) {
	p := time.Duration(factor * l.latency.get(now))
	p = min(p, maxPenalty)
	l.latency.observe(now, max(p, elapsed))
}

// overloaded tells whether the leaf is at its limit or shed lately.
func (l *leafState) overloaded(now time.Time) bool {
	return !l.limit.allows(l.inFlight()) || l.shedLately(now)
}

func (l *leafState) shedLately(now time.Time) bool {
	return !l.lastShed.IsZero() && now.Sub(l.lastShed) < shedHoldTime
}
