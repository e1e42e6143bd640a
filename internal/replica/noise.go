package replica

import (
	"time"
)

const (
	// disturbedFactor is the multiple of a leaf's usual time from which a call shows that the leaf is disturbed.
	disturbedFactor = 2.5
	// Successive slow answers of a leaf show that it is disturbed: two above disturbedFactor, or three above
	// usualFactor. A leaf that is 2 to 3 times as slow as usual has many answers between the two factors.
	disturbedEvidence, slowEvidence, somewhatSlowEvidence = 6, 3, 2
	// usualFactor is the multiple of its usual time up to which a call shows that a disturbed leaf is back. About 1
	// in 15 calls to an undisturbed leaf takes longer.
	usualFactor = 1.7
	// minExcess is by how much a call must exceed the usual time to count as slow. It exceeds the scheduling delays
	// on a small VM.
	minExcess = 8 * time.Millisecond
	// disturbedLimit is how long a leaf may be disturbed before it counts as slow. It is also how long a slow call
	// counts if no other call ends at the leaf.
	disturbedLimit = 2 * time.Second
	// probeDelay is the time from the end of a call at a disturbed leaf to the next probe.
	probeDelay = 100 * time.Millisecond
	// probeCostFactor is the multiple of the lowest cost up to which a disturbed leaf is probed. A leaf that usually
	// costs more, such as one in another zone, would get no call anyway.
	probeCostFactor = otherZoneFactor
)

// averages are the long averages of a leaf that slow answers change.
type averages struct {
	timeFactor   float64
	timeFactorAt time.Time
	ownTally     tally
	recentSlow   recentShare
	slowFactor   float64
}

// noise distinguishes a leaf that is disturbed for a moment from one that is slow for good. While calls are slow the
// leaf's averages learn from them, and usual keeps the averages without them.
type noise struct {
	// held counts the answers that only the leaf's averages have learned from, and usual holds the averages without
	// them; valid if held > 0. The first of these answers was sent at since, and the latest ended at lastHeld.
	held            int
	usual           averages
	since, lastHeld time.Time
	// crowded is set if the leaf was nearly full during the first of these answers, and may be slow for that reason.
	crowded bool
	// evidence is the evidence of the held answers that the leaf is disturbed.
	evidence int
	// usualAt is when the latest call in the usual time ended, lastEnd when the latest call ended in any way.
	usualAt, lastEnd time.Time
}

// slowness says how an answer compares with the usual time of its leaf.
type slowness int

const (
	// inUsualTime: the leaf is not disturbed.
	inUsualTime slowness = iota
	// somewhatSlow: the leaf was neither in its usual time nor as slow as slowAlone.
	somewhatSlow
	// slowAlone: the leaf was slow, and the others were not.
	slowAlone
	// slowWithOthers: the other leaves were slow as well, or the leaf was nearly full and its time is not known then.
	slowWithOthers
)

func (l *leaf) averages() averages {
	return averages{l.timeFactor, l.timeFactorAt, l.ownTally, l.recentSlow, l.slowFactor}
}

func (l *leaf) setAverages(a averages) {
	l.timeFactor, l.timeFactorAt, l.ownTally = a.timeFactor, a.timeFactorAt, a.ownTally
	l.recentSlow, l.slowFactor = a.recentSlow, a.slowFactor
}

// withUsual runs f while the leaf has its averages without the slow answers, including what f changes in them.
func (l *leaf) withUsual(now time.Time, f func()) {
	if !l.hasUsual(now) {
		f()
		return
	}
	learned := l.averages()
	l.setAverages(l.noise.usual)
	f()
	l.noise.usual = l.averages()
	l.setAverages(learned)
}

// hasUsual reports whether the averages without the latest slow answers are kept separately.
func (l *leaf) hasUsual(now time.Time) bool {
	return l.noise.held > 0 && now.Sub(l.noise.lastHeld) <= disturbedLimit
}

// isDisturbed reports whether the latest answers show that the leaf is disturbed.
func (l *leaf) isDisturbed(now time.Time) bool {
	return l.noise.evidence >= disturbedEvidence && l.hasUsual(now)
}

// usualTime returns how long the call usually takes at the leaf and with the queue that it met. It does not include
// the leaf's own report that work takes longer at the moment.
func (t *Table) usualTime(l *leaf, c *Call, now time.Time) time.Duration {
	r := t.routes[c.route]
	if r == nil {
		return 0
	}
	var factor float64
	l.withUsual(now, func() { factor = l.factor(now) })
	return time.Duration(float64(r.typical) * factor * c.queueFactor)
}

