package upstream

import (
	"net"
	"sync/atomic"
	"time"
)

// wire is a TCP connection that notes when it was last heard of, that its peer closed it, and that
// its peer announced to go away. Its fields are atomic: the HTTP/2 client's goroutines write them,
// calls and the pool's loop read them.
type wire struct {
	net.Conn
	// epoch is the pool's start; times are kept as nanoseconds since then.
	epoch time.Time
	// wake makes the pool's loop look at its connections at once.
	wake func()

	lastRead atomic.Int64
	// lostAt is when lost was set.
	lostAt atomic.Int64
	// closing is set before this side closes the connection.
	closing atomic.Bool
	// lost is set where reading or writing failed though this side did not close.
	lost atomic.Bool
	// leaving is set by a GOAWAY without error, failed by one with an error.
	leaving, failed atomic.Bool

	frames frameScanner
}

func newWire(c net.Conn, epoch time.Time, wake func()) *wire {
	w := &wire{Conn: c, epoch: epoch, wake: wake}
	w.lastRead.Store(int64(time.Since(epoch)))
	return w
}

// Read implements net.Conn.
func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.lastRead.Store(int64(time.Since(w.epoch)))
		if code, found := w.frames.scan(b[:n]); found {
			w.noteGoAway(code)
		}
	}
	if err != nil {
		w.noteLost()
	}
	return n, err
}

// Write implements net.Conn.
func (w *wire) Write(b []byte) (int, error) {
	n, err := w.Conn.Write(b)
	if err != nil {
		w.noteLost()
	}
	return n, err
}

// noteLost notes that the connection broke, unless this side has closed it.
func (w *wire) noteLost() {
	if w.closing.Load() || w.lost.Load() {
		return
	}
	w.lostAt.Store(int64(time.Since(w.epoch)))
	w.lost.Store(true)
	w.wake()
}

// Close implements net.Conn. The HTTP/2 client closes a connection for itself after a GOAWAY or a
// breach of the protocol.
func (w *wire) Close() error {
	w.closing.Store(true)
	w.wake()
	return w.Conn.Close()
}

func (w *wire) noteGoAway(code uint32) {
	if code == goAwayNoError {
		w.leaving.Store(true)
	} else {
		w.failed.Store(true)
	}
	w.wake()
}

// heard returns when a byte last came.
func (w *wire) heard() time.Time { return w.epoch.Add(time.Duration(w.lastRead.Load())) }

// broke returns when the connection broke, and whether it did.
func (w *wire) broke() (time.Time, bool) {
	if !w.lost.Load() {
		return time.Time{}, false
	}
	return w.epoch.Add(time.Duration(w.lostAt.Load())), true
}

// crashed tells whether the peer ended the connection without having announced it.
func (w *wire) crashed() bool { return w.lost.Load() && !w.leaving.Load() && !w.failed.Load() }

// usable tells whether a new call may be sent.
func (w *wire) usable() bool {
	return !w.closing.Load() && !w.lost.Load() && !w.leaving.Load() && !w.failed.Load()
}
