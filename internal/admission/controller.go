package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// Clock returns the time; it is time.Now in the running process.
type Clock func() time.Time

// Request holds the properties of a request on which its admission depends.
type Request struct {
	Service string
	Kind    *bundle.Kind
	Caller  *bundle.Caller
}

// Controller admits the requests of all services. It is safe for concurrent use.
type Controller struct {
	settings Settings
	clock    Clock
	random   Random
	callers  *callers
	metrics  *metrics
	// pruned is the bundle of the last call to Prune.
	pruned atomic.Pointer[bundle.Bundle]

	mu sync.Mutex
	// limiters holds the limiter of each service; it is guarded by mu.
	limiters map[string]*syncLimiter
}

// syncLimiter is a limiter with the mutex that serializes its calls and the timer of its next expiry.
type syncLimiter struct {
	clock  Clock
	gauges gauges

	mu sync.Mutex
	// limiter and timer are guarded by mu.
	limiter *limiter
	timer   *time.Timer
}

// New returns a Controller without requests that registers its metrics with reg.
func New(s Settings, reg prometheus.Registerer, clock Clock, random Random) *Controller {
	return &Controller{
		settings: s, clock: clock, random: random, callers: newCallers(s, random),
		metrics: newMetrics(reg), limiters: make(map[string]*syncLimiter),
	}
}

// Slot is the permission to run one request. Done must be called exactly once.
type Slot struct {
	limiter *syncLimiter
	kind    string
	started time.Time
}

// Admit waits until the request may run and returns its slot. The error says why the request is refused,
// and is final. Admit returns it as soon as the refusal is certain, also when the caller goes away or
// the remaining time no longer suffices. ctx must have a deadline.
func (c *Controller) Admit(ctx context.Context, r Request) (*Slot, *outcome.Error) {
	now := c.clock()
	if err := c.callers.take(now, r.Caller); err != nil {
		c.metrics.refused(r, err)
		return nil, err
	}
	sl := c.limiterOf(r.Service)
	w := newWaiter(ctx, r, now)
	sl.arrive(w)
	err := sl.await(ctx, w)
	ended := c.clock()
	c.metrics.waited.WithLabelValues(r.Service).Observe(ended.Sub(now).Seconds())
	if err != nil {
		c.metrics.refused(r, err)
		return nil, err
	}
	return &Slot{limiter: sl, kind: r.Kind.Name, started: ended}, nil
}

// Done reports how the request ended and frees the slot.
func (s *Slot) Done(r Result) {
	now := s.limiter.clock()
	s.limiter.with(func(l *limiter) { l.finish(now, s.kind, now.Sub(s.started), r) })
}

// Prune drops the state of callers that are not in the bundle, and of services that are not in it and
// have no requests. It returns immediately if the bundle is the one of the last call.
func (c *Controller) Prune(b *bundle.Bundle) {
	if c.pruned.Swap(b) == b {
		return
	}
	c.callers.prune(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, sl := range c.limiters {
		if b.Services[name] == nil && sl.idle() {
			delete(c.limiters, name)
		}
	}
}

func newWaiter(ctx context.Context, r Request, now time.Time) *waiter {
	deadline, _ := ctx.Deadline()
	return &waiter{
		caller: r.Caller.Name, share: float64(max(1, r.Caller.Share)), kind: r.Kind.Name, weight: r.Kind.Weight,
		arrived: now, deadline: deadline, decision: make(chan decision, 1),
	}
}

// limiterOf returns the service's limiter and creates it on first use.
func (c *Controller) limiterOf(service string) *syncLimiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	sl := c.limiters[service]
	if sl == nil {
		sl = &syncLimiter{clock: c.clock, gauges: c.metrics.gauges(service), limiter: newLimiter(c.settings, c.random)}
		sl.timer = time.AfterFunc(time.Hour, sl.expire)
		sl.timer.Stop()
		c.limiters[service] = sl
	}
	return sl
}

func (sl *syncLimiter) arrive(w *waiter) {
	sl.with(func(l *limiter) { l.arrive(w.arrived, w) })
}

func (sl *syncLimiter) expire() {
	now := sl.clock()
	sl.with(func(l *limiter) { l.expire(now) })
}

// with runs f on the limiter under mu, then sets the timer and the gauges from the limiter's new state.
func (sl *syncLimiter) with(f func(*limiter)) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	f(sl.limiter)
	now := sl.clock()
	if at, ok := sl.limiter.nextExpiry(now); ok {
		sl.timer.Reset(max(at.Sub(now), minTimerDelay))
	} else {
		sl.timer.Stop()
	}
	sl.gauges.set(sl.limiter)
}

// minTimerDelay prevents a busy loop of the timer when its time is already past.
const minTimerDelay = 100 * time.Microsecond

// await waits for the decision about w and returns its refusal, nil where w is admitted. If ctx ends
// first, it takes w out of the queue and returns the outcome of that.
func (sl *syncLimiter) await(ctx context.Context, w *waiter) *outcome.Error {
	select {
	case v := <-w.decision:
		return v.err
	case <-ctx.Done():
	}
	waiting := false
	sl.with(func(l *limiter) { waiting = l.cancel(w) })
	if !waiting {
		// The decision was made at the same moment; a granted slot is returned unused.
		if v := <-w.decision; v.err == nil {
			now := sl.clock()
			sl.with(func(l *limiter) { l.finish(now, w.kind, 0, ResultCancelled) })
		}
	}
	reason := pb.Reason_REASON_CANCELLED
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = pb.Reason_REASON_DEADLINE
	}
	return outcome.NotRun(reason, step, "the request ended while it waited")
}

// idle reports whether no request runs or waits.
func (sl *syncLimiter) idle() bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.limiter.inFlight == 0 && sl.limiter.queue.length == 0
}
