package admission

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

const step = "entry.admission"

const (
	// minWaiting is how many requests should wait under overload at the least, so that a freed slot
	// finds work that the rations let in.
	minWaiting = 3
	// overloadEndFactor is how many times OverloadAfter must pass without a refusal for load until the
	// overload counts as over.
	overloadEndFactor = 10
)

// Result says how an admitted request ended.
type Result int

const (
	// ResultOK is an answer, whole or partial, that lacks nothing for load.
	ResultOK Result = iota
	// ResultPartialOverload is an answer that lacks shards for load.
	ResultPartialOverload
	// ResultOverload is a refusal for load.
	ResultOverload
	// ResultDeadline is a request that ran out of time.
	ResultDeadline
	// ResultFailed is any other failure; it says nothing of load.
	ResultFailed
	// ResultCancelled is a request whose caller went away.
	ResultCancelled
)

// decision is the decision about one request: refused where err is set.
type decision struct{ err *outcome.Error }

// Random gives a number in [0,1).
type Random func() float64

// limiter admits the requests of one service. It is pure: calls give the time, and decisions go into the
// waiters' channels, which have room. The caller serializes calls.
type limiter struct {
	settings Settings
	random   Random
	limit    *concurrencyLimit
	inFlight int
	queue    *queue
	// byKind estimates the time of each kind, and all of them together.
	byKind  map[string]*estimate
	overall estimate
	// completions counts ends other than refusals for load; saturated is when the limit was last reached from below, zero below it.
	completions    eventRate
	saturatedSince time.Time
	retries        retrySchedule
	// quotas hold under overload, which began at overload, zero while there is none; excess is when
	// a request was last refused for load.
	quotas          quotaTable
	overloadSince   time.Time
	lastLoadRefusal time.Time
}

func newLimiter(s Settings, random Random) *limiter {
	return &limiter{
		settings: s, random: random, limit: newConcurrencyLimit(s), queue: &queue{},
		byKind: make(map[string]*estimate), retries: retrySchedule{maxWait: s.MaxRetryAfter.D()},
	}
}

// arrive takes a request in: it runs, waits or is refused.
func (l *limiter) arrive(now time.Time, w *waiter) {
	l.updateOverload(now)
	l.expire(now)
	w.cost = l.cost(w.kind)
	if err := l.refusal(now, w); err != nil {
		w.decision <- decision{err: err}
		return
	}
	l.queue.push(now, w)
	l.admit(now)
	if l.queue.length > 0 {
		l.limit.markSaturated()
	}
}

// refusal returns why the request is refused at the door, or nil. In a full queue another may have to
// go in its place.
func (l *limiter) refusal(now time.Time, w *waiter) *outcome.Error {
	quota := l.quotas.record(now, w)
	if l.inFlight < l.limit.slots() && l.queue.length == 0 {
		return l.refuseTooLate(now, w, 0)
	}
	if l.overloaded() {
		l.quotas.reallocate(now, l.capacity(now))
		if !quota.take(now) {
			return l.refuseForLoad(now, "more is asked for than can be done")
		}
	}
	wait := l.estimateWait(now, w)
	if err := l.refuseTooLate(now, w, wait); err != nil {
		return err
	}
	if wait > l.settings.MaxWait.D() {
		return l.refuseForLoad(now, "the wait would be longer than allowed")
	}
	if l.queue.length < l.settings.Queue {
		return nil
	}
	displaced := l.queue.displace(w)
	if displaced == nil {
		return l.refuseForLoad(now, "the queue is full")
	}
	displaced.decision <- decision{err: l.refuseForLoad(now, "a request that goes first took the place")}
	return nil
}

// capacity returns how many requests a second are let in under overload: about as many as end, more
// while fewer wait than should, less while more do.
func (l *limiter) capacity(now time.Time) float64 {
	drain := l.completions.perSecond(now)
	target := max(minWaiting, drain*l.settings.OverloadWait.D().Seconds())
	shortfall := (target - float64(l.queue.length)) / target
	return drain * (1 + capacitySwing*max(-1, shortfall))
}

// refuseTooLate refuses a request that can't be done in the time it has left, after the given wait.
func (l *limiter) refuseTooLate(now time.Time, w *waiter, wait time.Duration) *outcome.Error {
	if remaining := w.deadline.Sub(now); remaining > 0 && remaining >= wait+l.minTime(now, w.kind) {
		return nil
	}
	e := outcome.NotRun(pb.Reason_REASON_DEADLINE, step, "the time left is too short for the work")
	return e.After(l.retryAfter(now))
}

// refuseForLoad refuses a request for load.
func (l *limiter) refuseForLoad(now time.Time, why string) *outcome.Error {
	l.lastLoadRefusal = now
	return outcome.NotRun(pb.Reason_REASON_QUEUE_FULL, step, "%s", why).After(l.retryAfter(now))
}

// retryAfter returns when a refused caller should come back.
func (l *limiter) retryAfter(now time.Time) time.Duration {
	return l.retries.retryAfter(now, l.queue.length, l.drainRate(now), l.random())
}

