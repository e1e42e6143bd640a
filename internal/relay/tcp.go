package relay

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// dialTimeout bounds the time to connect to a target.
const dialTimeout = 5 * time.Second

// tcpForward forwards the connections to one address.
type tcpForward struct {
	relay    *Relay
	listener *net.TCPListener
	target   string
	// to is the IP address of the listener.
	to string
}

func (r *Relay) newTCPForward(f Forward) (*tcpForward, error) {
	l, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "relay: listen on %s", f.Listen)
	}
	return &tcpForward{relay: r, listener: l.(*net.TCPListener), target: f.Target, to: hostOf(l.Addr())}, nil
}

// run accepts connections until the listener is closed.
func (f *tcpForward) run() {
	for {
		c, err := f.listener.AcceptTCP()
		if err != nil {
			return
		}
		f.relay.wg.Go(func() { f.handle(c) })
	}
}

// handle forwards one connection until it ends.
func (f *tcpForward) handle(client *net.TCPConn) {
	k := &link{from: hostOf(client.RemoteAddr()), to: f.to, client: client, opened: time.Now()}
	f.relay.add(k)
	defer f.relay.remove(k)
	if k.isClosed() {
		return
	}
	if !k.allowForward() {
		k.discard()
		return
	}
	server, err := f.dial(k.from)
	if err != nil {
		k.reset()
		return
	}
	if !k.setServer(server) {
		resetConn(server)
		return
	}
	k.forward()
}

// dial connects to the target from the client's own IP address, so that the target sees the client's address.
func (f *tcpForward) dial(from string) (*net.TCPConn, error) {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", f.target)
	if err != nil {
		return nil, eris.Wrapf(err, "relay: dial %s", f.target)
	}
	return c.(*net.TCPConn), nil
}

// hostOf returns the IP address of a network address, or an empty string if it has none.
func hostOf(a net.Addr) string {
	h, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	return h
}
