package platform

import (
	"math/rand/v2"
	"time"
)

const (
	// backoffMin is the longest first wait, backoffMax the longest of all unless a reader has its own.
	backoffMin = 250 * time.Millisecond
	backoffMax = 8 * time.Second
)

// Backoff gives the waits between reads that fail: doubled each time up to a bound, each drawn at
// random from the upper half, so that readers which failed together don't come back together.
type Backoff struct {
	// Max is the longest wait; backoffMax where it is 0.
	Max  time.Duration
	next time.Duration
}

// Reset follows a read that went well.
func (b *Backoff) Reset() { b.next = 0 }

// Next returns the wait after one more failure.
func (b *Backoff) Next() time.Duration {
	maxWait := b.Max
	if maxWait == 0 {
		maxWait = backoffMax
	}
	b.next = min(max(b.next*2, backoffMin), maxWait)
	return b.next/2 + rand.N(b.next/2)
}
