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
	// verdict gets the decision; it has room for one.
	verdict chan verdict
}

// line is what one caller has waiting in a class, oldest first.
type line struct {
	caller  string
	share   float64
	waiting []*waiter
	// start is the virtual time at which the caller's next request may go.
	start float64
}

// surplus compares how much callers have waiting, by their shares.
func (l *line) surplus() float64 { return float64(len(l.waiting)) / l.share }

// class holds the requests of one weight. Callers take turns by virtual time: each request moves its
// caller's by cost over share, and the caller furthest behind goes next.
type class struct {
	weight int
	lines  []*line
	length int
	// now is the virtual time of the class: the start of the request that went last.
	now float64
}

// lineOf returns the caller's line. One that was idle starts at the class's time: it gets no credit.
func (c *class) lineOf(w *waiter) *line {
	for _, l := range c.lines {
		if l.caller == w.caller {
			l.share = w.share
			return l
		}
	}
	l := &line{caller: w.caller, share: w.share, start: c.now}
	c.lines = append(c.lines, l)
	return l
}

// push adds a waiter.
func (c *class) push(w *waiter) {
	l := c.lineOf(w)
	if len(l.waiting) == 0 {
		l.start = max(l.start, c.now)
	}
	l.waiting = append(l.waiting, w)
	c.length++
}

// pop takes the next waiter out, the oldest of the caller furthest behind, and charges its caller. The
// class must not be empty.
func (c *class) pop() *waiter {
	l := c.next()
	w := l.waiting[0]
	c.cut(l, 0)
	c.now = max(c.now, l.start)
	l.start += w.cost / l.share
	c.tidy()
	return w
}

// next returns the line whose turn it is.
func (c *class) next() *line {
	var first *line
	for _, l := range c.lines {
		if len(l.waiting) > 0 && (first == nil || l.start < first.start) {
			first = l
		}
	}
	return first
}

// cut takes out the waiter at i.
func (c *class) cut(l *line, i int) {
	l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
	c.length--
}

// remove takes the waiter out, and tells whether it was there. Its caller isn't charged.
func (c *class) remove(w *waiter) bool {
	for _, l := range c.lines {
		for i, x := range l.waiting {
			if x == w {
				c.cut(l, i)
				return true
			}
		}
	}
	return false
}

// fullest returns the line with the most waiting by share, or nil.
func (c *class) fullest() *line {
	var most *line
	for _, l := range c.lines {
		if len(l.waiting) > 0 && (most == nil || l.surplus() > most.surplus()) {
			most = l
		}
	}
	return most
}

// surplusWith returns what the caller of w would have waiting by share if w were added.
func (c *class) surplusWith(w *waiter) float64 {
	for _, l := range c.lines {
		if l.caller == w.caller {
			return l.surplus() + 1/w.share
		}
	}
	return 1 / w.share
}

// tidy forgets callers that wait for nothing and owe nothing.
func (c *class) tidy() {
	kept := c.lines[:0]
	for _, l := range c.lines {
		if len(l.waiting) > 0 || l.start > c.now {
			kept = append(kept, l)
		}
	}
	clear(c.lines[len(kept):])
	c.lines = kept
}
