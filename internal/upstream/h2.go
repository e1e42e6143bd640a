package upstream

//lint:file-ignore SA1019 The HTTP/2 connections of net/http offer no PING of their own before Go
// 1.27, and only a PING tells a silent connection from a slow call. x/net offers one.

import (
	"context"
	"errors"
	"net"
	"net/http"

	"golang.org/x/net/http2"
)

// maxHeaderBytes bounds the headers of a leaf's response.
const maxHeaderBytes = 64 << 10

// errGoAwayText is the error of a call that the peer's GOAWAY excludes: its stream is above the
// last one that the peer will process (RFC 9113, section 6.8). x/net does not export it. If the
// text changes, such calls count as possibly started, which is safe.
const errGoAwayText = "http2: Transport received Server's graceful shutdown GOAWAY"

// h2Conn is one HTTP/2 connection. Its round trip never sends a request twice.
type h2Conn interface {
	RoundTrip(*http.Request) (*http.Response, error)
	// CanTakeNewRequest is false at the peer's stream limit and once the connection is closing.
	CanTakeNewRequest() bool
	Ping(context.Context) error
	Close() error
}

// h2Transport opens HTTP/2 connections without TLS.
type h2Transport struct{ t *http2.Transport }

func newH2Transport() h2Transport {
	return h2Transport{t: &http2.Transport{
		AllowHTTP:                  true,
		DisableCompression:         true,
		MaxHeaderListSize:          maxHeaderBytes,
		StrictMaxConcurrentStreams: true,
	}}
}

func (h h2Transport) open(c net.Conn) (h2Conn, error) { return h.t.NewClientConn(c) }

// cancelWhenSilent cancels the request when its connection is found silent, even if the connection
// stays open for orders. It uses the deprecated Cancel field, which the HTTP/2 client watches while
// the stream is open, because a separate context for each search would cost more.
func cancelWhenSilent(req *http.Request, c *conn) { req.Cancel = c.silent }

// refusedStream reports whether the protocol guarantees that the peer did not process the call: the
// peer reset the stream with REFUSED_STREAM (RFC 9113, section 8.7).
func refusedStream(err error) bool {
	var se http2.StreamError
	return errors.As(err, &se) && se.Code == http2.ErrCodeRefusedStream
}

// excludedByGoAway reports whether the protocol guarantees that the peer did not process the call:
// its stream is above the last one that the peer's GOAWAY names.
func excludedByGoAway(err error) bool {
	return err != nil && err.Error() == errGoAwayText
}
