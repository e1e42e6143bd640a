package upstream

import (
	"net"
	"sync/atomic"
	"time"
)

// trackedConn is a TCP connection that records when a byte last arrived, that the peer closed the
// connection, and that the peer sent GOAWAY. Its fields are atomic: the HTTP/2 client's goroutines
// write them, calls and the pool's loop read them.
type trackedConn struct {
	net.Conn
	// epoch is the pool's start; times are stored as nanoseconds since then.
	epoch time.Time
	// wake triggers a maintenance pass of the pool's loop.
	wake func()

	lastRead atomic.Int64
	// lostAt is when lost was set.
	lostAt atomic.Int64
	// closing is set before this side closes the connection.
	closing atomic.Bool
	// lost is set if reading or writing failed though this side did not close.
	lost atomic.Bool
	// goAway is set by a GOAWAY without an error, goAwayErr by one with an error.
	goAway, goAwayErr atomic.Bool

	frames frameScanner
}

func newTrackedConn(c net.Conn, epoch time.Time, wake func()) *trackedConn {
	w := &trackedConn{Conn: c, epoch: epoch, wake: wake}
	w.lastRead.Store(int64(time.Since(epoch)))
	return w
}

// Read implements net.Conn.
func (w *trackedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.lastRead.Store(int64(time.Since(w.epoch)))
		if code, found := w.frames.scan(b[:n]); found {
			w.recordGoAway(code)
		}
	}
	if err != nil {
		w.recordLost()
	}
	return n, err
}

// Write implements net.Conn.
func (w *trackedConn) Write(b []byte) (int, error) {
	n, err := w.Conn.Write(b)
	if err != nil {
		w.recordLost()
	}
	return n, err
}

// recordLost records that the connection broke, unless this side has closed it.
func (w *trackedConn) recordLost() {
	if w.closing.Load() || w.lost.Load() {
		return
	}
	w.lostAt.Store(int64(time.Since(w.epoch)))
	w.lost.Store(true)
	w.wake()
}

// Close implements net.Conn. The HTTP/2 client calls it itself after a GOAWAY or a protocol error.
func (w *trackedConn) Close() error {
	w.closing.Store(true)
	w.wake()
	return w.Conn.Close()
}

func (w *trackedConn) recordGoAway(code uint32) {
	if code == goAwayNoError {
		w.goAway.Store(true)
	} else {
		w.goAwayErr.Store(true)
	}
	w.wake()
}

// lastHeard returns when a byte last arrived.
func (w *trackedConn) lastHeard() time.Time { return w.epoch.Add(time.Duration(w.lastRead.Load())) }

// brokenAt returns when the connection broke, and whether it did.
func (w *trackedConn) brokenAt() (time.Time, bool) {
	if !w.lost.Load() {
		return time.Time{}, false
	}
	return w.epoch.Add(time.Duration(w.lostAt.Load())), true
}

// crashed reports whether the peer ended the connection without a GOAWAY.
func (w *trackedConn) crashed() bool { return w.lost.Load() && !w.goAway.Load() && !w.goAwayErr.Load() }

// usable reports whether a new call may be sent.
func (w *trackedConn) usable() bool {
	return !w.closing.Load() && !w.lost.Load() && !w.goAway.Load() && !w.goAwayErr.Load()
}
