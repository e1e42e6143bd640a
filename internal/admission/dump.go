package admission

import "time"

// limiterState is what the dump shows of one service.
type limiterState struct {
	InFlight   int  `json:"in_flight"`
	Limit      int  `json:"limit"`
	Queued     int  `json:"queued"`
	Overloaded bool `json:"overloaded"`
	// LimitMoved is how the limit was last changed: rise, fall or keep.
	LimitMoved string `json:"limit_moved,omitempty"`
	// Drain is requests ended a second.
	Drain float64 `json:"drain_per_second"`
	// Typical time of a request by kind.
	Typical map[string]string `json:"typical"`
}

// Dump implements operator.Dumper: the state of each service's gate.
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
