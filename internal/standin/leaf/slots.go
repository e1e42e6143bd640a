package leaf

import (
	"context"
	"errors"
	"sync"
)

// errQueueFull says that all slots and places in the queue are taken.
var errQueueFull = errors.New("queue full")

// slots bounds the calls worked on at once and those that wait, first come first served.
type slots struct {
	mu sync.Mutex
	// The fields below are guarded by mu. A channel of waiting is closed when its call gets a slot;
	// the oldest is first.
	size, queue int
	running     int
	waiting     []chan struct{}
	maxInFlight int
	maxQueued   int
}

func newSlots(size, queue int) *slots { return &slots{size: size, queue: queue} }

// acquire returns with a slot, with errQueueFull, or with the end of ctx.
func (s *slots) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	turn, err := s.acquireOrQueue()
	if turn == nil {
		return err
	}
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		s.abandon(turn)
		return ctx.Err()
	}
}

// acquireOrQueue takes a free slot (nil, nil) or a place in the queue.
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
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.updateMax()
	return turn, nil
}

// updateMax keeps the highest counts. s.mu is held.
func (s *slots) updateMax() {
	s.maxInFlight = max(s.maxInFlight, s.running+len(s.waiting))
	s.maxQueued = max(s.maxQueued, len(s.waiting))
}

// abandon gives up a place in the queue, or the slot where it was given at the same moment.
func (s *slots) abandon(turn chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.passOn()
}

// release gives the slot back.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passOn()
}

// passOn gives a slot to the call that waits longest. s.mu is held.
func (s *slots) passOn() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// load returns how many calls run and wait.
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
