package node_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// callerConn is a connection of a caller to a VM.
type callerConn struct {
	net.Conn
	r *bufio.Reader
}

func (v *vm) connect(t *testing.T) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp", v.settings.CallersAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{conn, bufio.NewReader(conn)}
}

// search sends a search and returns its answer.
func (c *callerConn) search(id string) (*http.Response, error) {
	if _, err := fmt.Fprintf(c, "GET /s/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRemaining-Milliseconds: 3000\r\n\r\n", id); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// mustServe sends a search, which must be served.
func (c *callerConn) mustServe(t *testing.T, id string) *http.Response {
	t.Helper()
	resp, err := c.search(id)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("search %s: %+v, error %v", id, resp, err)
	}
	return resp
}

// Callers' idle connections were kept for 75 s, also where the configuration limits them to less. The VM that was left of a
// zone ran out of descriptors, and could neither take a connection nor open one to a leaf.
func TestIdleCallersAreClosedAtTheConfiguredTimeout(t *testing.T) {
	is := is.New(t)
	const idleTimeout = 2 * time.Second
	c := newCluster(t)
	c.idleTimeout = idleTimeout
	c.configure("x")
	v := c.start(true)
	within(t, 3*time.Second, "ready", v.ready)
	var conns []*callerConn
	for i := range 20 {
		conns = append(conns, v.connect(t))
		conns[i].mustServe(t, fmt.Sprintf("a%d", i))
	}
	time.Sleep(idleTimeout * 4 / 5) // callers may use a connection again for as long
	conns[0].mustServe(t, "b")
	end := time.Now().Add(idleTimeout)
	for i, conn := range conns[1:] {
		is.NoErr(conn.SetReadDeadline(end))
		if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("connection %d is still open %v after its last answer: %v", i+1, 2*idleTimeout, err)
		}
	}
}

// The descriptors of the VMs in these tests: half of them are for sockets.
const (
	fewDescriptors = 400
	fewSockets     = 200
)

// startWithFewDescriptors runs a VM whose descriptors are few.
func (c *cluster) startWithFewDescriptors() *vm {
	v := c.prepare(true)
	v.settings.FileDescriptors = fewDescriptors
	c.run(v)
	within(c.t, 3*time.Second, "ready", v.ready)
	return v
}

// openCallers returns the number of callers' connections that the VM counts.
func (v *vm) openCallers() int {
	n, err := strconv.Atoi(v.metric("burdock_caller_connections"))
	if err != nil {
		return math.MaxInt
	}
	return n
}

// Callers that leave more connections idle than a VM has descriptors for, within the idle timeout of the configuration, are all
// answered, and those whose connection was kept may use it again.
func TestIdleCallersLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	v := c.startWithFewDescriptors()
	var kept []*callerConn
	for i := range 2 * fewSockets {
		conn := v.connect(t)
		if resp := conn.mustServe(t, fmt.Sprintf("a%d", i)); !resp.Close {
			kept = append(kept, conn)
		}
	}
	is.True(v.openCallers() < fewSockets)
	is.True(len(kept) > 0)
	for i, conn := range kept {
		conn.mustServe(t, fmt.Sprintf("b%d", i))
	}
}

// Callers that open more connections at once than a VM has descriptors for, and send nothing, are closed or refused. The VM stays
// ready, serves those that it has room for, and calls its leaves.
func TestManyNewCallersLeaveTheVMReady(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	v := c.startWithFewDescriptors()
	first := v.connect(t)
	first.mustServe(t, "a")
	var silent []*callerConn
	for range 2 * fewSockets {
		silent = append(silent, v.connect(t))
	}
	is.True(v.ready())
	is.True(v.openCallers() < fewSockets)
	first.mustServe(t, "b")
	served, refused, closed := 0, 0, 0
	for i, conn := range silent {
		resp, err := conn.search(fmt.Sprintf("c%d", i))
		switch {
		case err != nil:
			closed++
		case resp.StatusCode == http.StatusOK:
			served++
		default:
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")
			refused++
		}
	}
	t.Logf("%d served, %d refused, %d closed", served, refused, closed)
	is.True(served > 0 && refused > 0 && closed > 0)
	v.connect(t).mustServe(t, "d") // there is room again
}

// A caller above the limit whose body stops short of its end kept its connection, which nothing ended.
func TestCallersAboveTheLimitDoNotStay(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	v := c.startWithFewDescriptors()
	var conns []*callerConn
	for range 2 * fewSockets {
		conn := v.connect(t)
		_, err := io.WriteString(conn, "POST /s/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 100\r\n\r\nbody")
		if err == nil {
			conns = append(conns, conn)
		}
	}
	end := time.Now().Add(10 * time.Second) // twice as long as a body may take
	for _, conn := range conns {
		is.NoErr(conn.SetReadDeadline(end))
		if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a connection is still open")
		}
	}
}
