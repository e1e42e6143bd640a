package callerconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockplank/burdockplank/internal/membudget"
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
	// noMemory is set once there is no memory for the request that is being received.
	noMemory atomic.Bool
	// writeSince is when the write that is under way has last made progress, in Unix nanoseconds; 0 if there is none.
	writeSince atomic.Int64

	mu sync.Mutex
	// The fields below are guarded by mu. idleSince is when the connection became idle.
	phase     phase
	idleSince time.Time
	// used is set once a request has come.
	used bool
	// received is what the present request takes.
	received requestSize
	// holder holds the memory of the present request beyond includedBytes; nil while it takes less.
	holder *membudget.Holder
	// charged is how many bytes holder has.
	charged int64
}

// await waits for a request for d at most.
func (c *conn) await(d time.Duration) {
	c.releaseMemory()
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
	c.phase, c.used = phaseActive, true
	c.setDeadline(time.Time{})
}

// limitFirstWait lets a connection that has never been used wait for d from when it was opened.
func (c *conn) limitFirstWait(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle && !c.used {
		c.setDeadline(c.idleSince.Add(d))
	}
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseIdle
}

// setDeadline sets the read deadline. It fails only on a closed connection, from which nothing is read.
func (c *conn) setDeadline(t time.Time) { _ = c.TCPConn.SetReadDeadline(t) }

// Read implements net.Conn. The first bytes of a request begin the time that its head may take. A head that is too long, or for
// which there is no memory, is refused here, as the server holds all of it before it calls a handler.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	status := c.receive(p[:n])
	if status == statusOK {
		return n, err
	}
	if c.inBody() {
		c.noMemory.Store(true) // ReadBody ends the request
		return n, err
	}
	c.answerHead(status)
	return 0, errHeadRefused
}

func (c *conn) inBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseActive
}

// receive accounts for bytes of a request.
func (c *conn) receive(b []byte) headStatus {
	c.mu.Lock()
	if c.phase == phaseIdle {
		c.phase = phaseHead
		c.setDeadline(time.Now().Add(time.Duration(c.manager.headerTimeout.Load())))
	}
	inHead := c.phase == phaseHead
	if inHead {
		c.received.addHead(b)
	} else {
		c.received.addBody(b)
	}
	headBytes, size := c.received.headBytes, c.received.memory()
	c.mu.Unlock()
	switch {
	case inHead && c.manager.headTooLong(headBytes):
		return statusHeadTooLong
	case size > includedBytes && !c.charge(size-includedBytes, int64(len(b))):
		return statusNoMemory
	}
	return statusOK
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
	c.removed.Do(func() {
		c.releaseMemory()
		c.manager.remove(c)
	})
	return c.TCPConn.Close()
}

type connKey struct{}

// ConnContext records in the context of a connection's requests which one it is. It is for the http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if k, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, k)
	}
	return ctx
}

// connOf returns the connection of a request with this context; nil if no manager tracks it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Refused reports whether the connection of the request with this context is above the limit. The request is to be refused at
// once.
func Refused(ctx context.Context) bool {
	c := connOf(ctx)
	return c != nil && c.refused
}
