package callerconn

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/membudget"
)

// Errors of ReadBody. The request has not run.
var (
	// ErrBodyTooLong: the body is longer than allowed.
	ErrBodyTooLong = errors.New("callerconn: the body is too long")
	// ErrNoMemory: what callers may make the process hold is used up.
	ErrNoMemory = errors.New("callerconn: no memory for the request")
)

const (
	// firstBodyBytes is the size of the buffer of a body at first.
	firstBodyBytes = 2 << 10
	// unreadBodyTimeout bounds how long the rest of a body that nobody wants is read, so that the caller sees the answer before
	// the connection is reset.
	unreadBodyTimeout = 500 * time.Millisecond
)

// ReadBody reads the body of a request, of maxBytes at most unless maxBytes is 0, until the deadline. After an error the connection is
// closed with the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int, deadline time.Time) ([]byte, error) {
	c := connOf(r.Context())
	if r.Body == nil || r.Body == http.NoBody {
		return nil, c.keep()
	}
	control := http.NewResponseController(w)
	body, err := readWithin(control, r, c, maxBytes, deadline)
	if err == nil {
		err = c.keep()
	}
	if err != nil {
		return nil, errors.Join(err, DiscardBody(w))
	}
	return body, eris.Wrap(control.SetReadDeadline(time.Time{}), "callerconn: read deadline")
}

// DiscardBody closes the connection of a request with its answer. What is left of its body is not waited for.
func DiscardBody(w http.ResponseWriter) error {
	w.Header().Set("Connection", "close")
	return eris.Wrap(http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)), "callerconn: read deadline")
}

func readWithin(control *http.ResponseController, r *http.Request, c *conn, maxBytes int, deadline time.Time) ([]byte, error) {
	if maxBytes > 0 && r.ContentLength > int64(maxBytes) {
		return nil, ErrBodyTooLong
	}
	if err := control.SetReadDeadline(deadline); err != nil {
		return nil, eris.Wrap(err, "callerconn: read deadline")
	}
	size := firstBodyBytes
	if r.ContentLength >= 0 {
		size = min(size, int(r.ContentLength)+1)
	}
	body := make([]byte, 0, size)
	for {
		if c.outOfMemory() {
			return nil, ErrNoMemory
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case maxBytes > 0 && len(body) > maxBytes:
			return nil, ErrBodyTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil && c.outOfMemory():
			return nil, ErrNoMemory
		case err != nil:
			return nil, eris.Wrap(err, "callerconn: read the body")
		case len(body) == cap(body):
			body = append(make([]byte, 0, membudget.GrownSize(int64(cap(body)), r.ContentLength)), body...)
		}
	}
}

// outOfMemory reports whether the request must be given up. c may be nil.
func (c *conn) outOfMemory() bool { return c != nil && c.noMemory.Load() }

// keep lets the request, which has been read, hold its memory until it is answered. c may be nil.
func (c *conn) keep() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	h := c.holder
	c.mu.Unlock()
	if c.noMemory.Load() || h != nil && !h.Work() {
		return ErrNoMemory
	}
	return nil
}
