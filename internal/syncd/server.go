package syncd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/urfave/negroni/v3"

	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/rpc"
	"github.com/burdockplank/burdockplank/internal/spread"
)

const (
	// maxPeerMessageBytes bounds a message from a peer. A full exchange among 2,000 VMs is far
	// smaller.
	maxPeerMessageBytes = 8 << 20
	// minCompressBytes is the size from which answers to peers are compressed.
	minCompressBytes = 1 << 10
	// shutdownTimeout bounds the wait for open calls at shutdown.
	shutdownTimeout = time.Second
)

// Server serves peers and the processes of the VM on the sync's port.
type Server struct {
	m     *Manager
	bytes *spread.Bytes
}

// NewServer returns a server of m that counts the traffic with other VMs in bytes.
func NewServer(m *Manager, bytes *spread.Bytes) *Server { return &Server{m: m, bytes: bytes} }

// Handler returns the handler of both services. The feed is restricted to processes of this VM. Its
// streams end when stopping is closed.
func (s *Server) Handler(stopping <-chan struct{}) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(burdockv1connect.NewPeerServiceHandler(s.m.spread,
		connect.WithReadMaxBytes(maxPeerMessageBytes), connect.WithCompressMinBytes(minCompressBytes)))
	path, feed := burdockv1connect.NewFeedServiceHandler(&feedServer{m: s.m, stopping: stopping})
	mux.Handle(path, s.ownVMOnly(feed))
	n := negroni.New(negroni.NewRecovery())
	n.UseHandler(mux)
	return n
}

// ownVMOnly rejects requests from other VMs, because the reports of a process are taken as this
// VM's own observations.
func (s *Server) ownVMOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.fromOwnVM(r.RemoteAddr) {
			http.Error(w, "the feed is for processes of this VM", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) fromOwnVM(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	return err == nil && net.ParseIP(host).Equal(net.ParseIP(s.m.cfg.Settings.VM.Bind))
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.m.cfg.Settings.Listen())
	if err != nil {
		return eris.Wrap(err, "sync.server: listen")
	}
	stopping := make(chan struct{})
	server := rpc.NewServer(s.Handler(stopping))
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(countingListener{listener, s}) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "sync.server: serve")
	case <-ctx.Done():
	}
	close(stopping)
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(limit); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrap(err, "sync.server: shut down")
	}
	return server.Close()
}

// countingListener counts the bytes of connections from other VMs.
type countingListener struct {
	net.Listener
	s *Server
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.s.fromOwnVM(conn.RemoteAddr().String()) {
		return conn, err
	}
	return l.s.bytes.Count(conn), nil
}
