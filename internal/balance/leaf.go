package balance

import (
	"math"
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// maxReportTilt is the share by which a leaf's own report may raise or lower its cost.
	maxReportTilt = 0.2
	// reportDecay is the time in which the weight of a report falls to 1/e.
	reportDecay = time.Second
	// slowStartTime is how long a cold leaf receives less than its full share of calls; minColdShare is
	// the part of it that it receives at first.
	slowStartTime = 3 * time.Second
	minColdShare  = 0.1
	// lateFactor multiplies the latency to assume for a call that was given up late, once for each such
	// call before it in a row, up to maxLateCalls: the elapsed time is only a lower bound of the call's
	// latency. maxLateLatency bounds the result, so that a leaf that stays slow is tried about every
	// 5 s.
	lateFactor     = 4
	maxLateCalls   = 8
	maxLateLatency = 10 * time.Second
	// errorFactor and shedFactor multiply the latency estimate of a leaf that failed or shed, which may
	// answer quickly and would otherwise attract calls. minPenalty and maxPenalty bound the result.
	errorFactor = 5
	shedFactor  = 2
	minPenalty  = 10 * time.Millisecond
	maxPenalty  = 250 * time.Millisecond
	// shedHoldTime is how long after a shed a leaf counts as shedding.
	shedHoldTime = time.Second
)

// leafState is the state of one leaf. The balancer's mutex guards it.
type leafState struct {
	// sentTimes holds the times at which the calls in flight were sent, oldest first.
	sentTimes   []time.Time
	lateCalls   lateRun
	incarnation uint64
	latency     peakEWMA
	histogram   latencyHistogram
	limit       limiter
	// coldSince is when a new incarnation was first seen, zero for the first one that was seen.
	coldSince time.Time
	// utilisation is the leaf's last reported utilisation, 0 to 1, and reportedAt when it was received,
	// zero without a report.
	utilisation float64
	reportedAt  time.Time
	// lastShed is when the leaf last shed a call.
	lastShed time.Time
	// capacitySetAt is when the leaf's capacity was last set.
	capacitySetAt time.Time
}

// cost returns the expected time of a call sent now, in nanoseconds. The latency estimate of a leaf
// without recent results has decayed towards 0. Such a stale estimate counts as at least minLatency,
// otherwise calls would accumulate at the leaf before the first of them ends.
func (l *leafState) cost(now time.Time, minLatency float64) float64 {
	latency := l.latency.get(now)
	if l.latency.stale(now) {
		latency = max(latency, minLatency)
	}
	return max(latency, l.oldestAge(now)) * float64(l.inFlight()+1) * (1 + l.reportTilt(now))
}

// inFlight returns the number of calls in flight.
func (l *leafState) inFlight() int { return len(l.sentTimes) }

// oldestAge returns how long the oldest call in flight has run, in nanoseconds: a lower bound of its
// latency that is known before it ends.
func (l *leafState) oldestAge(now time.Time) float64 {
	if len(l.sentTimes) == 0 {
		return 0
	}
	return float64(now.Sub(l.sentTimes[0]))
}

// removeCall removes a call in flight that was sent at the given time.
func (l *leafState) removeCall(sentAt time.Time) {
	if i := slices.Index(l.sentTimes, sentAt); i >= 0 {
		l.sentTimes = slices.Delete(l.sentTimes, i, i+1)
	}
}

// reportTilt returns the share by which the leaf's report changes its cost, from -maxReportTilt to
// +maxReportTilt, decaying with the report's age.
func (l *leafState) reportTilt(now time.Time) float64 {
	if l.reportedAt.IsZero() {
		return 0
	}
	weight := math.Exp(-float64(now.Sub(l.reportedAt)) / float64(reportDecay))
	return maxReportTilt * (2*l.utilisation - 1) * weight
}

// report records the leaf's own load report.
func (l *leafState) report(now time.Time, load *pb.LeafLoad) {
	u := load.GetUtilisation()
	if math.IsNaN(u) {
		return
	}
	l.utilisation, l.reportedAt = min(1, max(0, u)), now
}

// share returns the part of its normal share of calls that the leaf receives: less than 1 while it is
// cold.
func (l *leafState) share(now time.Time) float64 {
	if l.coldSince.IsZero() {
		return 1
	}
	return min(1, max(minColdShare, float64(now.Sub(l.coldSince))/float64(slowStartTime)))
}

// restart discards what was measured of an earlier incarnation.
func (l *leafState) restart(now time.Time, incarnation uint64) {
	if l.incarnation != 0 {
		l.coldSince = now
		l.latency, l.histogram = peakEWMA{}, latencyHistogram{}
		l.reportedAt, l.lastShed = time.Time{}, time.Time{}
		l.limit.restart()
	}
	l.incarnation = incarnation
}

// finish records the end of a call. late is true where it ran at least as long as its group's hedge
// delay.
func (l *leafState) finish(now time.Time, elapsed time.Duration, late bool, r Result) {
	switch r {
	case ResultOK:
		l.observeAnswer(now, elapsed)
	case ResultCancelled:
		l.observeGivenUp(now, elapsed, late)
	case ResultTimeout:
		if !l.limit.nearMinimum(elapsed) { // otherwise the call was given too little time
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

// observeAnswer records the latency of an answered call.
func (l *leafState) observeAnswer(now time.Time, elapsed time.Duration) {
	l.lateCalls = 0
	l.latency.observe(now, elapsed)
	l.histogram.add(now, elapsed)
	l.limit.sample(now, elapsed)
}

// observeGivenUp records a call that was given up. Its latency is unknown but greater than the elapsed
// time, so it counts only where it was late or where the elapsed time exceeds the estimate. Without that,
// a straggler whose calls always lose to their hedges would never be recognised as slow.
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

// lateRun is the number of consecutive calls that were given up late, up to maxLateCalls.
type lateRun int

// next returns the latency to assume for one more such call, and counts it.
func (n *lateRun) next(elapsed time.Duration) time.Duration {
	assumed := elapsed
	for range *n {
		assumed = min(assumed*lateFactor, maxLateLatency)
	}
	*n = min(*n+1, maxLateCalls)
	return max(assumed, elapsed)
}

// penalise multiplies the latency estimate by the factor, up to maxPenalty, and raises it at least to the
// elapsed time.
func (l *leafState) penalise(now time.Time, elapsed time.Duration, factor float64) {
	p := time.Duration(factor * l.latency.get(now))
	p = min(p, maxPenalty)
	l.latency.observe(now, max(p, elapsed))
}

// overloaded reports whether the leaf is at its limit or shed a call recently.
func (l *leafState) overloaded(now time.Time) bool {
	return !l.limit.allows(l.inFlight()) || l.shedLately(now)
}

func (l *leafState) shedLately(now time.Time) bool {
	return !l.lastShed.IsZero() && now.Sub(l.lastShed) < shedHoldTime
}
