package admission

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/quota"
)

// waiter is one request at a limiter.
type waiter struct {
	caller string
	share  float64
	kind   string
	weight int
	// arrived and deadline are times by the clock of this process.
	arrived, deadline time.Time
	// cost is the slot time, in seconds, that the request is charged to its caller.
	cost float64
	// decision receives the decision; its buffer holds one.
	decision chan decision
}

// quotaKey returns the key of the quota that the request counts against.
func (w *waiter) quotaKey() quota.Key {
	return quota.Key{Caller: w.caller, Share: w.share, Weight: w.weight}
}

// callerQueue holds the waiting requests of one caller in a class, oldest first.
type callerQueue struct {
	caller  string
	share   float64
	waiting []*waiter
	// start is the virtual time at which the caller's next request may run.
	start float64
}

// backlog returns the number of waiting requests divided by the caller's share.
func (q *callerQueue) backlog() float64 { return float64(len(q.waiting)) / q.share }

// weightClass holds the waiting requests of one weight. It schedules callers by weighted fair queueing:
// each request advances its caller's virtual time by cost over share, and the caller with the lowest
// virtual time is next.
type weightClass struct {
	weight  int
	callers []*callerQueue
	length  int
	// virtualTime is the highest start of the requests taken out so far.
	virtualTime float64
}

// queueOf returns the caller's queue. A new one starts at the class's virtual time, so a caller gets no
// credit for idle time.
func (c *weightClass) queueOf(w *waiter) *callerQueue {
	for _, q := range c.callers {
		if q.caller == w.caller {
			q.share = w.share
			return q
		}
	}
	q := &callerQueue{caller: w.caller, share: w.share, start: c.virtualTime}
	c.callers = append(c.callers, q)
	return q
}

// push adds a request to its caller's queue.
func (c *weightClass) push(w *waiter) {
	q := c.queueOf(w)
	if len(q.waiting) == 0 {
		q.start = max(q.start, c.virtualTime)
	}
	q.waiting = append(q.waiting, w)
	c.length++
}

// pop removes and returns the oldest request of the caller with the lowest virtual time, and charges
// that caller. The class must not be empty.
func (c *weightClass) pop() *waiter {
	q := c.next()
	w := q.waiting[0]
	c.removeAt(q, 0)
	c.virtualTime = max(c.virtualTime, q.start)
	q.start += w.cost / q.share
	c.dropIdle()
	return w
}

// next returns the non-empty queue with the lowest virtual time.
func (c *weightClass) next() *callerQueue {
	var first *callerQueue
	for _, q := range c.callers {
		if len(q.waiting) > 0 && (first == nil || q.start < first.start) {
			first = q
		}
	}
	return first
}

// removeAt removes the request at index i of the queue.
func (c *weightClass) removeAt(q *callerQueue, i int) {
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	c.length--
}

// remove removes the request, and reports whether it was there. Its caller isn't charged.
func (c *weightClass) remove(w *waiter) bool {
	for _, q := range c.callers {
		for i, x := range q.waiting {
			if x == w {
				c.removeAt(q, i)
				return true
			}
		}
	}
	return false
}

// longestBacklog returns the non-empty queue with the highest backlog, or nil.
func (c *weightClass) longestBacklog() *callerQueue {
	var longest *callerQueue
	for _, q := range c.callers {
		if len(q.waiting) > 0 && (longest == nil || q.backlog() > longest.backlog()) {
			longest = q
		}
	}
	return longest
}

// backlogWith returns the backlog that the caller of w would have if w were added.
func (c *weightClass) backlogWith(w *waiter) float64 {
	for _, q := range c.callers {
		if q.caller == w.caller {
			return q.backlog() + 1/w.share
		}
	}
	return 1 / w.share
}

// dropIdle drops the queues that are empty and whose virtual time is not ahead of the class's.
func (c *weightClass) dropIdle() {
	kept := c.callers[:0]
	for _, q := range c.callers {
		if len(q.waiting) > 0 || q.start > c.virtualTime {
			kept = append(kept, q)
		}
	}
	clear(c.callers[len(kept):])
	c.callers = kept
}
