package admission

import "time"

const (
	// windowTime and windowSamples are the least that a decision about the limit rests on.
	windowTime    = 100 * time.Millisecond
	windowSamples = 5
	// mostFall bounds the fall within a window, as a share of the limit.
	mostFall = 0.3
	// lateShare is the share of requests out of time above which the limit falls.
	lateShare = 0.05
	// rise is the share by which the limit grows when it is used up, riseLeast the least in requests.
	// Each window without a fall adds another such step, mostRise steps at the most, so that the limit
	// is steady under lasting pressure and yet back soon after a fault.
	rise      = 0.02
	riseLeast = 0.2
	mostRise  = 8
)

// limit is how many requests may run at once. It follows what the gathers say of their load and
// whether requests run out of time, not latency as such: a straggler makes every request slower
// without taking away capacity, and then more of them have to run at once, not fewer.
type limit struct {
	low, high float64
	value     float64

	// The window that is being filled, and the limit at its start.
	started time.Time
	samples int
	late    int
	wasUsed bool
	before  float64
	// steps counts windows since the limit last fell, and decision names the last move.
	steps    int
	decision string
}

func newLimit(s Settings) *limit {
	first := float64(s.InitialConcurrency)
	return &limit{low: float64(s.MinConcurrency), high: float64(s.MaxConcurrency), value: first, before: first}
}

// slots returns the limit as a whole number.
func (l *limit) slots() int { return int(l.value) }

// used notes that a request had to wait for a slot.
func (l *limit) used() { l.wasUsed = true }

// ended takes the end of one request. A request whose caller went away says nothing.
func (l *limit) ended(now time.Time, r Result) {
	switch r {
	case ResultCancelled:
		return
	case ResultOverload, ResultPartialOverload:
		// One slot too many was used.
		l.fall(1)
	case ResultDeadline:
		l.late++
	}
	if l.started.IsZero() {
		l.started = now
	}
	l.samples++
	if l.samples >= windowSamples && now.Sub(l.started) >= windowTime {
		l.decide()
		l.started, l.samples, l.late, l.wasUsed, l.before = now, 0, 0, false, l.value
	}
}

// fall lowers the limit, within the bound of the window.
func (l *limit) fall(by float64) {
	l.value = max(l.low, l.before*(1-mostFall), l.value-by)
	l.steps, l.decision = -1, "fall"
}

// decide moves the limit at the end of a window.
func (l *limit) decide() {
	if float64(l.late) > lateShare*float64(l.samples) {
		l.fall(l.value * mostFall)
	}
	l.steps = min(l.steps+1, mostRise)
	switch {
	case l.steps == 0:
	case l.wasUsed:
		l.value = min(l.high, l.value+float64(l.steps)*max(riseLeast, l.value*rise))
		l.decision = "rise"
	default:
		l.decision = "keep"
	}
}
