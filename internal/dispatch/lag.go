package dispatch

import (
	"sync"
	"time"
)

const (
	// defaultRoundTrip is a round trip to a caller whose connection didn't show it.
	defaultRoundTrip = 6 * time.Millisecond
	// processorWaits is how many times a request and its answer wait for a turn of the processor at a VM: before the request
	// is read, before the answer is made, and before it is written.
	processorWaits = 3
	// answerOverhead is what making and writing an answer takes besides, with what the turns of a busy VM come later
	// than usual: a VM of half a core that gathers dozens of parts takes 4 ms for it when idle, and while it sends
	// the calls of the next searches one partial answer in seven takes longer.
	answerOverhead = 11 * time.Millisecond
	// maxTransitFraction and connectMost bound, as parts of the target, how much earlier a partial answer is made for its way
	// back, and for the connection that the caller had to open first.
	maxTransitFraction, maxConnectFraction = 1. / 4, 1. / 8
	// lagRiseWeight and lagFall are the weights of an observation above and below what is known, so that about one in six
	// turns comes later than it.
	lagRiseWeight, lagFallWeight = 0.1, 0.02
)

// lag follows how late this process does what is due at a time: its turns of the processor. It is safe for
// concurrent use.
type lag struct {
	mu sync.Mutex
	// estimate lateness; guarded by mu.
	estimate time.Duration
}

// observe takes by how much a timer was late.
func (l *lag) observe(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	weight := lagFallWeight
	if late > l.estimate {
		weight = lagRiseWeight
	}
	l.estimate += time.Duration(weight * float64(late-l.estimate))
}

func (l *lag) now() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate
}

// Lag returns by how much this VM is late with its work.
func (e *Engine) Lag() time.Duration { return e.lag.now() }

// transitTime is how much of the target passes outside of the time between a request's arrival and its answer: on the
// way here and back, and in turns of the processor at this VM and the one that took the request from the caller.
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
