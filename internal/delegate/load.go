package delegate

import (
	"cmp"
	"slices"
	"time"
)

// maxOtherLoads bounds the loads that are kept of gatherers to which this VM hands nothing over.
const maxOtherLoads = 16

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
func (m *Manager) RecordGatherers(loads []GathererLoad) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range loads {
		r := l.report(now)
		if !r.valid(now) || l.Address == m.cfg.Self {
			continue
		}
		if t := findTarget(m.targets, l.Address); t != nil {
			t.record(r)
		} else {
			m.recordOther(l.Address, r)
		}
	}
	m.dropOtherLoads(now)
}

// recordOther keeps the load of a gatherer to which this VM hands nothing over, for passing it on. Requires mu.
func (m *Manager) recordOther(address string, r report) {
	if known, ok := m.otherLoads[address]; !ok || r.at.After(known.at) {
		m.otherLoads[address] = r
	}
}

// dropOtherLoads drops the other loads that have expired, and the oldest above maxOtherLoads. Requires mu.
func (m *Manager) dropOtherLoads(now time.Time) {
	for address, r := range m.otherLoads {
		if !r.valid(now) {
			delete(m.otherLoads, address)
		}
	}
	for len(m.otherLoads) > maxOtherLoads {
		delete(m.otherLoads, oldest(m.otherLoads))
	}
}

// oldest returns the address of the oldest report.
func oldest(reports map[string]report) string {
	var out string
	for address, r := range reports {
		if out == "" || r.at.Before(reports[out].at) {
			out = address
		}
	}
	return out
}

// GathererLoads returns the known loads of gatherers, the newest first.
func (m *Manager) GathererLoads(now time.Time) []GathererLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropOtherLoads(now)
	var out []GathererLoad
	for _, t := range m.targets {
		if t.report.valid(now) {
			out = append(out, newGathererLoad(t.address, &t.report))
		}
	}
	for address, r := range m.otherLoads {
		out = append(out, newGathererLoad(address, &r))
	}
	slices.SortFunc(out, func(a, b GathererLoad) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Address, b.Address))
	})
	return out
}

// report returns the load as a report that another VM passed on. A load from the future counts as one of now.
func (l *GathererLoad) report(now time.Time) report {
	r := report{lag: boundedWait(l.Lag), wait: boundedWait(l.Wait), leaving: l.Leaving, at: l.At, passedOn: true}
	if r.at.After(now) {
		r.at = now
	}
	for _, limit := range l.Limits[:min(len(l.Limits), maxLimits)] {
		r.limits = append(r.limits, boundedWait(limit))
	}
	return r
}

func newGathererLoad(address string, r *report) GathererLoad {
	return GathererLoad{
		Address: address, Lag: r.lag, Wait: r.wait, Limits: slices.Clone(r.limits), Leaving: r.leaving, At: r.at,
	}
}
