// Package overload admits requests by the processor time that a VM has for them. It models the processor as a
// queue of admitted work that drains at the VM's share of a core, and refuses at once what would wait too long for
// its priority. It performs no I/O: callers pass the time in.
package overload

import (
	"math"
	"sync"
	"time"
)

// Request is what the gate needs to know about a request.
type Request struct {
	Route string
	// Priority is the priority of the route. 0 is the highest.
	Priority int
	// Caller is the IP address of the caller; empty if unknown.
	Caller string
	// Target is the target latency of the route; 0 if there is none.
	Target time.Duration
	// Elapsed is the time since the request arrived at the first VM.
	Elapsed time.Duration
	Work    Work
}

// Work counts the processor work that a request causes beyond its own receipt and answer.
type Work struct {
	// Calls is the number of calls to leaves.
	Calls int
	// HandOver is set if the request is handed over to another VM.
	HandOver bool
}

// Reason says why a request is not admitted.
type Reason string

// Reasons of a refusal.
const (
	ReasonNone Reason = ""
	// ReasonBusyProcessor: the request would wait too long for the processor.
	ReasonBusyProcessor Reason = "busy_processor"
	// ReasonCallerShare: the caller has used its equal share of what its priority gets.
	ReasonCallerShare Reason = "caller_share"
)

// Decision is the decision about one request.
type Decision struct {
	Admitted bool
	Reason   Reason
	// Wait is the expected wait for the processor, and Limit the longest one at which the request is admitted.
	Wait, Limit time.Duration
	// Demand is the number of requests of the priority per second at this VM.
	Demand float64
	// RetryAfter is the delay after which to retry a request that is not admitted.
	RetryAfter time.Duration
}

// Settings of a gate.
type Settings struct {
	// Cores is the VM's share of a core; 0 turns the gate off.
	Cores float64
	// MaxRetryAfter bounds the retry delay.
	MaxRetryAfter time.Duration
}

// Room is what other VMs are told of this VM's processor.
type Room struct {
	// Wait is the expected wait of a new search for the processor.
	Wait time.Duration
	// Limits are the longest waits at which a search is admitted, by priority.
	Limits []time.Duration
}

const (
	// limitsInterval is the time between two computations of the limits while the routes stay the same.
	limitsInterval = 100 * time.Millisecond
	// roomPriorities bounds the priorities whose limits other VMs are told.
	roomPriorities = 8
	// refuseMargin is how far refusals raise the wait above the largest limit. Without a margin the refusals at the
	// limit would not count as work; without a bound the wait would go on after the end of the overload.
	refuseMargin = 100 * time.Millisecond
	// overloadDelay is the least retry delay where more is refused than now and then. The backlog is under the limit
	// again much sooner, but the load that has filled it is still there: after 500 ms, up to 1 in 18 are refused again
	// in bursts of a second.
	overloadDelay = 600 * time.Millisecond
	// retryShare is the part of the rate of admissions that is given to retries. The rest is for the requests that
	// come for the first time; without it, the retries of a burst would be refused again.
	retryShare = 0.4
	// refusalsShare is the part of the processor share that refusals may take from what the backlog does not use. At
	// ten times the load that can be served, they would otherwise displace an eighth of the requests.
	refusalsShare = 0.05
	// defaultMaxRetryAfter applies where the settings name no bound.
	defaultMaxRetryAfter = 10 * time.Second
)

// Gate admits requests. It is safe for concurrent use.
type Gate struct {
	// off is set if the gate admits everything.
	off           bool
	maxRetryAfter time.Duration
	random        func() float64

	mu sync.Mutex
	// The following fields are guarded by mu. now is the time of the last call; it never goes back.
	now      time.Time
	backlog  backlog
	cost     unitCost
	lag      lagEstimate
	routes   routeTable
	limits   limitTable
	limitsAt time.Time
	levels   [priorities]level
	// floors holds what is left of the guaranteed parts of all priorities together.
	floors floor
	// refusals holds what is left of refusalsShare.
	refusals floor
	callers  callerTable
}

// New returns a gate. usage returns the processor time that the process has used so far, and random a number in
// [0,1).
func New(s Settings, usage func() time.Duration, random func() float64) *Gate {
	g := &Gate{
		off: !(s.Cores > 0) || math.IsInf(s.Cores, 1), maxRetryAfter: s.MaxRetryAfter, random: random,
		backlog: backlog{cores: s.Cores}, cost: newUnitCost(s.Cores, usage),
		routes: make(routeTable),
	}
	if g.maxRetryAfter <= 0 {
		g.maxRetryAfter = defaultMaxRetryAfter
	}
	g.callers = newCallerTable(g.maxRetryAfter)
	for p := range g.levels {
		g.levels[p].retries.MaxWait = g.maxRetryAfter
	}
	return g
}

// Admit decides about a request, and counts its work where it is admitted.
func (g *Gate) Admit(now time.Time, r Request) Decision {
	if g.off {
		return Decision{Admitted: true}
	}
	r.normalize()
	units := r.Work.units()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	work := g.cost.seconds(units)
	l := g.arrive(&r, units, work)
	c := g.callerOf(&r, l)
	d := g.decide(&r, l, c, work)
	d.Demand = l.demand.PerSecond(g.now)
	if d.Admitted {
		g.admit(l, c, units)
	} else {
		g.refuse(&r, l, c, &d)
	}
	return d
}

// normalize replaces values that are out of range.
func (r *Request) normalize() {
	r.Priority = min(max(r.Priority, 0), priorities-1)
	r.Target = min(max(r.Target, 0), maxTarget)
	r.Elapsed = max(r.Elapsed, 0)
}

