package route

import (
	"math"
	"sync"
	"time"
)

const (
	// decayHalfLife is the half-life of a gather's latency and failures, so that a gather that was slow
	// or failing is tried again.
	decayHalfLife = 2 * time.Second
	// sampleWeight is the weight of a new sample in the moving averages, for a latency below the peak.
	sampleWeight = 0.2
	// failurePenalty plus one multiplies the cost of a gather whose recent calls all failed.
	failurePenalty = 20
	// minLatency, in nanoseconds, is added to a gather's latency. It keeps the cost of an unused gather
	// above 0, so that its calls in flight count.
	minLatency = float64(time.Millisecond)
)

// stats holds this entry's measurements of one gather for one service. It is safe for concurrent use.
type stats struct {
	incarnation uint64

	mu sync.Mutex
	// inFlight counts the calls in flight, latency is a peak EWMA in nanoseconds, failures is an EWMA
	// from 0 to 1, and updated is when the latter two were last decayed. All are guarded by mu.
	inFlight int
	latency  float64
	failures float64
	updated  time.Time
}

// decay reduces latency and failures by the time since the last update. It requires mu.
func (s *stats) decay(now time.Time) {
	if !s.updated.IsZero() && now.After(s.updated) {
		f := math.Exp2(-float64(now.Sub(s.updated)) / float64(decayHalfLife))
		s.latency *= f
		s.failures *= f
	}
	s.updated = now
}

// begin counts a new call in flight.
func (s *stats) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

// end records the end of a call. A neutral result changes neither latency nor failures.
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
	// A slow call counts immediately, a fast one slowly. A fast failure doesn't lower the latency.
	if l := float64(elapsed); l > s.latency {
		s.latency = l
	} else if r == resultOK {
		s.latency += sampleWeight * (l - s.latency)
	}
}

// cost returns the cost of one more call, in nanoseconds: the calls in flight with it, times the latency,
// raised by recent failures.
func (s *stats) cost(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return float64(s.inFlight+1) * (minLatency + s.latency) * (1 + failurePenalty*s.failures)
}

// result is how a call to a gather ended, for the choice of gathers.
type result int

const (
	resultOK result = iota
	// resultFailed is a call that the gather did not accept or did not answer.
	resultFailed
	// resultNeutral is a call whose caller went away, or whose connection went silent.
	resultNeutral
)

// statsKey identifies a gather by its VM, for a service.
type statsKey struct{ service, vm string }

// statsTable holds the stats of all gathers. It is safe for concurrent use.
type statsTable struct {
	mu sync.Mutex
	// byKey is guarded by mu.
	byKey map[statsKey]*stats
}

func newStatsTable() *statsTable { return &statsTable{byKey: make(map[statsKey]*stats)} }

// of returns the stats of a gather and creates them on first use. A new incarnation starts with new ones.
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
