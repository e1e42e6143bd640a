package order

import (
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/balance"
)

// wallLead is how far the wall clock may run ahead of the monotonic clock between two readings
// before it counts as time that passed while the VM stood still.
const wallLead = time.Second

// elapsed measures the time since boot by the process's own clock. It never goes back. Time in
// which the VM was frozen counts, where the wall clock shows it.
type elapsed struct {
	now  balance.Clock
	boot time.Time

	mu sync.Mutex
	// last is the newest reading, sum the time up to it; guarded by mu.
	last time.Time
	sum  time.Duration
}

func newElapsed(now balance.Clock) *elapsed {
	t := now()
	return &elapsed{now: now, boot: t, last: t}
}

// Since returns the time since boot.
func (e *elapsed) Since() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.now()
	passed := t.Sub(e.last)
	if wall := t.Round(0).Sub(e.last.Round(0)); wall > passed+wallLead {
		passed = wall
	}
	if passed > 0 {
		e.sum += passed
		e.last = t
	}
	return e.sum
}

// Wall returns the wall-clock time at the given time since boot, for people to read.
func (e *elapsed) Wall(since time.Duration) time.Time { return e.boot.Round(0).Add(since) }
