package delegate

import "time"

// GathererLoad is the load of a gatherer as a VM heard of it last.
type GathererLoad struct {
	Address string
	// Lag is the scheduling lag of the gatherer's processor, and Wait the expected wait of a new search for it.
	Lag, Wait time.Duration
	// Limits are the longest waits at which the gatherer accepts a search, by priority.
	Limits  []time.Duration
	Leaving bool
	// At is when the gatherer told it.
	At time.Time
}

// RecordGatherers takes over the loads of gatherers that other VMs heard of, where they are newer.
func (m *Manager) RecordGatherers(loads []GathererLoad) {}

// GathererLoads returns the known loads of gatherers, the newest first.
func (m *Manager) GathererLoads(now time.Time) []GathererLoad { return nil }
