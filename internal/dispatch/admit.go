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
	// admitFraction is the part of a search's time that its calls may be expected to take where leaves have queues. A
	// leaf works as much with a short queue as with a long one: what is let in beyond this is late, and makes all
	// the rest late. The rest of the time is for what can't be expected: a pause, a repeat, the way back.
	admitFraction = 0.9
	// admitSpread is how far around that limit some are refused and some let in, so that the VMs, which see the same
	// queues, don't close and open together.
	admitSpread = 0.35
	// urgentBonus is by how much higher the limit is for each rank by which a route is above the least urgent one
	// of the same shards.
	urgentBonus = 0.15
	// minQueueFactor is by how many times a queue makes a call longer from which a shard counts as crowded: as many
	// requests wait as there are slots.
	minQueueFactor = 2
	// routeExpiry is how long a route without a search counts among those of its shards.
	routeExpiry = 5 * time.Second
)

// sharedShards knows which routes search the same shards, and how much of a queue each can bear. It is safe for
// concurrent use.
type sharedShards struct {
	mu sync.Mutex
	// byShard the first shard and the route's name; guarded by mu.
	byShard map[string]map[string]routeHeadroom
}

// routeHeadroom is what one route can bear.
type routeHeadroom struct {
	// headroom is how many usual times of a call its searches have.
	headroom float64
	priority int
	at       time.Time
}

// limit notes a search of the route and returns up to which multiple of the usual time its calls may be expected
// to take: what the route with the least room of those on the same shards can bear, since all wait in the same
// queues, and somewhat more where this one is more urgent.
func (k *sharedShards) limit(route *catalog.Route, headroom float64, now time.Time) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byShard == nil {
		k.byShard = make(map[string]map[string]routeHeadroom)
	}
	routes := k.byShard[route.Shards[0]]
	if routes == nil {
		k.dropOld(now)
		routes = make(map[string]routeHeadroom)
		k.byShard[route.Shards[0]] = routes
	}
	routes[route.Name] = routeHeadroom{headroom, route.Priority, now}
	minHeadroom, leastUrgent := headroom, route.Priority
	for name, other := range routes {
		if now.Sub(other.at) > routeExpiry {
			delete(routes, name)
			continue
		}
		minHeadroom, leastUrgent = min(minHeadroom, other.headroom), max(leastUrgent, other.priority)
	}
	return admitFraction * minHeadroom * (1 + urgentBonus*float64(leastUrgent-route.Priority))
}

// dropOld drops shards that no route searches any more. Requires mu.
func (k *sharedShards) dropOld(now time.Time) {
	for shard, routes := range k.byShard {
		for name, other := range routes {
			if now.Sub(other.at) > routeExpiry {
				delete(routes, name)
			}
		}
		if len(routes) == 0 {
			delete(k.byShard, shard)
		}
	}
}

// refuseOverload refuses a search at once where the queues at the leaves of too many shards are so long that it would
// be late, and leaves out the shards that can't answer in time where it can do without them: both take work off
// leaves that can't do it in time, so that what is let in is.
func (r *run) refuseOverload() *Answer {
	if !r.route.Search() {
		return nil
	}
	now := time.Now()
	typical := r.typical
	remaining := r.softDeadline.Sub(now)
	limit := r.e.sharedShards.limit(r.route, float64(remaining)/float64(max(typical, 1)), now)
	expected := r.queuedGroups(now)
	slices.SortFunc(expected, func(a, b expectation) int { return cmp.Compare(b.duration, a.duration) })
	spare := len(r.groups) - r.needed
	if spare < len(expected) && r.shouldShed(float64(expected[spare].duration)/float64(typical), limit) {
		for _, x := range expected[:spare+1] {
			g := &r.groups[x.group]
			r.trace.addBadCall(BadCall{Service: g.service, Problem: fmt.Sprintf("expected to take %v of %v", x.duration, time.Duration(limit*float64(typical)))})
		}
		return r.answer(&Answer{Outcome: NotRun, Reason: ReasonBusyLeaves, RetryAfter: withJitter(max(expected[spare].duration, retryRefused))})
	}
	for _, x := range expected[:min(spare, len(expected))] {
		if x.duration < remaining {
			break
		}
		r.failGroup(&r.groups[x.group], ReasonBusyLeaves)
	}
	return nil
}

// shouldShed draws whether a search is refused whose calls are expected to take so many usual times.
func (r *run) shouldShed(multiple, limit float64) bool {
	return rand.Float64() < (multiple/limit-(1-admitSpread))/(2*admitSpread)
}

// expectation is how long the call of a group is expected to take.
type expectation struct {
	group    int
	duration time.Duration
}

// queuedGroups returns the groups whose leaves have queues, and how long their calls are expected to take. A shard that
// is slow without a queue isn't among them: fewer searches would make it no faster.
func (r *run) queuedGroups(now time.Time) []expectation {
	var out []expectation
	for i := range r.groups {
		candidates := r.candidates(&r.groups[i])
		if len(candidates) == 0 {
			continue
		}
		if duration, queueFactor := r.e.table.Expect(now, r.route.Name, r.estimate, r.replicaCandidates(candidates)); queueFactor >= minQueueFactor {
			out = append(out, expectation{i, duration})
		}
	}
	return out
}
