package admission

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quota"
)

const step = "entry.admission"

const (
	// minWaiting is the least number of requests that should wait under overload, so that a freed slot
	// finds a request that the quotas let in.
	minWaiting = 3
	// overloadEndFactor times OverloadAfter is how long no request must be refused for load until the
	// overload counts as over.
	overloadEndFactor = 10
	// capacitySwing is how far the rate at which requests are let in departs from the completion rate, as
	// a share of it, to keep a few requests waiting and no more.
	capacitySwing = 0.2
)

// Result says how an admitted request ended.
type Result int

const (
	// ResultOK is a complete answer, or a partial one that lacks no shard because of load.
	ResultOK Result = iota
	// ResultPartialOverload is an answer that lacks shards because of load.
	ResultPartialOverload
	// ResultOverload is a refusal because of load.
	ResultOverload
	// ResultDeadline is a request whose deadline passed.
	ResultDeadline
	// ResultFailed is any other failure; it gives no information about load.
	ResultFailed
	// ResultCancelled is a request whose caller went away.
	ResultCancelled
)

// decision is the decision about one request: admitted where err is nil, else refused.
type decision struct{ err *outcome.Error }

// Random returns a number in [0,1).
type Random func() float64

// limiter admits the requests of one service. It has no clock and no goroutine: each call passes the
// time, and decisions go into the waiters' channels, which have room, so that a send never blocks. The
// caller serializes the calls.
type limiter struct {
	settings Settings
	random   Random
	limit    *concurrencyLimit
	inFlight int
	queue    *queue
	// byKind holds the estimated time of each kind, and overall that of all kinds together.
	byKind  map[string]*estimate
	overall estimate
	// completions counts the requests that ended, without those refused for load or cancelled.
	// saturatedSince is when the requests in flight last reached the limit, zero while they are below
	// it.
	completions    quota.Rate
	saturatedSince time.Time
	retries        quota.RetrySchedule
	// quotas apply under overload. overloadSince is when overload began, zero while there is none;
	// lastLoadRefusal is when a request was last refused for load, or overload began if that is later.
	quotas          quota.Table
	overloadSince   time.Time
	lastLoadRefusal time.Time
}

func newLimiter(s Settings, random Random) *limiter {
	return &limiter{
		settings: s, random: random, limit: newConcurrencyLimit(s), queue: &queue{},
		byKind: make(map[string]*estimate), retries: quota.RetrySchedule{MaxWait: s.MaxRetryAfter.D()},
	}
}

// arrive handles a new request: it is admitted, queued or refused.
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

