package dispatch

import (
	"sync"
	"time"
)

// probePeriod is the time between two searches that are sent although the shards seem unresponsive. A recovery is
// detected within half a second. At 25 searches a second one in six waits in vain.
const probePeriod = 250 * time.Millisecond

// probes limits how often a request is sent although its leaves seem unreachable. It is safe for concurrent use.
type probes struct {
	mu sync.Mutex
	// last is when a request was last let through; guarded by mu.
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
