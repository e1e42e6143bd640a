package replica

import "time"

const (
	// paceWeight is the weight of a new answer in a leaf's pace; at 12 calls a second to a leaf it follows
	// a neighbour's load within half a second.
	paceWeight = 0.2
	// slowFrom is the multiple of the usual time from which an answer counts as slow, and tells of its
	// leaf's pause or trouble and not of its pace: about 1 in 1,000 answers of sound leaves takes as long.
	slowFrom = 3
	// usualStep is the part by which an answer moves the usual time of its route, up where it took longer
	// and down where not: a search of 36 shards brings it from twice the median to it. The median, and not
	// a mean: where one leaf in seven was nine times slower, a mean with answers counted up to slowFrom
	// ran away to three times the median, and slow leaves no longer counted as slow.
	usualStep = 0.02
	// usualFirst bounds the steps of the first answers, which are larger: the very first one may be of a small
	// request, or of one that found a pause.
	usualFirst = 0.2
)

// End ends the call; only the first result counts.
func (c *Call) End(r Result, now time.Time) {
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	l := c.t.leaves[c.id]
	if l == nil {
		return
	}
	delete(l.begun, c)
	took := now.Sub(c.begun)
	l.mute.end(r, took)
	switch r {
	case OK:
		c.t.learn(l, c, took, now)
	case Late:
		if ratio := float64(took) / (c.crowd * float64(max(c.t.usualOf(c.route, took), 1))); ratio > slowFrom {
			l.countSlow(now, ratio)
			c.t.routes[c.route].step(took, now)
		}
	case Refused, Failed, Unreached, Closed:
		l.count(now, 1, 0)
	case Neutral:
	}
}

// count counts a call that has ended.
func (l *leaf) count(now time.Time, failed, slow float64) {
	l.own.add(now, failed, slow)
	l.lately.add(now, failed)
	l.slowly.add(now, slow)
}

// countSlow counts a call that took so many times as long as usual.
func (l *leaf) countSlow(now time.Time, ratio float64) {
	if l.slowPace == 0 {
		l.slowPace = ratio
	}
	l.slowPace += paceWeight * (ratio - l.slowPace)
	l.count(now, 0, 1)
}

// learn takes the time of an answer into the leaf's pace and the route's usual time, less what the wait for a slot
// took: a usual time that grows with the queues counted them twice, and after a burst the time expected was ten
// times the real one. Requires mu.
func (t *Table) learn(l *leaf, c *Call, took time.Duration, now time.Time) {
	took = time.Duration(float64(took) / c.crowd)
	route := t.routes[c.route]
	if route == nil {
		t.routes[c.route] = &routeTime{usual: took, seen: now}
		l.count(now, 0, 0)
		return
	}
	usual := route.usual
	route.step(took, now)
	ratio := float64(took) / float64(max(usual, 1))
	if ratio >= slowFrom {
		l.countSlow(now, ratio)
		return
	}
	l.count(now, 0, 0)
	was := toward(l.pace, 1, now.Sub(l.paceAt), paceForget)
	l.pace, l.paceAt = was+paceWeight*(ratio-was), now
}

// step moves the usual time toward the median of the times that calls take. A route without an answer so far has
// none to move.
func (r *routeTime) step(took time.Duration, now time.Time) {
	if r == nil {
		return
	}
	r.answers++
	r.seen = now
	part := max(usualStep, min(usualFirst, 1/float64(r.answers)))
	if took > r.usual {
		r.usual = time.Duration(float64(r.usual) * (1 + part))
		return
	}
	r.usual = max(1, time.Duration(float64(r.usual)*(1-part)))
}
