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
	// admitFraction is the fraction of a search's time that its calls may be expected to take when leaves have
	// queues. A leaf does as much work with a short queue as with a long one, so searches admitted beyond this
	// limit are late and make all others late. The remaining time covers what cannot be predicted: a pause, a
	// repeat and the way back.
	admitFraction = 0.9
	// admitSpread is the range around the limit in which some searches are refused and some admitted, so that VMs
	// that see the same queues do not all stop and resume admission together.
	admitSpread = 0.35
	// urgentBonus is the increase of the limit for each priority rank of a route above the least urgent route on
	// the same shards.
	urgentBonus = 0.15
	// minQueueFactor is the queue factor from which a shard counts as queued: as many requests wait as there are
	// slots.
	minQueueFactor = 2
	// routeExpiry is how long a route without searches still counts among the routes on its shards.
	routeExpiry = 5 * time.Second
)

// sharedShards tracks which routes search the same shards and how much queueing each of them tolerates. It is safe
// for concurrent use.
type sharedShards struct {
	mu sync.Mutex
	// byShard is keyed by the first shard, then by route name. Guarded by mu.
	byShard map[string]map[string]routeHeadroom
}

// routeHeadroom is how much queueing one route tolerates.
type routeHeadroom struct {
	// headroom is the time that the route's searches have, as a multiple of the typical call time.
	headroom float64
	priority int
	at       time.Time
}

// limit records a search of the route and returns the largest multiple of the typical call time that its calls may
// be expected to take. The limit is that of the route with the least headroom on the same shards, because all
// routes wait in the same queues. More urgent routes get a somewhat higher limit.
func (s *sharedShards) limit(route *catalog.Route, headroom float64, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byShard == nil {
		s.byShard = make(map[string]map[string]routeHeadroom)
	}
	routes := s.byShard[route.Shards[0]]
	if routes == nil {
		s.dropOld(now)
		routes = make(map[string]routeHeadroom)
		s.byShard[route.Shards[0]] = routes
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
func (s *sharedShards) dropOld(now time.Time) {
	for shard, routes := range s.byShard {
		for name, other := range routes {
			if now.Sub(other.at) > routeExpiry {
				delete(routes, name)
			}
		}
		if len(routes) == 0 {
			delete(s.byShard, shard)
		}
	}
}

// refuseOverload refuses a search immediately if the queues at the leaves of too many shards would make it late.
// If the search can do without the shards that cannot answer in time, it leaves these out instead. Both keep work
// off leaves that cannot do it in time, so that admitted searches are in time.
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
		r.trace.Wait, r.trace.WaitLimit = expected[spare].duration, time.Duration(limit*float64(typical))
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

// shouldShed decides at random whether to refuse a search whose calls are expected to take the given multiple of
// the typical call time.
func (r *run) shouldShed(multiple, limit float64) bool {
	return rand.Float64() < (multiple/limit-(1-admitSpread))/(2*admitSpread)
}

// expectation is the expected duration of a group's call.
type expectation struct {
	group    int
	duration time.Duration
}

// queuedGroups returns the groups whose leaves have queues, with the expected duration of their calls. A shard
// that is slow without a queue is not included, because fewer searches would not make it faster.
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
