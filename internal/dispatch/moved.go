package dispatch

import (
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// movedKeep is how long a leaf that is gone from its address is left out: its entry lapses in less.
const movedKeep = 10 * time.Second

// movedSet remembers leaves whose address another one has. It is safe for concurrent use.
type movedSet struct {
	mu sync.Mutex
	// at is when that was last found; guarded by mu.
	at map[leafAt]time.Time
}

// leafAt is a leaf at an address: one that registers at another one may be found there.
type leafAt struct {
	id      catalog.LeafID
	address string
}

func (m *movedSet) add(l catalog.Leaf, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.at == nil {
		m.at = make(map[leafAt]time.Time)
	}
	m.at[leafAt{l.ID, l.Address}] = now
	for k, at := range m.at {
		if now.Sub(at) > movedKeep {
			delete(m.at, k)
		}
	}
}

func (m *movedSet) has(l catalog.Leaf) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.at[leafAt{l.ID, l.Address}]
	return ok && time.Since(at) < movedKeep
}
