package search

import (
	"cmp"
	"slices"
	"sync"
)

// slotQueue wakes searches that wait for a slot of a leaf, the longest waiting first.
type slotQueue struct {
	mu sync.Mutex
	// byLeaf holds the waiters of each leaf in order of arrival, arrivals the number of the latest waiter, and count the
	// number of waiters. All are guarded by mu.
	byLeaf   map[string][]*waiter
	arrivals uint64
	count    int
}

// waiter is one search in a slotQueue.
type waiter struct {
	arrival uint64
	// wake receives the leaf that has a free slot.
	wake chan string
	// leaves lists the leaves that the waiter is registered at. It is guarded by the mutex of slotQueue.
	leaves []string
}

func newSlotQueue() *slotQueue { return &slotQueue{byLeaf: make(map[string][]*waiter)} }

// join returns a new waiter, or nil if maxWaiters wait already.
func (q *slotQueue) join(maxWaiters int) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.count >= maxWaiters {
		return nil
	}
	q.count++
	q.arrivals++
	return &waiter{arrival: q.arrivals, wake: make(chan string, 1)}
}

// leave removes the waiter. A wake-up that it has not received goes to the next waiter.
func (q *slotQueue) leave(wt *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count--
	q.unregister(wt)
	select {
	case leaf := <-wt.wake:
		q.wakeNext(leaf)
	default:
	}
}

// register adds the waiter at the leaves, in order of its arrival.
func (q *slotQueue) register(wt *waiter, leaves []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range leaves {
		list := q.byLeaf[l]
		i, found := slices.BinarySearchFunc(list, wt.arrival, func(o *waiter, a uint64) int { return cmp.Compare(o.arrival, a) })
		if !found {
			q.byLeaf[l] = slices.Insert(list, i, wt)
			wt.leaves = append(wt.leaves, l)
		}
	}
}

// slotFreed wakes the search that has waited longest for the leaf.
func (q *slotQueue) slotFreed(leaf string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeNext(leaf)
}

// wakeNext wakes the first waiter of the leaf and removes it at all leaves, so that the slots of several leaves wake
// several waiters. Requires mu.
func (q *slotQueue) wakeNext(leaf string) {
	list := q.byLeaf[leaf]
	if len(list) == 0 {
		return
	}
	first := list[0]
	q.unregister(first)
	select {
	case first.wake <- leaf:
	default:
	}
}

// unregister removes the waiter at all leaves. Requires mu.
func (q *slotQueue) unregister(wt *waiter) {
	for _, l := range wt.leaves {
		list := slices.DeleteFunc(q.byLeaf[l], func(o *waiter) bool { return o == wt })
		if len(list) == 0 {
			delete(q.byLeaf, l)
			continue
		}
		q.byLeaf[l] = list
	}
	wt.leaves = wt.leaves[:0]
}
