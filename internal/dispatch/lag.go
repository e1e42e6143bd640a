package dispatch

import (
	"sync"
	"time"
)

const (
	// defaultRoundTrip is the round trip assumed for a caller whose connection did not show it.
	defaultRoundTrip = 6 * time.Millisecond
	// processorWaits is how many times a request and its answer wait to be scheduled on a VM: before the request
	// is read, before the answer is made, and before it is written.
	processorWaits = 3
	// answerOverhead is the additional time to make and write an answer, including the scheduling delays of a busy
	// VM beyond the average. A half-core VM that gathers dozens of parts takes 4 ms when idle. While it sends the
	// calls of the next searches, one partial answer in seven takes longer.
	answerOverhead = 11 * time.Millisecond
	// maxTransitFraction and maxConnectFraction bound, as fractions of the target, how much earlier a partial
	// answer is made to allow for its way back and for the connection that the caller had to open first.
	maxTransitFraction, maxConnectFraction = 1. / 4, 1. / 8
	// lagRiseWeight and lagFallWeight are the weights of an observation above and below the estimate, so that
	// about one in six observations exceeds it.
	lagRiseWeight, lagFallWeight = 0.1, 0.02
)

// lag estimates the scheduling lag of this process: how late it acts on timers. It is safe for concurrent use.
type lag struct {
	mu sync.Mutex
	// estimate of the lag; guarded by mu.
	estimate time.Duration
}

// observe updates the estimate with the delay of one timer.
func (l *lag) observe(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	weight := lagFallWeight
	if delay > l.estimate {
		weight = lagRiseWeight
	}
	l.estimate += time.Duration(weight * float64(delay-l.estimate))
}

func (l *lag) now() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate
}

// Lag returns the estimated scheduling lag of this VM.
func (e *Engine) Lag() time.Duration { return e.lag.now() }

// transitTime returns how much of the target passes outside the interval between a request's arrival and its
// answer: on the network both ways, and in scheduling delays on this VM and on the one that received the request
// from the caller.
func (e *Engine) transitTime(req *Request, target time.Duration) time.Duration {
	roundTrip := req.RoundTrip
	if roundTrip <= 0 {
		roundTrip = defaultRoundTrip
	}
	transit := min(roundTrip+processorWaits*(e.lag.now()+req.Lag)+answerOverhead, fractionOf(maxTransitFraction, target))
	if req.NewConnection {
		transit += min(roundTrip, fractionOf(maxConnectFraction, target))
	}
	return transit
}

func fractionOf(p float64, d time.Duration) time.Duration { return time.Duration(p * float64(d)) }
