package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// drainRetryAfter is the retry-after time of a refusal for shutdown. It is short because the
	// load balancer sends the caller to another VM.
	drainRetryAfter = 100 * time.Millisecond
	// minRefuseTime is how long new work is refused with an answer before connections are closed,
	// so that a request under way on an idle connection is not cut off.
	minRefuseTime = 250 * time.Millisecond
	// idlePollInterval is the interval of the check for the end of running work.
	idlePollInterval = 10 * time.Millisecond
)

// phase is the stage of a shutdown.
type phase int32

const (
	phaseServing phase = iota
	// phaseLeaving follows the signal: the process reports not ready, but still serves what the
	// load balancer sends.
	phaseLeaving
	// phaseRefusing follows the load balancer's lag: running work finishes, new work is refused.
	phaseRefusing
)

var phaseNames = map[phase]string{phaseServing: "serving", phaseLeaving: "leaving", phaseRefusing: "refusing"}

// drainer holds the phase of the shutdown and counts running work.
type drainer struct {
	phase   atomic.Int32
	running atomic.Int64
}

func (d *drainer) current() phase   { return phase(d.phase.Load()) }
func (d *drainer) setPhase(p phase) { d.phase.Store(int32(p)) }
func (d *drainer) refusing() bool   { return d.current() == phaseRefusing }
func (d *drainer) draining() bool   { return d.current() != phaseServing }

// markConnection asks the caller to open its next connection through the load balancer. Over HTTP/2
// the header becomes a GOAWAY that lets open streams finish.
func (d *drainer) markConnection(w http.ResponseWriter) {
	if d.draining() {
		w.Header().Set("Connection", "close")
	}
}

// waitIdle waits until no work runs or ctx ends.
func (d *drainer) waitIdle(ctx context.Context) {
	for d.running.Load() > 0 && wait(ctx, idlePollInterval) {
	}
}

// Drain shuts down the callers' listener in order: it keeps serving for the load balancer's lag,
// then refuses new work, waits for running work, and closes connections. It returns when that is
// done or ctx ends.
func (m *Manager) Drain(ctx context.Context) {
	m.drainer.setPhase(phaseLeaving)
	m.reporter.SetState(pb.ProcessState_PROCESS_STATE_DRAINING)
	m.log.Info("reporting not ready while still serving for the load balancer's lag", zap.Duration("lag", m.settings.Drain.BalancerLag.D()))
	wait(ctx, m.settings.Drain.BalancerLag.D())
	m.drainer.setPhase(phaseRefusing)
	m.log.Info("refusing new work and waiting for running work", zap.Int64("running", m.drainer.running.Load()))
	wait(ctx, minRefuseTime)
	m.drainer.waitIdle(ctx)
	if err := m.server.Shutdown(ctx); err != nil {
		m.log.Warn("running work did not end within the limit", zap.Error(err))
	}
	m.reporter.SetState(pb.ProcessState_PROCESS_STATE_GONE)
}

// wait waits for d and reports whether ctx is still active.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
