package dispatch

import (
	"sync"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// splits distributes the requests of each route over its services by weight: the next request goes to the service
// that is furthest below its share. Unlike a random choice this keeps the shares even over short periods.
type splits struct {
	mu sync.Mutex
	// deficits is how far each service is below its share, by route and service; guarded by mu.
	deficits map[string]map[string]float64
}

// choose returns the service of the next request.
func (s *splits) choose(route *catalog.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deficits == nil {
		s.deficits = make(map[string]map[string]float64)
	}
	known := s.deficits[route.Name]
	next := make(map[string]float64, len(route.Split))
	total, best := 0.0, ""
	for _, w := range route.Split {
		total += w.Weight
	}
	for _, w := range route.Split {
		next[w.Service] = known[w.Service] + w.Weight/total
		if w.Weight > 0 && (best == "" || next[w.Service] > next[best]) {
			best = w.Service
		}
	}
	next[best]--
	s.deficits[route.Name] = next
	return best
}
