package balance

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is the state of a Balancer as the dump shows it.
type Snapshot struct {
	Counts Counts `json:"counts"`
	// Shedding is true while hedges and retries are refused because the service sheds.
	Shedding bool           `json:"shedding"`
	Leaves   []LeafSnapshot `json:"leaves"`
}

// LeafSnapshot is the state of a leaf as the dump shows it.
type LeafSnapshot struct {
	Leaf     string `json:"leaf"`
	InFlight int    `json:"in_flight"`
	Limit    int    `json:"limit"`
	// Latency is the estimate by which replicas are chosen. HedgeDelay is the leaf's own hedge delay,
	// empty while it isn't known.
	Latency    string `json:"latency"`
	HedgeDelay string `json:"hedge_delay,omitempty"`
	// Share is the part of its normal share of calls that a cold leaf receives, 1 for others.
	Share float64 `json:"share"`
	// Reported is the utilisation in the leaf's own report, and Age the age of that report, empty
	// without one.
	Reported float64 `json:"reported_utilisation"`
	Age      string  `json:"report_age,omitempty"`
	// Shed is true where the leaf shed a call recently.
	Shed bool `json:"shed_lately"`
}

// Snapshot returns the state, with the leaves ordered by id.
func (b *Balancer) Snapshot() Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	s := Snapshot{Counts: b.counts, Shedding: b.sheds.overloaded(now), Leaves: make([]LeafSnapshot, 0, len(b.leaves))}
	for id, l := range b.leaves {
		s.Leaves = append(s.Leaves, l.snapshot(now, id))
	}
	slices.SortFunc(s.Leaves, func(a, b LeafSnapshot) int { return cmp.Compare(a.Leaf, b.Leaf) })
	return s
}

// Dump implements operator.Dumper.
func (b *Balancer) Dump() any { return b.Snapshot() }

func (l *leafState) snapshot(now time.Time, id string) LeafSnapshot {
	s := LeafSnapshot{
		Leaf: id, InFlight: l.inFlight(), Limit: int(max(1, l.limit.limit)), Share: l.share(now),
		Latency:  time.Duration(l.latency.get(now)).Round(time.Microsecond).String(),
		Reported: l.utilisation, Shed: l.shedLately(now),
	}
	if d, ok := l.histogram.hedgeDelay(now); ok {
		s.HedgeDelay = d.Round(time.Microsecond).String()
	}
	if !l.reportedAt.IsZero() {
		s.Age = now.Sub(l.reportedAt).Round(time.Millisecond).String()
	}
	return s
}
