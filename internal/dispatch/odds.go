package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/leafcall"
)

const (
	// initialArrivalRate is the arrival rate assumed for a shard without observations. Of leaves that pause for
	// 100 to 200 ms, two thirds of the late parts arrive in time, on their own or through a hedge.
	initialArrivalRate = 0.7
	// arrivalWeight is the weight of one late part. Six in a row that do not arrive in time bring the rate below
	// minArrivalRate.
	arrivalWeight = 0.3
	// arrivalDecay is the time constant by which a rate returns to initialArrivalRate.
	arrivalDecay = 4 * time.Second
	// minArrivalRate is the arrival rate below which a caller is not kept waiting for a late part. Otherwise nine
	// in ten callers would wait three times the typical time for a tenth of the records that does not arrive.
	minArrivalRate = 0.1
	// maxTrackedShards is the number of tracked shards from which entries of older shard sets are dropped.
	maxTrackedShards = 256
)

// lateArrivals estimates for each shard how often a late part still arrives while the search waits for it. It is
// safe for concurrent use.
type lateArrivals struct {
	mu sync.Mutex
	// byService is guarded by mu.
	byService map[string]arrivalRate
}

// arrivalRate is the moving average of the fraction of late parts that arrived in time.
type arrivalRate struct {
	rate float64
	at   time.Time
}

func (c arrivalRate) now(now time.Time) float64 {
	return initialArrivalRate + (c.rate-initialArrivalRate)*math.Exp(-float64(now.Sub(c.at))/float64(arrivalDecay))
}

// record updates the rate of the service with the outcome of one late part.
func (a *lateArrivals) record(service string, arrived bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byService == nil {
		a.byService = make(map[string]arrivalRate)
	}
	if len(a.byService) >= maxTrackedShards {
		a.dropOld(now)
	}
	c, known := a.byService[service]
	previous := initialArrivalRate
	if known {
		previous = c.now(now)
	}
	observed := 0.0
	if arrived {
		observed = 1
	}
	a.byService[service] = arrivalRate{previous + arrivalWeight*(observed-previous), now}
}

// unlikely reports whether a part of the shard that is already late is unlikely to arrive in time.
func (a *lateArrivals) unlikely(service string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, known := a.byService[service]
	return known && c.now(now) < minArrivalRate
}

// dropOld drops shards that have had no late part for a while, such as those of an older shard set. Requires mu.
func (a *lateArrivals) dropOld(now time.Time) {
	for service, c := range a.byService {
		if now.Sub(c.at) > 5*arrivalDecay {
			delete(a.byService, service)
		}
	}
}

// overdueAt returns when a part counts as late for its arrival rate, regardless of how slow its leaf is expected
// to be. Whether it still arrives is estimated by lateArrivals.
func (r *run) overdueAt(g *group) time.Time {
	size, _ := r.ratios.median(len(r.groups))
	typical := size * float64(r.typical)
	return g.sentAt.Add(max(time.Duration(hedgeFactor*typical), hedgeMinDelay))
}

// coversEnough reports whether a search covers enough shards.
func (r *run) coversEnough() bool { return r.route.Search() && r.answeredGroups >= r.needed }

// stopWaiting reports whether a search that covers enough shards is answered without the open ones. That is the
// case when its target has passed, or when all open shards are late and unlikely to arrive in time.
func (r *run) stopWaiting(now time.Time) bool {
	pastTarget, open, givenUp := !now.Before(r.softDeadline), 0, 0
	for i := range r.groups {
		g := &r.groups[i]
		if g.part != nil || g.failed {
			continue
		}
		open++
		g.late = g.late || pastTarget || !now.Before(r.overdueAt(g))
		if pastTarget {
			r.recordLatePart(g, false, now)
		}
		if g.late && r.e.lateArrivals.unlikely(g.service, now) {
			givenUp++
		}
	}
	if !pastTarget && givenUp == open {
		r.trace.GivenUp = givenUp
	}
	return pastTarget || givenUp == open
}

// recordLatePart records the outcome of a late part, once.
func (r *run) recordLatePart(g *group, arrived bool, now time.Time) {
	if g.late && !g.recorded {
		g.recorded = true
		r.e.lateArrivals.record(g.service, arrived && now.Before(r.softDeadline), now)
	}
}

// recordUnawaitedPart records whether a part that arrives after the answer would have been in time. It runs after
// the end of the run, when its groups no longer change.
func (r *run) recordUnawaitedPart(i int, resp *leafcall.Response) {
	now := time.Now()
	if g := &r.groups[i]; g.late && !g.recorded {
		r.e.lateArrivals.record(g.service, resp != nil && resp.Success() && now.Before(r.softDeadline), now)
	}
}
