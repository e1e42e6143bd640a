package replica

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// Costs returns the cost of each candidate.
func (t *Table) Costs(now time.Time, route string, guess time.Duration, from []Candidate) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	usual := t.usualOf(route, guess)
	out := make([]float64, 0, len(from))
	for _, c := range from {
		out = append(out, t.cost(t.leaf(c, now), now, usual, c))
	}
	return out
}

// Overdue tells whether the leaf seems to stand still.
func (t *Table) Overdue(id catalog.LeafID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leaves[id]
	return l != nil && l.overdue(now) > 0
}
