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
	// quietAfter is how long a search may be with a gatherer until that is asked whether it runs. Half of the
	// searches are answered by then or soon after; pings of all would double the messages.
	quietAfter = 40 * time.Millisecond
	// pingTimeout is how long a gatherer may take to say that it runs. The way there and back takes 0.2 ms in a
	// zone; a gatherer that takes longer than this serves nobody in time.
	pingTimeout = 100 * time.Millisecond
	// pingPeriod is the time between two pings while a search goes on.
	pingPeriod = 150 * time.Millisecond
	// lostPeriod is the time between two pings of a gatherer that is lost.
	lostPeriod = 250 * time.Millisecond
)

// watch pings the gatherer until the search is over.
func (m *Manager) watch(ctx context.Context, t *target) {
	for ctx.Err() == nil {
		m.ping(ctx, t)
		wait.For(ctx, pingPeriod)
	}
}

// lose gives a gatherer no more searches until it answers a ping, and has the others asked whether they run: what
// took one often took more, such as a cut between zones, and each found by its own would cost another search.
func (m *Manager) lose(t *target, err error) {
	if m.drop(t, err) {
		m.doubt(t)
	}
}

// drop notes that a gatherer is lost and ends the searches that it has: a caller that hears at once may still be
// served in time by another VM. It tells whether that is new.
func (m *Manager) drop(t *target, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.lost {
		return false
	}
	t.lost = true
	m.cfg.Log.Warn("stronger VM lost", zap.String("peer", t.address), zap.Int("searches", len(t.flights)), zap.Error(err))
	for f := range t.flights {
		f.cancel()
	}
	return true
}

// doubt has Run ask those to which searches would go in place of the lost one.
func (m *Manager) doubt(lost *target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.plan {
		t.doubted = t.doubted || t != lost && t.last == lost.last
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// ping asks a gatherer that has been quiet whether it runs, and loses it where it doesn't say so.
func (m *Manager) ping(ctx context.Context, t *target) {
	if err := m.ask(ctx, t); err != nil && ctx.Err() == nil { // the search still waits
		m.lose(t, err)
	}
}

// ask pings a gatherer and notes its load.
func (m *Manager) ask(ctx context.Context, t *target) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	pong, err := t.client.Ping(ctx, &pb.FleetPing{})
	if err != nil {
		return err
	}
	m.noteLoad(t, pong)
	return nil
}

func (m *Manager) noteLoad(t *target, load *pb.FleetPong) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.note(microseconds(load.GetLagUs()), load.GetLeaving(), time.Now())
}

// Run pings gatherers that are lost, doubted or about to end until they answer, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for {
		var wg sync.WaitGroup
		for _, t := range m.unsure() {
			wg.Go(func() { m.look(ctx, t) })
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		case <-time.After(lostPeriod):
		}
	}
}

// unsure returns the gatherers to ask; the doubted ones are asked once.
func (m *Manager) unsure() []*target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*target
	for _, t := range m.plan {
		if t.lost || t.leaving || t.doubted {
			out = append(out, t)
		}
		t.doubted = false
	}
	return out
}

// look asks a gatherer, and loses or regains it by its answer.
func (m *Manager) look(ctx context.Context, t *target) {
	if err := m.ask(ctx, t); err != nil {
		if ctx.Err() == nil {
			m.drop(t, err)
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
