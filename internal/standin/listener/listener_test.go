package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http2"
)

// listen returns a listener and the channel that receives its accepted connections.
func listen(t *testing.T, o Options) (*Listener, <-chan net.Conn) {
	t.Helper()
	l, err := Listen("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close(); l.ResetConns() })
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	return l, accepted
}

func dial(l *Listener, from string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	return d.Dial("tcp", l.Addr().String())
}

// refused reports whether the listener closes the connection without sending a byte.
func refused(c net.Conn) bool {
	n, err := c.Read(make([]byte, 1))
	return n == 0 && err != nil
}

// refusedFrom reports whether a connection from the source is reset, during or after its opening.
func refusedFrom(is *is.I, l *Listener, from string) bool {
	c, err := dial(l, from)
	if err != nil {
		is.True(errors.Is(err, syscall.ECONNRESET))
		return true
	}
	return refused(c)
}

func TestLimitCountsAllConnectionsUntilClosed(t *testing.T) {
	is := is.New(t)
	l, accepted := listen(t, Options{Limit: 2})
	_, err := dial(l, "127.0.0.1")
	is.NoErr(err)
	first := <-accepted
	_, err = dial(l, "127.0.0.2")
	is.NoErr(err)
	<-accepted
	is.True(refusedFrom(is, l, "127.0.0.3")) // beyond the limit
	is.Equal(l.Stats(), Stats{Now: 2, Max: 2, Refused: 1})
	is.NoErr(first.Close())
	_, err = dial(l, "127.0.0.3")
	is.NoErr(err)
	<-accepted // the closed connection no longer counts
	is.Equal(l.Stats(), Stats{Now: 2, Max: 2, Refused: 1})
}

func TestListenerReopensOnSameAddressAfterDown(t *testing.T) {
	is := is.New(t)
	l, accepted := listen(t, Options{})
	before, err := dial(l, "127.0.0.1")
	is.NoErr(err)
	kept := <-accepted
	is.NoErr(l.SetDown(true))
	_, err = dial(l, "127.0.0.1")
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	_, err = kept.Write([]byte("x"))
	is.NoErr(err)
	is.True(!refused(before)) // open connections stay open
	is.NoErr(l.SetDown(false))
	_, err = dial(l, "127.0.0.1")
	is.NoErr(err)
	<-accepted
}

func TestCutRefusesOneSource(t *testing.T) {
	is := is.New(t)
	l, accepted := listen(t, Options{})
	old, err := dial(l, "127.0.0.3")
	is.NoErr(err)
	<-accepted
	l.SetCut([]string{"127.0.0.3"})
	is.True(refused(old)) // an open one is reset
	is.True(refusedFrom(is, l, "127.0.0.3"))
	_, err = dial(l, "127.0.0.2")
	is.NoErr(err)
	<-accepted // another source is served
	l.SetCut(nil)
	_, err = dial(l, "127.0.0.3")
	is.NoErr(err)
	<-accepted
}

// openHTTP2 opens an HTTP/2 connection and returns its framer once the server has answered.
func openHTTP2(is *is.I, l *Listener) *http2.Framer {
	c, err := dial(l, "127.0.0.1")
	is.NoErr(err)
	_, err = io.WriteString(c, http2.ClientPreface)
	is.NoErr(err)
	f := http2.NewFramer(c, c)
	is.NoErr(f.WriteSettings())
	_, err = f.ReadFrame()
	is.NoErr(err)
	return f
}

func TestGoAwayEndsIdleConnectionsAndServesNewOnes(t *testing.T) {
	is := is.New(t)
	l, err := Listen("127.0.0.1:0", Options{})
	is.NoErr(err)
	s := NewServer(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()
	f := openHTTP2(is, l)
	s.GoAway()
	for {
		frame, err := f.ReadFrame()
		is.NoErr(err) // the connection must not end before GOAWAY
		if _, ok := frame.(*http2.GoAwayFrame); ok {
			break
		}
	}
	openHTTP2(is, l)
	cancel()
	is.NoErr(<-done)
	is.Equal(l.Stats().Now, 0)
}

func TestConnectDelayPostponesFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		remote, local := net.Pipe()
		c := &conn{Conn: local, readableAt: time.Now().Add(6 * time.Millisecond)}
		go func() { _, _ = remote.Write([]byte("xy")) }()
		start := time.Now()
		for range 2 {
			_, err := c.Read(make([]byte, 1))
			is.NoErr(err)
			is.Equal(time.Since(start), 6*time.Millisecond) // later reads don't wait
		}
	})
}
