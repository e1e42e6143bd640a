package admission

import "time"

// waiter is one request at a gate.
type waiter struct {
	caller string
	share  float64
	kind   string
	weight int
	// arrived and deadline are times of this process.
	arrived, deadline time.Time
	// cost is what the request takes of its caller's share, in seconds of a slot.
	cost float64
	// decision gets the decision; it has room for one.
	decision chan decision
}

// callerQueue is what one caller has waiting in a class, oldest first.
type callerQueue struct {
	caller  string
	share   float64
	waiting []*waiter
	// start is the virtual time at which the caller's next request may go.
	start float64
}

// backlog compares how much callers have waiting, by their shares.
func (q *callerQueue) backlog() float64 { return float64(len(q.waiting)) / q.share }

// weightClass holds the requests of one weight. Callers take turns by virtual time: each request moves its
// caller's by cost over share, and the caller furthest behind goes next.
type weightClass struct {
	weight  int
	callers []*callerQueue
	length  int
	// virtualTime is the virtual time of the class: the start of the request that went last.
	virtualTime float64
}

// queueOf returns the caller's line. One that was idle starts at the class's time: it gets no credit.
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

// push adds a waiter.
func (c *weightClass) push(w *waiter) {
	q := c.queueOf(w)
	if len(q.waiting) == 0 {
		q.start = max(q.start, c.virtualTime)
	}
	q.waiting = append(q.waiting, w)
	c.length++
}

// pop takes the next waiter out, the oldest of the caller furthest behind, and charges its caller. The
// class must not be empty.
func (c *weightClass) pop() *waiter {
	q := c.next()
	w := q.waiting[0]
	c.removeAt(q, 0)
	c.virtualTime = max(c.virtualTime, q.start)
	q.start += w.cost / q.share
	c.dropIdle()
	return w
}

// next returns the line whose turn it is.
func (c *weightClass) next() *callerQueue {
	var first *callerQueue
	for _, q := range c.callers {
		if len(q.waiting) > 0 && (first == nil || q.start < first.start) {
			first = q
		}
	}
	return first
}

// removeAt takes out the waiter at i.
func (c *weightClass) removeAt(q *callerQueue, i int) {
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	c.length--
}

// remove takes the waiter out, and tells whether it was there. Its caller isn't charged.
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

// longestBacklog returns the line with the most waiting by share, or nil.
func (c *weightClass) longestBacklog() *callerQueue {
	var longest *callerQueue
	for _, q := range c.callers {
		if len(q.waiting) > 0 && (longest == nil || q.backlog() > longest.backlog()) {
			longest = q
		}
	}
	return longest
}

// backlogWith returns what the caller of w would have waiting by share if w were added.
func (c *weightClass) backlogWith(w *waiter) float64 {
	for _, q := range c.callers {
		if q.caller == w.caller {
			return q.backlog() + 1/w.share
		}
	}
	return 1 / w.share
}

// dropIdle forgets callers that wait for nothing and owe nothing.
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
