package overload

import (
	"math"
	"time"
)

const (
	// waitFraction is the part of a route's target that a request may wait for the processor. The rest is for the
	// work itself, the leaves and the way back.
	waitFraction = 0.33
	// priorityFactor reduces the limit with each more urgent priority.
	priorityFactor = 0.7
	// minRoom is the least distance of the limit of a priority from that of the next more urgent one, in requests of
	// the latter. roomFactor increases it with the load of the more urgent priorities: in a queue with requests of
	// equal size at the load r, one request in a hundred finds more than ln(100)/2 * r/(1-r) others. floorLoad is
	// added to that load for the guaranteed parts of the others, and maxLoad bounds it.
	minRoom    = 4
	roomFactor = 2.3
	floorLoad  = 0.1
	maxLoad    = 0.95
	// minRequests is the limit, in requests, that a priority keeps where the more urgent ones need all the room.
	minRequests = 3
	// maxLimit bounds all limits, so that the backlog drains within a second after the end of an overload.
	maxLimit = 500 * time.Millisecond
	// unbounded is longer than any wait.
	unbounded = time.Duration(math.MaxInt64)
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

// limit is the wait limit of an active priority.
type limit struct {
	// target is the smallest target of the priority's routes.
	target time.Duration
	// wait is the longest wait at which a request of the priority is admitted.
	wait time.Duration
	// room is the longest wait up to which a request of the priority may bring the processor, so that a request of
	// the next more urgent priority is still admitted; unbounded for the most urgent one.
	room time.Duration
	// lower is the wait of the next less urgent priority, 0 if there is none.
	lower time.Duration
}

// limitTable holds the limits of the active priorities.
type limitTable struct {
	// largestTarget replaces a target that is not known.
	largestTarget time.Duration
	// active holds the active priorities, the most urgent first.
	active []int
	limits [priorities]limit
}

// usage says what requests need of the processor.
type usage interface {
	// workTime returns the time that the processor takes for a request of the priority.
	workTime(priority int) time.Duration
	// load returns the part of the processor that all requests of the priority need, and refusals that of the
	// refusals of all priorities.
	load(priority int) float64
	refusals() float64
}

// compute computes the limits for the routes.
func (t *limitTable) compute(routes routeTable, u usage) {
	t.collect(routes)
	load := floorLoad + u.refusals()
	var formula time.Duration
	for i, p := range t.active {
		l := &t.limits[p]
		own := min(maxLimit, scale(l.target, waitFraction))
		if i == 0 {
			formula, l.wait, l.room = own, own, unbounded
			continue
		}
		formula = min(own, scale(formula, priorityFactor))
		q := t.active[i-1]
		upper := &t.limits[q]
		load += u.load(q)
		below := upper.wait - scale(u.workTime(q), requestsAbove(load))
		l.wait = min(formula, upper.wait, max(below, minRequests*u.workTime(p)))
		l.room = upper.wait - minRoom*u.workTime(q)
		upper.lower = l.wait
	}
}

// requestsAbove returns how many requests find room above the limit of the next priority, for the load of the more urgent
// ones.
func requestsAbove(load float64) float64 {
	load = min(load, maxLoad)
	return max(minRoom, roomFactor*load/(1-load))
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

// of returns the limit of a request whose work takes the processor the given time.
func (t *limitTable) of(r *Request, work time.Duration) time.Duration {
	l := &t.limits[r.Priority]
	own := scale(t.targetOf(r.Target)-r.Elapsed, waitFraction)
	wait := min(l.wait, max(own, scale(l.wait, minOwnFraction)))
	return min(wait, t.roomFor(r.Priority, work))
}

// roomFor returns the longest wait at which work that takes the given time leaves room to more urgent priorities.
func (t *limitTable) roomFor(priority int, work time.Duration) time.Duration {
	return max(0, t.limits[priority].room-work)
}

// withDebt returns the limit, of those of the request, for a caller that has had more than its share, by its debt of 0
// to 1. It does not fall below the limit of the next less urgent priority, which would get what the caller is refused.
func (t *limitTable) withDebt(r *Request, wait time.Duration, debt float64) time.Duration {
	l := &t.limits[r.Priority]
	return min(wait, l.lower+scale(l.wait-l.lower, 1-debt))
}

// byPriority returns the limits of the priorities from 0 to the least urgent active one, at most count. A priority
// that is not active gets what the formula gives it for its neighbours.
func (t *limitTable) byPriority(count int) []time.Duration {
	if len(t.active) == 0 {
		return nil
	}
	limits := make([]time.Duration, min(count, t.active[len(t.active)-1]+1))
	upper := t.limits[t.active[0]]
	for p := range limits {
		switch {
		case t.limits[p].target > 0:
			upper = t.limits[p]
			limits[p] = upper.wait
		case p < t.active[0]:
			limits[p] = upper.wait
		default:
			limits[p] = max(upper.lower, scale(upper.wait, priorityFactor))
		}
	}
	return limits
}

// scale returns the part of the time.
func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