// exceeds reports whether the duration is above the given multiple of the usual time.
func exceeds(d time.Duration, factor float64, usual time.Duration) bool {
	return usual > 0 && float64(d) > factor*float64(usual) && d > usual+minExcess
}

// disturbed reports whether the leaf's latest answers were slow or its oldest call in flight is, while other leaves were not.
// Requires mu.
func (t *Table) disturbed(l *leaf, now time.Time) bool {
	if t.recent.ignoreNoise {
		return false
	}
	if l.isDisturbed(now) {
		return true
	}
	c := l.oldest()
	if c == nil {
		return false
	}
	from := c.sentAt
	if l.noise.usualAt.After(from) {
		from = l.noise.usualAt // a usual answer meanwhile shows that the request is large
	}
	return t.compare(l, c, now.Sub(from), now) == slowAlone
}

// oldest returns the oldest call in flight; nil if there is none.
func (l *leaf) oldest() *Call {
	var oldest *Call
	for c := range l.inFlight {
		if oldest == nil || c.sentAt.Before(oldest.sentAt) {
			oldest = c
		}
	}
	return oldest
}

// probeDue reports whether a disturbed leaf may get a call that shows whether it is back.
func (l *leaf) probeDue(now time.Time) bool {
	return len(l.inFlight) == 0 && now.Sub(l.noise.lastEnd) >= probeDelay
}

// compare compares a call that ended, or is in flight, after the given time with the usual time of its leaf and with
// the calls to other leaves. Requires mu.
func (t *Table) compare(l *leaf, c *Call, elapsed time.Duration, now time.Time) slowness {
	usual := t.usualTime(l, c, now)
	switch {
	case !exceeds(elapsed, usualFactor, usual):
		return inUsualTime
	case l.noise.held == 0 && l.crowded(c) && !l.crowding.known():
		return slowWithOthers
	}
	shared := t.meanwhile(c, usual, now)
	switch {
	case exceeds(elapsed, disturbedFactor*shared, usual):
		return slowAlone
	case exceeds(elapsed, usualFactor*shared, usual):
		return somewhatSlow
	}
	return slowWithOthers
}

// noteAnswer updates the state of the leaf with an answer, before its averages learn from the answer. It returns
// whether the averages without slow answers are to learn from it as well. Requires mu.
func (t *Table) noteAnswer(l *leaf, c *Call, elapsed time.Duration, now time.Time) (usual bool) {
	verdict := t.compare(l, c, elapsed, now)
	t.recent.add(c, elapsed, t.usualTime(l, c, now), now)
	if t.recent.ignoreNoise {
		return true
	}
	switch verdict {
	case inUsualTime:
		l.back(now)
	case somewhatSlow:
		l.hold(c, somewhatSlowEvidence, now)
		return false
	case slowAlone:
		l.hold(c, slowEvidence, now)
		return false
	}
	return true
}

// back ends a disturbance: the averages forget its slow answers. A single slow answer stays in them.
func (l *leaf) back(now time.Time) {
	if l.noise.held > 1 && l.hasUsual(now) {
		l.setAverages(l.noise.usual)
	}
	l.release()
	l.noise.usualAt = now
}

// hold keeps the averages as they are without the answer. After disturbedLimit they keep what they have learned.
func (l *leaf) hold(c *Call, evidence int, now time.Time) {
	n := &l.noise
	switch {
	case !l.hasUsual(now):
		n.held, n.evidence, n.since, n.usual, n.crowded = 1, evidence, c.sentAt, l.averages(), l.crowded(c)
	case now.Sub(n.since) >= disturbedLimit:
		l.release()
	default:
		n.held++
		n.evidence += evidence
	}
	n.lastHeld = now
}

// release makes what the averages have learned permanent.
func (l *leaf) release() { l.noise.held, l.noise.evidence = 0, 0 }

// noteLate updates the state of the leaf with a call that was abandoned. Requires mu.
func (t *Table) noteLate(l *leaf, c *Call, now time.Time) {
	if t.compare(l, c, now.Sub(c.sentAt), now) == slowAlone {
		l.hold(c, slowEvidence, now)
	}
}

// observedUsually is observed without the slow answers of a disturbance, which other VMs would remember for longer
// than it lasts. Requires mu.
func (t *Table) observedUsually(l *leaf, now time.Time) (sum tally) {
	if !l.isDisturbed(now) {
		return t.observed(l, now)
	}
	l.withUsual(now, func() { sum = t.observed(l, now) })
	return sum
}

// usualCost is the cost of the leaf without the slow answers of a disturbance. Requires mu.
func (t *Table) usualCost(l *leaf, now time.Time, typical time.Duration, c Candidate) (cost float64) {
	l.withUsual(now, func() { cost = t.cost(l, now, typical, c) })
	return cost
}
