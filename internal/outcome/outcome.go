// Package outcome defines the typed errors with which a request ends. An Error names the kind,
// reason, step and peer. The package maps it to connect errors with an Outcome detail and back.
package outcome

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// HeaderRetryAfter is the standard header with the retry delay in whole seconds.
const HeaderRetryAfter = "Retry-After"

// HeaderRetryAfterMillis is the header with the same delay in milliseconds, for callers that
// support it.
const HeaderRetryAfterMillis = "Burdock-Retry-After-Ms"

// Error is a final outcome other than answered. It is immutable once returned.
type Error struct {
	Kind   pb.OutcomeKind
	Reason pb.Reason
	// Step is the step of request handling at which the error arose, such as "entry.admission".
	Step string
	// Peer is the VM or upstream involved, or empty if there is none.
	Peer string
	// RetryAfter is the delay after which the caller may retry. It is 0 if a retry is pointless.
	RetryAfter time.Duration
	Message    string

	cause error
}

// NotRun returns an Error that says that no byte of the request was sent to an upstream.
func NotRun(reason pb.Reason, step, format string, args ...any) *Error {
	return newError(pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason, step, format, args)
}

// Failed returns an Error that says that a search ran without a usable answer.
func Failed(reason pb.Reason, step, format string, args ...any) *Error {
	return newError(pb.OutcomeKind_OUTCOME_KIND_FAILED, reason, step, format, args)
}

// Unknown returns an Error that says that an order may have run and will not be run again.
func Unknown(reason pb.Reason, step, format string, args ...any) *Error {
	return newError(pb.OutcomeKind_OUTCOME_KIND_UNKNOWN, reason, step, format, args)
}

func newError(kind pb.OutcomeKind, reason pb.Reason, step, format string, args []any) *Error {
	return &Error{Kind: kind, Reason: reason, Step: step, Message: fmt.Sprintf(format, args...)}
}

// WithPeer returns a copy that names the peer.
func (e *Error) WithPeer(peer string) *Error {
	c := *e
	c.Peer = peer
	return &c
}

