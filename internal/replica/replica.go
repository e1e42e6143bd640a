// Package replica learns from their answers how fast and how sound leaves are, and chooses the leaf of
// a call. It is pure: the time is passed in, and no transport is known.
package replica

import (
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// coldPace is the pace of a leaf in its warm-up before it has answered.
const coldPace = 1.6

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
	// Unreached is a call for which no connection could be opened, and nobody refused it either.
	Unreached
	// Closed is a call for which the leaf's address refused a connection, as after a crash or beyond a cut.
	Closed
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
	// Cold is set while the leaf is in its warm-up.
	Cold bool
	// Near is set where the leaf is in the availability zone of this VM.
	Near bool
	// Open is set where a connection to the leaf is open.
	Open bool
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
	usual time.Duration
	// answers counts those that it was moved by; seen is when the latest of them came.
	answers int
	seen    time.Time
}

type leaf struct {
	pace   float64
	paceAt time.Time
	// own counts this VM's calls, lately follows the latest of them, told counts those of others by VM.
	own    tally
	lately lately
	// slowly follows the part of slow ones, and slowPace how slow these are, as a multiple of the usual time.
	slowly   lately
	slowPace float64
	told     map[string]tally
	load     Load
	loadAt   time.Time
	// mute follows calls that stay without an answer.
	mute mute
	// begun are the starts of the calls in flight, with the time expected of each.
	begun map[*Call]struct{}
	seen  time.Time
}

// Call is a call in flight.
type Call struct {
	t        *Table
	id       catalog.LeafID
	route    string
	begun    time.Time
	expected time.Duration
	// crowd is how many times as long as on an idle leaf the call was expected to take for want of a slot.
	crowd float64
	ended bool
}

// New returns a table that has learned nothing.
func New() *Table {
	return &Table{leaves: make(map[catalog.LeafID]*leaf), routes: make(map[string]*routeTime)}
}

// Usual returns the usual time of a call of the route, first guessed as the given time.
func (t *Table) Usual(route string, guess time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usualOf(route, guess)
}

func (t *Table) usualOf(route string, guess time.Duration) time.Duration {
	if r := t.routes[route]; r != nil {
		return r.usual
	}
	return guess
}

// leaf requires mu.
func (t *Table) leaf(c Candidate, now time.Time) *leaf {
	l := t.leaves[c.ID]
	if l == nil {
		l = &leaf{pace: 1, begun: make(map[*Call]struct{}), paceAt: now}
		if c.Cold {
			l.pace = coldPace
		}
		t.leaves[c.ID] = l
	}
	l.seen = now
	return l
}

// Choose returns the index of the cheapest candidate and begins a call to it; -1 where there is none.
func (t *Table) Choose(now time.Time, route string, guess time.Duration, from []Candidate) (int, *Call) {
	if len(from) == 0 {
		return -1, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	usual := t.usualOf(route, guess)
	best := t.cheapest(now, usual, from)
	l := t.leaves[from[best].ID]
	crowd := l.crowd(l.queue(now), from[best])
	call := &Call{t: t, id: from[best].ID, route: route, begun: now, expected: l.expected(now, usual, crowd), crowd: crowd}
	l.begun[call] = struct{}{}
	l.mute.begin(now)
	return best, call
}

// InFlight returns how many calls are in flight.
func (t *Table) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.leaves {
		n += len(l.begun)
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

// Took returns for how long the call has gone on.
func (c *Call) Took(now time.Time) time.Duration { return now.Sub(c.begun) }

// Expected returns the time that the call was expected to take.
func (c *Call) Expected() time.Duration { return c.expected }

// forgetAfter is how long a leaf is kept that is no candidate any more, and a route without an answer.
const forgetAfter = 2 * time.Minute

// Forget drops leaves that were no candidate for long, and routes without an answer for as long.
func (t *Table) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.leaves {
		if len(l.begun) == 0 && now.Sub(l.seen) > forgetAfter {
			delete(t.leaves, id)
		}
	}
	for name, r := range t.routes {
		if now.Sub(r.seen) > forgetAfter {
			delete(t.routes, name)
		}
	}
}
