package listener

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/rpc"
)

// Server serves HTTP/1.1 and HTTP/2 without TLS on a Listener. GoAway ends all open connections
// gracefully without refusing new ones. A single http.Server can't do that, so Server uses a sequence of
// them and passes each new connection to the newest. It is safe for concurrent use.
type Server struct {
	listener *Listener
	handler  http.Handler

	mu sync.Mutex
	// current takes new connections. draining holds the older generations until their connections have
	// ended. Both are guarded by mu.
	current  *generation
	draining map[*generation]struct{}
}

// generation is one http.Server of the sequence and the listener that it accepts from.
type generation struct {
	http  *http.Server
	conns *connQueue
}

// NewServer returns a server that serves h on l once Run is called.
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

// Run accepts connections until ctx ends, then closes the listener and all connections and returns nil.
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

// dispatch passes the connection to the current generation. It retries if that one closes meanwhile.
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

// Drain does what GoAway does and waits until the calls in flight have finished or ctx ends. It returns
// the error of ctx if that ends first.
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

// connQueue is the net.Listener of one generation. Accept returns the connections passed to offer.
type connQueue struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newConnQueue(addr net.Addr) *connQueue {
	return &connQueue{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// offer waits until Accept takes the connection and returns true, or returns false if q is closed.
func (q *connQueue) offer(nc net.Conn) bool {
	select {
	case q.conns <- nc:
		return true
	case <-q.closed:
		return false
	}
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case nc := <-q.conns:
		return nc, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.addr }
