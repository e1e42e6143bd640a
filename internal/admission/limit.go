package admission

import "time"

const (
	// minWindowTime and minWindowSamples are the least time and number of samples of a window, after
	// which the limit is decided on.
	minWindowTime    = 100 * time.Millisecond
	minWindowSamples = 5
	// maxFallShare is the most by which the limit falls within a window, as a share of the limit at the
	// window's start.
	maxFallShare = 0.3
	// deadlineMissShare is the share of a window's requests that miss their deadline above which the
	// limit falls.
	deadlineMissShare = 0.05
	// riseShare is the share by which the limit rises when it was reached, minRise the least rise in
	// requests. Each window without a fall adds another such step, up to maxRiseSteps steps, so that the
	// limit is steady under lasting load and still recovers soon after a fault.
	riseShare    = 0.02
	minRise      = 0.2
	maxRiseSteps = 8
)

// concurrencyLimit bounds how many requests run at once. It follows the overload that gathers report and
// the share of requests that miss their deadline, not latency as such: a straggler makes every request
// slower without reducing capacity, and then more of them must run at once, not fewer.
type concurrencyLimit struct {
	minValue, maxValue float64
	value              float64

	// The fields of the current window: its start, its samples, the deadlines missed in it, whether a
	// request had to wait for a slot, and the limit at its start.
	windowStart    time.Time
	samples        int
	deadlineMisses int
	saturated      bool
	windowValue    float64
	// riseSteps counts the windows since the limit last fell, up to maxRiseSteps. decision names the
	// last change for the dump.
	riseSteps int
	decision  string
}

func newConcurrencyLimit(s Settings) *concurrencyLimit {
	first := float64(s.InitialConcurrency)
	return &concurrencyLimit{minValue: float64(s.MinConcurrency), maxValue: float64(s.MaxConcurrency), value: first, windowValue: first}
}

// slots returns the limit, rounded down to whole requests.
func (l *concurrencyLimit) slots() int { return int(l.value) }

// markSaturated records that a request had to wait for a slot.
func (l *concurrencyLimit) markSaturated() { l.saturated = true }

// observe records the end of one request. A request whose caller went away gives no information.
func (l *concurrencyLimit) observe(now time.Time, r Result) {
	switch r {
	case ResultCancelled:
		return
	case ResultOverload, ResultPartialOverload:
		// The service had room for one request fewer.
		l.fall(1)
	case ResultDeadline:
		l.deadlineMisses++
	}
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.samples++
	if l.samples >= minWindowSamples && now.Sub(l.windowStart) >= minWindowTime {
		l.closeWindow()
		l.windowStart, l.samples, l.deadlineMisses, l.saturated, l.windowValue = now, 0, 0, false, l.value
	}
}

// fall lowers the limit, by at most maxFallShare within a window.
func (l *concurrencyLimit) fall(by float64) {
	l.value = max(l.minValue, l.windowValue*(1-maxFallShare), l.value-by)
	l.riseSteps, l.decision = -1, "fall"
}

// closeWindow adjusts the limit at the end of a window.
func (l *concurrencyLimit) closeWindow() {
	if float64(l.deadlineMisses) > deadlineMissShare*float64(l.samples) {
		l.fall(l.value * maxFallShare)
	}
	l.riseSteps = min(l.riseSteps+1, maxRiseSteps)
	switch {
	case l.riseSteps == 0:
	case l.saturated:
		l.value = min(l.maxValue, l.value+float64(l.riseSteps)*max(minRise, l.value*riseShare))
		l.decision = "rise"
	default:
		l.decision = "keep"
	}
}
