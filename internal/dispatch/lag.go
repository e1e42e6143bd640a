package dispatch

import (
	"sync"
	"time"
)

const (
	// usualRoundTrip is a round trip to a caller whose connection didn't show it.
	usualRoundTrip = 6 * time.Millisecond
	// turns is how many times a request and its answer wait for a turn of the processor at a VM: before the request
	// is read, before the answer is made, and before it is written.
	turns = 3
	// answerWork is what making and writing an answer takes besides, with what the turns of a busy VM come later
	// than usual: a VM of half a core that gathers dozens of parts takes 4 ms for it when idle, and while it sends
	// the calls of the next searches one partial answer in seven takes longer.
	answerWork = 11 * time.Millisecond
	// wayMost and connectMost bound, as parts of the target, how much earlier a partial answer is made for its way
	// back, and for the connection that the caller had to open first.
	wayMost, connectMost = 1. / 4, 1. / 8
	// lagRise and lagFall are the weights of an observation above and below what is known, so that about one in six
	// turns comes later than it.
	lagRise, lagFall = 0.1, 0.02
)

// lag follows how late this process does what is due at a time: its turns of the processor. It is safe for
// concurrent use.
type lag struct {
	mu sync.Mutex
	// usual lateness; guarded by mu.
	usual time.Duration
}

// observe takes by how much a timer was late.
func (l *lag) observe(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	weight := lagFall
	if late > l.usual {
		weight = lagRise
	}
	l.usual += time.Duration(weight * float64(late-l.usual))
}

func (l *lag) now() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usual
}

// Lag returns by how much this VM is late with its work.
func (e *Engine) Lag() time.Duration { return e.lag.now() }

// wayBack is how much of the target passes outside of the time between a request's arrival and its answer: on the
// way here and back, and in turns of the processor at this VM and the one that took the request from the caller.
func (e *Engine) wayBack(req *Request, target time.Duration) time.Duration {
	trip := req.RoundTrip
	if trip <= 0 {
		trip = usualRoundTrip
	}
	way := min(trip+turns*(e.lag.now()+req.Lag)+answerWork, part(wayMost, target))
	if req.NewConnection {
		way += min(trip, part(connectMost, target))
	}
	return way
}

func part(p float64, of time.Duration) time.Duration { return time.Duration(p * float64(of)) }
