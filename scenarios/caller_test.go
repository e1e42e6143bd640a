package scenarios

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/burdockplank/burdockplank/internal/rpc"
)

const (
	// readChunkBytes is how much a slow caller reads at once.
	readChunkBytes = 16 << 10
	// receiveBufferBytes is how much the kernel holds for a caller that doesn't read, so that the entry has
	// to wait for a slow one.
	receiveBufferBytes = 64 << 10
)

// errCutOff ends a caller's connection in the middle of what it reads.
var errCutOff = errors.New("the caller's connection was cut")

// connection says how a caller is connected to an entry.
type connection struct {
	// readDelay is the wait before each read of readBytes at most.
	readDelay time.Duration
	// cutAfterBytes is how many bytes the caller reads before its connection breaks; 0 is never.
	cutAfterBytes int
	// http1 takes HTTP/1.1 in place of HTTP/2.
	http1 bool
}

// client returns a client with the connection. Each of its connections has the fault anew.
func (c connection) client() *http.Client {
	if c == (connection{}) {
		return rpc.NewClient("")
	}
	var protocols http.Protocols
	protocols.SetHTTP1(c.http1)
	protocols.SetUnencryptedHTTP2(!c.http1)
	dialer := rpc.Dialer("")
	return &http.Client{Transport: &http.Transport{
		Protocols: &protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes)
			return &faultyConn{Conn: conn, fault: c, remaining: c.cutAfterBytes}, nil
		},
	}}
}

// options leave compression out where the connection has a fault, so that its size is the answer's.
func (c connection) options() []connect.ClientOption {
	if c == (connection{}) {
		return nil
	}
	return []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}
}

// faultyConn reads as its fault says. Its reads are made by one goroutine.
type faultyConn struct {
	net.Conn
	fault     connection
	remaining int
}

// Read implements net.Conn.
func (c *faultyConn) Read(b []byte) (int, error) {
	if c.fault.readDelay > 0 {
		time.Sleep(c.fault.readDelay)
		b = b[:min(len(b), readChunkBytes)]
	}
	if c.fault.cutAfterBytes == 0 {
		return c.Conn.Read(b)
	}
	if c.remaining <= 0 {
		_ = c.Close()
		return 0, errCutOff
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}
