package peers

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// Crash records that a leaf ended while it ran a request.
type Crash struct {
	Digest uint64
	Leaf   catalog.LeafID
	At     time.Time
}

type crashKey struct {
	digest uint64
	leaf   catalog.LeafID
}

// ReportCrash reports to the fleet a crash that this VM saw.
func (m *Manager) ReportCrash(c Crash) {
	m.mu.Lock()
	m.recordCrash(c)
	m.mu.Unlock()
	m.localEvents.Fire()
}

// recordCrash records a crash unless it is already known. The caller must hold mu.
func (m *Manager) recordCrash(c Crash) {
	k := crashKey{c.Digest, c.Leaf}
	if _, ok := m.crashTimes[k]; !ok {
		m.crashTimes[k] = c.At
	}
}

// Crashes returns the number of leaves that have ended since the given time while the request was in flight there.
func (m *Manager) Crashes(digest uint64, since time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for k, at := range m.crashTimes {
		if k.digest == digest && at.After(since) {
			n++
		}
	}
	return n
}
