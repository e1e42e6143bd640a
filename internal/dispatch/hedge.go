package dispatch

import (
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/retrybudget"
)

const (
	// hedgeFactor is how many times the expected time a call takes before another leaf is asked beside it.
	// About 1 in 15 calls to a sound leaf take so long, which a budget of 1 in 5 allows; with more, a search that
	// meets a pause of a leaf waits for it the longer.
	hedgeFactor = 1.7
	// hedgeFactorSized is the same where the parts that are in tell how much work the search is: nine of ten take less
	// than 1.4 times their median where no leaf pauses. Until hedgeAfter such a hedge is worth less than others:
	// served alike, hedges of small searches take the budget from repeats of refused calls, without which a search
	// has no answer at all.
	hedgeFactorSized = 1.45
	// hedgeFactorUnsized is used in place of it while too few parts of a search are in to tell how much work it is: one
	// that is much work is slow at all leaves alike, and so are all of a VM whose turn of a processor came late.
	// Hedges of these go to many shards at once and bring nothing.
	hedgeFactorUnsized = 3
	// sizedFraction is the part of a search's shards whose parts tell how much work it is.
	sizedFraction = 0.5
	// hedgeMinRemaining is how many usual times a hedge needs to be of use.
	hedgeMinRemaining = 1.6
	// hedgeMinFactor is how many usual times a hedge waits at least.
	hedgeMinFactor = 1.3
	// hedgeMaxLag is by how much a turn of this VM's processor comes late from which its search hedges nothing until
	// the next one: answers that came meanwhile wait to be read. A busy VM took all of a search's calls for late and
	// sent each a second time, which made it busier. Where the processor is free a turn is late by a millisecond.
	hedgeMaxLag = 5 * time.Millisecond
	// hedgeMinDelay is the least delay of a hedge, above the turns of a small VM's processor.
	hedgeMinDelay = 8 * time.Millisecond
)

// callRatios are what the parts of one search took, as multiples of the time expected, in order.
type callRatios []float64

// add takes a part.
func (s *callRatios) add(elapsed, expected time.Duration) {
	ratio := float64(elapsed) / float64(max(expected, 1))
	at, _ := slices.BinarySearch(*s, ratio)
	*s = slices.Insert(*s, at, ratio)
}

// size returns the size of a request with so many groups: how many times as long as expected its calls take. It
// isn't ok while too few parts are in.
func (s callRatios) median(groups int) (size float64, ok bool) {
	if groups < 2 || float64(len(s)) < sizedFraction*float64(groups) {
		return 1, false
	}
	return s[len(s)/2], true
}

// lateAt is when the call in flight of the group counts as late: after a multiple of the time expected, by what
// the parts that are in took, but no later than a hedge could still be of use.
func (r *run) lateAt(g *group) time.Time {
	size, ok := r.ratios.median(len(r.groups))
	after := hedgeFactor
	switch {
	case ok:
		after = hedgeFactorSized
	case r.route.Search():
		after = hedgeFactorUnsized
	}
	typical := size * float64(r.typical)
	at := g.sentAt.Add(max(time.Duration(after*size*float64(g.expectedTime)), hedgeMinDelay))
	at = earlier(at, r.softDeadline.Add(-time.Duration(hedgeMinRemaining*typical)))
	if earliest := g.sentAt.Add(max(time.Duration(hedgeMinFactor*typical), hedgeMinDelay)); at.Before(earliest) {
		return earliest
	}
	return at
}

func (r *run) canHedge(g *group) bool {
	return r.route.Idempotent && !g.hedged && g.inFlight == 1 && g.runs < r.route.MaxAttempts && g.refusals < maxRefusals
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
	candidates := r.withFreeConnection(r.candidates(g))
	if len(candidates) == 0 || !r.takeExtraCall(g, r.hedgeUrgency(g, now)) {
		g.retryAt = now.Add(retryPoll)
		return
	}
	g.hedged = true
	r.trace.Hedges++
	r.launch(i, candidates)
}

// hedgeUrgency says how much depends on a hedge: it can wait until the latest moment at which it is of use, and one
// of a search that is late already, or of a call that isn't slow for its leaf, is worth less than those of others.
func (r *run) hedgeUrgency(g *group, now time.Time) retrybudget.Urgency {
	latest := r.softDeadline.Add(-time.Duration(hedgeMinRemaining * float64(r.typical)))
	switch {
	case r.route.Search() && !now.Before(r.softDeadline), now.Before(g.sentAt.Add(time.Duration(hedgeFactor * float64(g.expectedTime)))):
		return retrybudget.Optional
	case now.Before(latest):
		return retrybudget.Waiting
	}
	return retrybudget.Needed
}
