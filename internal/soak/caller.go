package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// callers is the number of concurrent callers. Each pauses for callerPause between its requests, which gives
	// some 300 requests per second in total.
	callers     = 10
	callerPause = 25 * time.Millisecond
	// callTimeout is the timeout that a caller sends with its request.
	callTimeout = 2 * time.Second
	// callsPerConnection is the number of requests after which a caller closes its connection and picks a VM again.
	callsPerConnection = 40
	// notSent prefixes the error of a request that the VM can't have read completely. gaveUp prefixes the error
	// of a request whose caller waited one second beyond callTimeout.
	notSent, gaveUp = "not sent: ", "gave up: "
)

// balancer picks the VM for a caller's next connection.
type balancer interface {
	// pick returns the number of a VM that counts as ready, the start number of its process and its address; ok
	// is false if no VM is ready.
	pick(rng *rand.Rand) (vm, start int, address string, ok bool)
}

// caller sends requests one after another over a persistent connection.
type caller struct {
	number   int
	balancer balancer
	rng      *rand.Rand
	// pause is the time between two requests, and retries how often a refused request is sent again without it.
	pause   time.Duration
	retries int

	conn      net.Conn
	reader    *bufio.Reader
	vm, start int
	used      int
}

// callRecorder collects calls. It is safe for concurrent use.
type callRecorder struct {
	mu    sync.Mutex
	calls []Call
}

func (r *callRecorder) add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

func (r *callRecorder) all() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context, out *callRecorder) {
	defer c.closeConn()
	for n, again := 0, 0; wait.For(ctx, c.pauseAfter(again)); n++ {
		if !c.connect() {
			continue
		}
		call := c.call(fmt.Sprintf("%02x%06x", c.number, n))
		out.add(call)
		again++
		if !call.refused() {
			again = 0
		}
	}
}

// pauseAfter returns the pause before the next request, after the given number of refusals in a row.
func (c *caller) pauseAfter(refusals int) time.Duration {
	if refusals > 0 && refusals <= c.retries {
		return retryPause
	}
	return c.pause
}

// connect reports whether the caller has a connection. It opens one to a newly picked VM if there is none or if
// the current one has carried callsPerConnection requests.
func (c *caller) connect() bool {
	if c.conn != nil && c.used < callsPerConnection {
		return true
	}
	c.closeConn()
	vm, start, address, ok := c.balancer.pick(c.rng)
	if !ok {
		return false
	}
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return false // nothing was sent; the balancer's probes will exclude the VM
	}
	c.conn, c.reader, c.vm, c.start, c.used = conn, bufio.NewReader(conn), vm, start, 0
	return true
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call sends one request and reads its answer. The connection stays open if the VM keeps it open.
func (c *caller) call(id string) Call {
	out := Call{ID: id, VM: c.vm, Start: c.start, Sent: time.Now()}
	c.used++
	keep := c.exchange(&out)
	out.Ended = time.Now()
	if !keep {
		c.closeConn()
	}
	return out
}

// exchange sends the request, fills in the call and reports whether the connection stays usable.
func (c *caller) exchange(out *Call) (keep bool) {
	var method, path, body string
	out.Kind, method, path = c.drawRequest()
	out.Target = path + out.ID
	if out.Kind == Order {
		body = "one of " + out.ID
	}
	return c.send(out, method, body)
}

// send sends the request of the call, fills in the answer and reports whether the connection stays usable.
func (c *caller) send(out *Call, method, body string) (keep bool) {
	_ = c.conn.SetDeadline(time.Now().Add(callTimeout + time.Second))
	request := hosted.Request{ID: out.ID, Method: method, Host: host, Target: out.Target, Body: body, Timeout: callTimeout}
	if err := request.Write(c.conn); err != nil {
		out.Err = notSent + err.Error()
		return false
	}
	a, err := hosted.ReadAnswer(c.reader)
	if err != nil {
		out.Err = readError(err)
		return false
	}
	out.setAnswer(a)
	return a.KeepAlive
}

// drawRequest draws the kind of the next request and returns its method and path prefix.
func (c *caller) drawRequest() (kind Kind, method, path string) {
	switch c.rng.IntN(10) {
	case 0, 1:
		return Order, http.MethodPost, "/o/"
	case 2, 3, 4, 5:
		return Single, http.MethodGet, "/v/"
	}
	return Search, http.MethodGet, "/s/"
}

// setAnswer copies the answer into the call. A success that carries another request's ID gets a stamp that no
// leaf signed, so that checkAnswers reports it.
func (c *Call) setAnswer(a *hosted.Answer) {
	c.Status, c.Body = a.Status, a.Body
	switch {
	case c.Kind == Search:
		c.Stamps, c.Missing = a.PartStamps, a.MissingParts
	case a.Status == http.StatusOK && a.ID != c.ID:
		c.Stamps = []string{"answer to " + a.ID}
	default:
		c.Stamps = a.Stamps
	}
}

// readError describes why no complete answer was read. A timeout gets the prefix gaveUp.
func readError(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return gaveUp + err.Error()
	}
	return err.Error()
}
