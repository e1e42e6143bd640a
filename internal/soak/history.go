// Package soak runs the program of the users' platform as several processes under seeded faults, with stand-ins for
// the store and the leaves. It checks the program's guarantees against what callers and leaves observe.
package soak

import "time"

// The bounds of the guarantees. The settings of the VMs use the same values for those that they have.
const (
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
	// settleTime is how long a VM must be undisturbed before a bound applies to it.
	settleTime    = 4 * time.Second
	graceBound    = 6 * time.Second
	recoveryBound = 12 * time.Second
	// rollbackSlack is how long a VM may still show an older version after it showed a newer one.
	rollbackSlack = 250 * time.Millisecond
	budgetWindow  = 10 * time.Second
	budgetRatio   = 0.2
	budgetSlack   = 30
	// slack is added to bounds for scheduling delays on a busy machine. The checker and the processes share one
	// clock, so no clock skew is included.
	slack = 500 * time.Millisecond
)

// Kind is the kind of a call.
type Kind string

// The kinds of calls.
const (
	// Search queries all shards of a set.
	Search Kind = "search"
	// Single calls the service that the current configuration names. It is idempotent.
	Single Kind = "single"
	// Order must run at most once.
	Order Kind = "order"
)

// Call is a request as its caller observed it.
type Call struct {
	ID     string
	Kind   Kind
	Target string
	// VM is the number of the VM that the request was sent to, Start the start number of its process.
	VM, Start   int
	Sent, Ended time.Time
	// Status is 0 if no complete answer arrived; Err then says why.
	Status int
	Err    string
	// Stamps are the signatures of the leaf, or of the parts of a search. Missing is the number of shards that a
	// search left out.
	Stamps  []string
	Missing int
	Body    string
}

// Run is a request as a leaf observed it.
type Run struct {
	ID, Leaf, Service, Target string
	// Born is the start time of the leaf in Unix milliseconds. It distinguishes restarts under the same ID.
	Born int64
	At   time.Time
	// Ran is false if the leaf refused the request. Misdirected is set if that was because the request named another
	// leaf.
	Ran, Misdirected bool
	// Zone is the availability zone of the leaf.
	Zone string
}

// Config is a version of the configuration, with the time at which the operator put it in force.
type Config struct {
	Version int
	At      time.Time
	// Shards are the shards of searches, Service is the service of single requests.
	Shards  []string
	Service string
}

// Drain is the marking of a leaf as draining.
type Drain struct {
	Leaf string
	Born int64
	At   time.Time
}

// Span is a period in which a VM was disturbed.
type Span struct {
	From, To time.Time
	What     string
}

// End is a requested graceful shutdown of a VM's process.
type End struct {
	VM, Start int
	Asked     time.Time
	// Err describes the failure. It is empty if the process ended in time with exit code 0, or by SIGTERM before it
	// had ever counted as ready.
	Err string
}

// History is everything that was observed in a run. It is saved as JSON under the names of its fields.
type History struct {
	Calls   []Call
	Runs    []Run
	Configs []Config
	Drains  []Drain
	// Evacuations holds those that have ended.
	Evacuations []Evacuation
	Colds       []Cold
	// LeafEnds are the ends of leaves that requests caused, in the order of time.
	LeafEnds []LeafEnd
	Ends     []End
	// Trapped describes what reached the address that only foreign entries name.
	Trapped []string
	// Disturbed holds, by VM, the periods in which it was killed, stopped, frozen or cut off, or in which the
	// store was disturbed.
	Disturbed map[int][]Span
	// Killed holds, by VM, when its process was killed without notice.
	Killed map[int][]Span
	// Calm is when the last fault ended, Closing when the shutdown of the run began.
	Calm, Closing time.Time
}

// undisturbed reports whether the VM was undisturbed from settleTime before from until to.
func (h *History) undisturbed(vm int, from, to time.Time) bool {
	for _, s := range h.Disturbed[vm] {
		if s.From.Before(to) && s.To.After(from.Add(-settleTime)) {
			return false
		}
	}
	return true
}

// killedWithin reports whether the VM's process was killed between from and to, with slack on both sides.
func (h *History) killedWithin(vm int, from, to time.Time) bool {
	for _, s := range h.Killed[vm] {
		if !s.From.Before(from.Add(-slack)) && !s.From.After(to.Add(slack)) {
			return true
		}
	}
	return false
}

// frozenWithin reports whether the VM was frozen at some time between from and to.
func (h *History) frozenWithin(vm int, from, to time.Time) bool {
	for _, s := range h.Disturbed[vm] {
		if s.What == freezeSpan && s.From.Before(to) && s.To.After(from) {
			return true
		}
	}
	return false
}

// freezeSpan marks the spans in which a VM was frozen.
const freezeSpan = "freeze"
