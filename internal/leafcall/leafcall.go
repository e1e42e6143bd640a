// Package leafcall holds the messages of a call to a leaf as plain types, free of any wire format.
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
	// ID of the caller's attempt, passed on as it came.
	ID string
	// Method, Target (path and query as they came) and Host of the caller's request.
	Method, Target, Host string
	// Header holds the caller's further headers, without those of one connection.
	Header http.Header
	Body   []byte
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Leaf is the incarnation that has to run the request; another one refuses.
	Leaf string
}

// Response is the whole answer of a leaf.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the leaf's proof that it made the answer; empty where there is none.
	Signature string
	// NotRun is set where the leaf states that it did not run the request.
	NotRun bool
	// WrongIncarnation is set where another incarnation has the address.
	WrongIncarnation bool
	// Load is the leaf's report of its load; nil where there is none.
	Load *replica.Load
}

// Success tells whether the answer is a signed success.
func (r *Response) Success() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Signature != "" && !r.NotRun && !r.WrongIncarnation
}

// Conn is a connection to a leaf that carries one call at a time.
type Conn interface {
	// Do sends the request and reads its answer. An error is an *Error. The connection is of no use
	// after an error, or where reusable is false.
	Do(ctx context.Context, r *Request) (resp *Response, reusable bool, err error)
	// Alive tells whether the connection is still open and nothing waits to be read.
	Alive() bool
	Close()
}

// Dialer opens connections to leaves.
type Dialer interface {
	Dial(ctx context.Context, address string) (Conn, error)
}

// Cause says why a call has no answer.
type Cause string

// The causes of calls without an answer.
const (
	// NoConnection: no byte was sent, so the request has not run.
	NoConnection Cause = "no connection"
	// ConnectionFull: all connections that this VM may have to the leaf are in use; nothing was sent.
	ConnectionFull Cause = "connections in use"
	// ConnectionLost: the connection ended without an answer.
	ConnectionLost Cause = "connection lost"
	// InvalidAnswer: what came isn't an answer.
	InvalidAnswer Cause = "answer spoiled"
	// TimedOut: the deadline passed.
	TimedOut Cause = "deadline passed"
	// Abandoned: the call was given up.
	Abandoned Cause = "given up"
)

// Error is a call without an answer.
type Error struct {
	Cause Cause
	// Step and Peer tell where it arose.
	Step, Peer string
	// Sent is true where a byte of the request may have reached the leaf.
	Sent bool
	// Refused is true where the address took no connection at all, as after a crash.
	Refused bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: leaf %s: %s: %v", e.Step, e.Peer, e.Cause, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
