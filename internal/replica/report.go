package replica

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// LeafReport is a leaf's report of its load, and when a VM received it.
type LeafReport struct {
	Leaf catalog.LeafID
	Load Load
	At   time.Time
}

// Loads returns the reports that are at most maxAge old, own and received, the newest first.
func (t *Table) Loads(now time.Time, maxAge time.Duration) []LeafReport { return nil }

// ReportAt stores a leaf's report that this or another VM received at the given time, unless a newer one is known.
func (t *Table) ReportAt(id catalog.LeafID, load Load, at time.Time) {}
