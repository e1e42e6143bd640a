package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// requestOn sends a request on the connection and returns the status of its answer.
func requestOn(c net.Conn, id string) (int, error) {
	if _, err := fmt.Fprintf(c, "GET /s/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRemaining-Milliseconds: 3000\r\n\r\n", id); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
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
	var conns []net.Conn
	for i := range 20 {
		conn, err := net.Dial("tcp", v.settings.CallersAddress)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		status, err := requestOn(conn, fmt.Sprintf("a%d", i))
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		conns = append(conns, conn)
	}
	time.Sleep(idleTimeout * 4 / 5) // callers may use a connection again for as long
	status, err := requestOn(conns[0], "b")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	end := time.Now().Add(idleTimeout)
	for i, conn := range conns[1:] {
		is.NoErr(conn.SetReadDeadline(end))
		if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("connection %d is still open %v after its last answer: %v", i+1, 2*idleTimeout, err)
		}
	}
}

// Callers that leave more connections idle than a VM has descriptors for are answered, within the idle timeout, too.
func TestIdleCallersLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	const descriptors, callers, reservedDescriptors = 400, 400, 200
	c := newCluster(t)
	v := c.prepare(true)
	v.settings.FileDescriptors = descriptors
	c.run(v)
	within(t, 3*time.Second, "ready", v.ready)
	for i := range callers {
		conn, err := net.Dial("tcp", v.settings.CallersAddress)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		status, err := requestOn(conn, fmt.Sprintf("a%d", i))
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	within(t, time.Second, "the longest idle connections are closed", func() bool {
		open, err := strconv.Atoi(v.metric("burdock_caller_connections"))
		return err == nil && open < descriptors-reservedDescriptors
	})
}
