package search

import (
	"slices"
	"sync"
	"time"
)

const (
	// typicalWindow is of how many searches the usual time is the median.
	typicalWindow = 64
	// minTypicalSamples is how many searches must be seen before a usual time is known.
	minTypicalSamples = 8
	// typicalUpdateEvery is after how many searches the median is taken anew.
	typicalUpdateEvery = 8
)

// typicalTime estimates the usual time of the slowest shard of a service as the median over the latest
// searches. Searches answered early count with the time they waited.
type typicalTime struct {
	mu sync.Mutex
	// times is a ring, next its next place, seen how many came in all; median of the ring. All are
	// guarded by mu.
	times   [typicalWindow]time.Duration
	next    int
	samples int
	median  time.Duration
}

func (t *typicalTime) add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times[t.next] = d
	t.next = (t.next + 1) % typicalWindow
	t.samples++
	if t.samples >= minTypicalSamples && t.samples%typicalUpdateEvery == 0 {
		n := min(t.samples, typicalWindow)
		sorted := slices.Clone(t.times[:n])
		slices.Sort(sorted)
		t.median = sorted[n/2]
	}
}

// get returns the usual time, 0 while it isn't known.
func (t *typicalTime) get() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.median
}
