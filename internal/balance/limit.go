package balance

import "time"

const (
	// A window of the limiter lasts this long and holds as many samples at least.
	limitWindow  = 100 * time.Millisecond
	limitSamples = 8
	// limitTolerance is how far the mean latency may lie above the least one without a queue.
	limitTolerance = 1.5
	// limitCut is what is left of the limit after a shed or a timeout; limitLeast of it after a
	// window of queueing.
	limitCut   = 0.75
	limitLeast = 0.5
	// limitCeiling bounds the limit in multiples of the leaf's slots: what a single gather needs to
	// fill all slots with calls on their way.
	limitCeiling = 2
	// limitMemory is how many windows the least mean latency is kept for.
	limitMemory = 64
)

// limiter bounds the calls in flight to one leaf from this gather. It adds one a window where the
// limit was reached and the latency is near the least known (AIMD's increase), and cuts at a shed
// or a timeout (AIMD's decrease) and, by the gradient of least to present latency, where calls
// queue. The gradient is there because a leaf with a long queue sheds late: AIMD alone would fill
// the queue first. A limit by gradient alone was ruled out, for a leaf that sheds answers quickly.
type limiter struct {
	limit float64
	// slots of the leaf and start, its share of them.
	slots, start float64
	means        means

	// The window under way: when it began, its samples, the most calls in flight, and whether the
	// limit was cut in it.
	opened time.Time
	n      int
	sum    time.Duration
	peak   int
	cut    bool
}

// setCapacity sets the leaf's slots and how many gathers share them.
func (l *limiter) setCapacity(slots, sharers int) {
	s := float64(max(1, slots))
	start := max(1, s/float64(max(1, sharers)))
	if s == l.slots && start == l.start {
		return
	}
	fresh := l.slots == 0
	l.slots, l.start = s, start
	if fresh || l.limit < start {
		l.limit = start
	}
	l.limit = min(l.limit, l.ceiling())
}

func (l *limiter) ceiling() float64 { return max(1, limitCeiling*l.slots) }

// restart begins anew with one call, as for a cold leaf.
func (l *limiter) restart() {
	*l = limiter{limit: 1, slots: l.slots, start: l.start}
}

// allows tells whether one more call may be sent.
func (l *limiter) allows(inFlight int) bool { return inFlight < int(max(1, l.limit)) }

// begin notes the calls in flight with the new one.
func (l *limiter) begin(now time.Time, inFlight int) {
	if l.opened.IsZero() {
		l.opened = now
	}
	l.peak = max(l.peak, inFlight)
}

// sample takes in the latency of a call that ended, and closes the window when it is due.
func (l *limiter) sample(now time.Time, d time.Duration) {
	l.n++
	l.sum += d
	if l.n < limitSamples || now.Sub(l.opened) < limitWindow {
		return
	}
	mean := float64(l.sum) / float64(l.n)
	least := l.means.add(mean)
	switch {
	case l.cut:
	case mean > limitTolerance*least:
		l.limit = max(1, l.limit*max(limitLeast, limitTolerance*least/mean))
	case l.peak >= int(l.limit):
		l.limit = min(l.limit+1, l.ceiling())
	}
	l.opened, l.n, l.sum, l.peak, l.cut = now, 0, 0, 0, false
}

// refuse takes in a shed or a timeout: one cut a window.
func (l *limiter) refuse(now time.Time) {
	if l.cut && now.Sub(l.opened) < limitWindow {
		return
	}
	l.limit = max(1, l.limit*limitCut)
	l.opened, l.n, l.sum, l.peak, l.cut = now, 0, 0, 0, true
}

// near tells whether a latency says nothing of a queue.
func (l *limiter) near(d time.Duration) bool {
	return l.means.n == 0 || float64(d) <= limitTolerance*l.means.least()
}

// means keeps the mean latencies of the last windows.
type means struct {
	values [limitMemory]float64
	n      int
}

// add takes in a mean and returns the least.
func (m *means) add(x float64) float64 {
	m.values[m.n%limitMemory] = x
	m.n++
	return m.least()
}

func (m *means) least() float64 {
	least := m.values[0]
	for _, x := range m.values[:min(m.n, limitMemory)] {
		least = min(least, x)
	}
	return least
}
