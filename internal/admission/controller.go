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
	// kept is the bundle by which unused state was last dropped.
	kept atomic.Pointer[bundle.Bundle]

	mu sync.Mutex
	// doors is guarded by mu.
	doors map[string]*door
}

// door is a gate with what serializes it and the timer of its next expiry.
type door struct {
	clock  Clock
	gauges gauges

	mu sync.Mutex
	// gate and timer are guarded by mu.
	gate  *gate
	timer *time.Timer
}

// New returns a controller that has admitted nothing.
func New(s Settings, reg prometheus.Registerer, clock Clock, random Random) *Controller {
	return &Controller{
		settings: s, clock: clock, random: random, callers: newCallers(s, random),
		metrics: newMetrics(reg), doors: make(map[string]*door),
	}
}

// Slot is the right to run one request. Done has to be called once.
type Slot struct {
	door    *door
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
	d := c.door(r.Service)
	w := newWaiter(ctx, r, now)
	d.arrive(w)
	err := d.await(ctx, w)
	ended := c.clock()
	c.metrics.waited.WithLabelValues(r.Service).Observe(ended.Sub(now).Seconds())
	if err != nil {
		c.metrics.refused(r, err)
		return nil, err
	}
	return &Slot{door: d, kind: r.Kind.Name, started: ended}, nil
}

// Done ends the request.
func (s *Slot) Done(r Result) {
	now := s.door.clock()
	s.door.with(func(g *gate) { g.ended(now, s.kind, now.Sub(s.started), r) })
}

// Prune drops the state of callers and services that the bundle doesn't name. It is cheap where the
// bundle is the same as before.
func (c *Controller) Prune(b *bundle.Bundle) {
	if c.kept.Swap(b) == b {
		return
	}
	c.callers.keep(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, d := range c.doors {
		if b.Services[name] == nil && d.idle() {
			delete(c.doors, name)
		}
	}
}

func newWaiter(ctx context.Context, r Request, now time.Time) *waiter {
	deadline, _ := ctx.Deadline()
	return &waiter{
		caller: r.Caller.Name, share: float64(max(1, r.Caller.Share)), kind: r.Kind.Name, weight: r.Kind.Weight,
		arrived: now, deadline: deadline, verdict: make(chan verdict, 1),
	}
}

// door returns the service's door.
func (c *Controller) door(service string) *door {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.doors[service]
	if d == nil {
		d = &door{clock: c.clock, gauges: c.metrics.gauges(service), gate: newGate(c.settings, c.random)}
		d.timer = time.AfterFunc(time.Hour, d.expire)
		d.timer.Stop()
		c.doors[service] = d
	}
	return d
}

func (d *door) arrive(w *waiter) {
	d.with(func(g *gate) { g.arrive(w.arrived, w) })
}

func (d *door) expire() {
	now := d.clock()
	d.with(func(g *gate) { g.expire(now) })
}

// with runs f on the gate, then sets the timer and the gauges by what f left.
func (d *door) with(f func(*gate)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.gate)
	now := d.clock()
	if at, some := d.gate.nextExpiry(now); some {
		d.timer.Reset(max(at.Sub(now), timerFloor))
	} else {
		d.timer.Stop()
	}
	d.gauges.show(d.gate)
}

// timerFloor keeps a timer whose time is past from firing without a pause.
const timerFloor = 100 * time.Microsecond

// await returns the decision about w, or the outcome where ctx ends first.
func (d *door) await(ctx context.Context, w *waiter) *outcome.Error {
	select {
	case v := <-w.verdict:
		return v.err
	case <-ctx.Done():
	}
	waiting := false
	d.with(func(g *gate) { waiting = g.leave(w) })
	if !waiting {
		// The decision came at the same moment; a slot goes back unused.
		if v := <-w.verdict; v.err == nil {
			now := d.clock()
			d.with(func(g *gate) { g.ended(now, w.kind, 0, ResultCancelled) })
		}
	}
	reason := pb.Reason_REASON_CANCELLED
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = pb.Reason_REASON_DEADLINE
	}
	return outcome.NotRun(reason, step, "the request ended while it waited")
}

// idle tells whether nothing runs or waits.
func (d *door) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.inFlight == 0 && d.gate.queue.length == 0
}
