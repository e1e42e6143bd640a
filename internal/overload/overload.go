// Package overload admits requests by the processor time that a VM has for them. It models the processor as a
// queue of admitted work that drains at the VM's share of a core, and refuses at once what would wait too long for
// its priority. It performs no I/O: callers pass the time in.
package overload

import "time"

// Request is what the gate needs to know about a request.
type Request struct {
	Route string
	// Priority is the priority of the route. 0 is the highest.
	Priority int
	// Caller is the IP address of the caller; empty if unknown.
	Caller string
	// Target is the target latency of the route; 0 if there is none.
	Target time.Duration
	// Elapsed is the time since the request arrived at the first VM.
	Elapsed time.Duration
	Work    Work
}

// Work counts the processor work that a request causes beyond its own receipt and answer.
type Work struct {
	// Calls is the number of calls to leaves.
	Calls int
	// HandOver is set if the request is handed over to another VM.
	HandOver bool
}

// Reason says why a request is not admitted.
type Reason string

// Reasons of a refusal.
const (
	ReasonNone Reason = ""
	// ReasonBusyProcessor: the request would wait too long for the processor.
	ReasonBusyProcessor Reason = "busy_processor"
	// ReasonCallerShare: the caller has used its equal share of what its priority gets.
	ReasonCallerShare Reason = "caller_share"
)

// Decision is the decision about one request.
type Decision struct {
	Admitted bool
	Reason   Reason
	// Wait is the expected wait for the processor, and Limit the longest one at which the request is admitted.
	Wait, Limit time.Duration
	// Demand is the number of requests of the priority per second at this VM.
	Demand float64
	// RetryAfter is the delay after which to retry a request that is not admitted.
	RetryAfter time.Duration
}

// Settings of a gate.
type Settings struct {
	// Cores is the VM's share of a core; 0 turns the gate off.
	Cores float64
	// MaxRetryAfter bounds the retry delay.
	MaxRetryAfter time.Duration
}

// Room is what other VMs are told of this VM's processor.
type Room struct {
	// Wait is the expected wait of a new search for the processor.
	Wait time.Duration
	// Limits are the longest waits at which a search is admitted, by priority.
	Limits []time.Duration
}

// Gate admits requests. It is safe for concurrent use.
type Gate struct{}

// New returns a gate. usage returns the processor time that the process has used so far, and random a number in
// [0,1).
func New(s Settings, usage func() time.Duration, random func() float64) *Gate { return &Gate{} }

// Admit decides about a request, and counts its work where it is admitted.
func (g *Gate) Admit(now time.Time, r Request) Decision { return Decision{Admitted: true} }

// ObserveLag records how late a timer of this process fired.
func (g *Gate) ObserveLag(now time.Time, lag time.Duration) {}

// Room returns what other VMs are told.
func (g *Gate) Room(now time.Time) Room { return Room{} }

// Dump returns the state for the operators' dump.
func (g *Gate) Dump() any { return nil }
