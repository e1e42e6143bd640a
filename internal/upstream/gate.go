package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// headerTimeout tells a leaf, in milliseconds, how long it may work on a call (the header of the
// Connect protocol).
const headerTimeout = "Connect-Timeout-Ms"

// errSealed ends the sending of a request that was given up before its message was read.
var errSealed = errors.New("request given up before it was sent")

// The states of a gate.
const (
	bodyUnread int32 = iota
	bodyRead
	bodySealed
)

// sealableBody is the body of a request to a leaf. It knows whether the HTTP/2 client has begun to read the
// message, and can forbid that once and for all: a call whose gate was sealed was surely not seen
// by the leaf, for a leaf can't start a call without its message.
type sealableBody struct {
	io.ReadCloser
	state atomic.Int32
}

// Read implements io.Reader.
func (g *sealableBody) Read(b []byte) (int, error) {
	if g.state.CompareAndSwap(bodyUnread, bodyRead) || g.state.Load() == bodyRead {
		return g.ReadCloser.Read(b)
	}
	return 0, errSealed
}

// seal returns true where the message was not read so far, and never will be.
func (g *sealableBody) seal() bool {
	return g.state.CompareAndSwap(bodyUnread, bodySealed) || g.state.Load() == bodySealed
}

// exchange is one call on one connection, from its start to its end. It belongs to the goroutine
// that makes the call.
type exchange struct {
	conn *conn
	body *sealableBody
	// order is true for an order, which outlives the silence of its connection.
	order bool
	// deadline is what the leaf is told where it isn't the context's; zero where it is.
	deadline time.Time
	// err is how the HTTP/2 client failed, nil where an answer began.
	err error
}

type exchangeKey struct{}

// withExchange returns a context whose call goes over the connection.
func withExchange(ctx context.Context, c *conn) (context.Context, *exchange) {
	x := &exchange{conn: c}
	return context.WithValue(ctx, exchangeKey{}, x), x
}

// notSent tells whether the leaf has surely not seen the call. It forbids sending from then on.
func (x *exchange) notSent() bool { return x.body == nil || x.body.seal() }

// exchangeClient implements connect.HTTPClient over the connection that the context names. There is
// no layer that could send a request twice: no redirects, no GetBody, and the round trip of a
// single HTTP/2 connection doesn't retry.
type exchangeClient struct{}

// Do implements connect.HTTPClient.
func (exchangeClient) Do(req *http.Request) (*http.Response, error) {
	x, ok := req.Context().Value(exchangeKey{}).(*exchange)
	if !ok || x.body != nil {
		return nil, errors.New("upstream: a call needs a connection of its own")
	}
	x.body = &sealableBody{ReadCloser: req.Body}
	req.Body, req.GetBody = x.body, nil
	if !x.order {
		cancelWhenSilent(req, x.conn)
	}
	if !x.deadline.IsZero() {
		remainingMs := max(1, time.Until(x.deadline).Milliseconds())
		req.Header.Set(headerTimeout, strconv.FormatInt(remainingMs, 10))
	}
	res, err := x.conn.h2.RoundTrip(req)
	x.err = err
	return res, err
}
