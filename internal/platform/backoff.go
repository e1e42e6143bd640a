package platform

import (
	"math/rand/v2"
	"time"
)

const (
	// backoffMin bounds the first wait. backoffMax bounds all of them unless the Backoff has its own maximum.
	backoffMin = 250 * time.Millisecond
	backoffMax = 8 * time.Second
)

// Backoff computes the waits between failed reads: exponential backoff that doubles up to a maximum, with each
// wait drawn at random from the upper half, so that readers that failed together do not retry together.
type Backoff struct {
	// Max is the longest wait. 0 means backoffMax.
	Max  time.Duration
	next time.Duration
}

// Reset starts again at the shortest wait, after a successful read.
func (b *Backoff) Reset() { b.next = 0 }

// Next returns the wait after another failure.
func (b *Backoff) Next() time.Duration {
	maxWait := b.Max
	if maxWait == 0 {
		maxWait = backoffMax
	}
	b.next = min(max(b.next*2, backoffMin), maxWait)
	return b.next/2 + rand.N(b.next/2)
}
