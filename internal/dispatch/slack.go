package dispatch

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// waitFraction is the fraction of a route's slack for which its requests may wait for a slot. The rest covers what
	// cannot be predicted: a pause, a repeat and the way back.
	waitFraction = 0.8
	// lowerPriorityFactor is the factor of that fraction for each priority below. Under sustained overload the queues
	// stay near the limit of the lowest priority that is still admitted, so that the more urgent ones pass.
	lowerPriorityFactor = 0.6
	// waitSpread is the range by which the limit varies at random, so that VMs that see the same queues do not all
	// stop and resume admission together.
	waitSpread = 0.1
	// minSlackFraction is the minimum slack as a fraction of the target. Without it a route whose calls take longer
	// than its target would close the leaves to all others.
	minSlackFraction = 0.1
	// defaultSlack is the slack of a route without a target beside no route with one.
	defaultSlack = 100 * time.Millisecond
	// maxTarget bounds the targets that count.
	maxTarget = time.Minute
	// maxPriority is the least urgent priority; those beyond it count as it.
	maxPriority = 63
	// routeExpiry is how long a route without requests still counts among the routes on its leaves.
	routeExpiry = 5 * time.Second
	// demandWindow is the time constant of the rates of the requests and the admissions of a priority. The rates follow
	// the end of a burst of ten times the capacity within three times that.
	demandWindow = 250 * time.Millisecond
	// maxExcess is the rate of requests that are admitted by the wait alone, as a multiple of the rate of admissions.
	// Each VM hears of a queue some tens of milliseconds late. Where much more than the leaves can serve comes in,
	// all VMs together filled the queues beyond the limits of the more urgent priorities meanwhile.
	maxExcess = 1.5
	// minExcess is the rate, in requests per second, up to which all requests are admitted by the wait alone.
	minExcess = 8
	// thinnedFrom is the fraction of the limit from which the excess is refused.
	thinnedFrom = 0.25
)

// PriorityOf returns the priority of the route within its bounds.
func PriorityOf(route *catalog.Route) int { return min(max(route.Priority, 0), maxPriority) }

// sharedLeaves tracks which routes use the same leaves and how long their requests may wait there. Searches are known
// by their first shard. It is safe for concurrent use.
type sharedLeaves struct {
	mu sync.Mutex
	// byService is guarded by mu, as are its values and the schedules.
	byService map[string]*leafUsers
	// newSchedule returns a schedule of retries.
	newSchedule func() retrySchedule
}

// leafUsers is what uses one group of leaves.
type leafUsers struct {
	routes     map[string]routeSlack
	priorities map[int]*priorityState
}

// routeSlack is the slack of one route: how much of its target its calls leave over.
type routeSlack struct {
	// slack is 0 if the route has no target.
	slack    time.Duration
	priority int
	at       time.Time
}

// priorityState holds what is known of the requests of one priority.
type priorityState struct {
	schedule           retrySchedule
	demand, admissions eventRate
}

// eventRate is the moving average of a rate of events.
type eventRate struct {
	perSecond float64
	at        time.Time
}

// now returns the rate at the given time.
func (r *eventRate) now(now time.Time) float64 {
	return r.perSecond * math.Exp(-float64(max(0, now.Sub(r.at)))/float64(demandWindow))
}

// add counts an event.
func (r *eventRate) add(now time.Time) { *r = eventRate{r.now(now) + 1/demandWindow.Seconds(), now} }

// excess returns the share of the requests that are more than can be admitted.
func (p *priorityState) excess(now time.Time) float64 {
	requests := p.demand.now(now)
	return max(0, requests-maxExcess*p.admissions.now(now)-minExcess) / (requests + minExcess)
}

// waitLimit is the longest wait at which a request is admitted.
type waitLimit struct {
	limit  time.Duration
	demand float64
	// mostUrgent is set if no request of a higher priority uses the same leaves.
	mostUrgent bool
}

