package entry

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// conns counts connections that sent something and ended without a whole request: half a header, or
// bytes that are no HTTP. The HTTP library answers or closes those before any handler runs.
type conns struct {
	halves prometheus.Counter

	mu sync.Mutex
	// open is guarded by mu.
	open map[net.Conn]*conn
}

// conn is one connection of a caller; its fields are guarded by conns.mu.
type conn struct {
	// begun counts requests of which a byte came, handled those that reached a handler.
	begun, handled int
}

type connKey struct{}

func newConns(halves prometheus.Counter) *conns {
	return &conns{halves: halves, open: make(map[net.Conn]*conn)}
}

// hook makes the server tell of its connections.
func (c *conns) hook(s *http.Server) {
	s.ConnState = c.changed
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c.add(nc))
	}
}

func (c *conns) add(nc net.Conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := &conn{}
	c.open[nc] = x
	return x
}

// changed implements the hook of http.Server.
func (c *conns) changed(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.open[nc]
	if x == nil {
		return
	}
	switch s {
	case http.StateActive:
		x.begun++
	case http.StateClosed, http.StateHijacked:
		delete(c.open, nc)
		if x.begun > x.handled {
			c.halves.Inc()
		}
	}
}

// handled notes that a request of the connection reached a handler.
func (c *conns) handled(ctx context.Context) {
	x, _ := ctx.Value(connKey{}).(*conn)
	if x == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	x.handled++
}
