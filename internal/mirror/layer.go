package mirror

import (
	"bytes"
	"time"
)

// layer holds the items of one era of the store. Within an era the higher revision of an item wins.
type layer struct {
	era        uint64
	items      map[string]stored
	completeTo uint64
	// deletionsUnknownTo is the revision up to which this copy may lack deletions.
	deletionsUnknownTo uint64
	// base is the lowest revision at which a copy is known to have read this era as a whole; 0 if unknown. What has a
	// higher revision was written in this era.
	base uint64
	// learnedAt is when any VM first learned of the era, by this VM's clock and as far as this VM knows.
	learnedAt time.Time
	// readAt is when the store was last known to have nothing after completeTo; zero for never.
	readAt time.Time
}

type stored struct {
	item Item
	// receivedAt is when this copy received the item.
	receivedAt time.Time
}

func newLayer(d Delta, now time.Time) *layer {
	return &layer{era: d.Era, items: make(map[string]stored), learnedAt: now.Add(-d.EraAge)}
}

func (l *layer) empty() bool { return l.completeTo == 0 && len(l.items) == 0 }

func (l *layer) position() Position { return Position{l.era, l.completeTo} }

// since returns what a copy with the progress lacks of this era.
func (l *layer) since(p Progress, now time.Time) Delta {
	revision, _ := p.in(l.era)
	d := Delta{
		ReadAt: l.readAt,
		Era:    l.era, CompleteFrom: revision, CompleteTo: l.completeTo, Full: revision < l.deletionsUnknownTo,
		Base: l.base, EraAge: now.Sub(l.learnedAt),
	}
	if l.completeTo < revision {
		d.Full = false
	}
	for _, h := range l.items {
		if d.Full && !h.item.Deleted || h.item.Revision > revision {
			d.Items = append(d.Items, h.item)
		}
	}
	return d
}

// merge merges a delta of this era, and reports whether an item changed.
func (l *layer) merge(d Delta, now time.Time) bool {
	l.mergeOrigin(d, now)
	changed := false
	for _, it := range d.Items {
		if h, ok := l.items[it.Key]; ok && h.item.Revision >= it.Revision {
			changed = l.dateDeletion(h, it) || changed
			continue
		} else if !ok && it.Revision <= l.completeTo {
			continue // it has been deleted since, and the deletion is pruned
		}
		l.put(it, now)
		changed = true
	}
	if d.Full {
		changed = l.deleteAbsent(d, now) || changed
		// This copy doesn't know of earlier deletions, so a copy that is behind must get a full delta as well.
		l.deletionsUnknownTo = max(l.deletionsUnknownTo, d.CompleteTo)
	}
	if d.Full || l.completeTo >= d.CompleteFrom {
		l.completeTo = max(l.completeTo, d.CompleteTo)
	}
	if l.completeTo >= d.CompleteTo && d.ReadAt.After(l.readAt) {
		l.readAt = d.ReadAt
	}
	l.pruneTombstones(now)
	return changed
}

// mergeOrigin merges what the delta says of the era itself: the lowest base and the earliest time win.
func (l *layer) mergeOrigin(d Delta, now time.Time) {
	base := d.Base
	if base == 0 && d.Full {
		base = d.CompleteTo
	}
	if l.base == 0 || base != 0 && base < l.base {
		l.base = base
	}
	if at := now.Add(-d.EraAge); at.Before(l.learnedAt) {
		l.learnedAt = at
	}
}

// deletionPrecision is by how much a deletion must be dated more precisely for that to count as a change.
const deletionPrecision = 100 * time.Millisecond

// dateDeletion takes over from another report of a known deletion a later time before which it did not happen. It reports whether
// that changed anything.
func (l *layer) dateDeletion(known stored, told Item) bool {
	same := known.item.Deleted && told.Deleted && known.item.Revision == told.Revision
	if !same || told.DeletedSince.Sub(known.item.DeletedSince) < deletionPrecision {
		return false
	}
	known.item.DeletedSince = told.DeletedSince
	l.items[told.Key] = known
	return true
}

// put stores an item that is newer than the known one. A deletion keeps the value that it deleted, if that is known. One that
// has no date counts from now.
func (l *layer) put(it Item, now time.Time) {
	if it.Deleted && it.Value == nil {
		it.Value = l.items[it.Key].item.Value
	}
	if it.Deleted && (it.DeletedSince.IsZero() || it.DeletedSince.After(now)) {
		it.DeletedSince = now
	}
	l.items[it.Key] = stored{it, now}
}

// deleteAbsent marks the items as deleted that a full delta lacks.
func (l *layer) deleteAbsent(d Delta, now time.Time) bool {
	present := make(map[string]bool, len(d.Items))
	for _, it := range d.Items {
		present[it.Key] = true
	}
	changed := false
	for key, h := range l.items {
		if present[key] || h.item.Deleted || h.item.Revision > d.CompleteTo {
			continue
		}
		l.put(Item{Key: key, Revision: d.CompleteTo, Deleted: true, DeletedSince: d.DeletedSince}, now)
		changed = true
	}
	return changed
}

// pruneTombstones drops old deletions, but none above completeTo: only at or below it is an unknown item known to
// be an old one.
func (l *layer) pruneTombstones(now time.Time) {
	for key, h := range l.items {
		if h.item.Deleted && h.item.Revision <= l.completeTo && now.Sub(h.receivedAt) > tombstoneRetention {
			l.deletionsUnknownTo = max(l.deletionsUnknownTo, h.item.Revision)
			delete(l.items, key)
		}
	}
}

// keepTimes gives the items that have the same value as in the era before the time at which that was received.
func (l *layer) keepTimes(before *layer) {
	for key, h := range l.items {
		b, ok := before.items[key]
		if ok && h.item.Deleted == b.item.Deleted && bytes.Equal(h.item.Value, b.item.Value) {
			h.receivedAt, h.item.DeletedSince = b.receivedAt, b.item.DeletedSince
			l.items[key] = h
		}
	}
}

// received returns the items, including deletions.
func (l *layer) received() []ReceivedItem {
	out := make([]ReceivedItem, 0, len(l.items))
	for _, h := range l.items {
		out = append(out, ReceivedItem{h.item, Position{l.era, h.item.Revision}, h.receivedAt})
	}
	return out
}
