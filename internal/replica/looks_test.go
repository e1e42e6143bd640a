package replica

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// Costs returns the cost of each candidate.
func (t *Table) Costs(now time.Time, route string, estimate time.Duration, candidates []Candidate) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	typical := t.typicalOf(route, estimate)
	out := make([]float64, 0, len(candidates))
	for _, c := range candidates {
		out = append(out, t.cost(t.leaf(c, now), now, typical, c))
	}
	return out
}

// Overdue reports whether the leaf has an overdue call.
func (t *Table) Overdue(id catalog.LeafID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leaves[id]
	return l != nil && l.overdue(now) > 0
}
