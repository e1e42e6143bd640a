package search

import (
	"math"
	"time"

	"github.com/burdockplank/burdockplank/internal/bundle"
)

// maxUnbudgetedLosses is how many lost connections of one shard are retried without the retry budget. A crashing
// request may end two replicas of a group at about the same time.
const maxUnbudgetedLosses = 2

// shardFacts is the input of the retry and hedge rules for one shard.
type shardFacts struct {
	// inFlight is the number of calls in flight, attempts the number of calls made so far.
	inFlight, attempts int
	// sheds is the number of replicas that refused for load in this run.
	sheds int
	// losses is the number of connections lost with a call of the shard.
	losses int
	// unsent is the number of calls of the shard that were not sent.
	unsent int
	// untried is the number of usable replicas that were not called yet.
	untried int
	// usable is the number of replicas that may be called, including those called before.
	usable int
	// hedged is true if a hedge was sent or is ruled out.
	hedged bool
	// mayCallMore is false while the request may crash the leaf that it is sent to.
	mayCallMore bool
}

// step is the reaction to a failed call of a shard.
type step int

const (
	// stepGiveUp reports the shard as missing.
	stepGiveUp step = iota
	// stepWait waits for another call of the shard that is still in flight.
	stepWait
	// stepPark postpones the next call until a leaf has answered the request.
	stepPark
	// stepRetry calls another replica if the retry budget allows it.
	stepRetry
	// stepRetryUnbudgeted calls another replica without the retry budget: the failed call put no load on an upstream
	// that still runs.
	stepRetryUnbudgeted
	// stepRetryAnyReplica calls any replica, including those called before: the failed call put no load on an upstream.
	stepRetryAnyReplica
)

// afterFailure returns the reaction to a failed call of a shard.
func afterFailure(f failure, s shardFacts) step {
	facts := failures[f]
	switch {
	case s.inFlight > 0:
		return stepWait
	case s.awaitsReconnection(f):
		return stepRetryAnyReplica
	case !facts.retryable || s.attempts >= maxAttempts:
		return stepGiveUp
	case f == failShed && s.sheds > 1:
		return stepGiveUp // the group is overloaded
	case !s.mayCallMore:
		return stepPark
	case (f == failSilent || f == failTooLate) && s.untried == 0 && s.usable > 0:
		return stepRetryAnyReplica
	case s.untried == 0:
		return stepGiveUp
	case facts.unbudgeted, f == failLost && s.losses <= maxUnbudgetedLosses:
		return stepRetryUnbudgeted
	}
	return stepRetry
}

// maxUnsentRetries is how many calls of a shard may wait in vain for connections that replace silent ones. Each of them
// waits a tenth of a second at most, and a leaf counts as usable for three tenths without a connection.
const maxUnsentRetries = 4

// awaitsReconnection reports whether a call was not sent because the connections of the shard's leaves have been found
// silent, maybe by calls of other shards or searches, and are being replaced: a leaf without a connection counts as usable
// only then. No leaf is at work on the request, and all of them may have been called in vain.
func (s shardFacts) awaitsReconnection(f failure) bool {
	return f == failNotSent && s.untried == 0 && s.usable > 0 && s.unsent <= maxUnsentRetries && s.mayCallMore
}

// mayHedge reports whether a second call may be made beside one that takes long. The hedge budget is asked only if it
// returns true.
func mayHedge(s shardFacts) bool {
	return s.inFlight == 1 && !s.hedged && s.sheds == 0 && s.untried > 0 && s.mayCallMore && s.attempts < maxAttempts
}

// policy is the kind's policy for late shards, with the typical time of the service.
type policy struct {
	partial       bundle.Partial
	earlyCoverage float64
	earlyAfter    float64
	// typical is the typical time of the slowest shard, 0 while it is unknown.
	typical time.Duration
}

// earlyAt returns how long after its start a search may be answered without its stragglers, and whether it may be at
// all.
func (p policy) earlyAt() (time.Duration, bool) {
	if p.partial != bundle.PartialLatency || p.typical <= 0 || p.earlyAfter <= 0 {
		return 0, false
	}
	return time.Duration(p.earlyAfter * float64(p.typical)), true
}

// early reports whether to answer now without the shards that are late.
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

// mayRerun reports whether a whole query may run again at another snapshot: at most once, and only if more than the
// typical time remains. While that is unknown, the time elapsed in the current run stands in for it.
func mayRerun(reruns int, remaining, typical, elapsed time.Duration) bool {
	required := typical
	if required == 0 {
		required = elapsed
	}
	return reruns == 0 && remaining > required
}
