// Package balance decides which replica takes a call, how many calls a leaf may have in flight,
// and when a hedge or a retry may be sent. It is pure: clock and random source are injected, no
// transport is known. One Balancer serves one service of one gather and is safe for concurrent use.
package balance

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Result says how a call to a leaf ended.
type Result int

// The results of a call.
const (
	// ResultOK is an answer that could be used.
	ResultOK Result = iota
	// ResultShed is a refusal for load before the work started.
	ResultShed
	// ResultError is a failed call or an answer that can't be used.
	ResultError
	// ResultTimeout is a call that ran into its deadline.
	ResultTimeout
	// ResultCancelled is a call that this gather gave up, such as the loser of a hedge.
	ResultCancelled
	// ResultNeutral is a call that says nothing about the leaf, such as one whose connection went
	// silent.
	ResultNeutral
)

// Clock gives the time; time.Now in the running process.
type Clock func() time.Time

// Random gives a number in [0,1).
type Random func() float64

// Replicas is what callers of this package need; *Balancer implements it.
type Replicas interface {
	// Pick chooses a leaf among the candidates, or "" where all are at their limit or excluded. The
	// chosen leaf is counted in flight; the Call must be ended.
	Pick(candidates []string) (Call, bool)
	// SetCapacity tells a leaf's slots and how many gathers share them.
	SetCapacity(leaf string, slots, sharers int)
	// SetIncarnation tells the leaf's incarnation; a new one starts cold.
	SetIncarnation(leaf string, incarnation uint64)
	// Report takes a leaf's own load report, a hint that ages.
	Report(leaf string, load *pb.LeafLoad)
	// HedgeAfter returns how long a call to the group of candidates may run before a hedge.
	HedgeAfter(candidates []string) time.Duration
	// AllowHedge and AllowRetry take one call from the budgets; the shares come from the kind.
	AllowHedge(share float64) bool
	AllowRetry(share float64) bool
}

// Call is one call in flight at a leaf.
type Call interface {
	Leaf() string
	// Suspect tells whether the latest calls to the leaf were given up late: this one only tries
	// whether it is still slow, and should be hedged soon.
	Suspect() bool
	// Done ends the call; only the first result counts.
	Done(Result)
}
