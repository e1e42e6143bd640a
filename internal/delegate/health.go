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
	// firstPingDelay is how long a search may be in flight at a gatherer before the gatherer is pinged. Half of
	// the searches are answered by then or soon after; pinging for all of them would double the messages.
	firstPingDelay = 40 * time.Millisecond
	// pingTimeout bounds the answer to a ping of a gatherer that told no long wait. The round trip takes 0.2 ms within
	// a zone.
	pingTimeout = 100 * time.Millisecond
	// pingPeriod is the time between two pings while a search is in flight.
	pingPeriod = 150 * time.Millisecond
	// lostPingPeriod is the time between two pings of a gatherer that is marked lost.
	lostPingPeriod = 250 * time.Millisecond
	// longWait is the told wait above which a gatherer gets more time for a ping, and maxExtraPing bounds that time.
	longWait, maxExtraPing = 20 * time.Millisecond, 400 * time.Millisecond
)

// pingWhileInFlight pings the gatherer until ctx, which is that of the search, ends.
func (m *Manager) pingWhileInFlight(ctx context.Context, t *target) {
	for ctx.Err() == nil {
		m.checkInFlight(ctx, t)
		wait.For(ctx, pingPeriod)
	}
}

// requestCheck has Run ping the gatherer.
func (m *Manager) requestCheck(t *target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.checkPending = true
	m.wakeRun()
}

// mayBeBehind reports whether the last report of the gatherer showed a long wait.
func (m *Manager) mayBeBehind(t *target) bool { return m.pingTimeout(t) > pingTimeout }

// pingTimeout returns how long the gatherer has to answer a ping: where its last report showed a long wait, that wait
// in addition.
func (m *Manager) pingTimeout(t *target) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !t.report.valid(time.Now()) || t.report.wait <= longWait {
		return pingTimeout
	}
	return pingTimeout + min(t.report.wait, maxExtraPing)
}

// handleLoss marks the gatherer lost until it answers a ping, and requests pings of the others. A failure of
// one gatherer often affects more of them, such as a cut between zones, and finding each through its own search
// would cost another search.
func (m *Manager) handleLoss(t *target, err error) {
	if m.markLost(t, err) {
		m.requestChecks(t)
	}
}

// markLost marks the gatherer lost and cancels the searches in flight there: a caller that hears of it at once
// may still be served in time by another VM. It returns false where the gatherer was marked already.
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

// requestChecks has Run ping the gatherers that searches would go to in place of the lost one.
func (m *Manager) requestChecks(lost *target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.targets {
		t.checkPending = t.checkPending || t != lost && t.otherZone == lost.otherZone
	}
	m.wakeRun()
}

// wakeRun makes Run check the gatherers at once.
func (m *Manager) wakeRun() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// checkInFlight pings a gatherer that has not answered a search yet, and handles its loss where it does not
// answer the ping.
func (m *Manager) checkInFlight(ctx context.Context, t *target) {
	if err := m.probe(ctx, t); err != nil && ctx.Err() == nil { // the search is still in flight
		m.handleLoss(t, err)
	}
}

// probe pings a gatherer once and records its load. It returns no error where the ping timed out but the gatherer has
// answered something else meanwhile.
func (m *Manager) probe(ctx context.Context, t *target) error {
	start := time.Now()
	pingCtx, cancel := context.WithTimeout(ctx, m.pingTimeout(t))
	defer cancel()
	pong, err := t.client.Ping(pingCtx, &pb.FleetPing{})
	if err == nil {
		m.recordLoad(t, pong)
		return nil
	}
	if pingCtx.Err() != nil && m.heardSince(t, start) {
		return nil
	}
	return err
}

// heardSince reports whether the gatherer has answered this VM after the time.
func (m *Manager) heardSince(t *target, start time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return t.heardAt.After(start)
}

// recordLoad records that the gatherer answered this VM, with its load; nil if it sent none.
func (m *Manager) recordLoad(t *target, load *pb.FleetPong) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	t.heardAt = now
	if load != nil {
		t.record(newReport(load, now))
	}
}

// Run pings the gatherers that are lost or about to stop every lostPingPeriod, and those due for a check once,
// until ctx ends.
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

// targetsToCheck returns the gatherers to ping, and clears their pending checks: such a check takes one ping.
func (m *Manager) targetsToCheck() []*target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*target
	for _, t := range m.targets {
		if !t.reachable() || t.checkPending {
			out = append(out, t)
		}
		t.checkPending = false
	}
	return out
}

// checkTarget pings a gatherer, and marks it lost or regained according to the result.
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
		m.cfg.Log.Info("stronger VM regained", zap.String("peer", t.address),
			zap.Duration("lag", t.report.lag), zap.Duration("wait", t.report.wait))
	}
	t.lost = false
}
