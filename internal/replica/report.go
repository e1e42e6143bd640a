package replica

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// MaxReportAge is the age from which a report that another VM received is ignored.
	MaxReportAge = time.Second
	// maxUncalledLeaves bounds the leaves that this VM has not called and of which it keeps a report.
	maxUncalledLeaves = 64
	// maxReportedCount bounds the requests and slots of a credible report. Leaves have some tens of slots.
	maxReportedCount = 1 << 16
)

// LeafReport is a leaf's report of its load, and when a VM received it.
type LeafReport struct {
	Leaf catalog.LeafID
	Load Load
	At   time.Time
	// Own is set where the leaf sent the report to this VM.
	Own bool
}

// Valid reports whether a leaf may have sent the load.
func (l Load) Valid() bool {
	for _, n := range []int{l.Running, l.Waiting, l.Slots, l.WorkTimePercent} {
		if n < 0 || n > maxReportedCount {
			return false
		}
	}
	return true
}

// Report stores a leaf's report of its own load.
func (t *Table) Report(id catalog.LeafID, load Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.leaves[id]; l != nil {
		l.load, l.loadAt, l.ownLoad = load, now, true
	}
}

// ReportAt stores a leaf's report that another VM received at the given time, unless a newer one is known. A report
// that is too old, of the future or out of range is ignored. The report of a leaf that this VM has not called is kept
// for its first call.
func (t *Table) ReportAt(id catalog.LeafID, load Load, at, now time.Time) {
	if id.Name == "" || !load.Valid() || at.After(now) || now.Sub(at) > MaxReportAge {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.leaves[id]; l != nil {
		l.replaceLoad(load, at)
		return
	}
	t.dropUncalled(now)
	if old, known := t.uncalled[id]; known && !at.After(old.At) {
		return
	}
	t.uncalled[id] = LeafReport{Leaf: id, Load: load, At: at}
	if len(t.uncalled) > maxUncalledLeaves {
		delete(t.uncalled, t.oldestUncalled())
	}
}

// Loads returns the reports that are at most maxAge old, own and received, the newest first. It is limited to the
// leaves for which include returns true. include must not call the table.
func (t *Table) Loads(now time.Time, maxAge time.Duration, include func(catalog.LeafID) bool) []LeafReport {
	var out []LeafReport
	t.mu.Lock()
	for id, l := range t.leaves {
		if !l.loadAt.IsZero() && now.Sub(l.loadAt) <= maxAge && include(id) {
			out = append(out, LeafReport{id, l.load, l.loadAt, l.ownLoad})
		}
	}
	for id, r := range t.uncalled {
		if now.Sub(r.At) <= maxAge && include(id) {
			out = append(out, r)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(out, func(a, b LeafReport) int {
		return cmp.Or(b.At.Compare(a.At), strings.Compare(a.Leaf.String(), b.Leaf.String()))
	})
	return out
}

// replaceLoad replaces the leaf's report with one that another VM received at the given time, if that is newer. VMs do
// not tell each other how long work takes; that part stays as it was, with its age.
func (l *leaf) replaceLoad(load Load, at time.Time) {
	if !at.After(l.loadAt) {
		return
	}
	load.WorkTimePercent = 0
	if l.load.WorkTimePercent > 0 {
		aged := decay(float64(l.load.WorkTimePercent), typicalWorkPercent, at.Sub(l.loadAt), loadDecay)
		load.WorkTimePercent = int(math.Round(aged))
	}
	l.load, l.loadAt, l.ownLoad = load, at, false
}

// takeUncalled gives the new entry of a leaf the report that other VMs have sent. Requires mu.
func (t *Table) takeUncalled(id catalog.LeafID, l *leaf, now time.Time) {
	r, known := t.uncalled[id]
	if !known {
		return
	}
	delete(t.uncalled, id)
	if now.Sub(r.At) <= MaxReportAge {
		l.replaceLoad(r.Load, r.At)
	}
}

// dropUncalled drops the reports of uncalled leaves that are too old. Requires mu.
func (t *Table) dropUncalled(now time.Time) {
	for id, r := range t.uncalled {
		if now.Sub(r.At) > MaxReportAge {
			delete(t.uncalled, id)
		}
	}
}

// oldestUncalled returns the uncalled leaf with the oldest report. Requires mu.
func (t *Table) oldestUncalled() catalog.LeafID {
	var oldest LeafReport
	for _, r := range t.uncalled {
		if oldest.At.IsZero() || r.At.Before(oldest.At) {
			oldest = r
		}
	}
	return oldest.Leaf
}
