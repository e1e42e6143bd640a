package relay

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/burdockplank/burdockplank/internal/settings"
)

const (
	clientIP = "127.0.93.1"
	otherIP  = "127.0.93.2"
	relayIP  = "127.0.93.3"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEcho serves TCP and UDP on one port. It greets a client with the client's IP address and then echoes
// its data. The counter holds the number of accepted TCP connections.
func startEcho(t *testing.T) (string, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close(); _ = u.Close() })
	accepted := &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				_, _ = io.WriteString(c, hostOf(c.RemoteAddr())+"\n")
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	go func() {
		buf := make([]byte, maxPacketBytes)
		for {
			n, from, err := u.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = u.WriteTo(append([]byte(hostOf(from)+" "), buf[:n]...), from)
		}
	}()
	return l.Addr().String(), accepted
}

// startRelay runs a relay of TCP and UDP to an echo server and returns its counter of accepted connections.
func startRelay(t *testing.T) (*Relay, *atomic.Int32) {
	t.Helper()
	target, accepted := startEcho(t)
	r, err := New(Settings{Control: "127.0.0.1:0", Forwards: []Forward{
		{Listen: relayIP + ":0", Target: target, Networks: []Network{TCP, UDP}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return r, accepted
}

func dialRelay(r *Relay, from string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	return d.Dial("tcp", r.tcp[0].listener.Addr().String())
}

// dialGreeted opens a connection through the relay and reads the target's greeting.
func dialGreeted(is *is.I, r *Relay, from string) net.Conn {
	c, err := dialRelay(r, from)
	is.NoErr(err)
	expect(is, c, from+"\n")
	return c
}

// expect reads len(want) bytes and requires them to equal want.
func expect(is *is.I, c net.Conn, want string) {
	buf := make([]byte, len(want))
	_, err := io.ReadFull(c, buf)
	is.NoErr(err)
	is.Equal(string(buf), want)
}

// exchange sends text and expects it to be echoed.
func exchange(is *is.I, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	is.NoErr(err)
	expect(is, c, text)
}

// isCutOff reports whether a new connection fails before its first byte.
func isCutOff(r *Relay, from string) bool {
	c, err := dialRelay(r, from)
	if err != nil {
		return true
	}
	n, err := c.Read(make([]byte, 1))
	return n == 0 && err != nil
}

// countPermanentlySilent returns how many links are permanently silent.
func countPermanentlySilent(r *Relay) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for k := range r.links {
		k.mu.Lock()
		if k.permanentlySilent {
			n++
		}
		k.mu.Unlock()
	}
	return n
}

// awaitPermanentlySilent waits until n links have dropped data.
func awaitPermanentlySilent(r *Relay, n int) {
	for countPermanentlySilent(r) != n {
		time.Sleep(time.Millisecond)
	}
}

// remainingAfterCut cuts all links and returns the bytes that c still receives.
func remainingAfterCut(r *Relay, c net.Conn) string {
	r.SetRules([]Rule{{From: Any, To: Any, Mode: ModeCut}})
	data, _ := io.ReadAll(c)
	return string(data)
}

func TestForwardKeepsClientAddress(t *testing.T) {
	is := is.New(t)
	r, _ := startRelay(t)
	c := dialGreeted(is, r, clientIP)
	exchange(is, c, "hello")
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	data, err := io.ReadAll(c) // an orderly close is forwarded as one
	is.NoErr(err)
	is.Equal(len(data), 0)
	u, err := net.DialUDP("udp", &net.UDPAddr{IP: net.ParseIP(clientIP)}, r.udp[0].conn.LocalAddr().(*net.UDPAddr))
	is.NoErr(err)
	defer func() { _ = u.Close() }()
	for range 2 {
		_, err = u.Write([]byte("hello"))
		is.NoErr(err)
		expect(is, u, clientIP+" hello")
	}
}

func TestCutResetsOneSourceOnly(t *testing.T) {
	is := is.New(t)
	r, accepted := startRelay(t)
	cut, kept := dialGreeted(is, r, clientIP), dialGreeted(is, r, otherIP)
	r.SetRules([]Rule{{From: clientIP, To: relayIP, Mode: ModeCut}})
	_, err := io.ReadAll(cut)
	is.True(err != nil) // a reset, no orderly close
	is.True(isCutOff(r, clientIP))
	exchange(is, kept, "hello")
	r.SetRules(nil)
	dialGreeted(is, r, clientIP)
	is.Equal(accepted.Load(), int32(3)) // the connection that was cut never reached the target
}

func TestSilenceDropsBytesAndKeepsConnectionsOpen(t *testing.T) {
	is := is.New(t)
	r, accepted := startRelay(t)
	used, idle := dialGreeted(is, r, clientIP), dialGreeted(is, r, clientIP)
	r.SetRules([]Rule{{From: clientIP, To: relayIP, Mode: ModeSilence}})
	_, err := io.WriteString(used, "swallowed")
	is.NoErr(err)
	fresh, err := dialRelay(r, clientIP)
	is.NoErr(err)
	awaitPermanentlySilent(r, 2)
	r.SetRules(nil)
	exchange(is, idle, "hello") // it lost no data
	_, err = io.WriteString(used, "swallowed too")
	is.NoErr(err)
	dialGreeted(is, r, clientIP)
	is.Equal(accepted.Load(), int32(3)) // the connection opened under silence never reached the target
	is.Equal(countPermanentlySilent(r), 2)
	is.Equal(remainingAfterCut(r, used)+remainingAfterCut(r, fresh), "")
}

func TestSilenceEstablishedPassesNewConnections(t *testing.T) {
	is := is.New(t)
	r, _ := startRelay(t)
	old := dialGreeted(is, r, clientIP)
	rule := Rule{From: clientIP, To: Any, Mode: ModeSilenceEstablished}
	r.SetRules([]Rule{rule})
	is.Equal(countPermanentlySilent(r), 1)
	fresh := dialGreeted(is, r, clientIP)
	r.SetRules([]Rule{rule, {From: otherIP, To: Any, Mode: ModeCut}})
	exchange(is, fresh, "hello") // the rule was set before it was opened
	r.SetRules(nil)
	_, err := io.WriteString(old, "swallowed")
	is.NoErr(err)
	is.Equal(countPermanentlySilent(r), 1)
	is.Equal(remainingAfterCut(r, old), "")
}

func TestTCPDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := &link{opened: time.Now()}
		k.apply(effect{delay: time.Millisecond}, false)
		is.Equal(time.Until(k.deliverAt()), 3*time.Millisecond) // opening a connection takes a round trip
		time.Sleep(10 * time.Millisecond)
		is.Equal(time.Until(k.deliverAt()), time.Millisecond)
		k.apply(effect{}, false)
		is.Equal(time.Until(k.deliverAt()), time.Duration(0))
	})
}

func TestUDPRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &Relay{}
		f := &udpForward{relay: r, to: relayIP}
		got := make(chan string, 10)
		pass := func() {
			packet := []byte("x")
			f.forward(&net.UDPAddr{IP: net.ParseIP(clientIP)}, packet, func(p []byte) { got <- string(p) })
			packet[0] = 'y' // the caller reuses the buffer
		}
		for _, m := range []Mode{ModeCut, ModeSilence} {
			r.SetRules([]Rule{{From: clientIP, To: relayIP, Mode: m}})
			pass()
		}
		is.Equal(len(got), 0)
		r.SetRules([]Rule{{From: Any, To: Any, Mode: ModeSilenceEstablished, Delay: settings.Duration(time.Millisecond)}})
		pass()
		time.Sleep(999 * time.Microsecond)
		synctest.Wait()
		is.Equal(len(got), 0)
		time.Sleep(time.Microsecond)
		synctest.Wait()
		is.Equal(len(got), 1)
		is.Equal(<-got, "x")
	})
}
