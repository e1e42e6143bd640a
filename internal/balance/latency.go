package balance

import (
	"math"
	"time"
)

// latencyDecay is the time in which a peak falls to 1/e. A leaf that was 20 times slower than its
// group is tried again after about three of them.
const latencyDecay = time.Second

// peakEWMA estimates a leaf's latency: it follows a greater value at once and a lesser one slowly,
// and falls while nothing is heard, so that a leaf that was avoided is tried again.
type peakEWMA struct {
	value     float64
	updatedAt time.Time
}

// observe takes in a latency.
func (p *peakEWMA) observe(now time.Time, d time.Duration) {
	x, w := float64(d), p.decayFactor(now)
	if x >= p.value*w {
		p.value = x
	} else {
		p.value = p.value*w + x*(1-w)
	}
	p.updatedAt = now
}

// get returns the estimate in nanoseconds, 0 where nothing was observed.
func (p *peakEWMA) get(now time.Time) float64 { return p.value * p.decayFactor(now) }

// stale tells whether the estimate is hardly more than its own decay.
func (p *peakEWMA) stale(now time.Time) bool {
	return p.updatedAt.IsZero() || now.Sub(p.updatedAt) > latencyDecay
}

func (p *peakEWMA) decayFactor(now time.Time) float64 {
	if p.updatedAt.IsZero() || now.Before(p.updatedAt) {
		return 1
	}
	return math.Exp(-float64(now.Sub(p.updatedAt)) / float64(latencyDecay))
}

const (
	// The buckets of a tail grow by a sixth of an octave from tailFirst, to over 200 s.
	bucketCount      = 128
	bucketsPerOctave = 6
	firstBucketBound = 100 * time.Microsecond
	// sampleHalfLife is the time in which a sample loses half its weight, as long as there are others:
	// tailKeep samples are always kept.
	sampleHalfLife  = 3 * time.Second
	minSampleWeight = 64
	// minQuantileWeight samples make an estimate.
	minQuantileWeight = 20
	// refreshInterval is how old a computed quantile may be.
	refreshInterval = 100 * time.Millisecond
)

// latencyHistogram estimates a high quantile of a leaf's latency from a histogram whose samples lose weight
// with time.
type latencyHistogram struct {
	weights [bucketCount]float32
	total   float64
	// refreshedAt is when weights were last decayed and delay computed.
	refreshedAt time.Time
	delay       time.Duration
}

// add takes in a latency.
func (h *latencyHistogram) add(now time.Time, d time.Duration) {
	h.refresh(now)
	h.weights[bucketOf(d)]++
	h.total++
}

// hedgeDelay returns how long a call may run before a hedge pays, and false while there are too few
// samples. It is the hedge quantile, but no less than three times the median: a hedge takes about the
// median itself, so one sent earlier would mostly come back after the call that it should replace,
// and take the budget from one that is needed.
func (h *latencyHistogram) hedgeDelay(now time.Time) (time.Duration, bool) {
	h.refresh(now)
	return h.delay, h.delay > 0
}

// refresh decays the weights and computes the delay, at most every tailRefresh.
func (h *latencyHistogram) refresh(now time.Time) {
	if h.refreshedAt.IsZero() {
		h.refreshedAt = now
	}
	age := now.Sub(h.refreshedAt)
	if age < refreshInterval {
		return
	}
	h.refreshedAt = now
	if h.total > minSampleWeight {
		f := max(math.Exp2(-float64(age)/float64(sampleHalfLife)), minSampleWeight/h.total)
		h.total = 0
		for i := range h.weights {
			h.weights[i] *= float32(f)
			h.total += float64(h.weights[i])
		}
	}
	h.delay = 0
	if h.total >= minQuantileWeight {
		h.delay = max(h.quantile(hedgeQuantile), minHedgeMedians*h.quantile(medianQuantile))
	}
}

// quantile returns the latency below which the share q of the samples lies, interpolated in its
// bucket.
func (h *latencyHistogram) quantile(q float64) time.Duration {
	remaining := h.total * q
	for i, w := range h.weights {
		if remaining > float64(w) {
			remaining -= float64(w)
			continue
		}
		low, high := float64(bucketFloor(i)), float64(bucketFloor(i+1))
		return time.Duration(low + (high-low)*remaining/float64(w))
	}
	return bucketFloor(bucketCount)
}

func bucketOf(d time.Duration) int {
	if d <= firstBucketBound {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(firstBucketBound)) * bucketsPerOctave)
	return min(i, bucketCount-1)
}

func bucketFloor(i int) time.Duration {
	return time.Duration(float64(firstBucketBound) * math.Exp2(float64(i)/bucketsPerOctave))
}
