// Package upstream owns the connections to leaves: how many, which of them have gone silent, what
// each leaf's status says, and the evidence that a leaf is leaving.
package upstream

import (
	"context"
	"fmt"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Caller sends calls to leaves; *Pool implements it. All errors are *CallError.
type Caller interface {
	Search(ctx context.Context, leaf string, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error)
	// Execute sends an order at most once: it is never sent again by this package.
	Execute(ctx context.Context, leaf string, req *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error)
	// State returns what is known of a leaf, and whether it is known at all.
	State(leaf string) (State, bool)
}

// State is what a gather knows of one leaf. It is a copy.
type State struct {
	Leaf        string
	Incarnation uint64
	// Leaving is true from the first evidence of departure of this incarnation.
	Leaving bool
	// Connected is true where at least one connection is usable, and for a moment where the last one
	// went silent and a new one is being opened.
	Connected bool
	// Survived is true where a connection opened after the last one broke or was found silent shows
	// this incarnation: if it had that one too, it did not crash in between.
	Survived bool
	// Snapshots that the leaf said it holds; nil where it has not said.
	Snapshots []uint64
	Slots     int
}

// CallError is how a call to a leaf failed.
type CallError struct {
	Leaf        string
	Incarnation uint64
	// Wrote is true where a byte of the request's message may have reached the leaf. Where it is
	// false the leaf has surely not seen it, and never will.
	Wrote bool
	// Refusal is set where the leaf answered that it did not start the work.
	Refusal pb.LeafRefusalReason
	// ConnectionLost is true where the connection broke unannounced while the call was in flight, as
	// it does when the leaf crashes.
	ConnectionLost bool
	// ConnectionSilent is true where the connection gave no sign of life while the call was in
	// flight and was taken out of use. It says nothing about the leaf: a search may be sent again
	// at once, to the same leaf as well.
	ConnectionSilent bool
	Err              error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("upstream %s: %v", e.Leaf, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotStarted tells whether the leaf has surely not started the work.
func (e *CallError) NotStarted() bool {
	return !e.Wrote || e.Refusal != pb.LeafRefusalReason_LEAF_REFUSAL_REASON_UNSPECIFIED
}
