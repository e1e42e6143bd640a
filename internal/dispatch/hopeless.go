package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// hopeless refuses a request at once where too few of its services have a leaf at all, or one that gives a
// sign of life: in a zone that is cut off from the others, and lacks leaves of some shards, all searches waited
// until their time was over. Now and then one is made nevertheless, to find the end of it.
func (r *run) hopeless() *Answer {
	now := time.Now()
	without, mute, longest := 0, 0, time.Duration(0)
	for i := range r.groups {
		s := r.groups[i].service
		leaves := append(slices.Clone(r.view.Leaves[s]), r.view.Lapsed[s]...)
		if len(leaves) == 0 {
			without++
			continue
		}
		if d := r.muteFor(leaves, now); d > 0 && r.route.Search() {
			mute++
			longest = max(longest, d)
		}
	}
	if len(r.groups)-without-mute >= r.needed() {
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

// retryMute is when to come back to shards that have been mute for the given time: what has lasted for a while
// is likely to do so as long again.
func retryMute(mute time.Duration) time.Duration { return min(max(mute, retryNoLeaf), retryMuteMost) }

// muteFor returns how long all of the leaves have been mute, 0 where one isn't.
func (r *run) muteFor(leaves []catalog.Leaf, now time.Time) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, l := range leaves {
		shortest = min(shortest, r.e.table.Mute(l.ID, now))
	}
	return shortest
}
