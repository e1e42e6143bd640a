package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// admitUpTo is the part of a search's time that its calls may be expected to take where leaves have queues. A
	// leaf works as much with a short queue as with a long one: what is let in beyond this is late, and makes all
	// the rest late. The rest of the time is for what can't be expected: a pause, a repeat, the way back.
	admitUpTo = 0.9
	// admitBand is how far around that limit some are refused and some let in, so that the VMs, which see the same
	// queues, don't close and open together.
	admitBand = 0.35
	// urgentMore is by how much higher the limit is for each rank by which a route is above the least urgent one
	// of the same shards.
	urgentMore = 0.15
	// crowdLeast is by how many times a queue makes a call longer from which a shard counts as crowded: as many
	// requests wait as there are slots.
	crowdLeast = 2
	// kindKeep is how long a route without a search counts among those of its shards.
	kindKeep = 5 * time.Second
)

// kinds knows which routes search the same shards, and how much of a queue each can bear. It is safe for
// concurrent use.
type kinds struct {
	mu sync.Mutex
	// by the first shard and the route's name; guarded by mu.
	by map[string]map[string]kind
}

// kind is what one route can bear.
type kind struct {
	// room is how many usual times of a call its searches have.
	room     float64
	priority int
	at       time.Time
}

// limit notes a search of the route and returns up to which multiple of the usual time its calls may be expected
// to take: what the route with the least room of those on the same shards can bear, since all wait in the same
// queues, and somewhat more where this one is more urgent.
func (k *kinds) limit(route *catalog.Route, room float64, now time.Time) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.by == nil {
		k.by = make(map[string]map[string]kind)
	}
	same := k.by[route.Shards[0]]
	if same == nil {
		k.forget(now)
		same = make(map[string]kind)
		k.by[route.Shards[0]] = same
	}
	same[route.Name] = kind{room, route.Priority, now}
	least, last := room, route.Priority
	for name, other := range same {
		if now.Sub(other.at) > kindKeep {
			delete(same, name)
			continue
		}
		least, last = min(least, other.room), max(last, other.priority)
	}
	return admitUpTo * least * (1 + urgentMore*float64(last-route.Priority))
}

// forget drops shards that no route searches any more. Requires mu.
func (k *kinds) forget(now time.Time) {
	for shard, same := range k.by {
		for name, other := range same {
			if now.Sub(other.at) > kindKeep {
				delete(same, name)
			}
		}
		if len(same) == 0 {
			delete(k.by, shard)
		}
	}
}

// overloaded refuses a search at once where the queues at the leaves of too many shards are so long that it would
// be late, and leaves out the shards that can't answer in time where it can do without them: both take work off
// leaves that can't do it in time, so that what is let in is.
func (r *run) overloaded() *Answer {
	if !r.route.Search() {
		return nil
	}
	now := time.Now()
	usual := r.usual
	left := r.soft.Sub(now)
	limit := r.e.kinds.limit(r.route, float64(left)/float64(max(usual, 1)), now)
	expected := r.crowded(now)
	slices.SortFunc(expected, func(a, b expectation) int { return cmp.Compare(b.takes, a.takes) })
	spare := len(r.groups) - r.needed
	if spare < len(expected) && r.turnAway(float64(expected[spare].takes)/float64(usual), limit) {
		for _, x := range expected[:spare+1] {
			g := &r.groups[x.group]
			r.trace.bad(BadCall{Service: g.service, What: fmt.Sprintf("expected to take %v of %v", x.takes, time.Duration(limit*float64(usual)))})
		}
		return r.answer(&Answer{Outcome: NotRun, Reason: ReasonBusyLeaves, RetryAfter: comeBack(max(expected[spare].takes, retryRefused))})
	}
	for _, x := range expected[:min(spare, len(expected))] {
		if x.takes < left {
			break
		}
		r.kill(&r.groups[x.group], ReasonBusyLeaves)
	}
	return nil
}

// turnAway draws whether a search is refused whose calls are expected to take so many usual times.
func (r *run) turnAway(times, limit float64) bool {
	return rand.Float64() < (times/limit-(1-admitBand))/(2*admitBand)
}

// expectation is how long the call of a group is expected to take.
type expectation struct {
	group int
	takes time.Duration
}

// crowded returns the groups whose leaves have queues, and how long their calls are expected to take. A shard that
// is slow without a queue isn't among them: fewer searches would make it no faster.
func (r *run) crowded(now time.Time) []expectation {
	var out []expectation
	for i := range r.groups {
		from := r.candidates(&r.groups[i])
		if len(from) == 0 {
			continue
		}
		if takes, crowd := r.e.table.Expect(now, r.route.Name, r.guess, r.candidatesOf(from)); crowd >= crowdLeast {
			out = append(out, expectation{i, takes})
		}
	}
	return out
}
