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
	// callers send at once, each with callerPause between its requests: some 300 requests a second.
	callers     = 10
	callerPause = 25 * time.Millisecond
	// callLimit is how long a caller waits, by its own word.
	callLimit = 2 * time.Second
	// keepCalls is for how many requests a caller keeps a connection before it takes another VM.
	keepCalls = 40
	// notSent begins the error of a request of which the VM can't have read all, gaveUp that of one whose
	// caller waited a second longer than it had said.
	notSent, gaveUp = "not sent: ", "gave up: "
)

// fleet says where callers may go.
type fleet interface {
	// pick returns a VM that counts as ready, its address and which start of its process; ok is false
	// where there is none.
	pick(rng *rand.Rand) (vm, start int, address string, ok bool)
}

// caller sends requests one after the other over connections that it keeps while they last.
type caller struct {
	name  int
	fleet fleet
	rng   *rand.Rand

	conn      net.Conn
	reader    *bufio.Reader
	vm, start int
	used      int
}

// recorder keeps calls. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	calls []Call
}

func (r *recorder) add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

func (r *recorder) all() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}

// run sends until ctx ends.
func (c *caller) run(ctx context.Context, out *recorder) {
	defer c.hangUp()
	for n := 0; wait.For(ctx, callerPause); n++ {
		if c.connect() {
			out.add(c.call(fmt.Sprintf("%02x%06x", c.name, n)))
		}
	}
}

// connect makes sure of a connection, and takes another VM now and then.
func (c *caller) connect() bool {
	if c.conn != nil && c.used < keepCalls {
		return true
	}
	c.hangUp()
	vm, start, address, ok := c.fleet.pick(c.rng)
	if !ok {
		return false
	}
	conn, err := net.DialTimeout("tcp", address, callLimit)
	if err != nil {
		return false // nothing was sent; the balancer will notice
	}
	c.conn, c.reader, c.vm, c.start, c.used = conn, bufio.NewReader(conn), vm, start, 0
	return true
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call sends one request and reads its answer. The connection is kept where the VM keeps it.
func (c *caller) call(id string) Call {
	out := Call{ID: id, VM: c.vm, Start: c.start, Sent: time.Now()}
	c.used++
	keep := c.exchange(&out)
	out.Ended = time.Now()
	if !keep {
		c.hangUp()
	}
	return out
}

// exchange fills in the call and tells whether the connection goes on.
func (c *caller) exchange(out *Call) (keep bool) {
	var method, path, body string
	out.Kind, method, path = c.choose()
	out.Target = path + out.ID
	if out.Kind == Order {
		body = "one of " + out.ID
	}
	_ = c.conn.SetDeadline(time.Now().Add(callLimit + time.Second))
	ask := hosted.Request{ID: out.ID, Method: method, Host: host, Target: out.Target, Body: body, Timeout: callLimit}
	if err := ask.Write(c.conn); err != nil {
		out.Err = notSent + err.Error()
		return false
	}
	a, err := hosted.ReadAnswer(c.reader)
	if err != nil {
		out.Err = readError(err)
		return false
	}
	out.take(a)
	return a.KeepAlive
}

// choose draws the kind of the next request.
func (c *caller) choose() (kind Kind, method, path string) {
	switch c.rng.IntN(10) {
	case 0, 1:
		return Order, http.MethodPost, "/o/"
	case 2, 3, 4, 5:
		return Single, http.MethodGet, "/v/"
	}
	return Search, http.MethodGet, "/s/"
}

// take notes an answer.
func (c *Call) take(a *hosted.Answer) {
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

// readError says why no whole answer was read.
func readError(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return gaveUp + err.Error()
	}
	return err.Error()
}
