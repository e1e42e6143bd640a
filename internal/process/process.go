// Package process runs the duties of a daemon and ends them in order: first the drain, during
// which the balancer's lag passes and running work finishes, then the duties in reverse.
package process

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// Duty is one long-running part of a process. Run returns when ctx ends, or with an error that
// ends the process.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// Drain is called once on SIGTERM, before duties end. It returns when running work has finished or
// ctx ends.
type Drain func(ctx context.Context)

// Runner runs duties until a signal comes.
type Runner struct {
	Log *zap.Logger
	// DrainLimit bounds the drain.
	DrainLimit time.Duration
	Drain      Drain
	Duties     []Duty
}

// NewIncarnation draws the random number that names one start of a process; never 0.
func NewIncarnation() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:])
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

// Run starts all duties, waits for SIGTERM, SIGINT, ctx or a duty's error, drains, and stops the
// duties in reverse order. It returns the first duty's error.
func (r *Runner) Run(ctx context.Context) error {
	sig, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return r.run(sig)
}

// run is Run without the signals: the end of ctx starts the drain.
func (r *Runner) run(ctx context.Context) error {
	failed := make(chan error, len(r.Duties))
	cancels := make([]context.CancelFunc, len(r.Duties))
	dones := make([]chan struct{}, len(r.Duties))
	for i, d := range r.Duties {
		dctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		cancels[i], dones[i] = cancel, make(chan struct{})
		go r.runDuty(dctx, d, failed, dones[i])
	}
	r.Log.Info("started")
	err := r.wait(ctx, failed)
	for i := len(r.Duties) - 1; i >= 0; i-- {
		cancels[i]()
		<-dones[i]
	}
	r.Log.Info("stopped")
	return err
}

func (r *Runner) runDuty(ctx context.Context, d Duty, failed chan<- error, done chan<- struct{}) {
	defer close(done)
	err := d.Run(ctx)
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	r.Log.Error("duty failed", zap.String("duty", d.Name), zap.Error(err))
	failed <- err
}

// wait returns after the drain, or at once with a duty's error.
func (r *Runner) wait(sig context.Context, failed <-chan error) error {
	select {
	case err := <-failed:
		return err
	case <-sig.Done():
	}
	r.Log.Info("draining")
	if r.Drain == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.DrainLimit)
	defer cancel()
	r.Drain(ctx)
	return nil
}

// PauseDetector notices that the process did not run for a while, such as a frozen VM, by the
// lateness of its own ticks.
type PauseDetector struct {
	// Tick is how often it looks, Bound how late a tick may come.
	Tick, Bound time.Duration

	mu sync.Mutex
	// last is the time of the newest tick, pauseEnded when the newest pause ended; guarded by mu.
	last, pauseEnded time.Time
}

// NewPauseDetector returns a detector that has seen no pause.
func NewPauseDetector(tick, bound time.Duration) *PauseDetector {
	return &PauseDetector{Tick: tick, Bound: bound, last: time.Now()}
}

// Run ticks until ctx ends.
func (p *PauseDetector) Run(ctx context.Context) error {
	t := time.NewTicker(p.Tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			p.Observe(time.Now())
		}
	}
}

// Observe notes that the process runs at now. It may be called at any time besides the ticks, so
// that a request that comes first after a pause finds it.
func (p *PauseDetector) Observe(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) > p.Tick+p.Bound {
		p.pauseEnded = now
	}
	if now.After(p.last) {
		p.last = now
	}
}

// LastPause returns when the newest pause was seen to end, or the zero time.
func (p *PauseDetector) LastPause(now time.Time) time.Time {
	p.Observe(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauseEnded
}
