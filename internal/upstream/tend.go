package upstream

import (
	"time"
)

// maintain maintains the leaf's connections: it closes idle retired ones, pings silent ones, opens
// missing ones, and requests the status when it is due. It returns false once a removed leaf has no
// connection left. It does not block.
func (l *leaf) maintain(now time.Time) bool {
	l.mu.Lock()
	l.applyConnEvents()
	l.retireExcess()
	idle := l.removeIdle()
	for _, c := range l.conns {
		l.pingIfQuiet(c, now)
	}
	l.openIfMissing(now)
	l.pollIfDue(now)
	alive := l.planned > 0 || len(l.conns) > 0 || l.opening > 0 || l.polling
	l.mu.Unlock()
	for _, c := range idle {
		_ = c.h2.Close()
	}
	return alive
}

// retireExcess retires connections beyond targetConns, the oldest first, and those of earlier
// incarnations. Requires mu.
func (l *leaf) retireExcess() {
	n := 0
	for _, c := range l.conns {
		if c.retired != retireNone {
			continue
		}
		if c.incarnation != 0 && c.incarnation != l.presence.incarnation {
			l.retire(c, retireByPool)
			continue
		}
		n++
	}
	for _, c := range l.conns {
		if n <= l.targetConns() {
			return
		}
		if c.retired == retireNone {
			l.retire(c, retireByPool)
			n--
		}
	}
}

// removeIdle removes and returns the retired connections without calls in flight. Requires mu.
func (l *leaf) removeIdle() []*conn {
	var idle, kept []*conn
	for _, c := range l.conns {
		if c.retired != retireNone && c.inFlight == 0 {
			idle = append(idle, c)
		} else {
			kept = append(kept, c)
		}
	}
	l.conns = kept
	return idle
}

// pingIfQuiet starts a ping if the connection needs one. Requires mu.
func (l *leaf) pingIfQuiet(c *conn, now time.Time) {
	if c.needsPing(now) {
		l.ping(c, now, pingTimeout)
	}
}

// ping starts a ping that may stay unanswered for the limit, unless one is under way or the connection is
// ending. Requires mu.
func (l *leaf) ping(c *conn, now time.Time, limit time.Duration) {
	if c.pinging || c.foundSilent || c.tcp.closing.Load() || c.tcp.lost.Load() {
		return
	}
	c.pinging, c.pingedAt = true, now
	l.pool.spawn(func() {
		alive := c.probe(l.pool.ctx, limit)
		l.pool.metrics.countPing(l.service, alive)
		l.mu.Lock()
		c.pinging = false
		l.notify()
		l.mu.Unlock()
	})
}

// openConns is the number of connections that the leaf may still count: all but those that this
// side or the peer has closed. A silent connection that is kept for its orders does not count, so
// that a new one may be opened as if it was closed. Requires mu.
func (l *leaf) openConns() int {
	n := 0
	for _, c := range l.conns {
		if !c.foundSilent && !c.tcp.closing.Load() && !c.tcp.lost.Load() {
			n++
		}
	}
	return n
}

// openIfMissing starts opening one connection if there are fewer than targetConns. Requires mu.
func (l *leaf) openIfMissing(now time.Time) {
	if !l.mayOpen(now) || l.openConns() >= l.targetConns() || now.Before(l.retryAt) {
		return
	}
	l.opening++
	l.openingSince = now
	l.pool.spawn(l.open)
}

// mayOpen reports whether another attempt may begin: none is under way, or the leaf has no usable
// connection and the one under way is slow. The new connection itself may have gone silent, which
// shows only at openTimeout. Requires mu.
func (l *leaf) mayOpen(now time.Time) bool {
	if l.opening == 0 {
		return true
	}
	slow := now.Sub(l.openingSince) >= slowOpenTime
	return slow && l.opening < maxAttemptsAtOnce && l.lastHeardUsable() == nil
}

// pollIfDue starts a status request over an open connection if one is due. Requires mu.
func (l *leaf) pollIfDue(now time.Time) {
	if l.polling || l.planned == 0 || now.Before(l.pollAt) {
		return
	}
	c := l.lastHeardUsable()
	if c == nil {
		return
	}
	l.polling = true
	l.pollAt = now.Add(jitter(pollInterval))
	c.begin(now)
	l.pool.spawn(func() { l.poll(c) })
}

// lastHeardUsable returns the usable connection heard from most recently, or nil. Requires mu.
func (l *leaf) lastHeardUsable() *conn {
	var best *conn
	for _, c := range l.conns {
		if c.usable() && (best == nil || c.tcp.lastHeard().After(best.tcp.lastHeard())) {
			best = c
		}
	}
	return best
}
