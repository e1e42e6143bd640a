// Package listener provides the network side of the stand-ins. Listener is a TCP listener that counts
// its connections, refuses those beyond a limit or from cut sources, and can close and reopen on the
// same address. Server serves HTTP on it and can send GOAWAY on open connections.
package listener

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Options are the options of a Listener. They do not change during its life.
type Options struct {
	// Limit is the number of connections that may be open at once, whatever their use; 0 is no limit.
	Limit int
	// Delay is the time from accepting a connection to its first read. It simulates a slow handshake.
	Delay time.Duration
}

// Stats counts connections. Max and Refused are since the last ResetStats.
type Stats struct {
	Now     int
	Max     int
	Refused uint64
}

// Listener is a net.Listener for TCP that can inject faults. It is safe for concurrent use.
type Listener struct {
	addr net.Addr
	opts Options

	mu sync.Mutex
	// The fields below are guarded by mu. inner is nil while the listener is down. change is closed and
	// replaced when the listener reopens or is closed.
	inner      net.Listener
	change     chan struct{}
	closed     bool
	cutSources map[string]bool
	open       map[*conn]struct{}
	stats      Stats
}

// Listen opens a listener on addr, IP:PORT.
func Listen(addr string, opts Options) (*Listener, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "standin.listener: listen on %s", addr)
	}
	return &Listener{
		addr: inner.Addr(), opts: opts, inner: inner,
		change: make(chan struct{}), open: make(map[*conn]struct{}),
	}, nil
}

// Addr returns the address, which stays the same while the listener is down.
func (l *Listener) Addr() net.Addr { return l.addr }

// Accept returns the next connection that is not refused. It waits while the listener is down and returns
// net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.awaitUp()
		if err != nil {
			return nil, err
		}
		nc, err := inner.Accept()
		if err != nil {
			if l.isCurrent(inner) {
				return nil, err
			}
			continue
		}
		if c := l.admit(nc); c != nil {
			return c, nil
		}
		reset(nc)
	}
}

// awaitUp waits while the listener is down and returns the listening socket, or net.ErrClosed after Close.
func (l *Listener) awaitUp() (net.Listener, error) {
	for {
		l.mu.Lock()
		inner, change, closed := l.inner, l.change, l.closed
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if inner != nil {
			return inner, nil
		}
		<-change
	}
}

func (l *Listener) isCurrent(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner == inner
}

// admit counts the connection and returns it wrapped, or returns nil if it must be refused.
func (l *Listener) admit(nc net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := l.opts.Limit > 0 && len(l.open) >= l.opts.Limit
	if l.inner == nil || full || l.cutSources[host(nc)] {
		l.stats.Refused++
		return nil
	}
	c := &conn{Conn: nc, listener: l, readableAt: time.Now().Add(l.opts.Delay)}
	l.open[c] = struct{}{}
	l.stats.Max = max(l.stats.Max, len(l.open))
	return c
}

// SetDown closes the listening socket, so that new connections are refused, or reopens it on the same
// address. Open connections stay open.
func (l *Listener) SetDown(down bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || down == (l.inner == nil) {
		return nil
	}
	if down {
		err := l.inner.Close()
		l.inner = nil
		return err
	}
	inner, err := net.Listen("tcp", l.addr.String())
	if err != nil {
		return eris.Wrapf(err, "standin.listener: listen again on %s", l.addr)
	}
	l.inner = inner
	l.wake()
	return nil
}

// SetCut replaces the cut sources: it refuses new connections from these IP numbers and resets open ones.
func (l *Listener) SetCut(sources []string) {
	cut := make(map[string]bool, len(sources))
	for _, s := range sources {
		cut[s] = true
	}
	l.mu.Lock()
	l.cutSources = cut
	l.mu.Unlock()
	l.resetWhere(func(c *conn) bool { return cut[host(c)] })
}

// ResetConns resets all open connections.
func (l *Listener) ResetConns() { l.resetWhere(func(*conn) bool { return true }) }

func (l *Listener) resetWhere(matches func(*conn) bool) {
	l.mu.Lock()
	var found []*conn
	for c := range l.open {
		if matches(c) {
			found = append(found, c)
		}
	}
	l.mu.Unlock()
	for _, c := range found {
		c.reset()
	}
}

// Stats returns the counts.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Now = len(l.open)
	return s
}

// ResetStats resets the counts. Open connections still count.
func (l *Listener) ResetStats() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats = Stats{Max: len(l.open)}
}

// Close closes the listener and ends Accept. Open connections stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.wake()
	if l.inner == nil {
		return nil
	}
	err := l.inner.Close()
	l.inner = nil
	return err
}

// wake makes awaitUp check the state again. The caller holds l.mu.
func (l *Listener) wake() {
	close(l.change)
	l.change = make(chan struct{})
}

// remove removes the connection from the count.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}
