package dispatch

import (
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// movedExpiry is how long a leaf that is no longer at its address is left out. Its entry expires sooner.
const movedExpiry = 10 * time.Second

// movedSet holds the leaves whose address now belongs to another leaf. It is safe for concurrent use.
type movedSet struct {
	mu sync.Mutex
	// foundAt is when this was last found for each leaf; guarded by mu.
	foundAt map[leafAddress]time.Time
}

// leafAddress is a leaf at an address. The same leaf may be reachable after it registers at another address.
type leafAddress struct {
	id      catalog.LeafID
	address string
}

func (m *movedSet) add(l catalog.Leaf, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.foundAt == nil {
		m.foundAt = make(map[leafAddress]time.Time)
	}
	m.foundAt[leafAddress{l.ID, l.Address}] = now
	for k, at := range m.foundAt {
		if now.Sub(at) > movedExpiry {
			delete(m.foundAt, k)
		}
	}
}

func (m *movedSet) has(l catalog.Leaf) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.foundAt[leafAddress{l.ID, l.Address}]
	return ok && time.Since(at) < movedExpiry
}
