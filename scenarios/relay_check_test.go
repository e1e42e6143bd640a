package scenarios

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const echoPort = 9100

// relayedPair returns a relay in front of two nodes. The second node echoes TCP.
func relayedPair(t *testing.T) (r *relay, from, to *node) {
	t.Helper()
	is := is.New(t)
	b, err := newBlock()
	is.NoErr(err)
	l := layout{Relay: true}
	from, to = l.node(b, "vm-1", "az-1", 11), l.node(b, "vm-2", "az-2", 12)
	r = newRelay([]*node{from, to})
	is.NoErr(r.serveTCP(to, echoPort))
	is.NoErr(r.serveUDP(from, echoPort))
	is.NoErr(r.serveUDP(to, echoPort))
	ln, err := net.Listen("tcp", net.JoinHostPort(to.bind, strconv.Itoa(echoPort)))
	is.NoErr(err)
	t.Cleanup(func() {
		_ = ln.Close()
		r.close()
		_ = b.claim.Close()
	})
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return r, from, to
}

func dialRelayed(t *testing.T, from, to *node) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from.bind)}}
	c, err := d.Dial("tcp", net.JoinHostPort(to.address, strconv.Itoa(echoPort)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo writes text and returns the echo.
func echo(t *testing.T, c net.Conn, text string) string {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, len(text))
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatal(err)
	}
	return string(buf)
}

// TestRelaySilenceAndCut checks that a silent connection passes nothing more, not even its close, while
// a new one works, and that data written during a cut arrives after it.
func TestRelaySilenceAndCut(t *testing.T) {
	is := is.New(t)
	r, from, to := relayedPair(t)
	old := dialRelayed(t, from, to)
	is.Equal(echo(t, old, "one"), "one")
	is.Equal(r.silence([]string{"vm-2"}, []string{"vm-1"}), 1) // the order of the names does not matter

	fresh := dialRelayed(t, from, to)
	is.Equal(echo(t, fresh, "two"), "two")
	r.setCut([]string{"vm-1"}, []string{"vm-2"}, true)
	_, err := fresh.Write([]byte("three"))
	is.NoErr(err)
	_, err = old.Write([]byte("lost"))
	is.NoErr(err)
	is.True(!r.wouldPass(fresh))
	r.setCut([]string{"vm-1"}, []string{"vm-2"}, false)
	buf := make([]byte, len("three"))
	_, err = io.ReadFull(fresh, buf)
	is.NoErr(err)
	is.Equal(string(buf), "three")
	is.True(r.wouldPass(fresh))
	is.True(!r.wouldPass(old))

	// The relay records how long the side that opened a silent connection keeps it.
	_, err = r.longestKeptSilent(0)
	is.True(err != nil)
	is.NoErr(old.Close())
	is.NoErr(await("the close is seen", awaitTimeout, func() error {
		_, err := r.longestKeptSilent(0)
		return err
	}))
}

// TestRelaySever checks that a severed connection passes the given number of answer bytes and breaks.
func TestRelaySever(t *testing.T) {
	is := is.New(t)
	r, from, to := relayedPair(t)
	c := dialRelayed(t, from, to)
	is.Equal(echo(t, c, "one"), "one")
	is.Equal(r.sever([]string{"vm-1"}, []string{"vm-2"}, 5), 1)
	is.Equal(echo(t, c, "two"), "two")
	_, err := c.Write([]byte("three"))
	is.NoErr(err)
	got, err := io.ReadAll(c)
	is.True(err != nil) // reset, not closed
	is.True(strings.HasPrefix("th", string(got)))
}

// wouldPass reports whether the relay would pass data of the connection.
func (r *relay) wouldPass(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		if l.ends[0].RemoteAddr().String() == c.LocalAddr().String() {
			return l.silentAt.IsZero() && !r.cuts[[2]string{l.from, l.to}]
		}
	}
	return false
}

// TestRelayDatagrams checks that a datagram is forwarded from its sender's relayed address, and dropped
// during a cut.
func TestRelayDatagrams(t *testing.T) {
	is := is.New(t)
	r, from, to := relayedPair(t)
	open := func(n *node) *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(n.bind), Port: echoPort})
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	a, b := open(from), open(to)
	address := &net.UDPAddr{IP: net.ParseIP(to.address), Port: echoPort}
	send := func(text string) {
		_, err := a.WriteToUDP([]byte(text), address)
		is.NoErr(err)
	}
	// Datagrams of one sender stay in order here, so that the arrival of the one sent after the cut proves
	// that the one sent during it was lost. The relay must have read that one before the heal, which
	// therefore waits for the count of dropped datagrams.
	send("before")
	buf := make([]byte, 100)
	n, sender, err := b.ReadFromUDP(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "before")
	is.Equal(sender.IP.String(), from.address)
	r.setCut([]string{"vm-1"}, []string{"vm-2"}, true)
	send("in the cut")
	is.NoErr(await("the datagram is dropped", awaitTimeout, func() error {
		if r.dropped.Load() == 0 {
			return io.ErrNoProgress
		}
		return nil
	}))
	r.setCut([]string{"vm-1"}, []string{"vm-2"}, false)
	send("after")
	n, _, err = b.ReadFromUDP(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "after")
}
