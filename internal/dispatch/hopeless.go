package dispatch

import (
	"math"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// refuseUnreachable refuses a request at once where too few of its services have a leaf at all, or one that gives a
// sign of life: in a zone that is cut off from the others, and lacks leaves of some shards, all searches waited
// until their time was over, and single requests half a second for each leaf beyond the cut. Now and then one is
// made nevertheless, to find the end of it.
func (r *run) refuseUnreachable() *Answer {
	now := time.Now()
	withoutLeaf, unresponsive, longest := 0, 0, time.Duration(0)
	for i := range r.groups {
		s := r.groups[i].service
		ready, expired := r.view.Leaves[s], r.view.Lapsed[s]
		if len(ready)+len(expired) == 0 {
			withoutLeaf++
			continue
		}
		if d := r.unresponsiveFor(now, ready, expired); d > 0 && d >= r.minUnresponsive() {
			unresponsive++
			longest = max(longest, d)
		}
	}
	if len(r.groups)-withoutLeaf-unresponsive >= r.needed {
		return nil
	}
	switch {
	case unresponsive == 0:
		return r.answer(&Answer{Outcome: NotRun, Reason: ReasonNoLeaf, RetryAfter: withJitter(retryNoLeaf)})
	case r.e.probes.due(now):
		return nil
	}
	return r.answer(&Answer{Outcome: NotRun, Reason: ReasonUnresponsiveLeaves, RetryAfter: withJitter(retryDelay(longest))})
}

// unresponsivePoll is how often a search beyond its target that lacks shards looks whether their leaves are mute: a caller
// at a counter doesn't notice the difference.
const unresponsivePoll = 25 * time.Millisecond

// waitsForUnresponsive tells whether a search beyond its target can't cover enough shards without those that give no sign of
// life: what hasn't come by then doesn't come before its time is over.
func (r *run) waitsForUnresponsive(now time.Time) bool {
	if now.Before(r.softDeadline) || r.answeredGroups >= r.needed {
		return false
	}
	shortfall := r.needed - r.answeredGroups
	for i := range r.groups {
		g := &r.groups[i]
		if g.part == nil && !g.failed && r.unresponsiveFor(now, r.view.Leaves[g.service], r.view.Lapsed[g.service]) == 0 {
			shortfall--
		}
	}
	return shortfall > 0
}

// singleUnresponsiveFactor is how many usual times of a call all leaves of a single request's service have been mute until it is
// refused: its work takes longer than a search's, and a leaf that is slow may answer in the end.
const singleUnresponsiveFactor = 10

// minUnresponsive is for how long leaves have to have been mute besides what counts as mute.
func (r *run) minUnresponsive() time.Duration {
	if r.route.Search() {
		return 0
	}
	return singleUnresponsiveFactor * r.typical
}

// retryUnresponsive is when to come back to shards that have been mute for the given time: what has lasted for a while
// is likely to do so as long again.
func retryDelay(d time.Duration) time.Duration { return min(max(d, retryNoLeaf), maxRetryDelay) }

// unresponsiveFor returns how long all of the leaves have been mute; 0 as soon as one isn't, which is the first of them
// for nearly every shard.
func (r *run) unresponsiveFor(now time.Time, lists ...[]catalog.Leaf) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, leaves := range lists {
		for _, l := range leaves {
			unresponsive := r.e.table.Mute(l.ID, now)
			if unresponsive == 0 {
				return 0
			}
			shortest = min(shortest, unresponsive)
		}
	}
	return shortest
}
