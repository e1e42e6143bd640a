// Package notify notifies any number of waiters of a change.
package notify

import "sync"

// Notifier broadcasts that some state changed. Waiters call Changed before they read the state, so that
// they miss no change. It is safe for concurrent use.
type Notifier struct {
	mu sync.Mutex
	// changed is closed and replaced by Fire, epoch is the number of calls of Fire. Both are guarded by mu.
	changed chan struct{}
	epoch   uint64
}

// New returns a notifier with epoch 0.
func New() *Notifier { return &Notifier{changed: make(chan struct{})} }

// Fire wakes all waiters.
func (n *Notifier) Fire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
	n.epoch++
}

// Changed returns a channel that the next Fire closes.
func (n *Notifier) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Epoch returns the number of calls of Fire so far.
func (n *Notifier) Epoch() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch
}
