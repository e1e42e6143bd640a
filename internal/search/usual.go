package search

import (
	"slices"
	"sync"
	"time"
)

const (
	// typicalWindow is the number of latest searches whose median is the typical time.
	typicalWindow = 64
	// minTypicalSamples is the number of searches needed before a typical time is known.
	minTypicalSamples = 8
	// typicalUpdateEvery is the number of searches between updates of the median.
	typicalUpdateEvery = 8
)

// typicalTime estimates the typical time of the slowest shard of a service as the median over the latest searches.
// Searches that were answered early count with the time until then.
type typicalTime struct {
	mu sync.Mutex
	// times is a ring buffer, next the index of its next sample and samples the number of samples added in total. median
	// is the median of times. All are guarded by mu.
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

// get returns the typical time, 0 while it is unknown.
func (t *typicalTime) get() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.median
}
