package listener

import (
	"net"
	"sync"
	"time"
)

// conn is an accepted connection. The listener counts it until this end closes it.
type conn struct {
	net.Conn
	listener *Listener
	// readableAt is the earliest time of the first read.
	readableAt time.Time
	removeOnce sync.Once
}

// Read waits for the connect delay to pass and then reads.
func (c *conn) Read(p []byte) (int, error) {
	if wait := time.Until(c.readableAt); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(p)
}

// Close closes the connection and removes it from the listener's count.
func (c *conn) Close() error {
	c.removeOnce.Do(func() { c.listener.remove(c) })
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset and removes it from the listener's count.
func (c *conn) reset() {
	c.removeOnce.Do(func() { c.listener.remove(c) })
	reset(c.Conn)
}

// reset closes a TCP connection with a reset and discards its buffered bytes.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = nc.Close()
}

// host returns the IP number of the other end.
func host(nc net.Conn) string {
	h, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return h
}
