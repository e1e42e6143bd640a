package overload

import "time"

// gateState is the gate's entry in the dump.
type gateState struct {
	Cores float64 `json:"cores"`
	// Off is set if the gate admits everything.
	Off bool `json:"off,omitempty"`
	// Backlog is the processor time of admitted work that is not done, and Wait how long a new request waits.
	Backlog string `json:"backlog,omitempty"`
	Wait    string `json:"wait,omitempty"`
	// Unit is the processor time of one call to a leaf, and Lag how late timers fire.
	Unit       string       `json:"unit,omitempty"`
	Lag        string       `json:"lag,omitempty"`
	Callers    int          `json:"callers"`
	Priorities []levelState `json:"priorities,omitempty"`
}

// levelState is the entry of a priority that is active or has refused requests.
type levelState struct {
	Priority int    `json:"priority"`
	Active   bool   `json:"active"`
	Limit    string `json:"limit"`
	// Part is the part of its whole limit that the priority may use while more urgent requests are refused.
	Part float64 `json:"part"`
	// Demand and Admitted are in requests per second.
	Demand         float64 `json:"demand_per_second"`
	Admitted       float64 `json:"admitted_per_second"`
	Admissions     uint64  `json:"admissions"`
	BusyRefusals   uint64  `json:"refused_busy_processor"`
	CallerRefusals uint64  `json:"refused_caller_share"`
}

// Dump returns the state for the operators' dump, as of the last request.
func (g *Gate) Dump() any {
	if g.off {
		return gateState{Off: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := gateState{
		Cores: g.backlog.cores, Backlog: text(seconds(g.backlog.seconds)), Wait: text(g.wait()),
		Unit: text(seconds(g.cost.seconds(1))), Lag: text(g.lag.read(g.now)), Callers: len(g.callers.byKey),
	}
	for p := range g.levels {
		if l := &g.levels[p]; l.admissions+l.busyRefusals+l.callerRefusals > 0 {
			s.Priorities = append(s.Priorities, g.levelState(p, l))
		}
	}
	return s
}

// levelState requires mu.
func (g *Gate) levelState(p int, l *level) levelState {
	return levelState{
		Priority: p, Active: g.limits.limits[p].target > 0, Limit: text(g.limits.limits[p].wait), Part: l.yield.now(g.now),
		Demand: l.demand.PerSecond(g.now), Admitted: l.admitted.PerSecond(g.now), Admissions: l.admissions,
		BusyRefusals: l.busyRefusals, CallerRefusals: l.callerRefusals,
	}
}

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func text(d time.Duration) string { return d.Round(time.Microsecond).String() }
