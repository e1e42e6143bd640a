package search

import (
	"cmp"
	"slices"
	"sync"
)

// slotQueue wakes searches that wait for a slot of a leaf, the longest waiting first.
type slotQueue struct {
	mu sync.Mutex
	// byLeaf holds the waiters of each leaf in order of arrival, arrivals the number of the latest
	// waiter, and count how many there are. All are guarded by mu.
	byLeaf   map[string][]*waiter
	arrivals uint64
	count    int
}

// waiter is one search that waits.
type waiter struct {
	arrival uint64
	// wake gets the leaf whose slot is free.
	wake chan string
	// leaves lists the leaves where it is registered; guarded by the mutex of waiting.
	leaves []string
}

func newSlotQueue() *slotQueue { return &slotQueue{byLeaf: make(map[string][]*waiter)} }

// join returns a new waiter, or nil where n wait already.
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

// leave ends the waiting. A wake that it hasn't taken goes to the next.
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

// wakeNext wakes the first waiter of the leaf. It is registered nowhere then, so that the slots of
// several leaves wake several waiters.
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
