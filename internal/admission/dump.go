package admission

import "time"

// gateState is what the dump shows of one service.
type gateState struct {
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
	doors := make(map[string]*door, len(c.doors))
	for name, d := range c.doors {
		doors[name] = d
	}
	c.mu.Unlock()
	states := make(map[string]gateState, len(doors))
	for name, d := range doors {
		states[name] = d.state()
	}
	return states
}

func (d *door) state() gateState {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, g := d.clock(), d.gate
	s := gateState{
		InFlight: g.inFlight, Limit: g.limit.slots(), Queued: g.queue.length, Overloaded: g.overloaded(),
		LimitMoved: g.limit.decision, Drain: g.drain(now), Typical: make(map[string]string, len(g.took)),
	}
	for kind, e := range g.took {
		s.Typical[kind] = e.typical().Round(time.Microsecond).String()
	}
	return s
}
