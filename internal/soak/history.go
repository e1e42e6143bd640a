// Package soak runs the program of the users' platform as several processes under seeded faults, with
// stand-ins of store and leaves, and checks its promises from what callers and leaves see.
package soak

import "time"

// The bounds that the promises name; the VMs get the same in their settings.
const (
	drainBound    = 3 * time.Second
	configBound   = 3 * time.Second
	settleTime    = 4 * time.Second
	graceBound    = 6 * time.Second
	recoveryBound = 12 * time.Second
	// rollbackSlack is how long after a VM showed a version an older one may still be shown.
	rollbackSlack = 250 * time.Millisecond
	budgetWindow  = 10 * time.Second
	budgetRatio   = 0.2
	budgetSlack   = 30
	// slack is what a busy machine may add to a bound: its clocks and those of the judged are one, but a
	// process may wait for its turn.
	slack = 500 * time.Millisecond
)

// Kind is the sort of a call.
type Kind string

// The kinds of calls.
const (
	// Search asks all shards of a set.
	Search Kind = "search"
	// Single asks the service that the configuration names at the time; it may be repeated.
	Single Kind = "single"
	// Order may run once at most.
	Order Kind = "order"
)

// Call is a request as its caller saw it.
type Call struct {
	ID     string
	Kind   Kind
	Target string
	// VM that it was sent to, by number, and which start of its process.
	VM, Start   int
	Sent, Ended time.Time
	// Status is 0 where no whole answer came; Err says why.
	Status int
	Err    string
	// Stamps are the signatures of the leaf, or of the parts of a search; Missing its shards left out.
	Stamps  []string
	Missing int
	Body    string
}

// Run is a request as a leaf saw it.
type Run struct {
	ID, Leaf, Service, Target string
	// Born is when the leaf started, in Unix milliseconds: it may start again under its id.
	Born int64
	At   time.Time
	// Ran is false where the leaf refused it.
	Ran bool
}

// Config is a version of the configuration as the operator put it in force.
type Config struct {
	Version int
	At      time.Time
	// Shards of the search, and the Service of single requests.
	Shards  []string
	Service string
}

// Drain is a leaf that was marked as leaving.
type Drain struct {
	Leaf string
	Born int64
	At   time.Time
}

// Span is a time in which something was disturbed.
type Span struct {
	From, To time.Time
	What     string
}

// End is an orderly end of a VM's process that was asked for.
type End struct {
	VM, Start int
	Asked     time.Time
	// Err says how it went wrong; empty where it ended in time with exit code 0.
	Err string
}

// History is all that was seen in a run.
type History struct {
	Calls   []Call
	Runs    []Run
	Configs []Config
	Drains  []Drain
	Ends    []End
	// Trapped is what reached the address that foreign entries name.
	Trapped []string
	// Disturbed holds by VM when it was killed, stopped, frozen or cut off, or the store was disturbed.
	Disturbed map[int][]Span
	// Killed holds by VM when its process ended without notice.
	Killed map[int][]Span
	// Calm is when the last fault was over, Closing when the end of the run began.
	Calm, Closing time.Time
}

// undisturbed tells whether the VM was undisturbed for contactTime before t, and until then.
func (h *History) undisturbed(vm int, from, to time.Time) bool {
	for _, s := range h.Disturbed[vm] {
		if s.From.Before(to) && s.To.After(from.Add(-settleTime)) {
			return false
		}
	}
	return true
}

// killedWithin tells whether the VM's process ended without notice at some time between.
func (h *History) killedWithin(vm int, from, to time.Time) bool {
	for _, s := range h.Killed[vm] {
		if !s.From.Before(from.Add(-slack)) && !s.From.After(to.Add(slack)) {
			return true
		}
	}
	return false
}

// frozenWithin tells whether the VM stood still at some time between.
func (h *History) frozenWithin(vm int, from, to time.Time) bool {
	for _, s := range h.Disturbed[vm] {
		if s.What == freezeSpan && s.From.Before(to) && s.To.After(from) {
			return true
		}
	}
	return false
}

// freezeSpan is what a span is called in which a VM stood still.
const freezeSpan = "freeze"
