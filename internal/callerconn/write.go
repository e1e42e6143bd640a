package callerconn

import "time"

const (
	// writePieceBytes is how much of an answer is written at a time, and writeTimeout how long the caller may take for it.
	writePieceBytes = 64 << 10
	writeTimeout    = 30 * time.Second
)

// abort closes the connection and drops what the caller has not taken.
func (c *conn) abort() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Write implements net.Conn. A long answer takes memory until the caller has taken it.
func (c *conn) Write(p []byte) (int, error) {
	c.writeSince.Store(time.Now().UnixNano())
	defer c.writeSince.Store(0)
	if len(p) <= includedBytes || c.manager.config.Memory == nil {
		return c.TCPConn.Write(p)
	}
	h := c.manager.config.Memory.Hold(c.abort)
	defer h.Release()
	h.Add(int64(len(p)))
	written := 0
	for written < len(p) {
		n, err := c.TCPConn.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		if err != nil {
			return written, err
		}
		h.Progress(int64(n))
		c.writeSince.Store(time.Now().UnixNano())
	}
	return written, nil
}

// closeStalledWrites closes the connections whose caller has taken nothing for writeTimeout.
func (m *Manager) closeStalledWrites(now time.Time) {
	for _, c := range m.all() {
		if since := c.writeSince.Load(); since != 0 && now.UnixNano()-since > int64(writeTimeout) {
			c.abort()
		}
	}
}

func (m *Manager) all() []*conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*conn, 0, len(m.conns))
	for c := range m.conns {
		out = append(out, c)
	}
	return out
}
