package node

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/rpc"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, &l.bytes}, err
}

func (c countingConn) Read(p []byte) (n int, err error) {
	defer func() { c.bytes.Add(int64(n)) }()
	return c.Conn.Read(p)
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

type loadHub struct {
	burdockv1connect.UnimplementedFleetServiceHandler
}

func (loadHub) Load(context.Context, *pb.FleetLoad) (*pb.FleetLoad, error) {
	return &pb.FleetLoad{From: strings.Repeat("b", 467)}, nil
}

// Guards against headers that take more than the reports: with them, the exchanges of a VM take at most the 4 KB/s that
// all control messages may take. The messages have the largest size that internal/fleetload sends within a zone.
func TestBytesOfLoadExchanges(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &countingListener{Listener: inner}
	_, handler := burdockv1connect.NewFleetServiceHandler(loadHub{}, fleetHandlerOptions()...)
	server := rpc.NewServer(handler)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	client := dialLoads("127.0.0.1")(inner.Addr().String())
	const exchanges, perSecond, maxBytesPerSecond = 50, 5, 4 << 10
	for range exchanges {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err := client.Load(ctx, &pb.FleetLoad{From: strings.Repeat("a", 187)})
		is.NoErr(err)
		cancel()
	}
	perExchange := float64(l.bytes.Load()) / exchanges
	t.Logf("%.0f bytes for each exchange", perExchange)
	is.True(perExchange*perSecond <= maxBytesPerSecond)
	time.Sleep(loadIdleTimeout + loadPingAfter)
	idle := l.bytes.Load()
	time.Sleep(2 * loadPingAfter)
	is.Equal(l.bytes.Load(), idle) // no pings on calm days
}
