package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/leafcall"
)

const (
	// initialArrivalRate is the odds of a shard of which nothing is known: of leaves that pause for 100 to 200 ms two
	// thirds of the late parts come in time, by themselves or by a hedge.
	initialArrivalRate = 0.7
	// arrivalWeight is the weight of one late part: six in a row that didn't come in time leave less than unlikely.
	arrivalWeight = 0.3
	// arrivalDecay is the time constant by which odds go back to oddsStart.
	arrivalDecay = 4 * time.Second
	// minArrivalRate are odds that a caller isn't kept waiting for: nine in ten would wait three times as long as usual for
	// a tenth of the records that doesn't come.
	minArrivalRate = 0.1
	// maxTrackedShards is the number of shards from which those of older sets are looked for.
	maxTrackedShards = 256
)

// lateArrivals learns for each shard how often a part that is late still comes while it is waited for. It is safe for
// concurrent use.
type lateArrivals struct {
	mu sync.Mutex
	// byService each service; guarded by mu.
	byService map[string]arrivalRate
}

// arrivalRate is the part of late calls that came in time, lately.
type arrivalRate struct {
	rate float64
	at   time.Time
}

func (c arrivalRate) now(now time.Time) float64 {
	return initialArrivalRate + (c.rate-initialArrivalRate)*math.Exp(-float64(now.Sub(c.at))/float64(arrivalDecay))
}

// record takes what became of a late part.
func (o *lateArrivals) record(service string, came bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byService == nil {
		o.byService = make(map[string]arrivalRate)
	}
	if len(o.byService) >= maxTrackedShards {
		o.dropOld(now)
	}
	c, known := o.byService[service]
	previous := initialArrivalRate
	if known {
		previous = c.now(now)
	}
	observed := 0.0
	if came {
		observed = 1
	}
	o.byService[service] = arrivalRate{previous + arrivalWeight*(observed-previous), now}
}

// unlikely tells whether a part of the shard that is late by now will hardly come in time.
func (o *lateArrivals) unlikely(service string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, known := o.byService[service]
	return known && c.now(now) < minArrivalRate
}

// dropOld drops shards without a late part for a while, such as those of an older set. Requires mu.
func (o *lateArrivals) dropOld(now time.Time) {
	for service, c := range o.byService {
		if now.Sub(c.at) > 5*arrivalDecay {
			delete(o.byService, service)
		}
	}
}

// overdueAt is when a part counts as late, however slow its leaf is expected to be: whether it comes all the same is
// what the odds tell.
func (r *run) overdueAt(g *group) time.Time {
	size, _ := r.ratios.median(len(r.groups))
	typical := size * float64(r.typical)
	return g.sentAt.Add(max(time.Duration(hedgeFactor*typical), hedgeMinDelay))
}

// coversEnough tells whether a search covers enough shards.
func (r *run) coversEnough() bool { return r.route.Search() && r.answeredGroups >= r.needed }

// stopWaiting tells whether a search that covers enough shards is answered without the open ones: when its time is
// over, or once all of them are late and unlikely to come in time.
func (r *run) stopWaiting(now time.Time) bool {
	over, open, givenUp := !now.Before(r.softDeadline), 0, 0
	for i := range r.groups {
		g := &r.groups[i]
		if g.part != nil || g.failed {
			continue
		}
		open++
		g.late = g.late || over || !now.Before(r.overdueAt(g))
		if over {
			r.recordLatePart(g, false, now)
		}
		if g.late && r.e.lateArrivals.unlikely(g.service, now) {
			givenUp++
		}
	}
	if !over && givenUp == open {
		r.trace.GivenUp = givenUp
	}
	return over || givenUp == open
}

// recordLatePart notes what became of a late part, once.
func (r *run) recordLatePart(g *group, came bool, now time.Time) {
	if g.late && !g.recorded {
		g.recorded = true
		r.e.lateArrivals.record(g.service, came && now.Before(r.softDeadline), now)
	}
}

// recordUnawaitedPart notes whether a part that nobody waited for any more would have come in time. It runs after the end of
// the run, whose groups don't change any more.
func (r *run) recordUnawaitedPart(i int, resp *leafcall.Response) {
	now := time.Now()
	if g := &r.groups[i]; g.late && !g.recorded {
		r.e.lateArrivals.record(g.service, resp != nil && resp.Success() && now.Before(r.softDeadline), now)
	}
}
