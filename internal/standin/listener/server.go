package listener

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/rpc"
)

// Server serves HTTP/1.1 and HTTP/2 without TLS on a Listener. Renew tells all open connections to
// go away without refusing new ones, which one http.Server can't do: it hands its connections to a
// chain of them.
type Server struct {
	listener *Listener
	handler  http.Handler

	mu sync.Mutex
	// current takes new connections; older holds those told to go away until they have ended. Both
	// are guarded by mu.
	current  *generation
	draining map[*generation]struct{}
}

// generation is one http.Server of the chain.
type generation struct {
	http  *http.Server
	conns *connQueue
}

// NewServer returns a server of h; Run serves.
func NewServer(l *Listener, h http.Handler) *Server {
	s := &Server{listener: l, handler: h, draining: make(map[*generation]struct{})}
	s.current = s.newGeneration()
	return s
}

func (s *Server) newGeneration() *generation {
	g := &generation{http: rpc.NewServer(s.handler), conns: newConnQueue(s.listener.Addr())}
	go func() { _ = g.http.Serve(g.conns) }()
	return g
}

// Run accepts connections until ctx ends, then closes the listener and all connections.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	defer s.closeAll()
	for {
		nc, err := s.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "standin.listener: accept")
		}
		s.dispatch(nc)
	}
}

// dispatch gives the connection to the newest generation that takes it.
func (s *Server) dispatch(nc net.Conn) {
	for {
		s.mu.Lock()
		g := s.current
		s.mu.Unlock()
		if g.conns.offer(nc) {
			return
		}
	}
}

// GoAway sends GOAWAY on open HTTP/2 connections and closes idle HTTP/1.1 ones; calls in flight
// finish. New connections are served as before. It returns at once.
func (s *Server) GoAway() {
	old := s.replaceCurrent()
	go func() {
		_ = old.http.Shutdown(context.Background())
		s.forget(old)
	}()
}

// Drain is Renew that waits until the calls in flight have finished or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	old := s.replaceCurrent()
	defer s.forget(old)
	return old.http.Shutdown(ctx)
}

func (s *Server) replaceCurrent() *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current
	s.draining[old] = struct{}{}
	s.current = s.newGeneration()
	return old
}

func (s *Server) forget(g *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.draining, g)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for g := range s.draining {
		_ = g.http.Close()
	}
	_ = s.current.http.Close()
	s.listener.ResetConns()
}

// connQueue is the net.Listener of one generation.
type connQueue struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newConnQueue(addr net.Addr) *connQueue {
	return &connQueue{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// offer hands the connection over, or returns false where the feed is closed.
func (f *connQueue) offer(nc net.Conn) bool {
	select {
	case f.conns <- nc:
		return true
	case <-f.closed:
		return false
	}
}

// Accept implements net.Listener.
func (f *connQueue) Accept() (net.Conn, error) {
	select {
	case nc := <-f.conns:
		return nc, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *connQueue) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Addr implements net.Listener.
func (f *connQueue) Addr() net.Addr { return f.addr }
