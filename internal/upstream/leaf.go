package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
)

// These errors say why a call could not be sent.
var (
	errUnknownLeaf  = errors.New("unknown leaf, or one that this VM doesn't serve")
	errLeaving      = errors.New("leaf is leaving")
	errNoConnection = errors.New("no usable connection")
)

const (
	// connWaitTimeout is how long a call waits for a connection that is expected to become usable.
	connWaitTimeout = 100 * time.Millisecond
	// reconnectGracePeriod is how long a leaf without a usable connection still counts as connected
	// after a connection went silent, if a new one is being opened.
	reconnectGracePeriod = 300 * time.Millisecond
)

// leaf is one upstream of the pool, with its connections.
type leaf struct {
	pool    *Pool
	id      string
	service string
	address string
	client  burdockv1connect.LeafServiceClient

	mu sync.Mutex
	// The rest is guarded by mu.

	// planned is the number of connections by plan, 0 if the leaf is removed.
	planned int
	slots   int
	// conns are all open connections, including retired ones.
	conns    []*conn
	presence presence
	clock    leafClock
	// snapshots that the leaf reported, nil if it has not reported any.
	snapshots []uint64
	// opening is the number of connections being opened, openingSince when the latest of these
	// attempts began. retryAt is the earliest time of the next attempt.
	opening      int
	openingSince time.Time
	retryAt      time.Time
	backoff      backoff
	// recoverBy is the time until which a leaf whose connection went silent still counts as
	// connected while a new one is opened.
	recoverBy time.Time
	// brokeAt is when a connection last broke or went silent, refusedAt when one was last refused, zero if none was.
	brokeAt, refusedAt time.Time
	// unseenFor is State.UnseenFor.
	unseenFor time.Duration
	// polling is true while a status request is in flight; pollAt is when the next one is due.
	polling bool
	pollAt  time.Time
	// changed is closed and replaced when a connection may have become usable.
	changed chan struct{}
	// attempted is true once a first connection was opened or failed to open.
	attempted bool
	// openError is the error of the last attempt to open a connection, nil after a success.
	openError error
}

// acquire counts a call on the usable connection with the fewest calls in flight. Of equals it
// takes the one heard from most recently. It returns errLeaving from the first evidence of
// departure on.
func (l *leaf) acquire(now time.Time) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planned == 0 {
		return nil, errUnknownLeaf
	}
	l.applyConnEvents()
	if l.isLeaving() {
		return nil, errLeaving
	}
	var best *conn
	for _, c := range l.conns {
		if c.usable() && (best == nil || c.preferredOver(best)) {
			best = c
		}
	}
	if best == nil {
		return nil, errNoConnection
	}
	best.begin(now)
	return best, nil
}

