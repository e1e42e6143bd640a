// Package process runs the duties of a daemon and shuts it down in order. The drain comes first: it waits
// for the load balancer to notice and for running work to finish. Then the duties stop in reverse order.
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

// Duty is a long-running component of a process. Run returns when ctx is cancelled. An error other than
// context.Canceled ends the process.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// Drain is called once on SIGTERM or SIGINT, before the duties stop. It returns when running work has
// finished or ctx is cancelled.
type Drain func(ctx context.Context)

// Runner runs duties until it receives SIGTERM or SIGINT.
type Runner struct {
	Log *zap.Logger
	// DrainLimit is the timeout of the drain.
	DrainLimit time.Duration
	Drain      Drain
	Duties     []Duty
}

// NewIncarnation returns a random number that identifies one start of a process. It is never 0.
func NewIncarnation() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:])
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

// Run starts all duties and waits for SIGTERM, SIGINT, the end of ctx or an error of a duty. It drains,
// unless a duty failed, and stops the duties in reverse order. It returns the first error of a duty that
// ended the wait.
func (r *Runner) Run(ctx context.Context) error {
	sig, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return r.run(sig)
}

// run implements Run without the signals: the end of ctx starts the drain.
func (r *Runner) run(ctx context.Context) error {
	failed := make(chan error, len(r.Duties))
	cancels := make([]context.CancelFunc, len(r.Duties))
	dones := make([]chan struct{}, len(r.Duties))
	for i, d := range r.Duties {
		dutyCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		cancels[i], dones[i] = cancel, make(chan struct{})
		go r.runDuty(dutyCtx, d, failed, dones[i])
	}
	r.Log.Info("started")
	err := r.waitAndDrain(ctx, failed)
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

// waitAndDrain waits for the end of sig and drains. It returns at once with the error of a duty that fails
// before that.
func (r *Runner) waitAndDrain(sig context.Context, failed <-chan error) error {
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

// PauseDetector detects that the process did not run for a while, such as on a frozen VM, by the delay of
// its own ticks. It is safe for concurrent use.
type PauseDetector struct {
	// Tick is the interval of the ticks. MaxTickDelay is how late a tick may be before it counts as a
	// pause.
	Tick, MaxTickDelay time.Duration

	mu sync.Mutex
	// last is the time of the latest observation, pauseEnded the end of the latest pause, zero if there
	// was none; guarded by mu.
	last, pauseEnded time.Time
}

// NewPauseDetector returns a detector without a pause so far.
func NewPauseDetector(tick, maxTickDelay time.Duration) *PauseDetector {
	return &PauseDetector{Tick: tick, MaxTickDelay: maxTickDelay, last: time.Now()}
}

// Run observes the time at each tick until ctx is cancelled.
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

// Observe records that the process runs at now, and a pause if the previous observation is too old. It may be
// called between ticks, so that a request that arrives before the first tick after a pause detects the pause.
func (p *PauseDetector) Observe(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) > p.Tick+p.MaxTickDelay {
		p.pauseEnded = now
	}
	if now.After(p.last) {
		p.last = now
	}
}

// LastPause observes now and returns when the end of the latest pause was detected, or the zero time if there
// was none.
func (p *PauseDetector) LastPause(now time.Time) time.Time {
	p.Observe(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauseEnded
}