// admit lets waiting requests run while there are slots.
func (l *limiter) admit(now time.Time) {
	for l.inFlight < l.limit.slots() {
		w := l.next()
		if w == nil {
			break
		}
		l.inFlight++
		w.decision <- decision{}
	}
	switch {
	case l.inFlight < l.limit.slots():
		l.saturatedSince = time.Time{}
	case l.saturatedSince.IsZero():
		l.saturatedSince = now
	}
}

// next takes the next request out of the queue. Under overload the rations have chosen by weight and
// share already, and what they let in goes in the order in which it came: an order by weight would let
// the lighter ones wait in vain.
func (l *limiter) next() *waiter {
	if l.overloaded() {
		return l.queue.popOldest()
	}
	return l.queue.pop()
}

// finish takes the end of a request that was admitted. took is 0 where it never ran.
func (l *limiter) finish(now time.Time, kind string, elapsed time.Duration, r Result) {
	l.inFlight--
	if r == ResultOK || r == ResultPartialOverload || r == ResultDeadline {
		l.estimateOf(kind).add(now, elapsed)
		l.overall.add(now, elapsed)
	}
	if r != ResultOverload && r != ResultCancelled {
		l.completions.add(now)
	}
	l.limit.observe(now, r)
	l.updateOverload(now)
	l.expire(now)
	l.admit(now)
}

// cancel takes out a request whose caller went away, and tells whether it still waited.
func (l *limiter) cancel(w *waiter) bool { return l.queue.remove(w) }

// expire refuses the waiting requests whose time is up.
func (l *limiter) expire(now time.Time) {
	var expired []*waiter
	l.queue.each(func(w *waiter) {
		if !now.Before(l.expiry(now, w)) {
			expired = append(expired, w)
		}
	})
	for _, w := range expired {
		l.queue.remove(w)
		w.decision <- decision{err: l.expired(now, w)}
	}
}

// expiry returns when the time of a waiting request is up.
func (l *limiter) expiry(now time.Time, w *waiter) time.Time {
	longest := w.arrived.Add(l.settings.MaxWait.D())
	if latest := w.deadline.Add(-l.minTime(now, w.kind)); latest.Before(longest) {
		return latest
	}
	return longest
}

// expired is the outcome of a request whose time in the queue is up.
func (l *limiter) expired(now time.Time, w *waiter) *outcome.Error {
	if err := l.refuseTooLate(now, w, 0); err != nil {
		return err
	}
	return l.refuseForLoad(now, "no slot came free in the time allowed for waiting")
}

// nextExpiry returns when expire has to be called next, and whether anything waits.
func (l *limiter) nextExpiry(now time.Time) (next time.Time, ok bool) {
	l.queue.each(func(w *waiter) {
		if at := l.expiry(now, w); !ok || at.Before(next) {
			next, ok = at, true
		}
	})
	return next, ok
}

// updateOverload notes when overload begins, once the queue has stood for too long, and when it ends, once
// nothing has been refused for load for a while.
func (l *limiter) updateOverload(now time.Time) {
	after := l.settings.OverloadAfter.D()
	switch {
	case l.overloadSince.IsZero() && l.queue.nonEmptyFor(now) >= after:
		l.overloadSince, l.lastLoadRefusal = now, now
	case !l.overloadSince.IsZero() && now.Sub(l.lastLoadRefusal) >= overloadEndFactor*after:
		l.overloadSince = time.Time{}
	}
}

// overloaded tells whether work comes faster than it is done.
func (l *limiter) overloaded() bool { return !l.overloadSince.IsZero() }

// estimateWait estimates how long a new request waits for a slot.
func (l *limiter) estimateWait(now time.Time, w *waiter) time.Duration {
	ahead := l.queue.ahead(w.weight)
	if d := l.drainRate(now); d > 0 {
		return time.Duration(float64(ahead) / d * float64(time.Second))
	}
	return 0
}

// drainRate returns how many requests a second the gate ends when it is busy: as counted where it has
// been busy for a while, else from its limit and the usual time of a request. 0 is not known.
func (l *limiter) drainRate(now time.Time) float64 {
	counted := l.completions.perSecond(now)
	if !l.saturatedSince.IsZero() && now.Sub(l.saturatedSince) >= rateTimeConstant {
		return counted
	}
	if t := l.overall.typical(); t > 0 {
		return max(counted, l.limit.value/t.Seconds())
	}
	return counted
}

// estimateOf returns the estimate of a kind.
func (l *limiter) estimateOf(kind string) *estimate {
	e := l.byKind[kind]
	if e == nil {
		e = &estimate{}
		l.byKind[kind] = e
	}
	return e
}

// minTime returns a time in which a request of the kind surely can't be done.
func (l *limiter) minTime(now time.Time, kind string) time.Duration {
	return l.estimateOf(kind).lowerBound(now)
}

// defaultCost, in seconds, is charged for a kind of which nothing is known.
const defaultCost = 0.01

// cost returns what a request of the kind takes of its caller's share.
func (l *limiter) cost(kind string) float64 {
	if t := l.estimateOf(kind).typical(); t > 0 {
		return t.Seconds()
	}
	return defaultCost
}
