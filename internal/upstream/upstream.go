// Package upstream owns the connections to leaves. It decides how many are open, detects silent
// connections, polls each leaf's status, and collects the evidence that a leaf is leaving.
package upstream

import (
	"time"

	"context"
	"errors"
	"fmt"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// ErrStale is the cause of a CallError if the process may have been paused, or had no fresh view of
// the fleet, after the call was planned: the call was not sent, or nothing shows that it was sent
// before the pause.
var ErrStale = errors.New("process paused or no fresh view of the fleet since the call was planned")

// Caller sends calls to leaves; *Pool implements it. All errors are *CallError.
type Caller interface {
	Search(ctx context.Context, leaf string, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error)
	// Execute sends an order at most once. This package never resends it.
	Execute(ctx context.Context, leaf string, req *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error)
	// State returns what is known of a leaf, and false if the leaf is unknown.
	State(leaf string) (State, bool)
}

// State is a copy of what a gather knows of one leaf.
type State struct {
	Leaf        string
	Incarnation uint64
	// Leaving is true from the first evidence that this incarnation is departing.
	Leaving bool
	// Connected is true if at least one connection is usable. It also stays true for a short time
	// after the last connection went silent, while a new one is being opened.
	Connected bool
	// Survived is true if a connection opened after the last one broke or went silent shows this
	// incarnation. If the earlier connection belonged to this incarnation as well, the leaf did not
	// crash in between.
	Survived bool
	// UnseenFor is the time from the last end or refusal of a connection to the opening of the first one after it. In that
	// time the leaf may have returned and ended again. It is zero while no connection has ended.
	UnseenFor time.Duration
	// Snapshots lists the snapshots that the leaf reported, nil if it has not reported any.
	Snapshots []uint64
	Slots     int
}

// CallError describes how a call to a leaf failed.
type CallError struct {
	Leaf        string
	Incarnation uint64
	// Wrote is true if a byte of the request message may have reached the leaf. If it is false, the
	// leaf has not seen the message and never will.
	Wrote bool
	// Refusal is set if the leaf answered that it did not start the work.
	Refusal pb.LeafRefusalReason
	// ConnectionLost is true if the connection broke without a GOAWAY while the call was in flight,
	// as it does when the leaf crashes.
	ConnectionLost bool
	// ConnectionSilent is true if the connection went silent while the call was in flight and was
	// taken out of use. It is no evidence about the leaf: a search may be resent at once, even to
	// the same leaf.
	ConnectionSilent bool
	Err              error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("upstream %s: %v", e.Leaf, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// TooLate reports whether the call was not started because it would have arrived, or arrived, too
// long after the sender's decision.
func (e *CallError) TooLate() bool {
	return e.Refusal == pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE || errors.Is(e.Err, errTooLate)
}

// NotStarted reports whether it is certain that the leaf has not started the work.
func (e *CallError) NotStarted() bool {
	return !e.Wrote || e.Refusal != pb.LeafRefusalReason_LEAF_REFUSAL_REASON_UNSPECIFIED
}
