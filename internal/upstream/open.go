package upstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// openTimeout bounds opening a connection, including the first status request.
	openTimeout = time.Second
	// slowOpenTime is how long an attempt to open a connection may take until another one is made
	// beside it while the leaf has no usable connection.
	slowOpenTime = 150 * time.Millisecond
	// maxAttemptsAtOnce is how many attempts may be under way at once.
	maxAttemptsAtOnce = 2
	// pollInterval is the mean time between two status requests to a leaf.
	pollInterval = 2 * time.Second
	// pollTimeout bounds one status request.
	pollTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a connection could not be opened.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// stableAfter is how long a connection must have been open for its end not to delay the next
	// attempt.
	stableAfter = time.Second
)

// backoff implements exponential backoff: the delay doubles with each failure.
type backoff struct{ failures int }

// next returns the jittered delay until the next attempt.
func (b *backoff) next() time.Duration {
	d := maxBackoff
	if b.failures < 6 {
		d = min(maxBackoff, minBackoff<<b.failures)
	}
	b.failures++
	return jitter(d)
}

// jitter returns d times a random factor from 0.75 to 1.25, so that processes do not act at the
// same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
}

// open opens one connection, learns the leaf's incarnation from it, and adds it to the leaf.
func (l *leaf) open() {
	ctx, cancel := context.WithTimeout(l.pool.ctx, openTimeout)
	defer cancel()
	opened := time.Now()
	c, st, err := l.dial(ctx, opened)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opening--
	l.attempted = true
	l.openError = err
	defer l.pool.wakeLoop()
	if err != nil {
		l.openFailed(err)
		return
	}
	l.pool.metrics.openAttempts.WithLabelValues(l.service, "opened").Inc()
	l.recordReturn(time.Now())
	l.conns = append(l.conns, c)
	l.notify()
	if st != nil {
		l.applyStatus(c, st)
	} else {
		l.presence.recordConnected(0, opened)
	}
}

// recordReturn notes for how long nothing was known of a leaf that takes its first connection again. Requires mu.
func (l *leaf) recordReturn(now time.Time) {
	last := l.brokeAt
	if l.refusedAt.After(last) {
		last = l.refusedAt
	}
	if l.openConns() == 0 && !last.IsZero() {
		l.unseenFor = now.Sub(last)
	}
}

// openFailed records a failed attempt. A refused connection is evidence of departure. Requires mu.
func (l *leaf) openFailed(err error) {
	if l.lastHeardUsable() == nil { // no attempt beside this one has succeeded
		l.retryAt = time.Now().Add(l.backoff.next())
	}
	if l.pool.ctx.Err() != nil {
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		l.pool.metrics.openAttempts.WithLabelValues(l.service, "failed").Inc()
		return
	}
	l.refusedAt = time.Now()
	l.pool.metrics.openAttempts.WithLabelValues(l.service, "refused").Inc()
	l.recordDeparture(0, pb.DepartureSource_DEPARTURE_SOURCE_CONNECT)
}

// dial opens a connection and requests the status on it. A leaf that does not answer the status
// request is accepted if it answers a ping: its status procedure may fail while its searches work.
func (l *leaf) dial(ctx context.Context, opened time.Time) (*conn, *status, error) {
	nc, err := l.pool.dial(ctx, l.address)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "gather.upstream: dial %s", l.id)
	}
	w := newTrackedConn(nc, l.pool.epoch, l.pool.wakeLoop)
	_ = w.SetWriteDeadline(opened.Add(openTimeout)) // the preface is written without a context
	h2, err := l.pool.transport.open(w)
	_ = w.SetWriteDeadline(time.Time{})
	if err != nil {
		_ = w.Close()
		return nil, nil, eris.Wrapf(err, "gather.upstream: start HTTP/2 with %s", l.id)
	}
	c := &conn{leaf: l, tcp: w, h2: h2, opened: opened, silent: make(chan struct{})}
	st, err := l.requestStatus(ctx, c)
	if err == nil && st.answer.GetLeaf() != "" && st.answer.GetLeaf() != l.id {
		err = eris.Errorf("gather.upstream: %s answers as %s", l.id, st.answer.GetLeaf())
	} else if err != nil && c.tcp.usable() && h2.Ping(ctx) == nil {
		return c, nil, nil
	}
	if err != nil {
		_ = h2.Close()
		return nil, nil, eris.Wrapf(err, "gather.upstream: first status of %s", l.id)
	}
	return c, st, nil
}

// status is a leaf's answer to a status request, with the local times of request and answer.
type status struct {
	answer              *pb.LeafStatusResponse
	requested, received time.Time
}

// requestStatus requests the status over the connection.
func (l *leaf) requestStatus(ctx context.Context, c *conn) (*status, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	ctx, _ = withExchange(ctx, c)
	requested := time.Now()
	answer, err := l.client.Status(ctx, &pb.LeafStatusRequest{})
	if err != nil {
		return nil, err
	}
	return &status{answer: answer, requested: requested, received: time.Now()}, nil
}

// poll requests the status over an open connection on which a call was begun.
func (l *leaf) poll(c *conn) {
	st, err := l.requestStatus(l.pool.ctx, c)
	l.release(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polling = false
	l.pool.metrics.countStatusPoll(l.service, err)
	if err != nil {
		return
	}
	l.applyStatus(c, st)
	if time.Since(c.opened) >= stableAfter {
		l.backoff = backoff{}
	}
}

// applyStatus applies a status received on the connection. All of it is a hint, except that a leaf
// that reports draining is draining. A connection belongs to one incarnation: a status of another
// incarnation on it is ignored. Requires mu.
func (l *leaf) applyStatus(c *conn, s *status) {
	st := s.answer
	n := st.GetIncarnation()
	if n == 0 || (c.incarnation != 0 && c.incarnation != n) {
		return
	}
	if st.GetDraining() {
		l.recordDeparture(n, pb.DepartureSource_DEPARTURE_SOURCE_STATUS)
	}
	if c.incarnation == 0 || n == l.presence.incarnation {
		c.incarnation = n
		if !l.presence.recordConnected(n, c.opened) {
			return
		}
	}
	if n != l.presence.incarnation {
		return
	}
	if up := st.GetUptime(); up != nil {
		l.clock.observe(n, clockReading{uptime: up.AsDuration(), requested: s.requested, received: s.received})
	}
	l.snapshots = append([]uint64{}, st.GetSnapshots()...)
	if st.GetSlots() > 0 {
		l.slots = int(st.GetSlots())
	}
}

// pollNow makes the next status request due now.
func (l *leaf) pollNow() {
	l.mu.Lock()
	l.pollAt = time.Time{}
	l.mu.Unlock()
	l.pool.wakeLoop()
}
