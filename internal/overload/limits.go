package overload

import "time"

const (
	// waitFraction is the part of a route's target that a request may wait for the processor. The rest is for the
	// work itself, the leaves and the way back. A refusal waits for the processor, too, and has a quarter of the target:
	// at 0.35, refusals after a step in load took up to 0.26 of it.
	waitFraction = 0.33
	// wholeRequests is the least limit of a priority that does not yield to others, in its own requests. On a small VM a
	// request takes several milliseconds, and a fraction of the target alone would refuse the second one of two.
	wholeRequests = 4
	// maxLimit bounds all limits, so that the backlog drains within a second after the end of an overload.
	maxLimit = 500 * time.Millisecond
	// minOwnFraction is the part of the limit of its priority that a request keeps when its own time is used up.
	minOwnFraction = 0.25

	// priorities is the number of priorities; maxTarget and defaultTarget are the greatest target, and the target
	// where none is known.
	priorities    = 64
	maxTarget     = 60 * time.Second
	defaultTarget = 100 * time.Millisecond

	// routeExpiry is how long a route without requests still counts.
	routeExpiry = 5 * time.Second
	// maxRoutes bounds the routes that count at a time.
	maxRoutes = 1024
)

// routeState is what is known of a route: the properties of its last request.
type routeState struct {
	priority int
	// target is 0 if there is none.
	target time.Duration
	seen   time.Time
}

// routeTable holds the routes seen lately, by name.
type routeTable map[string]*routeState

// record records a request, and reports whether its route is new or has changed.
func (t routeTable) record(now time.Time, r *Request) bool {
	s := t[r.Route]
	if s != nil && s.priority == r.Priority && s.target == r.Target {
		s.seen = now
		return false
	}
	if s == nil && len(t) >= maxRoutes {
		t.dropOldest()
	}
	t[r.Route] = &routeState{priority: r.Priority, target: r.Target, seen: now}
	return true
}

// dropOldest drops the route without requests for the longest time.
func (t routeTable) dropOldest() {
	oldest := ""
	for name, s := range t {
		if first := t[oldest]; first == nil || s.seen.Before(first.seen) {
			oldest = name
		}
	}
	delete(t, oldest)
}

// expire drops the routes that no longer count.
func (t routeTable) expire(now time.Time) {
	for name, s := range t {
		if now.Sub(s.seen) > routeExpiry {
			delete(t, name)
		}
	}
}

// largestTarget returns the largest known target. It takes the place of a target that is not known.
func (t routeTable) largestTarget() time.Duration {
	largest := time.Duration(0)
	for _, s := range t {
		largest = max(largest, s.target)
	}
	if largest == 0 {
		return defaultTarget
	}
	return largest
}

// limit holds the wait limits of a priority.
type limit struct {
	// target is the smallest target of the priority's routes; 0 if the priority is not active.
	target time.Duration
	// wait is the longest wait at which a request is admitted, and lower that of the next less urgent priority, 0 if there
	// is none.
	wait, lower time.Duration
}

// limitTable holds the limits of the active priorities.
type limitTable struct {
	// largestTarget replaces a target that is not known.
	largestTarget time.Duration
	// active holds the active priorities, the most urgent first.
	active []int
	limits [priorities]limit
}

// compute computes the limits for the routes. work returns the time that the processor takes for a request of a
// priority, and part the part of its limit that the priority may use. A priority has no higher limit than a more urgent
// one.
func (t *limitTable) compute(routes routeTable, work func(priority int) time.Duration, part func(priority int) float64) {
	t.collect(routes)
	var upper *limit
	for _, p := range t.active {
		l := &t.limits[p]
		whole := max(min(maxLimit, scale(l.target, waitFraction)), wholeRequests*work(p))
		l.wait = scale(whole, part(p))
		if upper != nil {
			l.wait = min(l.wait, upper.wait)
			upper.lower = l.wait
		}
		upper = l
	}
}

// collect sets the active priorities and their targets.
func (t *limitTable) collect(routes routeTable) {
	t.largestTarget = routes.largestTarget()
	t.limits = [priorities]limit{}
	for _, s := range routes {
		l := &t.limits[s.priority]
		target := t.targetOf(s.target)
		if l.target == 0 || target < l.target {
			l.target = target
		}
	}
	t.active = t.active[:0]
	for p := range t.limits {
		if t.limits[p].target > 0 {
			t.active = append(t.active, p)
		}
	}
}

// targetOf returns the target, or what replaces it where there is none.
func (t *limitTable) targetOf(target time.Duration) time.Duration {
	if target == 0 {
		return t.largestTarget
	}
	return target
}

// largest returns the limit of the most urgent active priority, which is the largest one.
func (t *limitTable) largest() time.Duration {
	if len(t.active) == 0 {
		return 0
	}
	return t.limits[t.active[0]].wait
}

// of returns the limit of a request.
func (t *limitTable) of(r *Request) time.Duration {
	l := &t.limits[r.Priority]
	own := scale(t.targetOf(r.Target)-r.Elapsed, waitFraction)
	return min(l.wait, max(own, scale(l.wait, minOwnFraction)))
}

// withDebt returns the limit, of those of the request, for a caller that has had more than its share, by its debt of 0
// to 1. It does not fall below the limit of the next less urgent priority, which would get what the caller is refused.
func (t *limitTable) withDebt(r *Request, wait time.Duration, debt float64) time.Duration {
	l := &t.limits[r.Priority]
	return min(wait, l.lower+scale(l.wait-l.lower, 1-debt))
}

// byPriority returns the limits of the priorities from 0 to the least urgent active one, at most count. A priority
// that is not active gets that of the next less urgent one that is.
func (t *limitTable) byPriority(count int) []time.Duration {
	if len(t.active) == 0 {
		return nil
	}
	last := t.active[len(t.active)-1]
	limits := make([]time.Duration, min(count, last+1))
	wait := time.Duration(0)
	for p := last; p >= 0; p-- {
		if t.limits[p].target > 0 {
			wait = t.limits[p].wait
		}
		if p < len(limits) {
			limits[p] = wait
		}
	}
	return limits
}

// scale returns the part of the time.
func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
