package order

import (
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/balance"
)

// suspendThreshold is how far the wall clock may advance beyond the monotonic clock between two
// readings before the difference counts as time in which the VM was suspended.
const suspendThreshold = time.Second

// bootClock measures the time since boot with the clock of this process. It never goes back. It
// includes time in which the VM was suspended, provided that the wall clock shows it.
type bootClock struct {
	now  balance.Clock
	boot time.Time

	mu sync.Mutex
	// lastReading is the newest reading and sinceBoot the time up to it. Both are guarded by mu.
	lastReading time.Time
	sinceBoot   time.Duration
}

func newBootClock(now balance.Clock) *bootClock {
	t := now()
	return &bootClock{now: now, boot: t, lastReading: t}
}

// Since returns the time since boot.
func (c *bootClock) Since() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.now()
	elapsed := t.Sub(c.lastReading)
	if wallElapsed := t.Round(0).Sub(c.lastReading.Round(0)); wallElapsed > elapsed+suspendThreshold {
		elapsed = wallElapsed
	}
	if elapsed > 0 {
		c.sinceBoot += elapsed
		c.lastReading = t
	}
	return c.sinceBoot
}

// WallTime returns the wall-clock time at the given time since boot, for display only.
func (c *bootClock) WallTime(since time.Duration) time.Time { return c.boot.Round(0).Add(since) }
