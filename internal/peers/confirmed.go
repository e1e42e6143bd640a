package peers

import (
	"github.com/burdockplank/burdockplank/internal/catalog"
)

// confirmedCrashes holds the crashes at leaves that are known to have ended. It is built when it is needed, and kept until one
// of these changes: every request is judged by it, and lost connections to leaves that live on don't change it.
type confirmedCrashes struct {
	valid bool
	// ended are the leaves that are known to have ended.
	ended    map[catalog.LeafID]bool
	byDigest map[uint64][]Crash
}

// forget notes that the crash has changed.
func (x *confirmedCrashes) forget(c *Crash) {
	if !c.Unconfirmed || x.ended[c.Leaf] {
		x.valid = false
	}
}

// Confirmed returns, by digest, the crashes that stand at leaves that are known to have ended, also those of which only another
// request shows so. The caller must not modify the result.
func (m *Manager) Confirmed() map[uint64][]Crash {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.confirmed.valid {
		m.confirmed = collectConfirmed(m.suspects)
	}
	return m.confirmed.byDigest
}

func collectConfirmed(suspects map[uint64]*suspect) confirmedCrashes {
	x := confirmedCrashes{valid: true, ended: make(map[catalog.LeafID]bool), byDigest: make(map[uint64][]Crash)}
	for _, s := range suspects {
		for _, c := range s.crashes {
			if c.stands() && !c.Unconfirmed {
				x.ended[c.Leaf] = true
			}
		}
	}
	for digest, s := range suspects {
		for _, c := range s.crashes {
			if c.stands() && x.ended[c.Leaf] {
				x.byDigest[digest] = append(x.byDigest[digest], c)
			}
		}
	}
	return x
}
