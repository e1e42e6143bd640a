// Package replica learns from their answers how fast and how sound leaves are, and chooses the leaf of
// a call. It is pure: the time is passed in, and no transport is known.
package replica

import (
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// warmUpFactor is the pace of a leaf in its warm-up before it has answered.
const warmUpFactor = 1.6

// Result says how a call ended.
type Result int

// The results of a call.
const (
	// OK is a usable answer.
	OK Result = iota
	// Refused is an answer that the request was not run.
	Refused
	// Failed is a failure, a spoiled answer or a lost connection.
	Failed
	// Late is a call that was given up after it took far longer than usual.
	Late
	// Unreachable is a call for which no connection could be opened, and nobody refused it either.
	Unreachable
	// ConnectRefused is a call for which the leaf's address refused a connection, as after a crash or beyond a cut.
	ConnectRefused
	// Neutral says nothing of the leaf, such as a call that its caller gave up.
	Neutral
)

// Load is a leaf's own report.
type Load struct {
	Running, Waiting, Slots int
	// WorkTimePercent is how long work takes at the leaf at this moment, 100 for as usual; 0 where not reported.
	WorkTimePercent int
}

// Candidate is a leaf that may be chosen.
type Candidate struct {
	ID    catalog.LeafID
	Slots int
	// WarmingUp is set while the leaf is in its warm-up.
	WarmingUp bool
	// SameZone is set where the leaf is in the availability zone of this VM.
	SameZone bool
	// Connected is set where a connection to the leaf is open.
	Connected bool
}

// Table keeps what was learned. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// leaves by id, and times by route; guarded by mu.
	leaves map[catalog.LeafID]*leaf
	routes map[string]*routeTime
}

// routeTime is the usual time of a call of a route.
type routeTime struct {
	typical time.Duration
	// answers counts those that it was moved by; seen is when the latest of them came.
	answers    int
	lastUpdate time.Time
}

type leaf struct {
	timeFactor   float64
	timeFactorAt time.Time
	// ownTally counts this VM's calls, lately follows the latest of them, told counts those of others by VM.
	ownTally     tally
	recentFailed recentShare
	// recentSlow follows the part of slow ones, and slowPace how slow these are, as a multiple of the usual time.
	recentSlow  recentShare
	slowFactor  float64
	peerTallies map[string]tally
	load        Load
	loadAt      time.Time
	// silence follows calls that stay without an answer.
	silence silence
	// inFlight are the starts of the calls in flight, with the time expected of each.
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
	// queueFactor is how many times as long as on an idle leaf the call was expected to take for want of a slot.
	queueFactor float64
	ended       bool
}

// New returns a table that has learned nothing.
func New() *Table {
	return &Table{leaves: make(map[catalog.LeafID]*leaf), routes: make(map[string]*routeTime)}
}

// TypicalTime returns the usual time of a call of the route, first guessed as the given time.
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

// leaf requires mu.
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

// Choose returns the index of the cheapest candidate and begins a call to it; -1 where there is none.
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
	l.inFlight[call] = struct{}{}
	l.silence.begin(now)
	return best, call
}

// InFlight returns how many calls are in flight.
func (t *Table) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.leaves {
		n += len(l.inFlight)
	}
	return n
}

// Report takes a leaf's own report of its load.
func (t *Table) Report(id catalog.LeafID, load Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.leaves[id]; l != nil {
		l.load, l.loadAt = load, now
	}
}

// Elapsed returns for how long the call has gone on.
func (c *Call) Elapsed(now time.Time) time.Duration { return now.Sub(c.sentAt) }

// Expected returns the time that the call was expected to take.
func (c *Call) Expected() time.Duration { return c.expected }

// forgetAfter is how long a leaf is kept that is no candidate any more, and a route without an answer.
const forgetAfter = 2 * time.Minute

// Forget drops leaves that were no candidate for long, and routes without an answer for as long.
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
