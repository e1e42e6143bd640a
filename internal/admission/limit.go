package admission

import "time"

const (
	// windowTime and windowSamples are the least that a decision about the limit rests on.
	windowTime    = 100 * time.Millisecond
	windowSamples = 5
	// pressureShare is the share of overloaded ends above which the limit falls.
	pressureShare = 0.05
	// fall multiplies the limit on pressure; rise is the share by which it grows when it is used up.
	fall = 0.8
	rise = 0.1
)

// limit is how many requests may run at once. It follows what the gathers say of their load and
// whether requests run out of time, not latency as such: a straggler makes every request slower
// without taking away capacity, and then more of them have to run at once, not fewer.
type limit struct {
	low, high float64
	value     float64

	// The window that is being filled.
	started  time.Time
	samples  int
	pressed  int
	wasUsed  bool
	decision string
}

func newLimit(s Settings) *limit {
	return &limit{low: float64(s.MinConcurrency), high: float64(s.MaxConcurrency), value: float64(s.InitialConcurrency)}
}

// slots returns the limit as a whole number.
func (l *limit) slots() int { return int(l.value) }

// used notes that a request had to wait for a slot.
func (l *limit) used() { l.wasUsed = true }

// ended takes the end of one request. A request whose caller went away says nothing.
func (l *limit) ended(now time.Time, r Result) {
	if r == ResultCancelled {
		return
	}
	if l.started.IsZero() {
		l.started = now
	}
	l.samples++
	if r == ResultOverload || r == ResultDeadline {
		l.pressed++
	}
	if l.samples >= windowSamples && now.Sub(l.started) >= windowTime {
		l.decide()
		l.started, l.samples, l.pressed, l.wasUsed = now, 0, 0, false
	}
}

// decide moves the limit at the end of a window.
func (l *limit) decide() {
	switch {
	case float64(l.pressed) > pressureShare*float64(l.samples):
		l.value, l.decision = max(l.low, l.value*fall), "fall"
	case l.wasUsed:
		l.value, l.decision = min(l.high, l.value+max(1, l.value*rise)), "rise"
	default:
		l.decision = "keep"
	}
}
