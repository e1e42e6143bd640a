package dispatch

import (
	"math"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// hopeless refuses a request at once where too few of its services have a leaf at all, or one that gives a
// sign of life: in a zone that is cut off from the others, and lacks leaves of some shards, all searches waited
// until their time was over, and single requests half a second for each leaf beyond the cut. Now and then one is
// made nevertheless, to find the end of it.
func (r *run) hopeless() *Answer {
	now := time.Now()
	without, mute, longest := 0, 0, time.Duration(0)
	for i := range r.groups {
		s := r.groups[i].service
		ready, lapsed := r.view.Leaves[s], r.view.Expired[s]
		if len(ready)+len(lapsed) == 0 {
			without++
			continue
		}
		if d := r.muteFor(now, ready, lapsed); d > 0 && d >= r.muteLeast() {
			mute++
			longest = max(longest, d)
		}
	}
	if len(r.groups)-without-mute >= r.needed {
		return nil
	}
	switch {
	case mute == 0:
		return r.answer(&Answer{Outcome: NotRun, Reason: ReasonNoLeaf, RetryAfter: comeBack(retryNoLeaf)})
	case r.e.probes.due(now):
		return nil
	}
	return r.answer(&Answer{Outcome: NotRun, Reason: ReasonMuteLeaves, RetryAfter: comeBack(retryMute(longest))})
}

// settlePoll is how often a search beyond its target that lacks shards looks whether their leaves are mute: a caller
// at a counter doesn't notice the difference.
const settlePoll = 25 * time.Millisecond

// waitsForMute tells whether a search beyond its target can't cover enough shards without those that give no sign of
// life: what hasn't come by then doesn't come before its time is over.
func (r *run) waitsForMute(now time.Time) bool {
	if now.Before(r.soft) || r.done >= r.needed {
		return false
	}
	short := r.needed - r.done
	for i := range r.groups {
		g := &r.groups[i]
		if g.part == nil && !g.dead && r.muteFor(now, r.view.Leaves[g.service], r.view.Expired[g.service]) == 0 {
			short--
		}
	}
	return short > 0
}

// singleMute is how many usual times of a call all leaves of a single request's service have been mute until it is
// refused: its work takes longer than a search's, and a leaf that is slow may answer in the end.
const singleMute = 10

// muteLeast is for how long leaves have to have been mute besides what counts as mute.
func (r *run) muteLeast() time.Duration {
	if r.route.Search() {
		return 0
	}
	return singleMute * r.usual
}

// retryMute is when to come back to shards that have been mute for the given time: what has lasted for a while
// is likely to do so as long again.
func retryMute(mute time.Duration) time.Duration { return min(max(mute, retryNoLeaf), retryMuteMost) }

// muteFor returns how long all of the leaves have been mute; 0 as soon as one isn't, which is the first of them
// for nearly every shard.
func (r *run) muteFor(now time.Time, lists ...[]catalog.Leaf) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, leaves := range lists {
		for _, l := range leaves {
			mute := r.e.table.Mute(l.ID, now)
			if mute == 0 {
				return 0
			}
			shortest = min(shortest, mute)
		}
	}
	return shortest
}
