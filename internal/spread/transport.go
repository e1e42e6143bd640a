package spread

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/rpc"
)

// Transport carries packets between syncs. Packets may be lost, delayed or duplicated.
type Transport interface {
	// Send sends a packet to HOST:PORT without blocking.
	Send(to string, packet []byte) error
	// Receive returns the next packet. It blocks until one arrives or ctx ends.
	Receive(ctx context.Context) ([]byte, error)
}

// Dial returns the client of the sync at HOST:PORT.
type Dial func(address string) burdockv1connect.PeerServiceClient

const (
	// packetOverheadBytes is the size of the IPv4 and UDP headers of a packet.
	packetOverheadBytes = 28
	// receiveBufferBytes is the size of the socket buffer for packets that arrive while the process
	// is busy.
	receiveBufferBytes = 1 << 20
	// maxReceivedBytes is larger than any packet a sync sends.
	maxReceivedBytes = 2048
)

// UDP implements Transport over a UDP socket.
type UDP struct {
	conn  *net.UDPConn
	bytes *Bytes
}

// ListenUDP binds a UDP socket to HOST:PORT.
func ListenUDP(address string, bytes *Bytes) (*UDP, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "sync.spread: listen on %s", address)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "sync.spread: listen on %s", address)
	}
	_ = conn.SetReadBuffer(receiveBufferBytes) // the operating system's limit may be lower
	return &UDP{conn: conn, bytes: bytes}, nil
}

// Send implements Transport.
func (u *UDP) Send(to string, packet []byte) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return eris.Wrapf(err, "sync.spread: send to %q", to)
	}
	n, err := u.conn.WriteToUDPAddrPort(packet, addr)
	u.bytes.udpSent(n + packetOverheadBytes)
	return eris.Wrapf(err, "sync.spread: send to %s", to)
}

// Receive implements Transport.
func (u *UDP) Receive(ctx context.Context) ([]byte, error) {
	stop := context.AfterFunc(ctx, func() { _ = u.conn.SetReadDeadline(time.Now()) })
	defer stop()
	buf := make([]byte, maxReceivedBytes)
	n, _, err := u.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		return nil, err
	}
	u.bytes.udpReceived(n + packetOverheadBytes)
	return buf[:n], nil
}

// Close closes the socket.
func (u *UDP) Close() error { return u.conn.Close() }

const (
	// peerIdleTimeout is how long an unused connection to a peer stays open. Peers are chosen at
	// random, so most connections are not reused soon, and an idle connection costs resources on
	// both sides.
	peerIdleTimeout = 2 * time.Second
	// maxIdlePeers bounds the number of idle connections.
	maxIdlePeers = 4
	// dialPeerTimeout bounds opening a connection to a peer.
	dialPeerTimeout = time.Second
)

// NewDial returns a Dial whose connections use the local address bind and are counted in bytes.
func NewDial(bind string, bytes *Bytes) Dial {
	d := rpc.Dialer(bind)
	d.Timeout = dialPeerTimeout
	client := &http.Client{Transport: &http.Transport{
		IdleConnTimeout: peerIdleTimeout,
		MaxIdleConns:    maxIdlePeers,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return bytes.Count(conn), nil
		},
	}}
	return func(address string) burdockv1connect.PeerServiceClient {
		return burdockv1connect.NewPeerServiceClient(client, "http://"+address, connect.WithSendGzip())
	}
}
