package balance

import "time"

const (
	// A window of the limiter lasts this long and holds as many samples at least.
	minWindowTime    = 100 * time.Millisecond
	minWindowSamples = 8
	// latencyTolerance is how far the mean latency may lie above the least one without a queue.
	latencyTolerance = 1.5
	// cutFactor is what is left of the limit after a shed or a timeout; limitLeast of it after a
	// window of queueing.
	cutFactor   = 0.75
	minGradient = 0.5
	// maxLimitPerSlot bounds the limit in multiples of the leaf's slots: what a single gather needs to
	// fill all slots with calls on their way.
	maxLimitPerSlot = 2
	// retainedWindows is how many windows the least mean latency is kept for.
	retainedWindows = 64
)

// limiter bounds the calls in flight to one leaf from this gather. It adds one a window where the
// limit was reached and the latency is near the least known (AIMD's increase), and cuts at a shed
// or a timeout (AIMD's decrease) and, by the gradient of least to present latency, where calls
// queue. The gradient is there because a leaf with a long queue sheds late: AIMD alone would fill
// the queue first. A limit by gradient alone was ruled out, for a leaf that sheds answers quickly.
type limiter struct {
	limit float64
	// slots of the leaf and start, its share of them.
	slots, initial float64
	means          windowMeans

	// The window under way: when it began, its samples, the most calls in flight, and whether the
	// limit was cut in it.
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

func (l *limiter) ceiling() float64 { return max(1, maxLimitPerSlot*l.slots) }

// restart begins anew with one call, as for a cold leaf.
func (l *limiter) restart() {
	*l = limiter{limit: 1, slots: l.slots, initial: l.initial}
}

// allows tells whether one more call may be sent.
func (l *limiter) allows(inFlight int) bool { return inFlight < int(max(1, l.limit)) }

// begin notes the calls in flight with the new one.
func (l *limiter) begin(now time.Time, inFlight int) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.peakInFlight = max(l.peakInFlight, inFlight)
}

// sample takes in the latency of a call that ended, and closes the window when it is due.
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

// cutAfterRefusal takes in a shed or a timeout: one cut a window.
func (l *limiter) cutAfterRefusal(now time.Time) {
	if l.wasCut && now.Sub(l.windowStart) < minWindowTime {
		return
	}
	l.limit = max(1, l.limit*cutFactor)
	l.windowStart, l.samples, l.latencySum, l.peakInFlight, l.wasCut = now, 0, 0, 0, true
}

// nearMinimum tells whether a latency says nothing of a queue.
func (l *limiter) nearMinimum(d time.Duration) bool {
	return l.means.n == 0 || float64(d) <= latencyTolerance*l.means.minimum()
}

// windowMeans keeps the mean latencies of the last windows.
type windowMeans struct {
	values [retainedWindows]float64
	n      int
}

// add takes in a mean and returns the least.
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
