// Package leafcall defines the messages of a call to a leaf as plain types, independent of any wire format.
package leafcall

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/burdockplank/burdockplank/internal/replica"
)

// Request is one call to a leaf.
type Request struct {
	// ID of the caller's attempt, passed on unchanged; empty for a health check.
	ID string
	// Method, Target (path and query, unchanged) and Host of the caller's request.
	Method, Target, Host string
	// Header holds the caller's other headers, without hop-by-hop headers.
	Header http.Header
	Body   []byte
	// Remaining is how long the caller will still wait.
	Remaining time.Duration
	// Leaf is the incarnation that must run the request. Any other incarnation refuses it.
	Leaf string
}

// Response is the complete answer of a leaf.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the leaf's proof that it produced the answer; empty if there is none.
	Signature string
	// NotRun is set if the leaf states that it did not run the request.
	NotRun bool
	// PromisesNotRun is set if the status promises a caller that the request has not run, whether the leaf states it or not.
	PromisesNotRun bool
	// WrongIncarnation is set if another incarnation of the leaf has the address.
	WrongIncarnation bool
	// EndsWithConnection is set if only the end of the connection showed the end of the answer.
	EndsWithConnection bool
	// Load is the load that the leaf reported; nil if it reported none.
	Load *replica.Load
}

// Success reports whether the answer is a signed success.
func (r *Response) Success() bool {
	return r.succeeded() && r.Signature != "" && !r.NotRun && !r.WrongIncarnation
}

// succeeded reports whether the status is that of a success.
func (r *Response) succeeded() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// Invalid reports whether no leaf gives such an answer, so that its bytes were spoiled on the way: it is a success without a
// signature, or its status promises that the request has not run and the leaf does not state it.
func (r *Response) Invalid() bool {
	if r.NotRun || r.WrongIncarnation {
		return false
	}
	return r.PromisesNotRun || r.Signature == "" && r.succeeded()
}

// ShowsRun reports whether the answer shows that the leaf has run the request and outlived it. A leaf that fails part of
// its requests answers with an error before it runs them, and the end of a connection may be that of the leaf.
func (r *Response) ShowsRun() bool {
	return r.Signature != "" && r.Status < http.StatusInternalServerError && !r.NotRun && !r.WrongIncarnation && !r.EndsWithConnection && !r.PromisesNotRun
}

// Conn is a connection to a leaf. It carries one call at a time.
type Conn interface {
	// Do sends the request and reads its answer. Any error is an *Error. The connection must not be used again
	// after an error, or if reusable is false.
	Do(ctx context.Context, r *Request) (resp *Response, reusable bool, err error)
	// Alive reports whether the connection is still open and has no unread data.
	Alive() bool
	Close()
}

// Dialer opens connections to leaves.
type Dialer interface {
	Dial(ctx context.Context, address string) (Conn, error)
}

// Reachability is the result of an attempt to connect to a leaf.
type Reachability string

// The results.
const (
	// Reached: the address took the connection.
	Reached Reachability = "reached"
	// Refused: the address refused the connection.
	Refused Reachability = "refused"
	// NoResponse: there was no response in time.
	NoResponse Reachability = "no_response"
	// Answered: the leaf answered.
	Answered Reachability = "answered"
	// TakenOver: another incarnation of a leaf answered at the address.
	TakenOver Reachability = "taken_over"
	// NotTried: no further connection to the leaf is allowed now, one ended at once, or the leaf is not known.
	NotTried Reachability = "not_tried"
)

// Cause is the reason why a call has no answer.
type Cause string

// The causes of calls without an answer.
const (
	// NoConnection: no byte was sent, so the request has not run.
	NoConnection Cause = "no connection"
	// ConnectionFull: all connections that this VM may have to the leaf are in use; nothing was sent.
	ConnectionFull Cause = "connections in use"
	// ConnectionLost: the connection ended without an answer.
	ConnectionLost Cause = "connection lost"
	// InvalidAnswer: the leaf sent something that is not a valid answer.
	InvalidAnswer Cause = "answer spoiled"
	// TimedOut: the deadline passed.
	TimedOut Cause = "deadline passed"
	// Abandoned: the call was cancelled before its deadline.
	Abandoned Cause = "given up"
)

// Error describes a call without an answer.
type Error struct {
	Cause Cause
	// Step names the component, and Peer the leaf, at which the call failed.
	Step, Peer string
	// Sent is set if a byte of the request may have reached the leaf.
	Sent bool
	// Refused is set if the address refused the connection, as after a crash.
	Refused bool
	// Silent is set if the connection was lost because the leaf no longer acknowledged what was sent.
	Silent bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: leaf %s: %s: %v", e.Step, e.Peer, e.Cause, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
