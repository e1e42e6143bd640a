// Package notify wakes any number of waiters when something changed.
package notify

import "sync"

// Notifier is a broadcast without a value. Waiters take Changed before they read the state that it
// guards, so that no change is missed.
type Notifier struct {
	mu sync.Mutex
	// changed is closed and replaced by Fire; epoch counts the calls. Both are guarded by mu.
	changed chan struct{}
	epoch   uint64
}

// New returns a notifier of epoch 0.
func New() *Notifier { return &Notifier{changed: make(chan struct{})} }

// Fire wakes all who wait.
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

// Epoch returns how often Fire was called.
func (n *Notifier) Epoch() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch
}
