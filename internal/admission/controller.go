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

// Clock gives the time; time.Now in the running process.
type Clock func() time.Time

// Request is what the decision about one request rests on.
type Request struct {
	Service string
	Kind    *bundle.Kind
	Caller  *bundle.Caller
}

// Controller admits requests for all services. It is safe for concurrent use.
type Controller struct {
	settings Settings
	clock    Clock
	random   Random
	callers  *callers
	metrics  *metrics
	// pruned is the bundle by which unused state was last dropped.
	pruned atomic.Pointer[bundle.Bundle]

	mu sync.Mutex
	// limiters is guarded by mu.
	limiters map[string]*syncLimiter
}

// syncLimiter is a gate with what serializes it and the timer of its next expiry.
type syncLimiter struct {
	clock  Clock
	gauges gauges

	mu sync.Mutex
	// limiter and timer are guarded by mu.
	limiter *limiter
	timer   *time.Timer
}

// New returns a controller that has admitted nothing.
func New(s Settings, reg prometheus.Registerer, clock Clock, random Random) *Controller {
	return &Controller{
		settings: s, clock: clock, random: random, callers: newCallers(s, random),
		metrics: newMetrics(reg), limiters: make(map[string]*syncLimiter),
	}
}

// Slot is the right to run one request. Done has to be called once.
type Slot struct {
	limiter *syncLimiter
	kind    string
	started time.Time
}

// Admit waits for the right to run. The error says why not, and is final; it comes at once, also when
// the caller goes away or the time left no longer suffices. ctx must have a deadline.
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

// Done ends the request.
func (s *Slot) Done(r Result) {
	now := s.limiter.clock()
	s.limiter.with(func(l *limiter) { l.finish(now, s.kind, now.Sub(s.started), r) })
}

// Prune drops the state of callers and services that the bundle doesn't name. It is cheap where the
// bundle is the same as before.
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

// limiterOf returns the service's door.
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

// with runs f on the gate, then sets the timer and the gauges by what f left.
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

// minTimerDelay keeps a timer whose time is past from firing without a pause.
const minTimerDelay = 100 * time.Microsecond

// await returns the decision about w, or the outcome where ctx ends first.
func (sl *syncLimiter) await(ctx context.Context, w *waiter) *outcome.Error {
	select {
	case v := <-w.decision:
		return v.err
	case <-ctx.Done():
	}
	waiting := false
	sl.with(func(l *limiter) { waiting = l.cancel(w) })
	if !waiting {
		// The decision came at the same moment; a slot goes back unused.
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

// idle tells whether nothing runs or waits.
func (sl *syncLimiter) idle() bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.limiter.inFlight == 0 && sl.limiter.queue.length == 0
}
