package dispatch

import (
	"math"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// refuseUnreachable refuses a request immediately if too few of its services have a leaf at all, or a leaf that
// responds. Without this, in a zone cut off from the others and without leaves of some shards, all searches waited
// until their deadline, and single requests waited half a second for each leaf beyond the partition. Occasional
// probe requests are still let through, to detect the end of the partition.
func (r *run) refuseUnreachable() *Answer {
	now := time.Now()
	withoutLeaf, unresponsive, longest := 0, 0, time.Duration(0)
	lacking := ""
	for i := range r.groups {
		s := r.groups[i].service
		ready, expired := r.view.Leaves[s], r.view.Expired[s]
		if !r.mayCallAny(now, ready, expired) {
			withoutLeaf++
			lacking = s
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
		reason, after := r.unavailableReason(lacking, now)
		return r.answer(&Answer{Outcome: NotRun, Reason: reason, RetryAfter: withJitter(after)})
	case r.e.probes.due(now):
		return nil
	}
	return r.answer(&Answer{Outcome: NotRun, Reason: ReasonUnresponsiveLeaves, RetryAfter: withJitter(retryDelay(longest))})
}

// unresponsivePoll is how often a search past its target that lacks shards checks whether their leaves are
// unresponsive. A person waiting for the answer does not notice this delay.
const unresponsivePoll = 25 * time.Millisecond

// waitsForUnresponsive reports whether a search past its target cannot cover enough shards without unresponsive
// ones. Parts that have not arrived by then do not arrive before the deadline.
func (r *run) waitsForUnresponsive(now time.Time) bool {
	if now.Before(r.softDeadline) || r.answeredGroups >= r.needed {
		return false
	}
	shortfall := r.needed - r.answeredGroups
	for i := range r.groups {
		g := &r.groups[i]
		if g.part == nil && !g.failed && r.unresponsiveFor(now, r.view.Leaves[g.service], r.view.Expired[g.service]) == 0 {
			shortfall--
		}
	}
	return shortfall > 0
}

// singleUnresponsiveFactor is the multiple of the typical call time for which all leaves of a single request's
// service have to be unresponsive before it is refused. A single request is more work than a search call, and a
// slow leaf may still answer.
const singleUnresponsiveFactor = 10

// minUnresponsive returns how long leaves have to be unresponsive, beyond the time after which they count as such.
func (r *run) minUnresponsive() time.Duration {
	if r.route.Search() {
		return 0
	}
	return singleUnresponsiveFactor * r.typical
}

// retryDelay returns the retry delay for shards that have been unresponsive for the given time. A state that has
// lasted for some time is likely to last as long again.
func retryDelay(d time.Duration) time.Duration { return min(max(d, retryNoLeaf), maxRetryDelay) }

// unresponsiveFor returns how long all of the leaves have been unresponsive, or 0 if any leaf responds. For nearly
// every shard the first leaf already does.
func (r *run) unresponsiveFor(now time.Time, lists ...[]catalog.Leaf) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, leaves := range lists {
		for _, l := range leaves {
			unresponsive := r.e.table.UnresponsiveFor(l.ID, now)
			if unresponsive == 0 {
				return 0
			}
			shortest = min(shortest, unresponsive)
		}
	}
	return shortest
}
