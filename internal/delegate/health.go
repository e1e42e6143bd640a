package delegate

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// firstPingDelay is how long a search may be with a gatherer until that is asked whether it runs. Half of the
	// searches are answered by then or soon after; pings of all would double the messages.
	firstPingDelay = 40 * time.Millisecond
	// pingTimeout is how long a gatherer may take to say that it runs. The way there and back takes 0.2 ms in a
	// zone; a gatherer that takes longer than this serves nobody in time.
	pingTimeout = 100 * time.Millisecond
	// pingPeriod is the time between two pings while a search goes on.
	pingPeriod = 150 * time.Millisecond
	// lostPingPeriod is the time between two pings of a gatherer that is lost.
	lostPingPeriod = 250 * time.Millisecond
)

// pingWhileInFlight pings the gatherer until the search is over.
func (m *Manager) pingWhileInFlight(ctx context.Context, t *target) {
	for ctx.Err() == nil {
		m.checkInFlight(ctx, t)
		wait.For(ctx, pingPeriod)
	}
}

// handleLoss gives a gatherer no more searches until it answers a ping, and has the others asked whether they run: what
// took one often took more, such as a cut between zones, and each found by its own would cost another search.
func (m *Manager) handleLoss(t *target, err error) {
	if m.markLost(t, err) {
		m.requestChecks(t)
	}
}

// markLost notes that a gatherer is lost and ends the searches that it has: a caller that hears at once may still be
// served in time by another VM. It tells whether that is new.
func (m *Manager) markLost(t *target, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.lost {
		return false
	}
	t.lost = true
	m.cfg.Log.Warn("stronger VM lost", zap.String("peer", t.address), zap.Int("searches", len(t.inFlight)), zap.Error(err))
	for f := range t.inFlight {
		f.cancel()
	}
	return true
}

// requestChecks has Run ask those to which searches would go in place of the lost one.
func (m *Manager) requestChecks(lost *target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.targets {
		t.checkPending = t.checkPending || t != lost && t.fallback == lost.fallback
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// checkInFlight asks a gatherer that has been quiet whether it runs, and loses it where it doesn't say so.
func (m *Manager) checkInFlight(ctx context.Context, t *target) {
	if err := m.probe(ctx, t); err != nil && ctx.Err() == nil { // the search still waits
		m.handleLoss(t, err)
	}
}

// probe pings a gatherer and notes its load.
func (m *Manager) probe(ctx context.Context, t *target) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	pong, err := t.client.Ping(ctx, &pb.FleetPing{})
	if err != nil {
		return err
	}
	m.recordLoad(t, pong)
	return nil
}

func (m *Manager) recordLoad(t *target, load *pb.FleetPong) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.setLoad(microseconds(load.GetLagUs()), load.GetLeaving(), time.Now())
}

// Run pings gatherers that are lost, doubted or about to end until they answer, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for {
		var wg sync.WaitGroup
		for _, t := range m.targetsToCheck() {
			wg.Go(func() { m.checkTarget(ctx, t) })
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		case <-time.After(lostPingPeriod):
		}
	}
}

// targetsToCheck returns the gatherers to ask; the doubted ones are asked once.
func (m *Manager) targetsToCheck() []*target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*target
	for _, t := range m.targets {
		if t.lost || t.leaving || t.checkPending {
			out = append(out, t)
		}
		t.checkPending = false
	}
	return out
}

// checkTarget asks a gatherer, and loses or regains it by its answer.
func (m *Manager) checkTarget(ctx context.Context, t *target) {
	if err := m.probe(ctx, t); err != nil {
		if ctx.Err() == nil {
			m.markLost(t, err)
		}
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.lost {
		m.cfg.Log.Info("stronger VM regained", zap.String("peer", t.address), zap.Duration("lag", t.lag))
	}
	t.lost = false
}
