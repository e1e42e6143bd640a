package leaf

import (
	"context"
	"errors"
	"sync"
)

// errQueueFull reports that all slots and places in the queue are taken.
var errQueueFull = errors.New("queue full")

// slots limits the calls that run at once and those that wait. Calls wait in FIFO order. It is safe for
// concurrent use.
type slots struct {
	mu sync.Mutex
	// The fields below are guarded by mu. waiting has one channel per waiting call, oldest first, which
	// is closed when the call gets a slot.
	size, queue int
	running     int
	waiting     []chan struct{}
	maxInFlight int
	maxQueued   int
}

func newSlots(size, queue int) *slots { return &slots{size: size, queue: queue} }

// acquire waits for a slot. It returns nil with a slot, errQueueFull, or the error of ctx if that ends first.
func (s *slots) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	granted, err := s.acquireOrQueue()
	if granted == nil {
		return err
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.abandon(granted)
		return ctx.Err()
	}
}

// acquireOrQueue takes a free slot and returns nil, nil, or takes a place in the queue and returns its
// channel. It returns errQueueFull if there is neither.
func (s *slots) acquireOrQueue() (chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < s.size {
		s.running++
		s.updateMax()
		return nil, nil
	}
	if len(s.waiting) >= s.queue {
		return nil, errQueueFull
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.updateMax()
	return granted, nil
}

// updateMax updates the highest counts. The caller holds s.mu.
func (s *slots) updateMax() {
	s.maxInFlight = max(s.maxInFlight, s.running+len(s.waiting))
	s.maxQueued = max(s.maxQueued, len(s.waiting))
}

// abandon leaves the queue. If the call got its slot in the meantime, it releases the slot.
func (s *slots) abandon(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.passOn()
}

// release returns the slot.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passOn()
}

// passOn gives a free slot to the call that has waited longest. The caller holds s.mu.
func (s *slots) passOn() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// load returns the numbers of running and waiting calls.
func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}

// maxCounts returns the highest counts since resetMax.
func (s *slots) maxCounts() (inFlight, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxInFlight, s.maxQueued
}

func (s *slots) resetMax() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxInFlight, s.maxQueued = 0, 0
	s.updateMax()
}
