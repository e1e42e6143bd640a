package admission

import "time"

// limiterState is one service's entry in the dump.
type limiterState struct {
	InFlight   int  `json:"in_flight"`
	Limit      int  `json:"limit"`
	Queued     int  `json:"queued"`
	Overloaded bool `json:"overloaded"`
	// LimitMoved is the last decision about the limit: rise, fall or keep.
	LimitMoved string `json:"limit_moved,omitempty"`
	// Drain is the rate at which requests complete, in requests per second.
	Drain float64 `json:"drain_per_second"`
	// Typical is the mean time of a request by kind.
	Typical map[string]string `json:"typical"`
}

// Dump implements operator.Dumper. It returns the state of each service's limiter.
func (c *Controller) Dump() any {
	c.mu.Lock()
	limiters := make(map[string]*syncLimiter, len(c.limiters))
	for name, sl := range c.limiters {
		limiters[name] = sl
	}
	c.mu.Unlock()
	states := make(map[string]limiterState, len(limiters))
	for name, sl := range limiters {
		states[name] = sl.state()
	}
	return states
}

func (d *syncLimiter) state() limiterState {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, g := d.clock(), d.limiter
	s := limiterState{
		InFlight: g.inFlight, Limit: g.limit.slots(), Queued: g.queue.length, Overloaded: g.overloaded(),
		LimitMoved: g.limit.decision, Drain: g.drainRate(now), Typical: make(map[string]string, len(g.byKind)),
	}
	for kind, e := range g.byKind {
		s.Typical[kind] = e.typical().Round(time.Microsecond).String()
	}
	return s
}
