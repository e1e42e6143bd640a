package dispatch

import (
	"sync"
	"time"
)

// probePeriod is the time between two searches that are made though the shards seem to be mute: a return is
// found within half a second, and at 25 searches a second one in six waits in vain.
const probePeriod = 250 * time.Millisecond

// probes says when a hopeless search is made nevertheless. It is safe for concurrent use.
type probes struct {
	mu sync.Mutex
	// last is when one was let through; guarded by mu.
	last time.Time
}

func (p *probes) due(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) < probePeriod {
		return false
	}
	p.last = now
	return true
}
