package route

import "sync"

const (
	// earnedPerRequest is the part of a re-route that each request adds to the budget.
	earnedPerRequest = 0.1
	// maxSaved bounds the saved re-routes, so that a long time without re-routes doesn't allow for a
	// burst of them.
	maxSaved = 10
)

// budget bounds the re-routes to a share of the requests, plus a few saved ones. It is safe for concurrent
// use.
type budget struct {
	mu sync.Mutex
	// saved is the number of re-routes saved, guarded by mu.
	saved float64
}

// newBudget returns a full budget.
func newBudget() *budget { return &budget{saved: maxSaved} }

// earn adds the part of a re-route that one request earns.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(maxSaved, b.saved+earnedPerRequest)
}

// take takes one re-route from the budget, and reports whether there was one.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
