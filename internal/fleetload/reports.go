package fleetload

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/replica"
)

const (
	// maxLeaves and maxGatherers bound the leaves and gatherers of which a VM keeps a report, and those of a message.
	maxLeaves, maxGatherers = 64, 16
	// maxAge is the age from which a report is dropped.
	maxAge = replica.MaxReportAge
	// fullnessThreshold is the fraction of the slots, or of the wait limit, from which a service or gatherer counts as
	// busy. Below it, any choice finds a free slot.
	fullnessThreshold = 0.5
)

// report is the load of a leaf or gatherer at the time at. from is the VM that sent it, empty for an observation of
// this VM.
type report[V any] struct {
	load V
	at   time.Time
	from string
}

// reports holds the newest report of each leaf or gatherer, at most limit of them. What it holds does not depend on
// the order in which reports are merged, nor on repeats.
type reports[K comparable, V any] struct {
	limit        int
	byKey        map[K]report[V]
	compareKeys  func(a, b K) int
	compareLoads func(a, b V) int
}

func newLeafReports() *reports[catalog.LeafID, replica.Load] {
	return &reports[catalog.LeafID, replica.Load]{
		limit: maxLeaves, byKey: make(map[catalog.LeafID]report[replica.Load]),
		compareKeys: compareLeaves, compareLoads: compareLeafLoads,
	}
}

func newGathererReports() *reports[string, delegate.GathererLoad] {
	return &reports[string, delegate.GathererLoad]{
		limit: maxGatherers, byKey: make(map[string]report[delegate.GathererLoad]),
		compareKeys: strings.Compare, compareLoads: compareGathererLoads,
	}
}

// merge takes the report over if it is newer than the known one, and returns whether it is.
func (s *reports[K, V]) merge(key K, r report[V]) bool {
	if old, known := s.byKey[key]; known && s.compare(r, old) <= 0 {
		return false
	}
	s.byKey[key] = r
	if len(s.byKey) > s.limit {
		keys := s.newestFirst()
		delete(s.byKey, keys[len(keys)-1])
	}
	return true
}

// compare orders reports by time. Equal times are ordered by the load, so that all VMs keep the same report.
func (s *reports[K, V]) compare(a, b report[V]) int {
	return cmp.Or(a.at.Compare(b.at), s.compareLoads(a.load, b.load), strings.Compare(a.from, b.from))
}

// expire drops the reports that are too old.
func (s *reports[K, V]) expire(now time.Time) {
	for key, r := range s.byKey {
		if now.Sub(r.at) > maxAge {
			delete(s.byKey, key)
		}
	}
}

// newestFirst returns the keys of all reports.
func (s *reports[K, V]) newestFirst() []K {
	keys := make([]K, 0, len(s.byKey))
	for key := range s.byKey {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int {
		return cmp.Or(s.byKey[b].at.Compare(s.byKey[a].at), s.compareKeys(a, b))
	})
	return keys
}

func compareLeaves(a, b catalog.LeafID) int {
	return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.StartMillis, b.StartMillis))
}

func compareLeafLoads(a, b replica.Load) int {
	return cmp.Or(
		cmp.Compare(a.Running, b.Running), cmp.Compare(a.Waiting, b.Waiting), cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.WorkTimePercent, b.WorkTimePercent),
	)
}

func compareGathererLoads(a, b delegate.GathererLoad) int {
	if a.Leaving != b.Leaving {
		if a.Leaving {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.Lag, b.Lag), slices.Compare(a.Limits, b.Limits))
}

// leafBusy reports whether the leaves with the given total load are at least half full.
func leafBusy(load replica.Load) bool {
	return load.Slots > 0 && float64(load.Running+load.Waiting) >= fullnessThreshold*float64(load.Slots)
}

// gathererBusy reports whether the gatherer's wait is at least half of its lowest limit, that of the priority which it
// refuses first.
func gathererBusy(load delegate.GathererLoad) bool {
	var lowest time.Duration
	for _, limit := range load.Limits {
		if limit > 0 && (lowest == 0 || limit < lowest) {
			lowest = limit
		}
	}
	return lowest > 0 && float64(load.Wait) >= fullnessThreshold*float64(lowest)
}
