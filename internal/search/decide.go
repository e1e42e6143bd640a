package search

import (
	"math"
	"time"

	"github.com/burdockplank/burdockplank/internal/bundle"
)

// freeLosses is how many broken connections of one shard are retried without the budget. A
// crashing request may end two replicas of a group at about the same time.
const freeLosses = 2

// shardFacts is what the rules for one shard look at.
type shardFacts struct {
	// active calls in flight, tries made so far.
	active, tries int
	// sheds is how many replicas refused for load in this run.
	sheds int
	// lost is how many connections broke with a call of the shard.
	lost int
	// others is how many usable replicas were not asked yet.
	others int
	// usable is how many replicas may be asked at all.
	usable int
	// hedged is true where a hedge was sent.
	hedged bool
	// mayAsk is false while the request may crash the leaf that it is sent to.
	mayAsk bool
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
	stepRetryFree
	// stepRetryAny: ask any replica, the same one too; the failed call was no load to an upstream.
	stepRetryAny
)

// afterFailure is the rule for a failed call of a shard.
func afterFailure(f failure, s shardFacts) step {
	facts := failures[f]
	switch {
	case s.active > 0:
		return stepWait
	case !facts.again || s.tries >= maxTries:
		return stepGiveUp
	case f == failShed && s.sheds > 1:
		return stepGiveUp // the group is overloaded
	case !s.mayAsk:
		return stepPark
	case f == failSilent && s.others == 0 && s.usable > 0:
		return stepRetryAny
	case s.others == 0:
		return stepGiveUp
	case facts.free, f == failLost && s.lost <= freeLosses:
		return stepRetryFree
	}
	return stepRetry
}

// mayHedge is the rule for a second call beside one that takes long. The budget is asked only
// where it says yes.
func mayHedge(s shardFacts) bool {
	return s.active == 1 && !s.hedged && s.sheds == 0 && s.others > 0 && s.mayAsk && s.tries < maxTries
}

// policy is what the kind says of late shards, with the service's usual time.
type policy struct {
	partial       bundle.Partial
	earlyCoverage float64
	earlyAfter    float64
	// usual is the usual time of the slowest shard, 0 while it isn't known.
	usual time.Duration
}

// earlyAt returns how long after its start a search may be answered without its stragglers, and
// whether it ever may.
func (p policy) earlyAt() (time.Duration, bool) {
	if p.partial != bundle.PartialLatency || p.usual <= 0 || p.earlyAfter <= 0 {
		return 0, false
	}
	return time.Duration(p.earlyAfter * float64(p.usual)), true
}

// early tells whether to answer now without the shards that are late.
func (p policy) early(elapsed time.Duration, covered float64) bool {
	at, may := p.earlyAt()
	return may && elapsed >= at && covered > 0 && covered >= p.earlyCoverage
}

// needed returns how many of n shards the kind waits for, at least 1.
func (p policy) needed(n int) int {
	if p.partial != bundle.PartialLatency || p.earlyCoverage <= 0 {
		return n
	}
	return min(n, max(1, int(math.Ceil(p.earlyCoverage*float64(n)))))
}

// mayRerun tells whether a whole query may run again at another snapshot.
func mayRerun(reruns int, left, usual, elapsed time.Duration) bool {
	need := usual
	if need == 0 {
		need = elapsed
	}
	return reruns == 0 && left > need
}
