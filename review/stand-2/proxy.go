package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards TCP connections. Its open connections can go silent for good, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// conns holds the open connections; guarded by mu.
	conns map[*proxyConn]struct{}
}

// proxyConn is a connection with its two ends.
type proxyConn struct {
	near, far net.Conn

	mu sync.Mutex
	// silent is set once nothing is forwarded any more; guarded by mu.
	silent bool
}

// newProxy starts a proxy in front of the target on a free loopback port.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[*proxyConn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &proxyConn{near: near, far: far}
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		go c.forward(near, far)
		go c.forward(far, near)
	}
}

// forward copies from one end to the other. The end of one end is passed on, unless the connection is silent.
func (c *proxyConn) forward(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// silence makes the open connections silent for good, and returns how many there are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.conns)
}

// close closes the proxy and its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.near.Close()
		_ = c.far.Close()
	}
}
