package admission

import "time"

const (
	// minWindowTime and windowSamples are the least that a decision about the limit rests on.
	minWindowTime    = 100 * time.Millisecond
	minWindowSamples = 5
	// maxFallShare bounds the fall within a window, as a share of the limit.
	maxFallShare = 0.3
	// deadlineMissShare is the share of requests out of time above which the limit falls.
	deadlineMissShare = 0.05
	// riseShare is the share by which the limit grows when it is used up, riseLeast the least in requests.
	// Each window without a fall adds another such step, mostRise steps at the most, so that the limit
	// is steady under lasting pressure and yet back soon after a fault.
	riseShare    = 0.02
	minRise      = 0.2
	maxRiseSteps = 8
)

// concurrencyLimit is how many requests may run at once. It follows what the gathers say of their load and
// whether requests run out of time, not latency as such: a straggler makes every request slower
// without taking away capacity, and then more of them have to run at once, not fewer.
type concurrencyLimit struct {
	minValue, maxValue float64
	value              float64

	// The window that is being filled, and the limit at its start.
	windowStart    time.Time
	samples        int
	deadlineMisses int
	saturated      bool
	windowValue    float64
	// riseSteps counts windows since the limit last fell, and decision names the last move.
	riseSteps int
	decision  string
}

func newConcurrencyLimit(s Settings) *concurrencyLimit {
	first := float64(s.InitialConcurrency)
	return &concurrencyLimit{minValue: float64(s.MinConcurrency), maxValue: float64(s.MaxConcurrency), value: first, windowValue: first}
}

// slots returns the limit as a whole number.
func (l *concurrencyLimit) slots() int { return int(l.value) }

// markSaturated notes that a request had to wait for a slot.
func (l *concurrencyLimit) markSaturated() { l.saturated = true }

// observe takes the end of one request. A request whose caller went away says nothing.
func (l *concurrencyLimit) observe(now time.Time, r Result) {
	switch r {
	case ResultCancelled:
		return
	case ResultOverload, ResultPartialOverload:
		// One slot too many was used.
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

// fall lowers the limit, within the bound of the window.
func (l *concurrencyLimit) fall(by float64) {
	l.value = max(l.minValue, l.windowValue*(1-maxFallShare), l.value-by)
	l.riseSteps, l.decision = -1, "fall"
}

// closeWindow moves the limit at the end of a window.
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
