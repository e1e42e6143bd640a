package scenarios

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// relay forwards TCP and UDP to the nodes behind it. It identifies a sender by the source address of its
// connections. A cut delays TCP data and drops datagrams, as packet loss does: it closes and refuses no
// connection. (The kernel still accepts connections during a cut; they stay silent, which is harder to
// detect than a connection that does not open.)
type relay struct {
	byBind map[string]*node

	mu sync.Mutex
	// The fields below are guarded by mu. cuts holds pairs of node names, in both directions. changed is
	// closed and replaced at each change of cuts or of a link's silence. closers are the open listeners
	// and connections.
	cuts    map[[2]string]bool
	changed chan struct{}
	closed  bool
	links   map[*link]bool
	// silenced holds all links that were ever made silent.
	silenced []*link
	closers  []io.Closer
	// datagrams holds the UDP socket at the relayed address of each node.
	datagrams map[string]*net.UDPConn

	// dropped counts the datagrams dropped by cuts.
	dropped atomic.Int64
	running sync.WaitGroup
}

// link is one relayed TCP connection.
type link struct {
	from, to string
	port     int
	// ends are the connection from the side that opened the link and the connection to the node.
	ends [2]*net.TCPConn
	// The fields below are guarded by the relay's mu. silentAt is set when the link becomes silent for
	// good, openerClosedAt when the side that opened it has closed it.
	silentAt, openerClosedAt time.Time
	// severed is true on a link that breaks after remainingBytes more bytes of answers.
	severed        bool
	remainingBytes int
}

// linkState is what a link does with data: pass it, discard it, or end.
type linkState int

const (
	linkPassing linkState = iota
	linkSilent
	linkClosed
)

func newRelay(nodes []*node) *relay {
	r := &relay{
		byBind: make(map[string]*node), cuts: make(map[[2]string]bool), changed: make(chan struct{}),
		links: make(map[*link]bool), datagrams: make(map[string]*net.UDPConn),
	}
	for _, n := range nodes {
		r.byBind[n.bind] = n
	}
	return r
}

// serveTCP relays a port of the node.
func (r *relay) serveTCP(n *node, port int) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(n.address, strconv.Itoa(port)))
	if err != nil {
		return err
	}
	r.closers = append(r.closers, ln)
	r.running.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.running.Go(func() { r.relayTCP(c.(*net.TCPConn), n, port) })
		}
	})
	return nil
}

// nodeAt returns the node whose processes bind the IP of addr.
func (r *relay) nodeAt(addr net.Addr) *node {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return nil
	}
	return r.byBind[host]
}

func (r *relay) relayTCP(in *net.TCPConn, to *node, port int) {
	from := r.nodeAt(in.RemoteAddr())
	if from == nil {
		reset(in)
		return
	}
	l := &link{from: from.name, to: to.name, port: port, ends: [2]*net.TCPConn{in, nil}}
	if r.waitWhileCut(l) != linkPassing {
		reset(in)
		return
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from.address)}}
	c, err := dialer.Dial("tcp", net.JoinHostPort(to.bind, strconv.Itoa(port)))
	if err != nil {
		reset(in)
		return
	}
	out := c.(*net.TCPConn)
	l.ends[1] = out
	r.add(l)
	defer r.remove(l)
	var both sync.WaitGroup
	both.Go(func() { r.copy(l, out, in) })
	both.Go(func() { r.copy(l, in, out) })
	both.Wait()
}

// copy passes data and the end of the stream from src to dst, and delays both during a cut. On a silent
// link it discards them, as a middlebox does that has lost the state of the connection.
func (r *relay) copy(l *link, dst, src *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		r.recordOpenerClose(l, src, err)
		switch r.waitWhileCut(l) {
		case linkClosed:
			return
		case linkSilent:
			if err != nil {
				return
			}
			continue
		}
		keep, broken := r.consumeBytes(l, src, n)
		if keep > 0 {
			if _, werr := dst.Write(buf[:keep]); werr != nil {
				reset(src)
				return
			}
		}
		switch {
		case broken:
			reset(src)
			reset(dst)
			return
		case errors.Is(err, io.EOF):
			_ = dst.CloseWrite()
			return
		case err != nil:
			reset(dst)
			return
		}
	}
}

