// Package control provides the shared code of the stand-ins' control listeners: strict parsing of JSON
// bodies, JSON answers and a server that ends with its context.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxBodyBytes is the longest body of a control request.
	MaxBodyBytes = 1 << 20
	// readHeaderTimeout bounds the time to receive a request's header.
	readHeaderTimeout = 5 * time.Second
)

// ReadJSON decodes the body of r into v. If the body has unknown fields, more than one JSON value or
// more than MaxBodyBytes, or is malformed, it answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil && dec.More() {
		err = errors.New("more than one JSON value")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// ReadAll returns the body of r. If the body can't be read or is longer than MaxBodyBytes, it answers
// 413 and returns false.
func ReadAll(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return body, true
}

// WriteJSON answers 200 with v as indented JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// Serve serves h on l until ctx ends, then closes all connections.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "standin.control: serve")
	}
	return nil
}
