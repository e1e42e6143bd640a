package replica

import "time"

const (
	// timeFactorWeight is the weight of a new answer in a leaf's time factor. At 12 calls a second to a leaf the
	// factor follows the load of a neighbour on the same machine within half a second.
	timeFactorWeight = 0.2
	// slowThreshold is the multiple of the typical time from which an answer counts as slow. A slow answer
	// indicates a pause or fault of its leaf and does not enter the time factor. About 1 in 1,000 answers of
	// healthy leaves takes as long.
	slowThreshold = 3
	// typicalStep is the fraction by which an answer moves the typical time of its route, up if it took longer and
	// down if not. The answers to one search of 36 shards bring it from twice the median to the median. The
	// estimate follows the median and not a mean: where one leaf in seven was nine times slower, a mean that
	// counted answers up to slowThreshold rose to three times the median, and slow leaves no longer counted as
	// slow.
	typicalStep = 0.02
	// maxTypicalStep bounds the steps of the first answers, which are larger, because the very first answer may be
	// that of a small request or of one that met a pause.
	maxTypicalStep = 0.2
)

// End ends the call. Only the first result counts.
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
	delete(l.inFlight, c)
	elapsed := now.Sub(c.sentAt)
	l.silence.end(r, elapsed)
	l.noise.lastEnd = now
	switch r {
	case OK:
		c.t.learn(l, c, elapsed, now)
	case Late:
		if ratio := float64(elapsed) / (c.queueFactor * float64(max(c.t.typicalOf(c.route, elapsed), 1))); ratio > slowThreshold {
			l.recentFailed.add(now, 0)
			l.learnBoth(now, true, func() { l.countSlow(now, ratio) })
			c.t.noteLate(l, c, now)
			c.t.routes[c.route].step(elapsed, now)
		}
	case Refused, Failed, Unreachable, ConnectRefused:
		l.recentFailed.add(now, 1)
		l.learnBoth(now, true, func() { l.count(now, 1, 0) })
	case Neutral:
	}
}

// count counts a call that has ended.
func (l *leaf) count(now time.Time, failed, slow float64) {
	l.ownTally.add(now, failed, slow)
	l.recentSlow.add(now, slow)
}

// countSlow counts a call that took ratio times the typical time.
func (l *leaf) countSlow(now time.Time, ratio float64) {
	if l.slowFactor == 0 {
		l.slowFactor = ratio
	}
	l.slowFactor += timeFactorWeight * (ratio - l.slowFactor)
	l.count(now, 0, 1)
}

// learn updates the leaf's time factor and the route's typical time with the time of an answer, less the wait for
// a slot. A typical time that included the wait counted queues twice: after a burst the expected time was ten
// times the real one. Requires mu.
func (t *Table) learn(l *leaf, c *Call, elapsed time.Duration, now time.Time) {
	l.recentFailed.add(now, 0)
	usual := t.noteAnswer(l, c, elapsed, now)
	elapsed = time.Duration(float64(elapsed) / c.queueFactor)
	route := t.routes[c.route]
	if route == nil {
		t.routes[c.route] = &routeTime{typical: elapsed, lastUpdate: now}
		l.count(now, 0, 0)
		return
	}
	typical := route.typical
	route.step(elapsed, now)
	ratio := float64(elapsed) / float64(max(typical, 1))
	if c.nearlyFull && (l.noise.held == 0 || l.noise.crowded) {
		l.crowding.learn(ratio * l.crowding.factor() / max(l.factor(now), minFactor))
	}
	l.learnBoth(now, usual, func() { l.learn(ratio, now) })
}

// learnBoth applies a change to the leaf's averages and, if usual is set, to those without slow answers as well.
func (l *leaf) learnBoth(now time.Time, usual bool, change func()) {
	change()
	if usual && l.hasUsual(now) {
		l.withUsual(now, change)
	}
}

// learn updates the averages with an answer that took ratio times the typical time.
func (l *leaf) learn(ratio float64, now time.Time) {
	if ratio >= slowThreshold {
		l.countSlow(now, ratio)
		return
	}
	l.count(now, 0, 0)
	previous := decay(l.timeFactor, 1, now.Sub(l.timeFactorAt), timeFactorDecay)
	l.timeFactor, l.timeFactorAt = previous+timeFactorWeight*(ratio-previous), now
}

// step moves the typical time toward the median of the call times. It does nothing for a route without an answer
// so far.
func (r *routeTime) step(elapsed time.Duration, now time.Time) {
	if r == nil {
		return
	}
	r.answers++
	r.lastUpdate = now
	step := max(typicalStep, min(maxTypicalStep, 1/float64(r.answers)))
	if elapsed > r.typical {
		r.typical = time.Duration(float64(r.typical) * (1 + step))
		return
	}
	r.typical = max(1, time.Duration(float64(r.typical)*(1-step)))
}
