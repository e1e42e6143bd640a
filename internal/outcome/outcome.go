// Package outcome holds the typed ends of a request: the error that names kind, reason, step and
// peer, and its two-way mapping to connect errors with an Outcome detail.
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

// HeaderRetryAfter is the standard header that says in whole seconds when to come back.
const HeaderRetryAfter = "Retry-After"

// HeaderRetryAfterMillis gives the same in milliseconds for callers that can use it.
const HeaderRetryAfterMillis = "Burdock-Retry-After-Ms"

// Error is a final outcome other than answered. It is immutable once returned.
type Error struct {
	Kind   pb.OutcomeKind
	Reason pb.Reason
	// Step is the part of the path at which it arose, such as "entry.admission".
	Step string
	// Peer is the VM or upstream involved, empty where there is none.
	Peer string
	// RetryAfter says when to come back; 0 where coming back makes no sense.
	RetryAfter time.Duration
	Message    string

	cause error
}

// NotRun says that no byte of the request went to an upstream.
func NotRun(reason pb.Reason, step, format string, args ...any) *Error {
	return newError(pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason, step, format, args)
}

// Failed says that a search ran without a usable answer.
func Failed(reason pb.Reason, step, format string, args ...any) *Error {
	return newError(pb.OutcomeKind_OUTCOME_KIND_FAILED, reason, step, format, args)
}

// Unknown says that an order may have run and will not be run again.
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

// WithRetryAfter returns a copy that says when to come back.
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

// Proto returns the outcome as it travels.
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

// FromProto returns the error for an outcome, or nil for an answered one.
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

// As finds an Error in err's chain.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// codes maps reasons to connect codes; plain HTTP callers see the matching status.
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

// Code returns the connect code of the error.
func (e *Error) Code() connect.Code {
	if e.Kind == pb.OutcomeKind_OUTCOME_KIND_UNKNOWN {
		return connect.CodeUnknown
	}
	if c, ok := codes[e.Reason]; ok {
		return c
	}
	return connect.CodeUnavailable
}

// Classify turns any error into an Error: a context's end becomes a deadline or cancellation, all
// else an internal one, of the given kind and step.
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

// ToConnect returns the connect error that carries e as a detail and says when to come back.
func ToConnect(e *Error, requestID string) *connect.Error {
	ce := connect.NewError(e.Code(), errors.New(e.Error()))
	if d, err := connect.NewErrorDetail(e.Proto(requestID)); err == nil {
		ce.AddDetail(d)
	}
	SetRetryAfter(ce.Meta(), e.RetryAfter)
	return ce
}

// SetRetryAfter writes both retry headers; it writes nothing for 0.
func SetRetryAfter(h http.Header, d time.Duration) {
	if d <= 0 {
		return
	}
	h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(d.Seconds()))))
	h.Set(HeaderRetryAfterMillis, strconv.FormatInt(d.Milliseconds(), 10))
}

// FromConnect returns the Error carried in a connect error's detail, and whether there was one.
func FromConnect(err error) (*Error, bool) {
	o, ok := Detail(err)
	if !ok {
		return nil, false
	}
	return FromProto(o), true
}

// Detail returns the Outcome carried in a connect error's detail, and whether there was one. It has
// the request id, which an Error has not.
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

// ReasonName is the short lower-case name used in messages and metric labels.
func ReasonName(r pb.Reason) string { return trimLower(r.String(), "REASON_") }

// KindName is the short lower-case name used in messages and metric labels.
func KindName(k pb.OutcomeKind) string { return trimLower(k.String(), "OUTCOME_KIND_") }
