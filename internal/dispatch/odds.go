package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/leafcall"
)

const (
	// oddsStart is the odds of a shard of which nothing is known: of leaves that pause for 100 to 200 ms two
	// thirds of the late parts come in time, by themselves or by a hedge.
	oddsStart = 0.7
	// oddsWeight is the weight of one late part: six in a row that didn't come in time leave less than unlikely.
	oddsWeight = 0.3
	// oddsForget is the time constant by which odds go back to oddsStart.
	oddsForget = 4 * time.Second
	// unlikely are odds that a caller isn't kept waiting for: nine in ten would wait three times as long as usual for
	// a tenth of the records that doesn't come.
	unlikely = 0.1
	// oddsMost is the number of shards from which those of older sets are looked for.
	oddsMost = 256
)

// odds learns for each shard how often a part that is late still comes while it is waited for. It is safe for
// concurrent use.
type odds struct {
	mu sync.Mutex
	// of each service; guarded by mu.
	of map[string]chance
}

// chance is the part of late calls that came in time, lately.
type chance struct {
	came float64
	at   time.Time
}

func (c chance) now(now time.Time) float64 {
	return oddsStart + (c.came-oddsStart)*math.Exp(-float64(now.Sub(c.at))/float64(oddsForget))
}

// note takes what became of a late part.
func (o *odds) note(service string, came bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.of == nil {
		o.of = make(map[string]chance)
	}
	if len(o.of) >= oddsMost {
		o.forget(now)
	}
	c, known := o.of[service]
	was := oddsStart
	if known {
		was = c.now(now)
	}
	is := 0.0
	if came {
		is = 1
	}
	o.of[service] = chance{was + oddsWeight*(is-was), now}
}

// unlikely tells whether a part of the shard that is late by now will hardly come in time.
func (o *odds) unlikely(service string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, known := o.of[service]
	return known && c.now(now) < unlikely
}

// forget drops shards without a late part for a while, such as those of an older set. Requires mu.
func (o *odds) forget(now time.Time) {
	for service, c := range o.of {
		if now.Sub(c.at) > 5*oddsForget {
			delete(o.of, service)
		}
	}
}

// doubtAt is when a part counts as late, however slow its leaf is expected to be: whether it comes all the same is
// what the odds tell.
func (r *run) doubtAt(g *group) time.Time {
	size, _ := r.sizes.of(len(r.groups))
	usual := size * float64(r.usual)
	return g.begun.Add(max(time.Duration(hedgeAfter*usual), hedgeLeast))
}

// mayAnswer tells whether a search covers enough shards.
func (r *run) mayAnswer() bool { return r.route.Search() && r.done >= r.needed }

// enough tells whether a search that covers enough shards is answered without the open ones: when its time is
// over, or once all of them are late and unlikely to come in time.
func (r *run) enough(now time.Time) bool {
	over, open, givenUp := !now.Before(r.soft), 0, 0
	for i := range r.groups {
		g := &r.groups[i]
		if g.part != nil || g.dead {
			continue
		}
		open++
		g.late = g.late || over || !now.Before(r.doubtAt(g))
		if over {
			r.noteLate(g, false, now)
		}
		if g.late && r.e.odds.unlikely(g.service, now) {
			givenUp++
		}
	}
	if !over && givenUp == open {
		r.trace.GivenUp = givenUp
	}
	return over || givenUp == open
}

// noteLate notes what became of a late part, once.
func (r *run) noteLate(g *group, came bool, now time.Time) {
	if g.late && !g.noted {
		g.noted = true
		r.e.odds.note(g.service, came && now.Before(r.soft), now)
	}
}

// learnLate notes whether a part that nobody waited for any more would have come in time. It runs after the end of
// the run, whose groups don't change any more.
func (r *run) learnLate(i int, resp *leafcall.Response) {
	now := time.Now()
	if g := &r.groups[i]; g.late && !g.noted {
		r.e.odds.note(g.service, resp != nil && resp.Success() && now.Before(r.soft), now)
	}
}
