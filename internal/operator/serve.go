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
	// readHeaderTimeout bounds the time to read the header of a request, shutdownTimeout the time for
	// open requests to finish at the end.
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = time.Second
)

// Serve serves h at address (IP:PORT) until ctx is cancelled. It waits shutdownTimeout for open requests.
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
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(limit); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrap(err, "operator: shut down")
	}
	return server.Close()
}