// recordOpenerClose records the time at which the side that opened the link closed it.
func (r *relay) recordOpenerClose(l *link, src *net.TCPConn, err error) {
	if err == nil || src != l.ends[0] {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l.openerClosedAt = time.Now()
}

// consumeBytes returns how many of n bytes still pass, and whether the link breaks after them. Only
// answers on a severed link are limited.
func (r *relay) consumeBytes(l *link, src *net.TCPConn, n int) (keep int, broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !l.severed || src != l.ends[1] {
		return n, false
	}
	keep = min(n, l.remainingBytes)
	l.remainingBytes -= n
	return keep, l.remainingBytes <= 0
}

// reset closes a connection with a TCP reset, so that its peer sees an error rather than the end of the
// stream.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// waitWhileCut waits until the link is not cut and returns its state.
func (r *relay) waitWhileCut(l *link) linkState {
	for {
		r.mu.Lock()
		changed, closed := r.changed, r.closed
		silent, cut := !l.silentAt.IsZero(), r.cuts[[2]string{l.from, l.to}]
		r.mu.Unlock()
		switch {
		case closed:
			return linkClosed
		case silent:
			return linkSilent
		case !cut:
			return linkPassing
		}
		<-changed
	}
}

func (r *relay) add(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[l] = true
	if r.closed {
		l.close()
	}
}

func (r *relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
	l.close()
}

func (l *link) close() {
	for _, c := range l.ends {
		if c != nil {
			_ = c.Close()
		}
	}
}

// serveUDP relays datagrams to a port of the node. A datagram is forwarded from the relayed address of
// its sender, so that answers pass the relay too. All nodes must be served before any traffic.
func (r *relay) serveUDP(n *node, port int) error {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(n.address), Port: port})
	if err != nil {
		return err
	}
	r.closers = append(r.closers, c)
	r.datagrams[n.name] = c
	to := &net.UDPAddr{IP: net.ParseIP(n.bind), Port: port}
	r.running.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			size, addr, err := c.ReadFromUDP(buf)
			if err != nil {
				return
			}
			r.relayDatagram(buf[:size], r.nodeAt(addr), n, to)
		}
	})
	return nil
}

func (r *relay) relayDatagram(data []byte, from, to *node, addr *net.UDPAddr) {
	if from == nil {
		return
	}
	r.mu.Lock()
	cut, c := r.cuts[[2]string{from.name, to.name}], r.datagrams[from.name]
	r.mu.Unlock()
	if cut || c == nil {
		r.dropped.Add(1)
		return
	}
	_, _ = c.WriteToUDP(data, addr)
}

// setCut cuts or heals each pair of a node of as and a node of bs, in both directions.
func (r *relay) setCut(as, bs []string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range as {
		for _, b := range bs {
			if a != b {
				r.cuts[[2]string{a, b}] = cut
				r.cuts[[2]string{b, a}] = cut
			}
		}
	}
	r.notifyChange()
}

// silence makes every open connection between the nodes silent for good; new ones work. It returns their
// number.
func (r *relay) silence(as, bs []string) int {
	now := time.Now()
	return r.each(as, bs, func(l *link) {
		l.silentAt = now
		r.silenced = append(r.silenced, l)
	})
}

// sever makes every open connection between the nodes break after the given number of further answer
// bytes. It returns the number of connections.
func (r *relay) sever(as, bs []string, after int) int {
	return r.each(as, bs, func(l *link) { l.severed, l.remainingBytes = true, after })
}

// each calls f with the mutex held for every connection between the nodes that is neither silent nor closed by
// its opener.
func (r *relay) each(as, bs []string, f func(*link)) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for l := range r.links {
		if l.silentAt.IsZero() && l.openerClosedAt.IsZero() && (between(l, as, bs) || between(l, bs, as)) {
			f(l)
			count++
		}
	}
	r.notifyChange()
	return count
}

// longestKeptSilent returns the silent link that the side that opened it kept open for the longest time,
// nil if there was none. It returns an error while any silent link is still open at that side. Only links
// to the port count, to any port if it is 0.
func (r *relay) longestKeptSilent(port int) (longest *link, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.silenced {
		if port != 0 && l.port != port {
			continue
		}
		if l.openerClosedAt.IsZero() {
			return nil, fmt.Errorf("%s is still open %s after it became silent", l, time.Since(l.silentAt))
		}
		if longest == nil || l.keptFor() > longest.keptFor() {
			longest = l
		}
	}
	return longest, nil
}

// keptFor returns how long the side that opened a silent link kept it open. It is valid once
// openerClosedAt is set.
func (l *link) keptFor() time.Duration { return l.openerClosedAt.Sub(l.silentAt) }

// String describes the link for error messages.
func (l *link) String() string {
	return fmt.Sprintf("a connection of %s to port %d of %s", l.from, l.port, l.to)
}

func between(l *link, froms, tos []string) bool {
	return slices.Contains(froms, l.from) && slices.Contains(tos, l.to)
}

// notifyChange wakes all goroutines that wait for a change. The caller holds mu.
func (r *relay) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// close closes the relay and waits for its goroutines.
func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	for _, c := range r.closers {
		_ = c.Close()
	}
	for l := range r.links {
		l.close()
	}
	r.notifyChange()
	r.mu.Unlock()
	r.running.Wait()
}
