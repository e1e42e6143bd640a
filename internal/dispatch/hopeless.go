package dispatch

import (
	"math"
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
		ready, lapsed := r.view.Leaves[s], r.view.Lapsed[s]
		if len(ready)+len(lapsed) == 0 {
			without++
			continue
		}
		if !r.route.Search() {
			continue
		}
		if d := r.muteFor(now, ready, lapsed); d > 0 {
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
