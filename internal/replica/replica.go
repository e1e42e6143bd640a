// Package replica learns from their answers how fast and how sound leaves are, and chooses the leaf of
// a call. It is pure: the time is passed in, and no transport is known.
package replica

import (
	"math"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// paceWeight is the weight of a new answer in a leaf's pace; at 12 calls a second to a leaf it follows
	// a neighbour's load within half a second.
	paceWeight = 0.2
	// paceForget is the time constant by which a pace goes back to 1.
	paceForget = 4 * time.Second
	// slowFrom is the multiple of the usual time from which an answer counts as slow, and tells of its
	// leaf's pause or trouble and not of its pace: with a spread of 0.35 about 1 in 1,000 healthy ones.
	slowFrom = 3
	// mostlySlow is the part of slow calls among the latest from which a leaf is expected to be slow again: five in
	// a row, more than a pause strikes of one VM.
	mostlySlow = 0.6
	// slowCost is what a slow call costs in usual times: most are hedged after two to three, and what the
	// hedge takes from the budget is missing elsewhere.
	slowCost = 6
	// failCost is what a failed call costs in usual times: the wait for its end and for the call after
	// it, and the extra call that is missing elsewhere then.
	failCost = 6
	// failMost bounds the rate of failure in a cost, which would be endless for a leaf that always fails.
	failMost = 0.9
	// loadForget is the time constant by which a leaf's own report of its load ages.
	loadForget = 150 * time.Millisecond
	// usualStep is the part by which an answer moves the usual time of its route, up where it took longer
	// and down where not: a search of 36 shards brings it from twice the median to it. The median, and not
	// a mean: where one leaf in seven was nine times slower, a mean with answers counted up to slowFrom
	// ran away to three times the median, and slow leaves no longer counted as slow.
	usualStep = 0.02
	// usualFirst bounds the steps of the first answers, which are larger: the very first one may be of a small
	// request, or of one that found a pause.
	usualFirst = 0.2
	// overdueAfter is how many times the expected time a call is in flight before its leaf is taken
	// to be paused.
	overdueAfter = 2.5
	// busyCost is the cost of a used slot, in parts of a usual time, so that an idle leaf goes first.
	busyCost = 0.15
	// farCost is the factor of a leaf in another zone, where bytes are dear and a round trip takes a
	// millisecond more; it is less than a queue costs, so that no leaf fills up while others idle.
	farCost = 1.3
	// openCost is what opening a connection takes: a round trip, and 6 ms in which it holds a slot.
	openCost = 7 * time.Millisecond
	// coldPace is the pace of a leaf in its warm-up before it has answered.
	coldPace = 1.6
	// noiseUsual is the figure by which a leaf reports that its work takes as long as usual.
	noiseUsual = 100
)

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
	// Neutral says nothing of the leaf, such as a call that its caller gave up.
	Neutral
)

// Load is a leaf's own report.
type Load struct {
	Running, Waiting, Slots int
	// Noise is how long work takes at the leaf at this moment, 100 for as usual; 0 where not reported.
	Noise int
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
	// leaves by id, and the usual time and the number of answers by route; guarded by mu.
	leaves   map[catalog.LeafID]*leaf
	usual    map[string]time.Duration
	answered map[string]int
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
	return &Table{leaves: make(map[catalog.LeafID]*leaf), usual: make(map[string]time.Duration), answered: make(map[string]int)}
}

// Usual returns the usual time of a call of the route, first guessed as the given time.
func (t *Table) Usual(route string, guess time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usualOf(route, guess)
}

