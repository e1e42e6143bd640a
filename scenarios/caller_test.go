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
	// readChunkBytes is the most that a slow caller reads at once.
	readChunkBytes = 16 << 10
	// receiveBufferBytes is the size of the caller's kernel receive buffer, small enough that the entry
	// has to wait for a slow caller.
	receiveBufferBytes = 64 << 10
)

// errCutOff is the read error of a connection that breaks after connection.cutAfterBytes.
var errCutOff = errors.New("the caller's connection was cut")

// connection describes the connections of a caller to an entry.
type connection struct {
	// readDelay is the wait before each read of at most readChunkBytes; 0 is none.
	readDelay time.Duration
	// cutAfterBytes is the number of bytes that the caller reads before its connection breaks; 0 is never.
	cutAfterBytes int
	// http1 selects HTTP/1.1 instead of HTTP/2.
	http1 bool
}

// client returns an HTTP client with such connections. The fault applies to each of its connections
// separately.
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

// options turns compression off for a connection with a fault, so that the bytes on the connection are
// those of the answer.
func (c connection) options() []connect.ClientOption {
	if c == (connection{}) {
		return nil
	}
	return []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}
}

// faultyConn applies a connection's fault to reads. Only one goroutine may read from it.
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
