package balance

import "time"

const (
	// minWindowTime and minWindowSamples are the least time and number of samples of a window.
	minWindowTime    = 100 * time.Millisecond
	minWindowSamples = 8
	// latencyTolerance is the ratio of the mean latency to the least one above which calls count as
	// queueing.
	latencyTolerance = 1.5
	// cutFactor multiplies the limit after a shed or a timeout. minGradient is the least factor after a
	// window in which calls queued.
	cutFactor   = 0.75
	minGradient = 0.5
	// maxLimitPerSlot bounds the limit in multiples of the leaf's slots: a single gather needs that many
	// calls to keep all slots busy while others are on the network.
	maxLimitPerSlot = 2
	// retainedWindows is the number of windows over which the least mean latency is taken.
	retainedWindows = 64
)

// limiter bounds the calls in flight from this gather to one leaf. It adds one call per window in which
// the limit was reached and the latency was near the least known one (the increase of AIMD). It cuts the
// limit at a shed or a timeout (the decrease of AIMD) and, by the gradient of least to present latency,
// where calls queue. The gradient is needed because a leaf with a long queue sheds late: AIMD alone would
// first fill the queue. The gradient alone doesn't suffice, because a leaf that sheds answers quickly.
type limiter struct {
	limit float64
	// slots is the number of the leaf's slots, and initial this gather's share of them, with which the
	// limit starts.
	slots, initial float64
	means          windowMeans

	// The fields of the current window: its start, its samples and their sum, the most calls in flight,
	// and whether the limit was cut in it.
	windowStart  time.Time
	samples      int
	latencySum   time.Duration
	peakInFlight int
	wasCut       bool
}

// setCapacity sets the leaf's slots and how many gathers share them.
func (l *limiter) setCapacity(slots, sharers int) {
	s := float64(max(1, slots))
	start := max(1, s/float64(max(1, sharers)))
	if s == l.slots && start == l.initial {
		return
	}
	fresh := l.slots == 0
	l.slots, l.initial = s, start
	if fresh || l.limit < start {
		l.limit = start
	}
	l.limit = min(l.limit, l.ceiling())
}

// ceiling returns the upper bound of the limit.
func (l *limiter) ceiling() float64 { return max(1, maxLimitPerSlot*l.slots) }

// restart resets the limit to one call, for a cold leaf.
func (l *limiter) restart() {
	*l = limiter{limit: 1, slots: l.slots, initial: l.initial}
}

// allows reports whether one more call may be sent.
func (l *limiter) allows(inFlight int) bool { return inFlight < int(max(1, l.limit)) }

// begin records the number of calls in flight, including the one that is being sent.
func (l *limiter) begin(now time.Time, inFlight int) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.peakInFlight = max(l.peakInFlight, inFlight)
}

// sample adds the latency of a call that ended. It closes the window and adjusts the limit once the
// window is long enough.
func (l *limiter) sample(now time.Time, d time.Duration) {
	l.samples++
	l.latencySum += d
	if l.samples < minWindowSamples || now.Sub(l.windowStart) < minWindowTime {
		return
	}
	mean := float64(l.latencySum) / float64(l.samples)
	minimum := l.means.add(mean)
	switch {
	case l.wasCut:
	case mean > latencyTolerance*minimum:
		l.limit = max(1, l.limit*max(minGradient, latencyTolerance*minimum/mean))
	case l.peakInFlight >= int(l.limit):
		l.limit = min(l.limit+1, l.ceiling())
	}
	l.windowStart, l.samples, l.latencySum, l.peakInFlight, l.wasCut = now, 0, 0, 0, false
}

// cutAfterRefusal cuts the limit after a shed or a timeout, at most once per window.
func (l *limiter) cutAfterRefusal(now time.Time) {
	if l.wasCut && now.Sub(l.windowStart) < minWindowTime {
		return
	}
	l.limit = max(1, l.limit*cutFactor)
	l.windowStart, l.samples, l.latencySum, l.peakInFlight, l.wasCut = now, 0, 0, 0, true
}

// nearMinimum reports whether a latency is so close to the least known one that it indicates no queue.
func (l *limiter) nearMinimum(d time.Duration) bool {
	return l.means.n == 0 || float64(d) <= latencyTolerance*l.means.minimum()
}

// windowMeans is a ring of the mean latencies of the last windows, in nanoseconds.
type windowMeans struct {
	values [retainedWindows]float64
	n      int
}

// add adds a mean and returns the least one retained.
func (m *windowMeans) add(x float64) float64 {
	m.values[m.n%retainedWindows] = x
	m.n++
	return m.minimum()
}

func (m *windowMeans) minimum() float64 {
	minimum := m.values[0]
	for _, x := range m.values[:min(m.n, retainedWindows)] {
		minimum = min(minimum, x)
	}
	return minimum
}
