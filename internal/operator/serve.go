package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// readHeaderTimeout bounds half a request, shutdownLimit the end of open ones.
	readHeaderTimeout = 5 * time.Second
	shutdownLimit     = time.Second
)

// Serve serves h at address (IP:PORT) until ctx ends.
func Serve(ctx context.Context, address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "operator: listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "operator: serve")
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	if err := server.Shutdown(limit); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrap(err, "operator: shut down")
	}
	return server.Close()
}
