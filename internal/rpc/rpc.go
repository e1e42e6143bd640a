// Package rpc builds the HTTP clients and servers for the traffic between the system's own
// processes. They use HTTP/2 without TLS, bind to the process's own address, and detect silent
// connections with pings.
package rpc

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// pingAfter is how long a connection may be silent before it is pinged.
	pingAfter = 300 * time.Millisecond
	// pingTimeout is how long a ping may stay unanswered.
	pingTimeout = 500 * time.Millisecond
	// dialTimeout bounds opening a connection.
	dialTimeout = time.Second
	// readHeaderTimeout bounds reading a request's header.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request's header, some hundred bytes as a rule.
	maxHeaderBytes = 64 << 10
)

// Dialer returns a dialer that binds outgoing connections to the given IP address. If it is empty
// or not an IP address, the operating system chooses the address.
func Dialer(bind string) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	if ip := net.ParseIP(bind); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// NewClient returns a client for the traffic between processes.
func NewClient(bind string) *http.Client {
	d := Dialer(bind)
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols: &protocols,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return d.DialContext(ctx, network, addr)
		},
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

// NewServer returns a server that accepts HTTP/1.1 and HTTP/2 without TLS. The caller sets the
// handler's limits; a request whose header is incomplete is ended after readHeaderTimeout, and one whose header is longer than
// maxHeaderBytes is refused.
func NewServer(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: 5 * time.Second, PingTimeout: 5 * time.Second, MaxConcurrentStreams: 1000},
	}
}
