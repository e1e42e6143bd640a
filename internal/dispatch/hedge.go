package dispatch

import (
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/retrybudget"
)

const (
	// hedgeAfter is how many times the expected time a call takes before another leaf is asked beside it.
	// About 1 in 15 calls to a sound leaf take so long, which a budget of 1 in 5 allows; with more, a search that
	// meets a pause of a leaf waits for it the longer.
	hedgeAfter = 1.7
	// hedgeJudged is the same where the parts that are in tell how much work the search is: nine of ten take less
	// than 1.4 times their median where no leaf pauses. Until hedgeAfter such a hedge is worth less than others:
	// served alike, hedges of small searches take the budget from repeats of refused calls, without which a search
	// has no answer at all.
	hedgeJudged = 1.45
	// hedgeBlind is used in place of it while too few parts of a search are in to tell how much work it is: one
	// that is much work is slow at all leaves alike, and so are all of a VM whose turn of a processor came late.
	// Hedges of these go to many shards at once and bring nothing.
	hedgeBlind = 3
	// judgedBy is the part of a search's shards whose parts tell how much work it is.
	judgedBy = 0.5
	// hedgeRoom is how many usual times a hedge needs to be of use.
	hedgeRoom = 1.6
	// hedgeSoonest is how many usual times a hedge waits at least.
	hedgeSoonest = 1.3
	// stoodStill is by how much a turn of this VM's processor comes late from which its search hedges nothing until
	// the next one: answers that came meanwhile wait to be read. A busy VM took all of a search's calls for late and
	// sent each a second time, which made it busier. Where the processor is free a turn is late by a millisecond.
	stoodStill = 5 * time.Millisecond
	// hedgeLeast is the least delay of a hedge, above the turns of a small VM's processor.
	hedgeLeast = 8 * time.Millisecond
)

// sizes are what the parts of one search took, as multiples of the time expected, in order.
type sizes []float64

// add takes a part.
func (s *sizes) add(took, expected time.Duration) {
	ratio := float64(took) / float64(max(expected, 1))
	at, _ := slices.BinarySearch(*s, ratio)
	*s = slices.Insert(*s, at, ratio)
}

// of returns the size of a request with so many groups: how many times as long as expected its calls take. It
// isn't ok while too few parts are in.
func (s sizes) of(groups int) (size float64, ok bool) {
	if groups < 2 || float64(len(s)) < judgedBy*float64(groups) {
		return 1, false
	}
	return s[len(s)/2], true
}

// lateAt is when the call in flight of the group counts as late: after a multiple of the time expected, by what
// the parts that are in took, but no later than a hedge could still be of use.
func (r *run) lateAt(g *group) time.Time {
	size, ok := r.sizes.of(len(r.groups))
	after := hedgeAfter
	switch {
	case ok:
		after = hedgeJudged
	case r.route.Search():
		after = hedgeBlind
	}
	usual := size * float64(r.usual)
	at := g.begun.Add(max(time.Duration(after*size*float64(g.expected)), hedgeLeast))
	at = earlier(at, r.soft.Add(-time.Duration(hedgeRoom*usual)))
	if soonest := g.begun.Add(max(time.Duration(hedgeSoonest*usual), hedgeLeast)); at.Before(soonest) {
		return soonest
	}
	return at
}

func (r *run) mayHedge(g *group) bool {
	return r.route.Idempotent && !g.hedged && g.inFlight == 1 && g.runs < r.route.MaxAttempts && g.refusals < refusedMost
}

// hedgeDue is when a hedge is due, or is tried again.
func (r *run) hedgeDue(g *group) time.Time {
	at := r.lateAt(g)
	if g.retryAt.After(at) {
		return g.retryAt
	}
	return at
}

// hedge asks a second leaf beside a call that takes long.
func (r *run) hedge(i int, now time.Time) {
	g := &r.groups[i]
	from := r.free(r.candidates(g))
	if len(from) == 0 || !r.takeExtra(g, r.hedgeUrgency(g, now)) {
		g.retryAt = now.Add(poll)
		return
	}
	g.hedged = true
	r.trace.Hedges++
	r.launch(i, from)
}

// hedgeUrgency says how much depends on a hedge: it can wait until the latest moment at which it is of use, and one
// of a search that is late already, or of a call that isn't slow for its leaf, is worth less than those of others.
func (r *run) hedgeUrgency(g *group, now time.Time) retrybudget.Urgency {
	latest := r.soft.Add(-time.Duration(hedgeRoom * float64(r.usual)))
	switch {
	case r.route.Search() && !now.Before(r.soft), now.Before(g.begun.Add(time.Duration(hedgeAfter * float64(g.expected)))):
		return retrybudget.Optional
	case now.Before(latest):
		return retrybudget.Waiting
	}
	return retrybudget.Needed
}