// acquireWait is like acquire but waits up to connWaitTimeout if a connection is expected to become
// usable.
func (l *leaf) acquireWait(ctx context.Context) (*conn, error) {
	if c, err := l.acquire(time.Now()); err != errNoConnection {
		return c, err
	}
	limit := time.NewTimer(connWaitTimeout)
	defer limit.Stop()
	for {
		changed, expected := l.nextChange()
		c, err := l.acquire(time.Now())
		if err != errNoConnection || !expected {
			return c, err
		}
		select {
		case <-changed:
		case <-limit.C:
			return nil, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// nextChange returns a channel that closes at the next change, and whether a connection is expected
// to become usable.
func (l *leaf) nextChange() (changed <-chan struct{}, expected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed, l.connDue()
}

// connDue reports whether a connection is expected to become usable: a first attempt to open
// one is under way, or an open one only has to answer a ping. Requires mu.
func (l *leaf) connDue() bool {
	expected := l.backoff.failures == 0 && l.openConns() < l.targetConns()
	for _, c := range l.conns {
		expected = expected || (c.retired == retireNone && c.suspect())
	}
	return expected
}

// notify wakes calls that wait for a connection. Requires mu.
func (l *leaf) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// preferredOver reports whether c should take a call rather than other. Requires leaf.mu.
func (c *conn) preferredOver(other *conn) bool {
	if c.inFlight != other.inFlight {
		return c.inFlight < other.inFlight
	}
	return c.tcp.lastHeard().After(other.tcp.lastHeard())
}

// release ends a call on the connection.
func (l *leaf) release(c *conn) {
	l.mu.Lock()
	c.inFlight--
	done := c.retired != retireNone && c.inFlight == 0
	l.mu.Unlock()
	if done {
		l.pool.wakeLoop()
	}
}

// beginOrder counts an order on a connection on which a call was begun. It returns false if the
// connection is no longer usable.
func (l *leaf) beginOrder(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.usable() {
		return false
	}
	c.orders++
	return true
}

// releaseOrder ends an order on the connection.
func (l *leaf) releaseOrder(c *conn) {
	l.mu.Lock()
	c.orders--
	l.mu.Unlock()
	l.release(c)
}

func (l *leaf) isLeaving() bool {
	return l.presence.leaving() != pb.DepartureSource_DEPARTURE_SOURCE_UNSPECIFIED
}

// applyConnEvents applies the events that the connections recorded while reading and writing.
// Requires mu.
func (l *leaf) applyConnEvents() {
	for _, c := range l.conns {
		if c.tcp.goAway.Load() && !c.goAwayRecorded {
			c.goAwayRecorded = true
			l.recordDeparture(c.incarnation, pb.DepartureSource_DEPARTURE_SOURCE_GOAWAY)
		}
		if at, broke := c.tcp.brokenAt(); broke && at.After(l.brokeAt) {
			l.brokeAt = at
		}
		switch {
		case c.retired != retireNone:
		case c.tcp.lost.Load():
			l.retire(c, retireLost)
		case c.tcp.goAway.Load() || c.tcp.goAwayErr.Load():
			l.retire(c, retireGoAway)
		case c.tcp.closing.Load():
			l.retire(c, retireClosed)
		}
	}
}

// retire takes a connection out of use. Its calls in flight continue. Requires mu.
func (l *leaf) retire(c *conn, why retireReason) {
	if c.retired != retireNone {
		return
	}
	c.retired = why
	now := time.Now()
	ended := why == retireLost || why == retireGoAway || why == retireClosed
	if ended && now.Sub(c.opened) < stableAfter && !now.Before(l.retryAt) {
		l.retryAt = now.Add(l.backoff.next())
	}
	l.pool.metrics.closed.WithLabelValues(l.service, string(why)).Inc()
}

// markSilent takes a connection out of use that gave no sign of life since it was pinged at the
// given time, and ends its searches. Orders stay in flight: they cannot be resent, and if the leaf
// was only paused or cut off, their answers still arrive. The cause of the silence may affect the
// leaf's other connections too: those not heard from since the ping are pinged as well, and take no
// call until they are heard from.
func (l *leaf) markSilent(c *conn, pinged time.Time) {
	l.mu.Lock()
	if c.foundSilent {
		l.mu.Unlock()
		return
	}
	c.foundSilent = true
	close(c.silent)
	l.retire(c, retireSilent)
	keep := c.orders > 0
	l.brokeAt = time.Now()
	l.recoverBy = l.brokeAt.Add(reconnectGracePeriod)
	for _, other := range l.conns {
		if other.retired == retireNone && pinged.After(other.suspectAt) {
			other.suspectAt = pinged
		}
	}
	l.mu.Unlock()
	if !keep {
		_ = c.h2.Close()
	}
	l.pool.wakeLoop()
}

// recovering reports whether a silent connection is being replaced and a call may wait for the
// new one. Requires mu.
func (l *leaf) recovering(now time.Time) bool { return now.Before(l.recoverBy) && l.connDue() }

// recordDeparture records and reports evidence of departure seen by this process. Requires mu.
func (l *leaf) recordDeparture(incarnation uint64, source pb.DepartureSource) {
	var isNew bool
	if incarnation == 0 {
		isNew = l.presence.recordRefused(time.Now())
	} else {
		isNew = l.presence.recordDeparture(incarnation, source)
	}
	if !isNew {
		return
	}
	l.pool.metrics.departures.WithLabelValues(l.service, evidenceName(source)).Inc()
	l.pool.log.Info("leaf is leaving", zap.String("leaf", l.id), zap.Uint64("incarnation", incarnation),
		zap.String("evidence", evidenceName(source)))
	l.pool.reporter.ReportDeparture(&pb.Departure{
		Leaf: l.id, Incarnation: incarnation, Source: source, Vm: l.pool.cfg.VM,
	})
}

// targetConns is how many connections the leaf should have now. A leaving leaf keeps one, which
// shows its next incarnation. A leaf that only refused a connection keeps all, because a new
// connection shows whether the leaf still refuses. Requires mu.
func (l *leaf) targetConns() int {
	switch l.presence.leaving() {
	case pb.DepartureSource_DEPARTURE_SOURCE_UNSPECIFIED, pb.DepartureSource_DEPARTURE_SOURCE_CONNECT:
		return l.planned
	}
	return min(1, l.planned)
}

// state returns a copy of what is known of the leaf.
func (l *leaf) state() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyConnEvents()
	s := State{
		Leaf: l.id, Incarnation: l.presence.incarnation, Leaving: l.isLeaving(),
		Snapshots: append([]uint64(nil), l.snapshots...), Slots: l.slots,
		UnseenFor: l.unseenFor,
		Survived:  !l.brokeAt.IsZero() && l.presence.lastConfirmed.After(l.brokeAt),
	}
	for _, c := range l.conns {
		s.Connected = s.Connected || c.usable()
	}
	s.Connected = s.Connected || l.recovering(time.Now())
	return s
}

// wasAttempted reports whether a connection was opened or failed to open, or none is planned.
func (l *leaf) wasAttempted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempted || l.planned == 0
}
