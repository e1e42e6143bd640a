// Package balance decides which replica receives a call, how many calls a leaf may have in flight, and
// when a hedge or a retry may be sent. Clock and random source are injected, and it doesn't depend on
// the transport. One Balancer serves one service of one gather and is safe for concurrent use.
package balance

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Result says how a call to a leaf ended.
type Result int

// The results of a call.
const (
	// ResultOK is a usable answer.
	ResultOK Result = iota
	// ResultShed is a refusal because of load, before the work started.
	ResultShed
	// ResultError is a failed call or an unusable answer.
	ResultError
	// ResultTimeout is a call that reached its deadline.
	ResultTimeout
	// ResultCancelled is a call that this gather cancelled, such as one that lost to its hedge.
	ResultCancelled
	// ResultNeutral is a call that gives no information about the leaf, such as one whose connection
	// went silent.
	ResultNeutral
)

// Clock returns the time; it is time.Now in the running process.
type Clock func() time.Time

// Random returns a number in [0,1).
type Random func() float64

// Replicas chooses among the replicas of one service. *Balancer and *Baseline implement it.
type Replicas interface {
	// Pick chooses a leaf among the candidates and returns a call to it, which counts as in flight until
	// its Done. It returns false where there is no candidate, all are at their limit, or it is better
	// to wait for one at its limit.
	Pick(candidates []string) (Call, bool)
	// SetCapacity sets a leaf's slots and how many gathers share them.
	SetCapacity(leaf string, slots, sharers int)
	// SetIncarnation sets a leaf's incarnation; a new one starts cold.
	SetIncarnation(leaf string, incarnation uint64)
	// Report records a leaf's own load report, whose influence decays.
	Report(leaf string, load *pb.LeafLoad)
	// HedgeAfter returns how long a call to one of the candidates may run before a hedge is sent.
	HedgeAfter(candidates []string) time.Duration
	// AllowHedge and AllowRetry report whether a hedge or a retry may be sent, and take it from the
	// budget. share is the kind's budget as a share of its calls.
	AllowHedge(share float64) bool
	AllowRetry(share float64) bool
}

// Call is one call in flight at a leaf.
type Call interface {
	// Leaf returns the id of the leaf.
	Leaf() string
	// Suspect reports whether the latest calls to the leaf were given up late. Such a call probes
	// whether the leaf is still slow, and should be hedged early.
	Suspect() bool
	// Done ends the call. Only the first result counts.
	Done(Result)
}
