package route

import (
	"math"
	"sync"
	"time"
)

const (
	// decayHalfLife is how fast what was seen of a gather is forgotten, so that one that was slow or
	// failing is tried again.
	decayHalfLife = 2 * time.Second
	// sampleWeight is the weight of a new sample below the peak.
	sampleWeight = 0.2
	// failurePenalty multiplies the cost of a gather all of whose recent calls failed, plus one.
	failurePenalty = 20
	// minLatency keeps the cost of an unused gather above 0, so that calls in flight count.
	minLatency = float64(time.Millisecond)
)

// stats is what this entry saw of one gather for one service.
type stats struct {
	incarnation uint64

	mu sync.Mutex
	// inFlight counts calls, latency is a peak-EWMA in nanoseconds, failures an EWMA from 0 to 1, and
	// updated when the two were last decayed; all guarded by mu.
	inFlight int
	latency  float64
	failures float64
	updated  time.Time
}

// decay forgets by the time that went by; mu is held.
func (s *stats) decay(now time.Time) {
	if !s.updated.IsZero() && now.After(s.updated) {
		f := math.Exp2(-float64(now.Sub(s.updated)) / float64(decayHalfLife))
		s.latency *= f
		s.failures *= f
	}
	s.updated = now
}

// begin counts a call in flight.
func (s *stats) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

// end counts a call out. A call that was given up says nothing about the gather's failures.
func (s *stats) end(now time.Time, elapsed time.Duration, r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.decay(now)
	if r == resultNeutral {
		return
	}
	failed := 0.0
	if r == resultFailed {
		failed = 1
	}
	s.failures += sampleWeight * (failed - s.failures)
	// A slow call counts at once, a fast one slowly; a failure's speed says nothing good.
	if l := float64(elapsed); l > s.latency {
		s.latency = l
	} else if r == resultOK {
		s.latency += sampleWeight * (l - s.latency)
	}
}

// cost is the price of one more call: the work ahead of it times the time it takes.
func (s *stats) cost(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return float64(s.inFlight+1) * (minLatency + s.latency) * (1 + failurePenalty*s.failures)
}

// result says how a call to a gather ended, as far as the choice of gathers is concerned.
type result int

const (
	resultOK result = iota
	// resultFailed is a call that the gather did not take or did not answer.
	resultFailed
	// resultNeutral is a call whose caller went away, or whose connection went silent.
	resultNeutral
)

// statsKey names a gather for a service.
type statsKey struct{ service, vm string }

// statsTable holds the stats of all gathers.
type statsTable struct {
	mu sync.Mutex
	// byKey is guarded by mu.
	byKey map[statsKey]*stats
}

func newStatsTable() *statsTable { return &statsTable{byKey: make(map[statsKey]*stats)} }

// of returns the stats of a gather; a new incarnation starts afresh.
func (t *statsTable) of(service string, g Gather) *stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := statsKey{service: service, vm: g.VM}
	s := t.byKey[k]
	if s == nil || s.incarnation != g.Incarnation {
		s = &stats{incarnation: g.Incarnation}
		t.byKey[k] = s
	}
	return s
}

// prune drops the stats of VMs that are not in the set.
func (t *statsTable) prune(vms map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.byKey {
		if !vms[k.vm] {
			delete(t.byKey, k)
		}
	}
}
