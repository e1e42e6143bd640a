package search

import (
	"cmp"
	"slices"
	"sync"
)

// waiting wakes searches that wait for a slot of a leaf, the longest waiting first.
type waiting struct {
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
	// at lists the leaves where it is registered; guarded by the mutex of waiting.
	at []string
}

func newWaiting() *waiting { return &waiting{byLeaf: make(map[string][]*waiter)} }

// enter returns a new waiter, or nil where n wait already.
func (w *waiting) enter(n int) *waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count >= n {
		return nil
	}
	w.count++
	w.arrivals++
	return &waiter{arrival: w.arrivals, wake: make(chan string, 1)}
}

// leave ends the waiting. A wake that it hasn't taken goes to the next.
func (w *waiting) leave(who *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
	w.withdraw(who)
	select {
	case leaf := <-who.wake:
		w.wakeNext(leaf)
	default:
	}
}

// register adds the waiter at the leaves, in order of its arrival.
func (w *waiting) register(who *waiter, leaves []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range leaves {
		list := w.byLeaf[l]
		i, found := slices.BinarySearchFunc(list, who.arrival, func(o *waiter, a uint64) int { return cmp.Compare(o.arrival, a) })
		if !found {
			w.byLeaf[l] = slices.Insert(list, i, who)
			who.at = append(who.at, l)
		}
	}
}

// freed wakes the search that has waited longest for the leaf.
func (w *waiting) freed(leaf string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wakeNext(leaf)
}

// wakeNext wakes the first waiter of the leaf. It is registered nowhere then, so that the slots of
// several leaves wake several waiters.
func (w *waiting) wakeNext(leaf string) {
	list := w.byLeaf[leaf]
	if len(list) == 0 {
		return
	}
	first := list[0]
	w.withdraw(first)
	select {
	case first.wake <- leaf:
	default:
	}
}

func (w *waiting) withdraw(who *waiter) {
	for _, l := range who.at {
		list := slices.DeleteFunc(w.byLeaf[l], func(o *waiter) bool { return o == who })
		if len(list) == 0 {
			delete(w.byLeaf, l)
			continue
		}
		w.byLeaf[l] = list
	}
	who.at = who.at[:0]
}
