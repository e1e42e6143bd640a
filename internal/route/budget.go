package route

import "sync"

const (
	// earnedPerRequest is how much of a re-route each request earns.
	earnedPerRequest = 0.1
	// maxSaved bounds what is saved up, so that a quiet hour does not pay for a storm.
	maxSaved = 10
)

// budget bounds re-routes to a share of requests, with a few saved up.
type budget struct {
	mu sync.Mutex
	// saved is in re-routes; guarded by mu.
	saved float64
}

func newBudget() *budget { return &budget{saved: maxSaved} }

// earn adds what one request brings.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(maxSaved, b.saved+earnedPerRequest)
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
