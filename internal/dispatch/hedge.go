package dispatch

import (
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/retrybudget"
)

const (
	// hedgeFactor is the multiple of the expected time after which a call is hedged. About 1 in 15 calls to a
	// healthy leaf take that long, which a budget of 1 in 5 allows. A larger factor makes searches that meet a
	// paused leaf wait longer.
	hedgeFactor = 1.7
	// hedgeFactorSized replaces hedgeFactor when the parts received so far show how much work the search is:
	// without a paused leaf, nine of ten parts take less than 1.4 times their median. Until hedgeFactor is reached
	// such a hedge has a lower priority: with equal priority, hedges of small searches use up the budget for
	// repeats of refused calls, without which a search has no answer at all.
	hedgeFactorSized = 1.45
	// hedgeFactorUnsized replaces hedgeFactor while too few parts have been received to show how much work the
	// search is. An expensive search is slow at all leaves alike, and so are all searches of a VM that was
	// scheduled late. Their hedges go to many shards at once and gain nothing.
	hedgeFactorUnsized = 3
	// sizedFraction is the fraction of a search's shards whose parts suffice to show how much work it is.
	sizedFraction = 0.5
	// hedgeMinRemaining is the time that a hedge needs to be of use, as a multiple of the typical call time.
	hedgeMinRemaining = 1.6
	// hedgeMinFactor is the minimum delay of a hedge, as a multiple of the typical call time.
	hedgeMinFactor = 1.3
	// hedgeMaxLag is the scheduling lag above which a search sends no hedges until its next timer, because answers
	// that arrived in the meantime are still unread. Without this limit a busy VM took all calls of a search for
	// late and sent each a second time, which made it busier. On an idle processor the lag is about a millisecond.
	hedgeMaxLag = 5 * time.Millisecond
	// hedgeMinDelay is the minimum delay of a hedge. It exceeds the scheduling delays on a small VM.
	hedgeMinDelay = 8 * time.Millisecond
)

// callRatios holds the durations of the calls that brought a search's parts, as multiples of the expected time, in
// ascending order.
type callRatios []float64

// add inserts the ratio of one part.
func (s *callRatios) add(elapsed, expected time.Duration) {
	ratio := float64(elapsed) / float64(max(expected, 1))
	at, _ := slices.BinarySearch(*s, ratio)
	*s = slices.Insert(*s, at, ratio)
}

// median returns the median ratio for a request with the given number of groups: how many times as long as
// expected its calls take. ok is false while too few parts have been received.
func (s callRatios) median(groups int) (size float64, ok bool) {
	if groups < 2 || float64(len(s)) < sizedFraction*float64(groups) {
		return 1, false
	}
	return s[len(s)/2], true
}

// lateAt returns when the group's call in flight counts as late: after a multiple of the expected time that
// depends on the durations of the parts received, but no later than a hedge can still be of use.
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
	return !r.cannotSucceed() && r.route.Idempotent && !r.suspect && !g.hedged && g.inFlight == 1 && g.runs < r.route.MaxAttempts && g.refusals < maxRefusals
}

// hedgeDue returns when the hedge is due or is to be retried.
func (r *run) hedgeDue(g *group) time.Time {
	at := r.lateAt(g)
	if g.retryAt.After(at) {
		return g.retryAt
	}
	return at
}

// hedge sends the call to a second leaf in parallel. A hedge in a queue would displace first calls.
func (r *run) hedge(i int, now time.Time) {
	g := &r.groups[i]
	candidates := r.usable(i, r.candidates(g))
	if g.failed || r.suspect {
		return
	}
	if len(candidates) == 0 || r.isQueued(g, now) || !r.takeExtraCall(g, r.hedgeUrgency(g, now)) {
		g.retryAt = now.Add(retryPoll)
		return
	}
	g.hedged = true
	r.trace.Hedges++
	r.launch(i, candidates)
}

// isQueued reports whether all leaves of the group's service have more requests than slots.
func (r *run) isQueued(g *group, now time.Time) bool {
	return r.waitAt(now, r.e.directory.Current().Leaves[g.service]).Queued
}

// hedgeUrgency returns how much depends on a hedge. A hedge is deferrable until the last moment at which it is of
// use. It is optional if the search is late already or the call is not slow for its leaf.
func (r *run) hedgeUrgency(g *group, now time.Time) retrybudget.Urgency {
	latest := r.softDeadline.Add(-time.Duration(hedgeMinRemaining * float64(r.typical)))
	switch {
	case r.route.Search() && !now.Before(r.softDeadline), now.Before(g.sentAt.Add(time.Duration(hedgeFactor * float64(g.expectedTime)))):
		return retrybudget.Optional
	case now.Before(latest):
		return retrybudget.Deferrable
	}
	return retrybudget.Needed
}
