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
	value float64
	at    time.Time
}

// observe takes in a latency.
func (p *peakEWMA) observe(now time.Time, d time.Duration) {
	x, w := float64(d), p.weight(now)
	if x >= p.value*w {
		p.value = x
	} else {
		p.value = p.value*w + x*(1-w)
	}
	p.at = now
}

// get returns the estimate in nanoseconds, 0 where nothing was observed.
func (p *peakEWMA) get(now time.Time) float64 { return p.value * p.weight(now) }

// stale tells whether the estimate is hardly more than its own decay.
func (p *peakEWMA) stale(now time.Time) bool {
	return p.at.IsZero() || now.Sub(p.at) > latencyDecay
}

func (p *peakEWMA) weight(now time.Time) float64 {
	if p.at.IsZero() || now.Before(p.at) {
		return 1
	}
	return math.Exp(-float64(now.Sub(p.at)) / float64(latencyDecay))
}

const (
	// The buckets of a tail grow by a sixth of an octave from tailFirst, to over 200 s.
	tailBuckets   = 128
	tailPerOctave = 6
	tailFirst     = 100 * time.Microsecond
	// tailHalfLife is the time in which a sample loses half its weight, as long as there are others:
	// tailKeep samples are always kept.
	tailHalfLife = 3 * time.Second
	tailKeep     = 64
	// tailEnough samples make an estimate.
	tailEnough = 20
	// tailRefresh is how old a computed quantile may be.
	tailRefresh = 100 * time.Millisecond
)

// tail estimates a high quantile of a leaf's latency from a histogram whose samples lose weight
// with time.
type tail struct {
	weights [tailBuckets]float32
	total   float64
	// at is when weights were last decayed and delay computed.
	at    time.Time
	delay time.Duration
}

// add takes in a latency.
func (t *tail) add(now time.Time, d time.Duration) {
	t.refresh(now)
	t.weights[bucketOf(d)]++
	t.total++
}

// hedgeDelay returns how long a call may run before a hedge pays, and false while there are too few
// samples. It is the hedge quantile, but no less than three times the median: a hedge takes about the
// median itself, so one sent earlier would mostly come back after the call that it should replace,
// and take the budget from one that is needed.
func (t *tail) hedgeDelay(now time.Time) (time.Duration, bool) {
	t.refresh(now)
	return t.delay, t.delay > 0
}

// refresh decays the weights and computes the delay, at most every tailRefresh.
func (t *tail) refresh(now time.Time) {
	if t.at.IsZero() {
		t.at = now
	}
	age := now.Sub(t.at)
	if age < tailRefresh {
		return
	}
	t.at = now
	if t.total > tailKeep {
		f := max(math.Exp2(-float64(age)/float64(tailHalfLife)), tailKeep/t.total)
		t.total = 0
		for i := range t.weights {
			t.weights[i] *= float32(f)
			t.total += float64(t.weights[i])
		}
	}
	t.delay = 0
	if t.total >= tailEnough {
		t.delay = max(t.quantile(hedgeQuantile), hedgeMedians*t.quantile(median))
	}
}

// quantile returns the latency below which the share q of the samples lies, interpolated in its
// bucket.
func (t *tail) quantile(q float64) time.Duration {
	rest := t.total * q
	for i, w := range t.weights {
		if rest > float64(w) {
			rest -= float64(w)
			continue
		}
		low, high := float64(bucketFloor(i)), float64(bucketFloor(i+1))
		return time.Duration(low + (high-low)*rest/float64(w))
	}
	return bucketFloor(tailBuckets)
}

func bucketOf(d time.Duration) int {
	if d <= tailFirst {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(tailFirst)) * tailPerOctave)
	return min(i, tailBuckets-1)
}

func bucketFloor(i int) time.Duration {
	return time.Duration(float64(tailFirst) * math.Exp2(float64(i)/tailPerOctave))
}
