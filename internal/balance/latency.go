package balance

import (
	"math"
	"time"
)

// latencyDecay is the time in which a peak decays to 1/e. A leaf that was 20 times slower than its group
// is tried again after about three times that.
const latencyDecay = time.Second

// peakEWMA estimates a leaf's latency. It follows a higher value immediately and a lower one slowly, and
// decays without samples, so that a leaf that was avoided is tried again.
type peakEWMA struct {
	value     float64
	updatedAt time.Time
}

// observe adds a latency.
func (p *peakEWMA) observe(now time.Time, d time.Duration) {
	x, w := float64(d), p.decayFactor(now)
	if x >= p.value*w {
		p.value = x
	} else {
		p.value = p.value*w + x*(1-w)
	}
	p.updatedAt = now
}

// get returns the estimate in nanoseconds, 0 without samples.
func (p *peakEWMA) get(now time.Time) float64 { return p.value * p.decayFactor(now) }

// stale reports whether there was no sample for latencyDecay, so that the estimate mostly shows its own
// decay.
func (p *peakEWMA) stale(now time.Time) bool {
	return p.updatedAt.IsZero() || now.Sub(p.updatedAt) > latencyDecay
}

// decayFactor returns the factor by which the estimate has decayed since the last sample.
func (p *peakEWMA) decayFactor(now time.Time) float64 {
	if p.updatedAt.IsZero() || now.Before(p.updatedAt) {
		return 1
	}
	return math.Exp(-float64(now.Sub(p.updatedAt)) / float64(latencyDecay))
}

const (
	// The buckets of a histogram grow by a sixth of an octave from firstBucketBound, to over 200 s.
	bucketCount      = 128
	bucketsPerOctave = 6
	firstBucketBound = 100 * time.Microsecond
	// sampleHalfLife is the time in which a sample loses half its weight. The total weight doesn't decay
	// below minSampleWeight samples.
	sampleHalfLife  = 3 * time.Second
	minSampleWeight = 64
	// minQuantileWeight is the weight of samples from which a quantile is estimated.
	minQuantileWeight = 20
	// refreshInterval is the maximum age of a computed hedge delay.
	refreshInterval = 100 * time.Millisecond
)

// latencyHistogram is a histogram of a leaf's latencies whose samples lose weight with time. It estimates
// quantiles of the recent latencies.
type latencyHistogram struct {
	weights [bucketCount]float32
	total   float64
	// refreshedAt is when the weights were last decayed and the delay was computed.
	refreshedAt time.Time
	delay       time.Duration
}

// add adds a latency.
func (h *latencyHistogram) add(now time.Time, d time.Duration) {
	h.refresh(now)
	h.weights[bucketOf(d)]++
	h.total++
}

// hedgeDelay returns how long a call may run before a hedge is worthwhile, and false while there are too
// few samples. It is the hedge quantile, but no less than three times the median: a hedge itself takes
// about the median, so one sent earlier would mostly be answered after the call that it should replace,
// and would take the budget from a hedge that is needed.
func (h *latencyHistogram) hedgeDelay(now time.Time) (time.Duration, bool) {
	h.refresh(now)
	return h.delay, h.delay > 0
}

// refresh decays the weights and computes the delay, at most once every refreshInterval.
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

// quantile returns the latency below which the share q of the samples lies, interpolated within its
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

// bucketOf returns the index of the bucket of a latency.
func bucketOf(d time.Duration) int {
	if d <= firstBucketBound {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(firstBucketBound)) * bucketsPerOctave)
	return min(i, bucketCount-1)
}

// bucketFloor returns the lower bound of bucket i.
func bucketFloor(i int) time.Duration {
	return time.Duration(float64(firstBucketBound) * math.Exp2(float64(i)/bucketsPerOctave))
}
