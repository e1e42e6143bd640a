package syncd

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// startLimit is how long a fresh VM asks peers and platform before it goes on with what it
	// has; resumeLimit is the same after a pause.
	startLimit  = 4 * time.Second
	resumeLimit = 2 * time.Second
	// askAgainMin and askAgainMax bound the random wait between rounds of asking.
	askAgainMin = 100 * time.Millisecond
	askAgainMax = 300 * time.Millisecond
)

// runCatchUp asks peers and the platform at the start and after each pause.
func (m *Manager) runCatchUp(ctx context.Context) {
	limit := startLimit
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		m.catchUp(ctx, limit)
		limit = resumeLimit
	}
}

// catchUp returns when all that could be asked have answered, or at the limit: a VM that is cut off
// goes on with the highest bundle it has seen.
func (m *Manager) catchUp(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	platform := false
	for {
		if !platform {
			platform = m.reader.readOnce(ctx)
		}
		asked, answered := m.spread.AskPeers(ctx)
		if answered > 0 || platform && asked == 0 {
			break
		}
		if !sleep(ctx, askAgainMin+rand.N(askAgainMax-askAgainMin)) {
			break
		}
	}
	m.spread.SetCaughtUp()
	m.publishOwn(time.Now())
}
