package spread

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Bytes counts the traffic between this VM and the syncs of other VMs, by channel and direction.
// UDP counts include the packet headers; TCP counts cover the segment payload only.
type Bytes struct {
	udpOut, udpIn, tcpOut, tcpIn prometheus.Counter
}

// NewBytes returns the counters and registers them with reg unless reg is nil.
func NewBytes(reg prometheus.Registerer) *Bytes {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "burdock_spread_bytes_total", Help: "Bytes between this VM and the syncs of others.",
	}, []string{"channel", "direction"})
	if reg != nil {
		reg.MustRegister(vec)
	}
	return &Bytes{
		udpOut: vec.WithLabelValues("udp", "sent"), udpIn: vec.WithLabelValues("udp", "received"),
		tcpOut: vec.WithLabelValues("tcp", "sent"), tcpIn: vec.WithLabelValues("tcp", "received"),
	}
}

func (b *Bytes) udpSent(n int)     { b.udpOut.Add(float64(n)) }
func (b *Bytes) udpReceived(n int) { b.udpIn.Add(float64(n)) }

// Count returns a connection that counts the bytes read from and written to conn.
func (b *Bytes) Count(conn net.Conn) net.Conn { return &countedConn{Conn: conn, bytes: b} }

// countedConn counts the bytes that pass through a connection.
type countedConn struct {
	net.Conn
	bytes *Bytes
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.tcpIn.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.tcpOut.Add(float64(n))
	return n, err
}
