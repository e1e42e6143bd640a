package directory

import (
	"bytes"
	"cmp"
	"time"

	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/mirror"
)

const (
	// rewriteTime is how long after the store came back from a copy everything alive has written its entry again.
	rewriteTime = ExpiryGracePeriod
	// restoreMemory is how long after that a VM remembers an entry's removal that the copy lacks, and an evacuation.
	// The store removes an entry that nobody writes after 3.6 s.
	restoreMemory = 6 * time.Second
)

// Restore describes a return of the store from a copy.
type Restore struct {
	EraBefore, Era uint64
	// LearnedAt is when any VM first learned of it, as far as this VM knows.
	LearnedAt time.Time
	// KnownTo is the revision of the era before that this VM knew, Base the one at which the new era was first read.
	KnownTo, Base uint64
	// Carried is the number of items that count from the eras before, in place of what the store has.
	Carried int
}

// carryOver returns the items that count: those of the newest era, and what is known of earlier ones and the store's copy
// lacks, until it is written again or its time is over. It also returns how long that stays so. It is a function of the
// eras and the time only, so that VMs that know the same come to the same result. The caller must hold mu.
func (d *Directory) carryOver(eras []mirror.EraItems, now time.Time) ([]mirror.ReceivedItem, time.Duration) {
	if len(eras) == 1 {
		d.metrics.carried.Set(0)
		return eras[0].Items, maxRefreshInterval
	}
	c := carrier{decoder: d.decoder, age: now.Sub(eras[0].LearnedAt), learnedAt: eras[0].LearnedAt, next: maxRefreshInterval}
	counts := byKey(eras[len(eras)-1].Items)
	for i := len(eras) - 2; i >= 0; i-- {
		counts = c.carry(counts, eras[i])
	}
	items := make([]mirror.ReceivedItem, 0, len(counts))
	carried := 0
	for _, it := range counts {
		items = append(items, it)
		if it.At.Era < eras[0].Era {
			carried++
		}
	}
	d.metrics.carried.Set(float64(carried))
	if d.restore != nil && d.restore.Era == eras[0].Era {
		d.restore.Carried = carried
	}
	return items, c.next
}

func byKey(items []mirror.ReceivedItem) map[string]mirror.ReceivedItem {
	out := make(map[string]mirror.ReceivedItem, len(items))
	for _, it := range items {
		out[it.Key] = it
	}
	return out
}

// carrier carries items over from one era to the next.
type carrier struct {
	decoder Decoder
	// learnedAt is when any VM learned of the newest era, age how long ago that is.
	learnedAt time.Time
	age       time.Duration
	// next is the time until something that is carried over ceases to count.
	next time.Duration
}

// carry returns the items that count in the era, given those that counted in the one before.
func (c *carrier) carry(before map[string]mirror.ReceivedItem, era mirror.EraItems) map[string]mirror.ReceivedItem {
	counts := byKey(era.Items)
	for key, known := range before {
		item, present := counts[key]
		if !present || !supersedes(item, known, era.Base) {
			counts[key] = c.choose(known, item, present)
		}
	}
	return counts
}

// supersedes reports whether the item is certainly as new as the one known of an earlier era. An item of the copy has a
// lower revision than the later change of it that the copy lacks, and none above the base.
func supersedes(item, known mirror.ReceivedItem, base uint64) bool {
	same := item.Deleted == known.Deleted && bytes.Equal(item.Value, known.Value)
	return same || item.Revision > base || item.Revision >= known.Revision
}

// choose returns the item that counts where the store's one, if there is one, may be older than the known one.
func (c *carrier) choose(known, item mirror.ReceivedItem, present bool) mirror.ReceivedItem {
	if _, evacuation := c.decoder.Evacuation(known.Key); evacuation {
		return c.chooseEvacuation(known, item, present)
	}
	leaf, isLeaf, err := c.decoder.Leaf(known.Key, known.Value)
	switch {
	case !isLeaf && present:
		return item
	case !isLeaf:
		return known
	case !present:
		return c.absent(known, leaf.Draining, rewriteTime, c.learnedAt)
	}
	inStore, _, storeErr := c.decoder.Leaf(item.Key, item.Value)
	writes := compareWrites(leaf, inStore)
	switch {
	case storeErr != nil, err == nil && writes < 0:
		return item
	case known.Deleted:
		return c.until(restoreMemory, known, item)
	case err == nil && writes > 0:
		return known
	}
	return item
}

// compareWrites orders two entries of a leaf as it wrote them.
func compareWrites(a, b catalog.Leaf) int {
	return cmp.Or(cmp.Compare(a.ID.StartMillis, b.ID.StartMillis), cmp.Compare(a.Sequence, b.Sequence))
}

// chooseEvacuation is choose for an evacuation. One that the copy lacks stays in force, and one that was taken back
// before doesn't begin again, until the operator must have written again.
func (c *carrier) chooseEvacuation(known, item mirror.ReceivedItem, present bool) mirror.ReceivedItem {
	if !present || item.Deleted {
		return c.absent(known, false, restoreMemory, c.learnedAt.Add(restoreMemory))
	}
	return c.until(rewriteTime, known, item)
}

// absent returns a known item that the store doesn't have: as long as it may be written again as it is, then its
// deletion at the time gone. What is final stays as it is.
func (c *carrier) absent(known mirror.ReceivedItem, final bool, limit time.Duration, gone time.Time) mirror.ReceivedItem {
	if known.Deleted || final {
		return known
	}
	deletion := known
	deletion.Deleted, deletion.ReceivedAt, deletion.DeletedSince = true, gone, gone
	return c.until(limit, known, deletion)
}

// until returns the known item until the time limit after the store's return, then the other one.
func (c *carrier) until(limit time.Duration, known, then mirror.ReceivedItem) mirror.ReceivedItem {
	if c.age >= limit {
		return then
	}
	c.next = min(c.next, limit-c.age)
	return known
}

// noteRestore logs and counts that the store came back from a copy. The caller must hold mu.
func (d *Directory) noteRestore(eras []mirror.EraItems, now time.Time) {
	if len(eras) == 1 || d.restore != nil && d.restore.Era >= eras[0].Era {
		return
	}
	before := eras[1]
	r := &Restore{EraBefore: before.Era, Era: eras[0].Era, LearnedAt: eras[0].LearnedAt, KnownTo: before.CompleteTo, Base: eras[0].Base}
	d.restore = r
	items, _ := d.carryOver(eras, now)
	d.metrics.restores.Inc()
	d.log.Warn(MsgStoreRestored, zap.Uint64("era_before", r.EraBefore), zap.Uint64("era", r.Era),
		zap.Uint64("known_to", r.KnownTo), zap.Uint64("revision", eras[0].CompleteTo), zap.Uint64("base", r.Base),
		zap.Int("items", len(items)), zap.Int("carried_over", r.Carried), zap.Duration("known_for", now.Sub(r.LearnedAt)))
}

// StoreDump is what the directory knows of the store, for operators.
type StoreDump struct {
	Era, Revision uint64
	// LatestRestore is nil if this VM has not seen the store come back from a copy.
	LatestRestore *Restore
}

// StoreDump returns what the directory knows of the store.
func (d *Directory) StoreDump() StoreDump {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.Current()
	dump := StoreDump{Era: v.Era, Revision: v.Revision}
	if d.restore != nil {
		r := *d.restore
		dump.LatestRestore = &r
	}
	return dump
}
