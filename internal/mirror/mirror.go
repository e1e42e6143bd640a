// Package mirror keeps a copy of the items of the platform's store, each with the store's revision of its last
// change. Copies of two VMs merge without conflicts, in any order, because the higher revision of an item wins. So
// a VM that the store refuses can learn everything from one that the store serves, and no item goes back to an
// older revision.
//
// That order holds within one era of the store (see Position), so a copy keeps each era apart and merges it by itself.
// What was known of the eras before the newest one is kept for a while, because the store may lack it and get it again.
// What of it still counts is decided by the reader of State, by the same rule on every VM.
package mirror

import (
	"slices"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/notify"
)

const (
	// tombstoneRetention is how long a deletion is remembered, so that a peer that was away gets it with the delta. A
	// peer that was away for longer gets a full delta. Leaves churn by a few hundred an hour at most.
	tombstoneRetention = 10 * time.Minute
	// earlierRetention is how long the eras before the newest one are kept. What the store lost is written again
	// within some seconds.
	earlierRetention = 30 * time.Second
	// MaxEarlierEras bounds the eras before the newest one that are kept. It is more than begin within that time.
	MaxEarlierEras = 16
)

// Item is an item of the store, or its deletion.
type Item struct {
	Key string
	// Revision of the store at which the item was last changed.
	Revision uint64
	// Value of the item. That of a deletion is the value that was deleted, or nil if that is unknown.
	Value   []byte
	Deleted bool
	// DeletedSince is the earliest time at which the item may have been deleted; zero if that is unknown or it exists.
	DeletedSince time.Time
}

// Delta is what one copy sends to another.
type Delta struct {
	// Era of the store that the delta is of.
	Era uint64
	// Items holds every change after CompleteFrom up to CompleteTo.
	Items                    []Item
	CompleteFrom, CompleteTo uint64
	// Full is set if Items holds all existing items: any other item is deleted.
	Full bool
	// Base is the lowest revision at which any VM is known to have read the era as a whole; 0 if unknown.
	Base uint64
	// EraAge is how long ago any VM first learned of the era, as far as the sender knows.
	EraAge time.Duration
	// ReadAt is when the store was last known to have nothing after CompleteTo; zero if unknown.
	ReadAt time.Time
	// DeletedSince is the earliest time at which items may have been deleted that a full delta lacks; zero if unknown.
	DeletedSince time.Time
	// Earlier holds what the receiver lacks of each earlier era that the sender keeps, the newest first.
	Earlier []Delta
	// Skipped counts the items that were left out because they don't belong to this system. It is not sent to other
	// copies.
	Skipped int
}

// Mirror is one copy of the items. It is safe for concurrent use.
type Mirror struct {
	changed *notify.Notifier

	mu sync.Mutex
	// eras holds the eras that are kept, the newest first; it is never empty. Guarded by mu.
	eras []*layer
}

// New returns an empty copy that fires changed when an item changes.
func New(changed *notify.Notifier) *Mirror {
	return &Mirror{changed: changed, eras: []*layer{newLayer(Delta{}, time.Now())}}
}

// CompleteTo returns the revision of the newest era up to which this copy knows every item; 0 if nothing has been read
// yet.
func (m *Mirror) CompleteTo() uint64 { return m.Position().Revision }

// Position returns the newest era and the revision up to which this copy knows every item of it.
func (m *Mirror) Position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.eras[0].position()
}

// LastRead returns the position of this copy and when the store was last known to have nothing after it; zero for never.
func (m *Mirror) LastRead() (at Position, readAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.eras[0].position(), m.eras[0].readAt
}

// Progress returns the position of this copy in each era that it holds.
func (m *Mirror) Progress() Progress {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(Progress, 0, len(m.eras))
	for _, l := range m.eras {
		out = append(out, l.position())
	}
	return out
}

// ReceivedItem is an item with the time at which this copy received it.
type ReceivedItem struct {
	Item
	// At is the position in the store's history at which this copy knows the item.
	At         Position
	ReceivedAt time.Time
}

// EraItems holds the items of one era, including deletions.
type EraItems struct {
	Era, CompleteTo uint64
	// Base and LearnedAt are described in Delta as Base and EraAge.
	Base      uint64
	LearnedAt time.Time
	Items     []ReceivedItem
}

// State returns the items of all eras that are kept, the newest first.
func (m *Mirror) State(now time.Time) []EraItems {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropEarlier(now)
	out := make([]EraItems, 0, len(m.eras))
	for _, l := range m.eras {
		out = append(out, EraItems{Era: l.era, CompleteTo: l.completeTo, Base: l.base, LearnedAt: l.learnedAt, Items: l.received()})
	}
	return out
}

// Since returns what a copy of the given progress lacks.
func (m *Mirror) Since(p Progress, now time.Time) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropEarlier(now)
	d := m.eras[0].since(p, now)
	for _, l := range m.eras[1:] {
		d.Earlier = append(d.Earlier, l.since(p, now))
	}
	return d
}

// Merge merges a delta from another copy or from the store. It reports whether an item changed.
func (m *Mirror) Merge(d Delta, now time.Time) bool {
	m.mu.Lock()
	changed := m.mergeEra(d, now)
	for _, e := range d.Earlier {
		changed = m.mergeEra(e, now) || changed
	}
	m.dropEarlier(now)
	m.mu.Unlock()
	if changed {
		m.changed.Fire()
	}
	return changed
}

// mergeEra merges the part of a delta that is of one era. The caller must hold mu.
func (m *Mirror) mergeEra(d Delta, now time.Time) bool {
	newest := m.eras[0]
	switch {
	case d.Era == newest.era:
		return newest.merge(d, now)
	case d.Era < newest.era:
		l := m.earlier(d, now)
		return l != nil && l.merge(d, now)
	case newest.empty():
		m.eras[0] = newLayer(d, now)
		return m.eras[0].merge(d, now)
	case !d.Full:
		return false // a part of an era of which this copy lacks the rest
	}
	l := newLayer(d, now)
	l.merge(d, now)
	l.keepTimes(newest)
	m.eras = slices.Insert(m.eras, 0, l)
	return true
}

// earlier returns the layer of an earlier era, which it adds if the era is still of use; otherwise nil. The caller must
// hold mu.
func (m *Mirror) earlier(d Delta, now time.Time) *layer {
	i, known := slices.BinarySearchFunc(m.eras, d.Era, func(l *layer, era uint64) int { return Position{Era: era}.Compare(Position{Era: l.era}) })
	if known {
		return m.eras[i]
	}
	if len(d.Items) == 0 || now.Sub(m.eras[0].learnedAt) >= earlierRetention {
		return nil
	}
	l := newLayer(d, now)
	m.eras = slices.Insert(m.eras, i, l)
	return l
}

// dropEarlier drops the eras before the newest one once they are of no use. The caller must hold mu.
func (m *Mirror) dropEarlier(now time.Time) {
	if now.Sub(m.eras[0].learnedAt) >= earlierRetention {
		m.eras = m.eras[:1]
	}
	m.eras = m.eras[:min(len(m.eras), 1+MaxEarlierEras)]
}
