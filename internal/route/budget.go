package route

import "sync"

const (
	// budgetShare is how much of a re-route each request earns.
	budgetShare = 0.1
	// budgetMax bounds what is saved up, so that a quiet hour does not pay for a storm.
	budgetMax = 10
)

// budget bounds re-routes to a share of requests, with a few saved up.
type budget struct {
	mu sync.Mutex
	// saved is in re-routes; guarded by mu.
	saved float64
}

func newBudget() *budget { return &budget{saved: budgetMax} }

// earn adds what one request brings.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(budgetMax, b.saved+budgetShare)
}

// take spends one re-route if there is one.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