// refusal returns the refusal of a request on arrival, or nil. Where the queue is full, another request
// may be refused in its place.
func (l *limiter) refusal(now time.Time, w *waiter) *outcome.Error {
	q := l.quotas.Record(now, w.quotaKey())
	if l.inFlight < l.limit.slots() && l.queue.length == 0 {
		return l.refuseTooLate(now, w, 0)
	}
	if l.overloaded() {
		l.quotas.Reallocate(now, l.capacity(now))
		if !q.Take(now) {
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

// capacity returns how many requests per second are let in under overload: about as many as complete,
// more while the queue is below its target length and fewer while it is above.
func (l *limiter) capacity(now time.Time) float64 {
	drain := l.completions.PerSecond(now)
	target := max(minWaiting, drain*l.settings.OverloadWait.D().Seconds())
	shortfall := (target - float64(l.queue.length)) / target
	return drain * (1 + capacitySwing*max(-1, shortfall))
}

// refuseTooLate returns the refusal of a request that can't finish before its deadline after the given
// wait, or nil.
func (l *limiter) refuseTooLate(now time.Time, w *waiter, wait time.Duration) *outcome.Error {
	if remaining := w.deadline.Sub(now); remaining > 0 && remaining >= wait+l.minTime(now, w.kind) {
		return nil
	}
	e := outcome.NotRun(pb.Reason_REASON_DEADLINE, step, "the time left is too short for the work")
	return e.WithRetryAfter(l.retryAfter(now))
}

// refuseForLoad returns a refusal because of load and records its time.
func (l *limiter) refuseForLoad(now time.Time, why string) *outcome.Error {
	l.lastLoadRefusal = now
	return outcome.NotRun(pb.Reason_REASON_QUEUE_FULL, step, "%s", why).WithRetryAfter(l.retryAfter(now))
}

// retryAfter returns the time after which a refused caller should retry.
func (l *limiter) retryAfter(now time.Time) time.Duration {
	return l.retries.RetryAfter(now, l.queue.length, l.drainRate(now), l.random())
}

// admit admits waiting requests while there are free slots.
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

// next removes the next request from the queue. Under overload the quotas have already selected by
// weight and share, and the requests they let in run in order of arrival: an order by weight would let
// the lighter ones wait until they expire.
func (l *limiter) next() *waiter {
	if l.overloaded() {
		return l.queue.popOldest()
	}
	return l.queue.pop()
}

// finish records the end of an admitted request. elapsed is 0 where it never ran.
func (l *limiter) finish(now time.Time, kind string, elapsed time.Duration, r Result) {
	l.inFlight--
	if r == ResultOK || r == ResultPartialOverload || r == ResultDeadline {
		l.estimateOf(kind).add(now, elapsed)
		l.overall.add(now, elapsed)
	}
	if r != ResultOverload && r != ResultCancelled {
		l.completions.Add(now)
	}
	l.limit.observe(now, r)
	l.updateOverload(now)
	l.expire(now)
	l.admit(now)
}

// cancel removes a request whose caller went away, and reports whether it was still waiting.
func (l *limiter) cancel(w *waiter) bool { return l.queue.remove(w) }

// expire refuses the waiting requests whose time in the queue is over.
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

// expiry returns when a waiting request expires: after the longest wait, or when the remaining time no
// longer suffices for the work, whichever comes first.
func (l *limiter) expiry(now time.Time, w *waiter) time.Time {
	longest := w.arrived.Add(l.settings.MaxWait.D())
	if latest := w.deadline.Add(-l.minTime(now, w.kind)); latest.Before(longest) {
		return latest
	}
	return longest
}

// expired returns the outcome of a waiting request that expired.
func (l *limiter) expired(now time.Time, w *waiter) *outcome.Error {
	if err := l.refuseTooLate(now, w, 0); err != nil {
		return err
	}
	return l.refuseForLoad(now, "no slot came free in the time allowed for waiting")
}

// nextExpiry returns when expire must be called next, and whether any request waits.
func (l *limiter) nextExpiry(now time.Time) (next time.Time, ok bool) {
	l.queue.each(func(w *waiter) {
		if at := l.expiry(now, w); !ok || at.Before(next) {
			next, ok = at, true
		}
	})
	return next, ok
}

// updateOverload detects overload. It begins when the queue has not been empty for OverloadAfter, and
// ends when no request has been refused for load for overloadEndFactor times that.
func (l *limiter) updateOverload(now time.Time) {
	after := l.settings.OverloadAfter.D()
	switch {
	case l.overloadSince.IsZero() && l.queue.nonEmptyFor(now) >= after:
		l.overloadSince, l.lastLoadRefusal = now, now
	case !l.overloadSince.IsZero() && now.Sub(l.lastLoadRefusal) >= overloadEndFactor*after:
		l.overloadSince = time.Time{}
	}
}

// overloaded reports whether requests arrive faster than they complete.
func (l *limiter) overloaded() bool { return !l.overloadSince.IsZero() }

// estimateWait estimates how long a new request waits for a slot.
func (l *limiter) estimateWait(now time.Time, w *waiter) time.Duration {
	ahead := l.queue.ahead(w.weight)
	if d := l.drainRate(now); d > 0 {
		return time.Duration(float64(ahead) / d * float64(time.Second))
	}
	return 0
}

// drainRate returns how many requests per second complete while all slots are in use: as counted where
// they have been in use for quota.RateTimeConstant, else at least the limit divided by the typical time of a
// request. 0 means that the rate is not known.
func (l *limiter) drainRate(now time.Time) float64 {
	counted := l.completions.PerSecond(now)
	if !l.saturatedSince.IsZero() && now.Sub(l.saturatedSince) >= quota.RateTimeConstant {
		return counted
	}
	if t := l.overall.typical(); t > 0 {
		return max(counted, l.limit.value/t.Seconds())
	}
	return counted
}

// estimateOf returns the estimate of a kind and creates it on first use.
func (l *limiter) estimateOf(kind string) *estimate {
	e := l.byKind[kind]
	if e == nil {
		e = &estimate{}
		l.byKind[kind] = e
	}
	return e
}

// minTime returns the time below which a request of the kind is assumed not to finish.
func (l *limiter) minTime(now time.Time, kind string) time.Duration {
	return l.estimateOf(kind).lowerBound(now)
}

// defaultCost, in seconds, is the cost of a kind without samples.
const defaultCost = 0.01

// cost returns the slot time, in seconds, that a request of the kind is charged to its caller.
func (l *limiter) cost(kind string) float64 {
	if t := l.estimateOf(kind).typical(); t > 0 {
		return t.Seconds()
	}
	return defaultCost
}
