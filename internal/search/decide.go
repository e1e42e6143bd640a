package search

import (
	"math"
	"time"

	"github.com/burdockplank/burdockplank/internal/bundle"
)

// maxUnbudgetedLosses is how many broken connections of one shard are retried without the budget. A
// crashing request may end two replicas of a group at about the same time.
const maxUnbudgetedLosses = 2

// shardFacts is what the rules for one shard look at.
type shardFacts struct {
	// inFlight calls in flight, tries made so far.
	inFlight, attempts int
	// sheds is how many replicas refused for load in this run.
	sheds int
	// losses is how many connections broke with a call of the shard.
	losses int
	// untried is how many usable replicas were not asked yet.
	untried int
	// usable is how many replicas may be asked at all.
	usable int
	// hedged is true where a hedge was sent.
	hedged bool
	// mayCallMore is false while the request may crash the leaf that it is sent to.
	mayCallMore bool
}

// step is what to do about a shard whose call failed.
type step int

const (
	// stepGiveUp: the shard is missing.
	stepGiveUp step = iota
	// stepWait: another call of the shard is still in flight.
	stepWait
	// stepPark: asking again waits until some leaf has answered the request.
	stepPark
	// stepRetry: ask another replica where the budget allows.
	stepRetry
	// stepRetryFree: ask another replica; the failed call was no load to an upstream.
	stepRetryUnbudgeted
	// stepRetryAny: ask any replica, the same one too; the failed call was no load to an upstream.
	stepRetryAnyReplica
)

// afterFailure is the rule for a failed call of a shard.
func afterFailure(f failure, s shardFacts) step {
	facts := failures[f]
	switch {
	case s.inFlight > 0:
		return stepWait
	case !facts.retryable || s.attempts >= maxAttempts:
		return stepGiveUp
	case f == failShed && s.sheds > 1:
		return stepGiveUp // the group is overloaded
	case !s.mayCallMore:
		return stepPark
	case f == failSilent && s.untried == 0 && s.usable > 0:
		return stepRetryAnyReplica
	case s.untried == 0:
		return stepGiveUp
	case facts.unbudgeted, f == failLost && s.losses <= maxUnbudgetedLosses:
		return stepRetryUnbudgeted
	}
	return stepRetry
}

// mayHedge is the rule for a second call beside one that takes long. The budget is asked only
// where it says yes.
func mayHedge(s shardFacts) bool {
	return s.inFlight == 1 && !s.hedged && s.sheds == 0 && s.untried > 0 && s.mayCallMore && s.attempts < maxAttempts
}

// policy is what the kind says of late shards, with the service's usual time.
type policy struct {
	partial       bundle.Partial
	earlyCoverage float64
	earlyAfter    float64
	// typical is the usual time of the slowest shard, 0 while it isn't known.
	typical time.Duration
}

// earlyAt returns how long after its start a search may be answered without its stragglers, and
// whether it ever may.
func (p policy) earlyAt() (time.Duration, bool) {
	if p.partial != bundle.PartialLatency || p.typical <= 0 || p.earlyAfter <= 0 {
		return 0, false
	}
	return time.Duration(p.earlyAfter * float64(p.typical)), true
}

// early tells whether to answer now without the shards that are late.
func (p policy) early(elapsed time.Duration, covered float64) bool {
	at, allowed := p.earlyAt()
	return allowed && elapsed >= at && covered > 0 && covered >= p.earlyCoverage
}

// needed returns how many of n shards the kind waits for, at least 1.
func (p policy) needed(n int) int {
	if p.partial != bundle.PartialLatency || p.earlyCoverage <= 0 {
		return n
	}
	return min(n, max(1, int(math.Ceil(p.earlyCoverage*float64(n)))))
}

// mayRerun tells whether a whole query may run again at another snapshot.
func mayRerun(reruns int, remaining, typical, elapsed time.Duration) bool {
	required := typical
	if required == 0 {
		required = elapsed
	}
	return reruns == 0 && remaining > required
}
