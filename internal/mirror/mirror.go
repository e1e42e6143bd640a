// Package mirror keeps a copy of the items of the platform's store, each with the store's revision of
// its last change. Copies of two VMs merge without a conflict: the higher revision of an item wins,
// so a VM that the store refuses learns all from one that it serves, in any order, and never goes back.
package mirror

import (
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/notify"
)

// tombstoneRetention is how long a deletion is remembered, so that a peer that was away learns of it by the
// difference; one away for longer is sent the whole. Leaves churn by a few hundred an hour at most.
const tombstoneRetention = 10 * time.Minute

// Item is an item of the store, or its deletion.
type Item struct {
	Key string
	// Revision of the store at which the item was last changed.
	Revision uint64
	Value    []byte
	Deleted  bool
}

// Delta is what one copy tells another.
type Delta struct {
	// Items holds every change after CompleteFrom, up to CompleteTo.
	Items                    []Item
	CompleteFrom, CompleteTo uint64
	// Full is set where Items are all that exist: what is absent is deleted.
	Full bool
	// Skipped counts what was left out since it is no business of this system. It isn't told to others.
	Skipped int
}

// Mirror is one copy. It is safe for concurrent use.
type Mirror struct {
	changed *notify.Notifier

	mu sync.Mutex
	// What follows is guarded by mu.
	items      map[string]stored
	completeTo uint64
	// deletionsUnknownTo is the revision up to which deletions may be unknown here.
	deletionsUnknownTo uint64
}

type stored struct {
	item Item
	// receivedAt is when this copy learned of the item.
	receivedAt time.Time
}

// New returns an empty copy that fires changed when an item changes.
func New(changed *notify.Notifier) *Mirror {
	return &Mirror{changed: changed, items: make(map[string]stored)}
}

// CompleteTo returns the revision up to which every item is known; 0 where nothing was read yet.
func (m *Mirror) CompleteTo() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.completeTo
}

// ReceivedItem is an item with the time since which this copy knows it.
type ReceivedItem struct {
	Item
	ReceivedAt time.Time
}

// All returns every item, deletions included.
func (m *Mirror) All() []ReceivedItem {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]ReceivedItem, 0, len(m.items))
	for _, h := range m.items {
		out = append(out, ReceivedItem{h.item, h.receivedAt})
	}
	return out
}

// Since returns what a copy that is complete to the revision lacks.
func (m *Mirror) Since(revision uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{CompleteFrom: revision, CompleteTo: m.completeTo, Full: revision < m.deletionsUnknownTo}
	if m.completeTo < revision {
		d.Full = false
	}
	for _, h := range m.items {
		if d.Full && !h.item.Deleted || h.item.Revision > revision {
			d.Items = append(d.Items, h.item)
		}
	}
	return d
}

// Merge takes what another copy, or the store, told. It returns whether an item changed.
func (m *Mirror) Merge(d Delta, now time.Time) bool {
	m.mu.Lock()
	changed := m.merge(d, now)
	m.mu.Unlock()
	if changed {
		m.changed.Fire()
	}
	return changed
}

// merge requires mu.
func (m *Mirror) merge(d Delta, now time.Time) bool {
	changed := false
	for _, it := range d.Items {
		if h, ok := m.items[it.Key]; ok && h.item.Revision >= it.Revision {
			continue
		} else if !ok && it.Revision <= m.completeTo {
			continue // it was deleted since, and the deletion is forgotten
		}
		m.items[it.Key] = stored{it, now}
		changed = true
	}
	if d.Full {
		changed = m.deleteAbsent(d, now) || changed
		// What was deleted before isn't known here, so a copy that is behind must be told all, too.
		m.deletionsUnknownTo = max(m.deletionsUnknownTo, d.CompleteTo)
	}
	if d.Full || m.completeTo >= d.CompleteFrom {
		m.completeTo = max(m.completeTo, d.CompleteTo)
	}
	m.pruneTombstones(now)
	return changed
}

// deleteAbsent takes what a full delta lacks as deleted. Requires mu.
func (m *Mirror) deleteAbsent(d Delta, now time.Time) bool {
	present := make(map[string]bool, len(d.Items))
	for _, it := range d.Items {
		present[it.Key] = true
	}
	changed := false
	for key, h := range m.items {
		if present[key] || h.item.Deleted || h.item.Revision > d.CompleteTo {
			continue
		}
		m.items[key] = stored{Item{Key: key, Revision: d.CompleteTo, Deleted: true}, now}
		changed = true
	}
	return changed
}

// pruneTombstones drops old deletions, but none beyond what the copy is complete to: only below that an unknown
// item is known to be an old one. Requires mu.
func (m *Mirror) pruneTombstones(now time.Time) {
	for key, h := range m.items {
		if h.item.Deleted && h.item.Revision <= m.completeTo && now.Sub(h.receivedAt) > tombstoneRetention {
			m.deletionsUnknownTo = max(m.deletionsUnknownTo, h.item.Revision)
			delete(m.items, key)
		}
	}
}