// advance brings the state to the time. It requires mu.
func (g *Gate) advance(now time.Time) {
	if now.After(g.now) {
		g.now = now
	}
	g.backlog.advance(g.now)
	g.cost.advance(g.now, g.backlog.seconds)
}

// arrive counts a request, updates the limits and returns the request's level. It requires mu.
func (g *Gate) arrive(r *Request, units, work float64) *level {
	l := &g.levels[r.Priority]
	changed := g.routes.record(g.now, r)
	l.arrive(g.now, units)
	l.floor.earn(g.now, floorShare*g.backlog.cores, work)
	g.floors.earn(g.now, maxFloorShare*g.backlog.cores, work)
	if changed || g.now.Sub(g.limitsAt) >= limitsInterval {
		g.updateLimits()
	}
	return l
}

// updateLimits computes the limits again. It requires mu.
func (g *Gate) updateLimits() {
	g.limitsAt = g.now
	g.routes.expire(g.now)
	g.limits.compute(g.routes, g.workTime, g.partOf)
}

// workTime returns the time that the processor takes for a request of the priority. It requires mu.
func (g *Gate) workTime(priority int) time.Duration {
	return g.backlog.timeFor(g.cost.seconds(g.levels[priority].units))
}

// partOf returns the part of its limit that the priority may use. It requires mu.
func (g *Gate) partOf(priority int) float64 { return g.levels[priority].yield.now(g.now) }

// yieldTo reduces the limits of the priorities below the given one, of which a request is refused. It requires mu.
func (g *Gate) yieldTo(priority int) {
	changed := false
	for _, p := range g.limits.active {
		if p > priority && g.levels[p].yield.give(g.now) {
			changed = true
		}
	}
	if changed {
		g.updateLimits()
	}
}

// callerOf counts the request for its caller, and returns the caller while the level is being cut. It requires mu.
func (g *Gate) callerOf(r *Request, l *level) *caller {
	if r.Caller == "" || !l.cut(g.now) {
		return nil
	}
	return g.callers.record(g.now, r.Priority, r.Caller)
}

// wait returns the expected wait for the processor. It requires mu.
func (g *Gate) wait() time.Duration {
	wait := g.backlog.wait()
	if lag := g.lag.read(g.now); lag > minLag {
		wait = max(wait, lag)
	}
	return wait
}

// decide decides about a request with the given work, in seconds of processor time. It requires mu.
func (g *Gate) decide(r *Request, l *level, c *caller, work float64) Decision {
	d := Decision{Wait: g.wait(), Limit: g.limits.of(r)}
	limit := g.limits.withDebt(r, d.Limit, c.debt())
	if d.Wait > limit && d.Wait <= d.Limit {
		d.Limit, d.Reason = limit, ReasonCallerShare
		return d
	}
	switch {
	case d.Wait <= d.Limit:
		d.Admitted = true
		l.floor.use(work)
	case g.floorDue(l, c, work):
		d.Admitted = true
		l.floor.use(work)
		g.floors.use(work)
	default:
		d.Reason = ReasonBusyProcessor
	}
	return d
}

// floorDue reports whether the guaranteed part of the level admits the work. It requires mu.
func (g *Gate) floorDue(l *level, c *caller, work float64) bool {
	return l.floor.due(work, c.debt()) && g.floors.due(work, 0)
}

// admit counts an admitted request. It requires mu.
func (g *Gate) admit(l *level, c *caller, units float64) {
	g.cost.count(units)
	g.backlog.add(g.cost.seconds(units))
	l.admitted.Add(g.now)
	l.admissions++
	if c != nil {
		c.admit(g.now)
	}
}

// refuse counts a refused request and sets its retry delay. It requires mu.
func (g *Gate) refuse(r *Request, l *level, c *caller, d *Decision) {
	g.countRefusal()
	l.refusedAt = g.now
	if d.Reason == ReasonCallerShare {
		l.callerRefusals++
	} else {
		l.busyRefusals++
		g.yieldTo(r.Priority)
	}
	d.RetryAfter = g.retryAfter(l, c, d)
}

// countRefusal adds the work of a refusal to the backlog, unless it fits the part for refusals. It requires mu.
func (g *Gate) countRefusal() {
	work := g.cost.seconds(refuseUnits)
	g.cost.count(refuseUnits)
	g.refusals.earn(g.now, refusalsShare*g.backlog.cores, work)
	if g.refusals.due(work, 0) {
		g.refusals.use(work)
		return
	}
	g.backlog.addUpTo(work, g.limits.largest()+refuseMargin)
}

// retryAfter returns the retry delay of a refused request: when the wait is under the limit and the overload is
// probably over, after the requests refused before. It requires mu.
func (g *Gate) retryAfter(l *level, c *caller, d *Decision) time.Duration {
	until := untilBelow(d.Wait, d.Limit)
	if l.overloaded(g.now) {
		until = max(until, overloadDelay)
	}
	schedule, rate := &l.retries, l.admitted.PerSecond(g.now)
	if c.debt() > 0 {
		// Its own schedule, so that a caller that asks for more than its share does not delay the others.
		schedule, rate = &c.retries, c.Allowed
	}
	return min(until+schedule.RetryAfter(g.now, 0, retryShare*rate, g.random()), g.maxRetryAfter)
}

// ObserveLag records how late a timer of this process fired.
func (g *Gate) ObserveLag(now time.Time, lag time.Duration) {
	if g.off {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.lag.observe(g.now, lag)
}

// Room returns what other VMs are told.
func (g *Gate) Room(now time.Time) Room {
	if g.off {
		return Room{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.updateLimits()
	return Room{Wait: g.wait(), Limits: g.limits.byPriority(roomPriorities)}
}
