package order

import (
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/balance"
)

// suspendThreshold is how far the wall clock may run ahead of the monotonic clock between two readings
// before it counts as time that passed while the VM stood still.
const suspendThreshold = time.Second

// bootClock measures the time since boot by the process's own clock. It never goes back. Time in
// which the VM was frozen counts, where the wall clock shows it.
type bootClock struct {
	now  balance.Clock
	boot time.Time

	mu sync.Mutex
	// lastReading is the newest reading, sum the time up to it; guarded by mu.
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

// WallTime returns the wall-clock time at the given time since boot, for people to read.
func (c *bootClock) WallTime(since time.Duration) time.Time { return c.boot.Round(0).Add(since) }
