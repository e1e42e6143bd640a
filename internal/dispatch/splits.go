package dispatch

import (
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// splits spreads the requests of each route over its services by weight, each next one to the service
// that is furthest behind its part. Unlike a draw at random this keeps the parts even in short spans.
type splits struct {
	mu sync.Mutex
	// behind is how far each service is behind its part, by route and service; guarded by mu.
	behind map[string]map[string]float64
}

// choose returns the service of the next request.
func (s *splits) choose(route *catalog.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behind == nil {
		s.behind = make(map[string]map[string]float64)
	}
	known := s.behind[route.Name]
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
	s.behind[route.Name] = next
	return best
}

// movedSet remembers leaves whose address another one has.
type movedSet struct {
	mu sync.Mutex
	at map[string]time.Time
}

// movedKeep is how long a leaf that is gone from its address is left out: its entry lapses in less.
const movedKeep = 10 * time.Second

func (m *movedSet) add(id string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.at == nil {
		m.at = make(map[string]time.Time)
	}
	m.at[id] = now
	for id, at := range m.at {
		if now.Sub(at) > movedKeep {
			delete(m.at, id)
		}
	}
}

func (m *movedSet) has(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.at[id]
	return ok && time.Since(at) < movedKeep
}
