// Package mirror keeps a copy of the items of the platform's store, each with the store's revision of its last
// change. Copies of two VMs merge without conflicts, in any order, because the higher revision of an item wins. So
// a VM that the store refuses can learn everything from one that the store serves, and no item goes back to an
// older revision.
package mirror

import (
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/notify"
)

// tombstoneRetention is how long a deletion is remembered, so that a peer that was away gets it with the delta. A
// peer that was away for longer gets a full delta. Leaves churn by a few hundred an hour at most.
const tombstoneRetention = 10 * time.Minute

// Item is an item of the store, or its deletion.
type Item struct {
	Key string
	// Revision of the store at which the item was last changed.
	Revision uint64
	Value    []byte
	Deleted  bool
}

// Delta is what one copy sends to another.
type Delta struct {
	// Items holds every change after CompleteFrom up to CompleteTo.
	Items                    []Item
	CompleteFrom, CompleteTo uint64
	// Full is set if Items holds all existing items: any other item is deleted.
	Full bool
	// Skipped counts the items that were left out because they don't belong to this system. It is not sent to other
	// copies.
	Skipped int
	// Era of the store that the delta was read in; 0 if the store did not name one.
	Era uint64
}

// Mirror is one copy of the items. It is safe for concurrent use.
type Mirror struct {
	changed *notify.Notifier

	mu sync.Mutex
	// The fields below are guarded by mu.
	items      map[string]stored
	completeTo uint64
	// deletionsUnknownTo is the revision up to which this copy may lack deletions.
	deletionsUnknownTo uint64
}

type stored struct {
	item Item
	// receivedAt is when this copy received the item.
	receivedAt time.Time
}

// New returns an empty copy that fires changed when an item changes.
func New(changed *notify.Notifier) *Mirror {
	return &Mirror{changed: changed, items: make(map[string]stored)}
}

// CompleteTo returns the revision up to which this copy knows every item; 0 if nothing has been read yet.
func (m *Mirror) CompleteTo() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.completeTo
}

// ReceivedItem is an item with the time at which this copy received it.
type ReceivedItem struct {
	Item
	ReceivedAt time.Time
}

// All returns all items, including deletions.
func (m *Mirror) All() []ReceivedItem {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]ReceivedItem, 0, len(m.items))
	for _, h := range m.items {
		out = append(out, ReceivedItem{h.item, h.receivedAt})
	}
	return out
}

// Since returns what a copy lacks that is complete up to the revision.
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

// Merge merges a delta from another copy or from the store. It reports whether an item changed.
func (m *Mirror) Merge(d Delta, now time.Time) bool {
	m.mu.Lock()
	changed := m.merge(d, now)
	m.mu.Unlock()
	if changed {
		m.changed.Fire()
	}
	return changed
}

// merge merges a delta without firing changed. The caller must hold mu.
func (m *Mirror) merge(d Delta, now time.Time) bool {
	changed := false
	for _, it := range d.Items {
		if h, ok := m.items[it.Key]; ok && h.item.Revision >= it.Revision {
			continue
		} else if !ok && it.Revision <= m.completeTo {
			continue // it has been deleted since, and the deletion is pruned
		}
		m.items[it.Key] = stored{it, now}
		changed = true
	}
	if d.Full {
		changed = m.deleteAbsent(d, now) || changed
		// This copy doesn't know of earlier deletions, so a copy that is behind must get a full delta as well.
		m.deletionsUnknownTo = max(m.deletionsUnknownTo, d.CompleteTo)
	}
	if d.Full || m.completeTo >= d.CompleteFrom {
		m.completeTo = max(m.completeTo, d.CompleteTo)
	}
	m.pruneTombstones(now)
	return changed
}

// deleteAbsent marks the items as deleted that a full delta lacks. The caller must hold mu.
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

// pruneTombstones drops old deletions, but none above completeTo: only at or below it is an unknown item known to
// be an old one. The caller must hold mu.
func (m *Mirror) pruneTombstones(now time.Time) {
	for key, h := range m.items {
		if h.item.Deleted && h.item.Revision <= m.completeTo && now.Sub(h.receivedAt) > tombstoneRetention {
			m.deletionsUnknownTo = max(m.deletionsUnknownTo, h.item.Revision)
			delete(m.items, key)
		}
	}
}