func (t *Table) usualOf(route string, guess time.Duration) time.Duration {
	if u, ok := t.usual[route]; ok {
		return u
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
	call := &Call{t: t, id: from[best].ID, route: route, begun: now, expected: l.expected(now, usual, from[best]), crowd: l.crowd(now, from[best])}
	l.begun[call] = struct{}{}
	l.mute.begin(now)
	return best, call
}

// cheapest returns the index of the cheapest of some candidates. Requires mu.
func (t *Table) cheapest(now time.Time, usual time.Duration, from []Candidate) int {
	best, least := 0, math.Inf(1)
	for i, c := range from {
		if cost := t.cost(t.leaf(c, now), now, usual, c); cost < least {
			best, least = i, cost
		}
	}
	return best
}

// Expect returns how long a call to the cheapest of some candidates is expected to take, and by what factor that
// is for want of a slot there.
func (t *Table) Expect(now time.Time, route string, guess time.Duration, from []Candidate) (takes time.Duration, crowd float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usual := t.usualOf(route, guess)
	best := from[t.cheapest(now, usual, from)]
	l := t.leaves[best.ID]
	return l.expected(now, usual, best), l.crowd(now, best)
}

// toward moves a value to its rest by the time passed.
func toward(value, rest float64, age, constant time.Duration) float64 {
	return rest + (value-rest)*math.Exp(-float64(age)/float64(constant))
}

// queue estimates the requests at the leaf now: the report, which ages, and our own.
func (l *leaf) queue(now time.Time) float64 {
	own := float64(len(l.begun))
	if l.loadAt.IsZero() {
		return own
	}
	reported := float64(l.load.Running + l.load.Waiting)
	return max(own, toward(reported, own, now.Sub(l.loadAt), loadForget))
}

// expected is the time that a call to the leaf would take.
func (l *leaf) expected(now time.Time, usual time.Duration, c Candidate) time.Duration {
	pace := toward(l.pace, 1, now.Sub(l.paceAt), paceForget)
	if l.slowly.now(now) > mostlySlow {
		pace = max(pace, l.slowPace)
	}
	if l.load.Noise > 0 {
		pace *= toward(float64(l.load.Noise)/noiseUsual, 1, now.Sub(l.loadAt), loadForget)
	}
	return time.Duration(float64(usual) * pace * l.crowd(now, c))
}

// crowd is how many times as long as on an idle leaf a call takes that finds the queue of this moment.
func (l *leaf) crowd(now time.Time, c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	return 1 + max(0, l.queue(now)+1-slots)/slots
}

// cost is the expected time, with what failures cost and how long a leaf that stands still already has.
// Requires mu.
func (t *Table) cost(l *leaf, now time.Time, usual time.Duration, c Candidate) float64 {
	cost := float64(l.expected(now, usual, c))
	cost += float64(usual) * busyCost * l.queue(now) / float64(max(c.Slots, 1))
	fail, slow := t.rates(l, now)
	cost += float64(usual) * (failCost*fail/(1-min(fail, failMost)) + slowCost*slow)
	if stood := l.overdue(now); stood > 0 {
		cost += float64(stood) // a leaf that stood still for so long is likely to do so as long again
	}
	if !c.Near {
		cost *= farCost
	}
	if !c.Open {
		cost += float64(openCost)
	}
	return cost
}

// overdue is how long the oldest call has been in flight beyond its due time; 0 where none is.
func (l *leaf) overdue(now time.Time) time.Duration {
	var most time.Duration
	for c := range l.begun {
		if age := now.Sub(c.begun); float64(age) > overdueAfter*float64(c.expected) {
			most = max(most, age)
		}
	}
	return most
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

// End ends the call; only the first result counts.
func (c *Call) End(r Result, now time.Time) {
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	l := c.t.leaves[c.id]
	if l == nil {
		return
	}
	delete(l.begun, c)
	took := now.Sub(c.begun)
	l.mute.end(r, took)
	switch r {
	case OK:
		c.t.learn(l, c, took, now)
	case Late:
		if ratio := float64(took) / (c.crowd * float64(max(c.t.usualOf(c.route, took), 1))); ratio > slowFrom {
			l.countSlow(now, ratio)
			c.t.step(c.route, took)
		}
	case Refused, Failed, Unreached:
		l.count(now, 1, 0)
	case Neutral:
	}
}

// count counts a call that has ended.
func (l *leaf) count(now time.Time, failed, slow float64) {
	l.own.add(now, failed, slow)
	l.lately.add(now, failed)
	l.slowly.add(now, slow)
}

// countSlow counts a call that took so many times as long as usual.
func (l *leaf) countSlow(now time.Time, ratio float64) {
	if l.slowPace == 0 {
		l.slowPace = ratio
	}
	l.slowPace += paceWeight * (ratio - l.slowPace)
	l.count(now, 0, 1)
}

// learn takes the time of an answer into the leaf's pace and the route's usual time, less what the wait for a slot
// took: a usual time that grows with the queues counted them twice, and after a burst the time expected was ten
// times the real one. Requires mu.
func (t *Table) learn(l *leaf, c *Call, took time.Duration, now time.Time) {
	took = time.Duration(float64(took) / c.crowd)
	usual, ok := t.usual[c.route]
	if !ok {
		t.usual[c.route] = took
		l.count(now, 0, 0)
		return
	}
	t.step(c.route, took)
	ratio := float64(took) / float64(max(usual, 1))
	if ratio >= slowFrom {
		l.countSlow(now, ratio)
		return
	}
	l.count(now, 0, 0)
	was := toward(l.pace, 1, now.Sub(l.paceAt), paceForget)
	l.pace, l.paceAt = was+paceWeight*(ratio-was), now
}

// step moves the usual time of a route, which is known, toward the median of the times that calls
// take. Requires mu.
func (t *Table) step(route string, took time.Duration) {
	usual := t.usual[route]
	t.answered[route]++
	step := max(usualStep, min(usualFirst, 1/float64(t.answered[route])))
	if took > usual {
		t.usual[route] = time.Duration(float64(usual) * (1 + step))
		return
	}
	t.usual[route] = max(1, time.Duration(float64(usual)*(1-step)))
}

// forgetAfter is how long a leaf is kept that is no candidate any more.
const forgetAfter = 2 * time.Minute

// Forget drops leaves that were no candidate for long.
func (t *Table) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.leaves {
		if len(l.begun) == 0 && now.Sub(l.seen) > forgetAfter {
			delete(t.leaves, id)
		}
	}
}