// request records a request of the route to the service and returns the limit for it. random is in [0,1): it spreads
// the limits, and lowers those of requests in excess.
func (s *sharedLeaves) request(
	service string, route *catalog.Route, slack time.Duration, now time.Time, random float64,
) waitLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	users := s.usersOf(service, now)
	priority := PriorityOf(route)
	users.routes[route.Name] = routeSlack{slack, priority, now}
	users.dropOld(now)
	state := users.priorities[priority]
	if state == nil {
		state = &priorityState{schedule: s.newSchedule()}
		users.priorities[priority] = state
	}
	state.demand.add(now)
	factor := 1 + waitSpread*(2*random-1)
	mostUrgent := priority == users.activePriorities()[0]
	if !mostUrgent && random < state.excess(now) {
		factor = thinnedFrom
	}
	return waitLimit{time.Duration(factor * float64(users.limit(route.Name))), state.demand.now(now), mostUrgent}
}

// admitted records that a request of the route was admitted.
func (s *sharedLeaves) admitted(service string, route *catalog.Route, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.stateOf(service, route); state != nil {
		state.admissions.add(now)
		state.schedule.Admitted(now)
	}
}

// retryAfter returns the time after which a refused request of the route is to be retried.
func (s *sharedLeaves) retryAfter(
	service string, route *catalog.Route, now time.Time, earliest time.Duration,
) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.stateOf(service, route); state != nil {
		return state.schedule.RetryAfter(now, earliest)
	}
	return earliest
}

// stateOf returns the state of the route's priority at the service, or nil if there is none. Requires mu.
func (s *sharedLeaves) stateOf(service string, route *catalog.Route) *priorityState {
	users := s.byService[service]
	if users == nil {
		return nil
	}
	return users.priorities[PriorityOf(route)]
}

// usersOf returns the users of the service. Requires mu.
func (s *sharedLeaves) usersOf(service string, now time.Time) *leafUsers {
	if s.byService == nil {
		s.byService = make(map[string]*leafUsers)
	}
	users := s.byService[service]
	if users == nil {
		s.dropOld(now)
		users = &leafUsers{routes: make(map[string]routeSlack), priorities: make(map[int]*priorityState)}
		s.byService[service] = users
	}
	return users
}

// dropOld drops services that no route uses any more. Requires mu.
func (s *sharedLeaves) dropOld(now time.Time) {
	for service, users := range s.byService {
		users.dropOld(now)
		if len(users.routes) == 0 {
			delete(s.byService, service)
		}
	}
}

// dropOld drops routes that have had no request for a while, and priorities without routes.
func (u *leafUsers) dropOld(now time.Time) {
	for name, r := range u.routes {
		if now.Sub(r.at) > routeExpiry {
			delete(u.routes, name)
		}
	}
	active := u.activePriorities()
	for p := range u.priorities {
		if !slices.Contains(active, p) {
			delete(u.priorities, p)
		}
	}
}

// activePriorities returns the priorities of the routes in ascending order.
func (u *leafUsers) activePriorities() []int {
	var out []int
	for _, r := range u.routes {
		if at, found := slices.BinarySearch(out, r.priority); !found {
			out = slices.Insert(out, at, r.priority)
		}
	}
	return out
}

// limit returns the longest wait for a request of the route: a fraction of the slack of each route that is at least as
// urgent, which is smaller the more urgent that route is.
func (u *leafUsers) limit(name string) time.Duration {
	own := u.routes[name]
	active := u.activePriorities()
	rank := slices.Index(active, own.priority)
	limit := waitFraction * float64(u.ownSlack(own))
	for _, r := range u.routes {
		if r.priority > own.priority || r.slack <= 0 {
			continue
		}
		steps := rank - slices.Index(active, r.priority)
		limit = min(limit, waitFraction*float64(r.slack)*math.Pow(lowerPriorityFactor, float64(steps)))
	}
	return time.Duration(limit)
}

// ownSlack returns the slack of the route, or the greatest known one if it has no target.
func (u *leafUsers) ownSlack(own routeSlack) time.Duration {
	if own.slack > 0 {
		return own.slack
	}
	greatest := time.Duration(0)
	for _, r := range u.routes {
		greatest = max(greatest, r.slack)
	}
	if greatest > 0 {
		return greatest
	}
	return defaultSlack
}

// slackOf returns how much of the target remains beside the way to the caller and a typical call; 0 without a target.
func slackOf(target, transit, typical time.Duration) time.Duration {
	if target <= 0 {
		return 0
	}
	target = min(target, maxTarget)
	return max(target-transit-typical, fractionOf(minSlackFraction, target), 1)
}
