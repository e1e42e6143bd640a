package upstream

import (
	"time"
)

// tend looks after the leaf's connections: it closes those out of use, pings the quiet, opens what
// is missing and asks for the status when it is due. It returns false once a removed leaf has no
// connection left. It doesn't block.
func (l *leaf) tend(now time.Time) bool {
	l.mu.Lock()
	l.absorb()
	l.trim()
	idle := l.takeIdle()
	for _, c := range l.conns {
		l.checkQuiet(c, now)
	}
	l.openIfMissing(now)
	l.pollIfDue(now)
	alive := l.want > 0 || len(l.conns) > 0 || l.opening || l.polling
	l.mu.Unlock()
	for _, c := range idle {
		_ = c.h2.Close()
	}
	return alive
}

// trim retires connections beyond the target, the oldest first, and those of earlier incarnations.
// Requires mu.
func (l *leaf) trim() {
	n := 0
	for _, c := range l.conns {
		if c.fate != fateNone {
			continue
		}
		if c.incarnation != 0 && c.incarnation != l.presence.incarnation {
			l.retire(c, fateRetired)
			continue
		}
		n++
	}
	for _, c := range l.conns {
		if n <= l.target() {
			return
		}
		if c.fate == fateNone {
			l.retire(c, fateRetired)
			n--
		}
	}
}

// takeIdle removes and returns the connections out of use whose calls have ended. Requires mu.
func (l *leaf) takeIdle() []*conn {
	var idle, kept []*conn
	for _, c := range l.conns {
		if c.fate != fateNone && c.inFlight == 0 {
			idle = append(idle, c)
		} else {
			kept = append(kept, c)
		}
	}
	l.conns = kept
	return idle
}

// checkQuiet pings a connection that owes a sign of life. Requires mu.
func (l *leaf) checkQuiet(c *conn, now time.Time) {
	if c.pinging || c.silenced || c.wire.closing.Load() || c.wire.lost.Load() {
		return
	}
	if !c.owesSign(now) {
		return
	}
	c.pinging = true
	l.pool.goDo(func() {
		alive := c.probe(l.pool.ctx)
		l.pool.metrics.pinged(l.service, alive)
		l.mu.Lock()
		c.pinging = false
		l.notify()
		l.mu.Unlock()
	})
}

// live is the number of connections that the leaf may still count: all but those that this side has
// closed or the peer has. A silent one that is kept for its orders makes room for a new one, as if
// it was closed. Requires mu.
func (l *leaf) live() int {
	n := 0
	for _, c := range l.conns {
		if !c.silenced && !c.wire.closing.Load() && !c.wire.lost.Load() {
			n++
		}
	}
	return n
}

// openIfMissing opens one connection where there are fewer than planned. Requires mu.
func (l *leaf) openIfMissing(now time.Time) {
	if l.opening || l.live() >= l.target() || now.Before(l.retryAt) {
		return
	}
	l.opening = true
	l.pool.goDo(l.open)
}

// pollIfDue asks for the status over a connection that is open. Requires mu.
func (l *leaf) pollIfDue(now time.Time) {
	if l.polling || l.want == 0 || now.Before(l.pollAt) {
		return
	}
	c := l.anyUsable()
	if c == nil {
		return
	}
	l.polling = true
	l.pollAt = now.Add(jitter(pollEvery))
	c.begin(now)
	l.pool.goDo(func() { l.poll(c) })
}

// anyUsable returns the connection heard of last. Requires mu.
func (l *leaf) anyUsable() *conn {
	var best *conn
	for _, c := range l.conns {
		if c.usable() && (best == nil || c.wire.heard().After(best.wire.heard())) {
			best = c
		}
	}
	return best
}
