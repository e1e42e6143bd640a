package search

import (
	"slices"
	"sync"
	"time"
)

const (
	// usualWindow is of how many searches the usual time is the median.
	usualWindow = 64
	// usualNeeds is how many searches must be seen before a usual time is known.
	usualNeeds = 8
	// usualEvery is after how many searches the median is taken anew.
	usualEvery = 8
)

// usual estimates the usual time of the slowest shard of a service as the median over the latest
// searches. Searches answered early count with the time they waited.
type usual struct {
	mu sync.Mutex
	// times is a ring, next its next place, seen how many came in all; median of the ring. All are
	// guarded by mu.
	times  [usualWindow]time.Duration
	next   int
	seen   int
	median time.Duration
}

func (u *usual) add(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.times[u.next] = d
	u.next = (u.next + 1) % usualWindow
	u.seen++
	if u.seen >= usualNeeds && u.seen%usualEvery == 0 {
		n := min(u.seen, usualWindow)
		sorted := slices.Clone(u.times[:n])
		slices.Sort(sorted)
		u.median = sorted[n/2]
	}
}

// get returns the usual time, 0 while it isn't known.
func (u *usual) get() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.median
}
