package admission

import (
	"slices"
	"time"
)

// fairEvery is how many requests go by weight for each one that goes to the caller furthest behind
// over all weights, so that a caller of heavy kinds can't starve one of light kinds.
const fairEvery = 10

// queue holds the waiting requests of one service by weight, heaviest first.
type queue struct {
	classes []*class
	length  int
	// served is the virtual time of each caller over all classes, and turn counts requests taken.
	served *class
	turn   int
	// filledAt is when the queue was last empty.
	filledAt time.Time
}

func newQueue() *queue { return &queue{served: &class{}} }

// classOf returns the class of the weight.
func (q *queue) classOf(weight int) *class {
	i, found := slices.BinarySearchFunc(q.classes, weight, func(c *class, w int) int { return w - c.weight })
	if !found {
		q.classes = slices.Insert(q.classes, i, &class{weight: weight})
	}
	return q.classes[i]
}

// push adds a waiter.
func (q *queue) push(now time.Time, w *waiter) {
	if q.length == 0 {
		q.filledAt = now
	}
	q.classOf(w.weight).push(w)
	q.length++
}

// standing returns how long the queue has not been empty.
func (q *queue) standing(now time.Time) time.Duration {
	if q.length == 0 {
		return 0
	}
	return now.Sub(q.filledAt)
}

// pop takes the next request: the heaviest first, callers in turn, and now and then that of the
// caller who got least over all weights.
func (q *queue) pop(newest bool) *waiter {
	if q.length == 0 {
		return nil
	}
	q.turn++
	w := q.popFair(newest)
	if w == nil {
		w = q.heaviest().pop(newest)
	}
	q.length--
	q.charge(w)
	return w
}

// popFair takes the request whose turn it is by fairness alone, or nil where it is the turn of weight.
func (q *queue) popFair(newest bool) *waiter {
	if q.turn%fairEvery != 0 {
		return nil
	}
	var in *class
	var of *line
	var least float64
	for _, c := range q.classes {
		for _, l := range c.lines {
			if len(l.waiting) == 0 {
				continue
			}
			if got := q.got(l.caller); of == nil || got < least {
				in, of, least = c, l, got
			}
		}
	}
	return in.popFrom(of, newest)
}

// got returns how much the caller has had by its share.
func (q *queue) got(caller string) float64 {
	for _, l := range q.served.lines {
		if l.caller == caller {
			return max(l.start, q.served.now)
		}
	}
	return q.served.now
}

// charge notes what the caller of a taken request has had. The time of the callers that wait for
// nothing moves on with the least of those that do.
func (q *queue) charge(w *waiter) {
	l := q.served.lineOf(w)
	l.start = max(l.start, q.served.now) + w.cost/w.share
	least, any := 0.0, false
	for _, c := range q.classes {
		for _, l := range c.lines {
			if got := q.got(l.caller); len(l.waiting) > 0 && (!any || got < least) {
				least, any = got, true
			}
		}
	}
	if any {
		q.served.now = max(q.served.now, least)
	} else {
		q.served.now = max(q.served.now, l.start-w.cost/w.share)
	}
	q.served.tidy()
}

// heaviest returns the heaviest class with requests.
func (q *queue) heaviest() *class {
	for _, c := range q.classes {
		if c.length > 0 {
			return c
		}
	}
	return nil
}

// lightest returns the lightest class with requests.
func (q *queue) lightest() *class {
	for i := len(q.classes) - 1; i >= 0; i-- {
		if q.classes[i].length > 0 {
			return q.classes[i]
		}
	}
	return nil
}

// ahead returns how many wait that go before a request of the weight; those of the same weight do so
// unless the newest go first.
func (q *queue) ahead(weight int, newest bool) int {
	n := 0
	for _, c := range q.classes {
		if c.weight > weight || c.weight == weight && !newest {
			n += c.length
		}
	}
	return n
}

// displace makes room in a full queue for w: the oldest request of the caller with the most waiting in
// the lightest class leaves. It returns nil where w itself is the one to go, as it is where its own
// caller would then have as much waiting as the other.
func (q *queue) displace(w *waiter) *waiter {
	c := q.lightest()
	if c == nil || c.weight > w.weight {
		return nil
	}
	l := c.fullest()
	if c.weight == w.weight && l.surplus() <= c.surplusWith(w) {
		return nil
	}
	out := l.waiting[0]
	q.remove(out)
	return out
}

// remove takes the waiter out, and tells whether it was there.
func (q *queue) remove(w *waiter) bool {
	if !q.classOf(w.weight).remove(w) {
		return false
	}
	q.length--
	return true
}

// each calls f with every waiter, the last to go first: lightest class first, oldest first.
func (q *queue) each(f func(*waiter)) {
	for i := len(q.classes) - 1; i >= 0; i-- {
		for _, l := range q.classes[i].lines {
			for _, w := range l.waiting {
				f(w)
			}
		}
	}
}
