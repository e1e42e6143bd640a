package callerconn

import (
	"context"
	"net"
	"sync"
	"time"
)

// phase is what a connection is waiting for.
type phase int

const (
	// phaseIdle: no byte of a request has come. phaseHead: a part of its head has. phaseActive: the head is read.
	phaseIdle phase = iota
	phaseHead
	phaseActive
)

// conn is a caller's connection. While it waits for a request, its read deadline is the manager's, and those that the
// server sets are ignored.
type conn struct {
	*net.TCPConn
	manager *Manager
	// refused is set if the connection is above the limit.
	refused bool
	removed sync.Once

	mu sync.Mutex
	// The fields below are guarded by mu. idleSince is when the connection became idle.
	phase     phase
	idleSince time.Time
}

// await waits for a request for d at most.
func (c *conn) await(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleSince = phaseIdle, time.Now()
	c.setDeadline(c.idleSince.Add(d))
}

// setIdleTimeout lets an idle connection wait for d from when it became idle.
func (c *conn) setIdleTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.setDeadline(c.idleSince.Add(d))
	}
}

// activate ends the wait for a request, whose head has been read.
func (c *conn) activate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseActive
	c.setDeadline(time.Time{})
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseIdle
}

// setDeadline sets the read deadline. It fails only on a closed connection, from which nothing is read.
func (c *conn) setDeadline(t time.Time) { _ = c.TCPConn.SetReadDeadline(t) }

// Read implements net.Conn. The first bytes of a request begin the time that its head may take.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.beginHead()
	}
	return n, err
}

func (c *conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase = phaseHead
		c.setDeadline(time.Now().Add(time.Duration(c.manager.headerTimeout.Load())))
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseActive {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.removed.Do(func() { c.manager.remove(c) })
	return c.TCPConn.Close()
}

type refusedKey struct{}

// ConnContext records in the context of a connection's requests whether it is above the limit. It is for the
// http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if k, ok := c.(*conn); ok && k.refused {
		return context.WithValue(ctx, refusedKey{}, true)
	}
	return ctx
}

// Refused reports whether the connection of the request with this context is above the limit. The request is to be refused at
// once.
func Refused(ctx context.Context) bool {
	refused, _ := ctx.Value(refusedKey{}).(bool)
	return refused
}