// WithRetryAfter returns a copy with the retry delay.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithCause returns a copy that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.cause = cause
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	s := e.Step + ": " + ReasonName(e.Reason)
	if e.Peer != "" {
		s += " at " + e.Peer
	}
	if e.Message != "" {
		s += ": " + e.Message
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Proto returns the error as an Outcome message.
func (e *Error) Proto(requestID string) *pb.Outcome {
	o := &pb.Outcome{
		Kind: e.Kind, Reason: e.Reason, Step: e.Step, Peer: e.Peer,
		Message: e.Message, RequestId: requestID,
	}
	if e.RetryAfter > 0 {
		o.RetryAfter = durationpb.New(e.RetryAfter)
	}
	return o
}

// FromProto returns the Error for an outcome, or nil for an answered one.
func FromProto(o *pb.Outcome) *Error {
	switch o.GetKind() {
	case pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE, pb.OutcomeKind_OUTCOME_KIND_ANSWERED_PARTIAL:
		return nil
	}
	return &Error{
		Kind: o.GetKind(), Reason: o.GetReason(), Step: o.GetStep(), Peer: o.GetPeer(),
		Message: o.GetMessage(), RetryAfter: o.GetRetryAfter().AsDuration(),
	}
}

// As returns the first Error in err's chain, and whether there is one.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// codes maps reasons to connect codes. Plain HTTP callers receive the matching status.
var codes = map[pb.Reason]connect.Code{
	pb.Reason_REASON_INVALID_REQUEST:  connect.CodeInvalidArgument,
	pb.Reason_REASON_UNAUTHENTICATED:  connect.CodeUnauthenticated,
	pb.Reason_REASON_UNKNOWN_SERVICE:  connect.CodeNotFound,
	pb.Reason_REASON_TOO_LARGE:        connect.CodeInvalidArgument,
	pb.Reason_REASON_DEADLINE_INVALID: connect.CodeInvalidArgument,
	pb.Reason_REASON_DEADLINE:         connect.CodeDeadlineExceeded,
	pb.Reason_REASON_CANCELLED:        connect.CodeCanceled,
	pb.Reason_REASON_QUEUE_FULL:       connect.CodeResourceExhausted,
	pb.Reason_REASON_CALLER_LIMIT:     connect.CodeResourceExhausted,
	pb.Reason_REASON_OVERLOAD:         connect.CodeResourceExhausted,
	pb.Reason_REASON_QUARANTINED:      connect.CodeFailedPrecondition,
	pb.Reason_REASON_NO_TICKET:        connect.CodeFailedPrecondition,
	pb.Reason_REASON_TICKET_INVALID:   connect.CodeInvalidArgument,
	pb.Reason_REASON_TICKET_EXPIRED:   connect.CodeFailedPrecondition,
	pb.Reason_REASON_TICKET_REUSED:    connect.CodeFailedPrecondition,
	pb.Reason_REASON_SEALED:           connect.CodeAborted,
	pb.Reason_REASON_ANSWER_MISMATCH:  connect.CodeInternal,
	pb.Reason_REASON_INTERNAL:         connect.CodeInternal,
}

// Code returns the connect code of the error. It is unknown only for an order that may have run.
func (e *Error) Code() connect.Code {
	if e.Kind == pb.OutcomeKind_OUTCOME_KIND_UNKNOWN {
		return connect.CodeUnknown
	}
	if c, ok := codes[e.Reason]; ok {
		return c
	}
	return connect.CodeUnavailable
}

// Classify returns the Error in err's chain, or a new one of the given kind and step that wraps
// err. The reason of a new one is deadline or cancelled if a context ended, otherwise internal.
func Classify(err error, kind pb.OutcomeKind, step string) *Error {
	if e, ok := As(err); ok {
		return e
	}
	reason := pb.Reason_REASON_INTERNAL
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		reason = pb.Reason_REASON_DEADLINE
	case errors.Is(err, context.Canceled):
		reason = pb.Reason_REASON_CANCELLED
	}
	return newError(kind, reason, step, "", nil).WithCause(err)
}

// ToConnect returns the connect error that carries e as a detail and the retry delay as headers.
func ToConnect(e *Error, requestID string) *connect.Error {
	ce := connect.NewError(e.Code(), errors.New(e.Error()))
	if d, err := connect.NewErrorDetail(e.Proto(requestID)); err == nil {
		ce.AddDetail(d)
	}
	SetRetryAfter(ce.Meta(), e.RetryAfter)
	return ce
}

// SetRetryAfter sets both retry headers. It sets none unless d is positive.
func SetRetryAfter(h http.Header, d time.Duration) {
	if d <= 0 {
		return
	}
	h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(d.Seconds()))))
	h.Set(HeaderRetryAfterMillis, strconv.FormatInt(d.Milliseconds(), 10))
}

// FromConnect returns the Error carried in a connect error's detail, and whether there is one.
func FromConnect(err error) (*Error, bool) {
	o, ok := Detail(err)
	if !ok {
		return nil, false
	}
	return FromProto(o), true
}

// Detail returns the Outcome carried in a connect error's detail, and whether there is one. Unlike
// an Error, it contains the request id.
func Detail(err error) (*pb.Outcome, bool) {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil, false
	}
	for _, d := range ce.Details() {
		v, derr := d.Value()
		if derr != nil {
			continue
		}
		if o, ok := v.(*pb.Outcome); ok {
			return o, true
		}
	}
	return nil, false
}

// ReasonName returns the short lower-case name used in messages and metric labels.
func ReasonName(r pb.Reason) string { return trimLower(r.String(), "REASON_") }

// KindName returns the short lower-case name used in messages and metric labels.
func KindName(k pb.OutcomeKind) string { return trimLower(k.String(), "OUTCOME_KIND_") }
