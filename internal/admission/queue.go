package admission

import (
	"slices"
	"time"
)

// queue holds the waiting requests of one service by weight, heaviest first.
type queue struct {
	classes []*weightClass
	length  int
	// nonEmptySince is when the queue last became non-empty.
	nonEmptySince time.Time
}

// classOf returns the class of the weight and creates it on first use.
func (q *queue) classOf(weight int) *weightClass {
	i, found := slices.BinarySearchFunc(q.classes, weight, func(c *weightClass, w int) int { return w - c.weight })
	if !found {
		q.classes = slices.Insert(q.classes, i, &weightClass{weight: weight})
	}
	return q.classes[i]
}

// push adds a request.
func (q *queue) push(now time.Time, w *waiter) {
	if q.length == 0 {
		q.nonEmptySince = now
	}
	q.classOf(w.weight).push(w)
	q.length++
}

// nonEmptyFor returns how long the queue has not been empty, 0 where it is.
func (q *queue) nonEmptyFor(now time.Time) time.Duration {
	if q.length == 0 {
		return 0
	}
	return now.Sub(q.nonEmptySince)
}

// pop removes and returns the next request, from the heaviest class and by fair queueing among its
// callers, or nil where none waits.
func (q *queue) pop() *waiter {
	for _, c := range q.classes {
		if c.length > 0 {
			q.length--
			return c.pop()
		}
	}
	return nil
}

// popOldest removes and returns the request that arrived first, or nil where none waits.
func (q *queue) popOldest() *waiter {
	var oldest *waiter
	q.each(func(w *waiter) {
		if oldest == nil || w.arrived.Before(oldest.arrived) {
			oldest = w
		}
	})
	if oldest != nil {
		q.remove(oldest)
	}
	return oldest
}

// lightest returns the lightest class with requests, or nil.
func (q *queue) lightest() *weightClass {
	for i := len(q.classes) - 1; i >= 0; i-- {
		if q.classes[i].length > 0 {
			return q.classes[i]
		}
	}
	return nil
}

// ahead returns how many waiting requests run before a new one of the weight.
func (q *queue) ahead(weight int) int {
	n := 0
	for _, c := range q.classes {
		if c.weight >= weight {
			n += c.length
		}
	}
	return n
}

// displace makes room for w in a full queue: it removes and returns the oldest request of the caller with
// the highest backlog in the lightest class. It returns nil where w itself is to be refused: where w is
// lighter than that class, or is of that class and its caller would then have at least that backlog.
func (q *queue) displace(w *waiter) *waiter {
	c := q.lightest()
	if c == nil || c.weight > w.weight {
		return nil
	}
	longest := c.longestBacklog()
	if c.weight == w.weight && longest.backlog() <= c.backlogWith(w) {
		return nil
	}
	displaced := longest.waiting[0]
	q.remove(displaced)
	return displaced
}

// remove removes the request, and reports whether it was there.
func (q *queue) remove(w *waiter) bool {
	if !q.classOf(w.weight).remove(w) {
		return false
	}
	q.length--
	return true
}

// each calls f for each waiting request.
func (q *queue) each(f func(*waiter)) {
	for _, c := range q.classes {
		for _, cq := range c.callers {
			for _, w := range cq.waiting {
				f(w)
			}
		}
	}
}
