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

// headerTimeout is the Connect protocol's header that gives a leaf, in milliseconds, how long it
// may work on a call.
const headerTimeout = "Connect-Timeout-Ms"

// errSealed ends the sending of a request that was abandoned before its message was read.
var errSealed = errors.New("request given up before it was sent")

// The states of a sealableBody.
const (
	bodyUnread int32 = iota
	bodyRead
	bodySealed
)

// sealableBody is the body of a request to a leaf. It records whether the HTTP/2 client has begun
// to read the message, and can forbid reading permanently. A leaf cannot start a call without its
// message, so a call whose body was sealed has not been seen by the leaf.
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

// seal forbids reading. It returns true if the message was not read so far, and so never will be.
func (g *sealableBody) seal() bool {
	return g.state.CompareAndSwap(bodyUnread, bodySealed) || g.state.Load() == bodySealed
}

// exchange is one call on one connection, from start to end. It belongs to the goroutine that makes
// the call.
type exchange struct {
	conn *conn
	body *sealableBody
	// order is true for an order, which stays in flight when its connection goes silent.
	order bool
	// deadline is the one sent to the leaf if it differs from the context's, zero otherwise.
	deadline time.Time
	// err is the error of the HTTP/2 client, nil if a response began.
	err error
}

type exchangeKey struct{}

// withExchange returns a context whose call uses the connection.
func withExchange(ctx context.Context, c *conn) (context.Context, *exchange) {
	x := &exchange{conn: c}
	return context.WithValue(ctx, exchangeKey{}, x), x
}

// notSent reports whether it is certain that the leaf has not seen the call. It forbids sending
// from then on.
func (x *exchange) notSent() bool { return x.body == nil || x.body.seal() }

// exchangeClient implements connect.HTTPClient over the connection in the context. No layer can
// send a request twice: there are no redirects and no GetBody, and the round trip of a single
// HTTP/2 connection does not retry.
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
