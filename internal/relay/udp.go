package relay

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxPacketBytes is the size of the read buffer, above the largest UDP packet.
	maxPacketBytes = 64 << 10
	// flowIdleTimeout is how long a UDP flow is kept without a packet from its client.
	flowIdleTimeout = time.Minute
)

// udpForward forwards the packets to one address.
type udpForward struct {
	relay  *Relay
	conn   *net.UDPConn
	target *net.UDPAddr
	// to is the IP address of the listener.
	to string

	mu sync.Mutex
	// flows holds the flows by the client's IP:PORT, nil after close; guarded by mu.
	flows map[string]*udpFlow
}

// udpFlow forwards the packets of one client, from the client's own IP address.
type udpFlow struct {
	client *net.UDPAddr
	server *net.UDPConn
	// last is the time of the client's last packet; guarded by the mu of the udpForward.
	last time.Time
}

func (r *Relay) newUDPForward(f Forward) (*udpForward, error) {
	listen, err := net.ResolveUDPAddr("udp", f.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "relay: resolve UDP listen address")
	}
	target, err := net.ResolveUDPAddr("udp", f.Target)
	if err != nil {
		return nil, eris.Wrap(err, "relay: resolve UDP target address")
	}
	c, err := net.ListenUDP("udp", listen)
	if err != nil {
		return nil, eris.Wrapf(err, "relay: listen on udp %s", f.Listen)
	}
	return &udpForward{relay: r, conn: c, target: target, to: hostOf(c.LocalAddr()), flows: make(map[string]*udpFlow)}, nil
}

// run forwards packets until the socket is closed.
func (f *udpForward) run() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, client, err := f.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		flow, err := f.flow(client)
		if err != nil {
			continue
		}
		f.forward(client, buf[:n], func(p []byte) { _, _ = flow.server.Write(p) })
	}
}

// forward calls send with the packet unless the rules drop it, after a delay with a copy of it.
func (f *udpForward) forward(client *net.UDPAddr, packet []byte, send func([]byte)) {
	v := f.relay.evaluate(client.IP.String(), f.to)
	if v.cut || v.silence {
		return
	}
	if v.delay == 0 {
		send(packet)
		return
	}
	later := append([]byte(nil), packet...)
	time.AfterFunc(v.delay, func() { send(later) })
}

// flow returns the client's flow and creates it if there is none.
func (f *udpForward) flow(client *net.UDPAddr) (*udpFlow, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.flows == nil {
		return nil, net.ErrClosed
	}
	key := client.String()
	if flow, ok := f.flows[key]; ok {
		flow.last = time.Now()
		return flow, nil
	}
	server, err := net.DialUDP("udp", &net.UDPAddr{IP: client.IP}, f.target)
	if err != nil {
		return nil, eris.Wrapf(err, "relay: dial udp %s", f.target)
	}
	flow := &udpFlow{client: client, server: server, last: time.Now()}
	f.flows[key] = flow
	f.relay.wg.Go(func() { f.forwardReplies(flow) })
	return flow, nil
}

// forwardReplies forwards the target's packets to the client until the flow is closed or idle.
func (f *udpForward) forwardReplies(flow *udpFlow) {
	buf := make([]byte, maxPacketBytes)
	for {
		_ = flow.server.SetReadDeadline(time.Now().Add(flowIdleTimeout))
		n, err := flow.server.Read(buf)
		if errors.Is(err, net.ErrClosed) || f.expire(flow) {
			return
		}
		if err != nil {
			continue
		}
		f.forward(flow.client, buf[:n], func(p []byte) { _, _ = f.conn.WriteToUDP(p, flow.client) })
	}
}

// expire closes and removes the flow if it is idle, and reports whether it was.
func (f *udpForward) expire(flow *udpFlow) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(flow.last) < flowIdleTimeout {
		return false
	}
	delete(f.flows, flow.client.String())
	_ = flow.server.Close()
	return true
}

// close closes the socket and all flows.
func (f *udpForward) close() {
	_ = f.conn.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, flow := range f.flows {
		_ = flow.server.Close()
	}
	f.flows = nil
}
