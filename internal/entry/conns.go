package entry

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// connTracker counts connections that sent something and ended without a complete request: part of
// a header, or bytes that are not HTTP. The HTTP library answers or closes those before any handler
// runs.
type connTracker struct {
	incomplete prometheus.Counter
	// most is how many connections there may be.
	most int

	mu sync.Mutex
	// open is guarded by mu.
	open map[net.Conn]*trackedConn
}

// trackedConn is one connection of a caller; its fields are guarded by connTracker.mu.
type trackedConn struct {
	// started counts requests of which a byte arrived, handled those that reached a handler.
	started, handled int
}

type connKey struct{}

func newConnTracker(incomplete prometheus.Counter, most int) *connTracker {
	return &connTracker{incomplete: incomplete, most: most, open: make(map[net.Conn]*trackedConn)}
}

// listener returns a listener that closes connections beyond the most that there may be.
func (c *connTracker) listener(l net.Listener) net.Listener { return &boundedListener{l, c} }

type boundedListener struct {
	net.Listener
	conns *connTracker
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.conns.full() {
			return c, err
		}
		_ = c.Close()
	}
}

func (c *connTracker) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) >= c.most
}

// attach makes the server report its connections to c.
func (c *connTracker) attach(s *http.Server) {
	s.ConnState = c.stateChanged
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c.add(nc))
	}
}

func (c *connTracker) add(nc net.Conn) *trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := &trackedConn{}
	c.open[nc] = x
	return x
}

// stateChanged implements http.Server.ConnState.
func (c *connTracker) stateChanged(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.open[nc]
	if x == nil {
		return
	}
	switch s {
	case http.StateActive:
		x.started++
	case http.StateClosed, http.StateHijacked:
		delete(c.open, nc)
		if x.started > x.handled {
			c.incomplete.Inc()
		}
	}
}

// markHandled records that a request of the connection reached a handler.
func (c *connTracker) markHandled(ctx context.Context) {
	x, _ := ctx.Value(connKey{}).(*trackedConn)
	if x == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	x.handled++
}
