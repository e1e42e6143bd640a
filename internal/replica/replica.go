// Package replica estimates from past calls how fast and how reliable leaves are, and selects the leaf for a call.
// It performs no I/O: callers pass the time in, and it does not depend on a transport.
package replica

import (
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// warmUpFactor is the time factor of a leaf in its warm-up before it has answered.
const warmUpFactor = 1.6

// Result says how a call ended.
type Result int

// Results of a call.
const (
	// OK is a usable answer.
	OK Result = iota
	// Refused is an answer that says that the request was not run.
	Refused
	// Failed is a failure response, an invalid answer or a lost connection.
	Failed
	// Late is a call that was abandoned after it took far longer than typical.
	Late
	// Unreachable is a call for which no connection could be opened, although none was refused.
	Unreachable
	// ConnectRefused is a call for which the leaf's address refused a connection, as after a crash or across a
	// network partition.
	ConnectRefused
	// Neutral says nothing about the leaf, such as a call that its caller abandoned.
	Neutral
)

// Load is a leaf's report of its own load.
type Load struct {
	Running, Waiting, Slots int
	// WorkTimePercent is how long work currently takes at the leaf in percent, where 100 is the typical time; 0 if
	// not reported.
	WorkTimePercent int
}

// Candidate is a leaf that may be selected.
type Candidate struct {
	ID    catalog.LeafID
	Slots int
	// WarmingUp is set while the leaf is in its warm-up.
	WarmingUp bool
	// SameZone is set if the leaf is in the availability zone of this VM.
	SameZone bool
	// Connected is set if a connection to the leaf is open.
	Connected bool
}

// Table holds the statistics of leaves and routes. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// leaves are keyed by id and routes by name; guarded by mu.
	leaves map[catalog.LeafID]*leaf
	routes map[string]*routeTime
	// recent holds the latest answers; guarded by mu.
	recent recentCalls
}

// routeTime is the typical call time of a route.
type routeTime struct {
	typical time.Duration
	// answers counts the answers that have moved the typical time; lastUpdate is when the latest call moved it.
	answers    int
	lastUpdate time.Time
}

type leaf struct {
	// timeFactor is how long a call takes at the leaf without a queue, as a multiple of the typical time.
	timeFactor   float64
	timeFactorAt time.Time
	// ownTally counts this VM's calls, recentFailed is the share of failures among its latest calls, and
	// peerTallies counts the calls of other VMs by VM.
	ownTally     tally
	recentFailed recentShare
	// recentSlow is the share of slow calls among the latest, and slowFactor how long slow calls take, as a
	// multiple of the typical time.
	recentSlow  recentShare
	slowFactor  float64
	peerTallies map[string]tally
	load        Load
	loadAt      time.Time
	// crowding is how much slower the leaf is when nearly full, and noise whether it is disturbed.
	crowding crowding
	noise    noise
	// silence tracks calls that stay unanswered.
	silence silence
	// inFlight holds the calls in flight.
	inFlight      map[*Call]struct{}
	lastCandidate time.Time
}

// Call is a call in flight.
type Call struct {
	t        *Table
	id       catalog.LeafID
	route    string
	sentAt   time.Time
	expected time.Duration
	// queueFactor is how many times as long as on an idle leaf the call was expected to take because it waits for
	// a slot.
	queueFactor float64
	// nearlyFull is set if the call took one of the last slots of its leaf.
	nearlyFull bool
	ended      bool
}

// New returns an empty table.
func New() *Table {
	return &Table{leaves: make(map[catalog.LeafID]*leaf), routes: make(map[string]*routeTime)}
}

// TypicalTime returns the typical call time of the route, or the estimate if no call has been measured yet.
func (t *Table) TypicalTime(route string, estimate time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.typicalOf(route, estimate)
}

func (t *Table) typicalOf(route string, estimate time.Duration) time.Duration {
	if r := t.routes[route]; r != nil {
		return r.typical
	}
	return estimate
}

// leaf returns the entry of the candidate and creates it if necessary. Requires mu.
func (t *Table) leaf(c Candidate, now time.Time) *leaf {
	l := t.leaves[c.ID]
	if l == nil {
		l = &leaf{timeFactor: 1, inFlight: make(map[*Call]struct{}), timeFactorAt: now}
		if c.WarmingUp {
			l.timeFactor = warmUpFactor
		}
		t.leaves[c.ID] = l
	}
	l.lastCandidate = now
	return l
}

// Choose returns the index of the cheapest candidate and starts a call to it; -1 if there are no candidates.
func (t *Table) Choose(now time.Time, route string, estimate time.Duration, candidates []Candidate) (int, *Call) {
	if len(candidates) == 0 {
		return -1, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	typical := t.typicalOf(route, estimate)
	best := t.cheapest(now, typical, candidates)
	l := t.leaves[candidates[best].ID]
	queueFactor := l.queueFactor(l.queue(now), candidates[best])
	call := &Call{t: t, id: candidates[best].ID, route: route, sentAt: now, expected: l.expected(now, typical, queueFactor), queueFactor: queueFactor}
	call.nearlyFull = fillsUp(l.queue(now), candidates[best])
	l.inFlight[call] = struct{}{}
	l.silence.begin(now)
	return best, call
}

// InFlight returns the number of calls in flight.
func (t *Table) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.leaves {
		n += len(l.inFlight)
	}
	return n
}

// Report stores a leaf's report of its own load.
func (t *Table) Report(id catalog.LeafID, load Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.leaves[id]; l != nil {
		l.load, l.loadAt = load, now
	}
}

// Elapsed returns the time since the call was sent.
func (c *Call) Elapsed(now time.Time) time.Duration { return now.Sub(c.sentAt) }

// Expected returns how long the call was expected to take.
func (c *Call) Expected() time.Duration { return c.expected }

// forgetAfter is how long a leaf is kept after it was last a candidate, and a route after its last answer.
const forgetAfter = 2 * time.Minute

// Forget drops leaves that have not been candidates, and routes that have had no answer, for forgetAfter. Leaves
// with calls in flight are kept.
func (t *Table) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.leaves {
		if len(l.inFlight) == 0 && now.Sub(l.lastCandidate) > forgetAfter {
			delete(t.leaves, id)
		}
	}
	for name, r := range t.routes {
		if now.Sub(r.lastUpdate) > forgetAfter {
			delete(t.routes, name)
		}
	}
}
