package admission

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.1
	// estimateHalfLife is the half-life of a lower bound without new samples. Refused requests give no
	// samples, so without the decay the bound of a service that was slow would go on to refuse requests.
	estimateHalfLife = time.Second
	// lowerBoundDeviations is the distance of a lower bound below the mean, in mean absolute deviations.
	lowerBoundDeviations = 2
)

// estimate holds moving averages of the time that admitted requests take and of its absolute
// deviation from the mean, in nanoseconds.
type estimate struct {
	mean, deviation float64
	updated         time.Time
}

// add adds a sample. The first deviation is half of the first sample, so that the lower bound is 0 after
// a single sample.
func (e *estimate) add(now time.Time, d time.Duration) {
	x := float64(d)
	if e.updated.IsZero() {
		e.mean, e.deviation = x, x/2
	} else {
		e.deviation += sampleWeight * (math.Abs(x-e.mean) - e.deviation)
		e.mean += sampleWeight * (x - e.mean)
	}
	e.updated = now
}

// typical returns the mean, or 0 before the first sample. Unlike the lower bound it does not decay
// without new samples.
func (e *estimate) typical() time.Duration { return time.Duration(e.mean) }

// lowerBound returns an estimate of the shortest time in which a request finishes: the mean less
// lowerBoundDeviations mean deviations, at least 0, decayed by the time since the newest sample. It
// returns 0 before the first sample. Admission assumes that no request finishes sooner.
func (e *estimate) lowerBound(now time.Time) time.Duration {
	if e.updated.IsZero() {
		return 0
	}
	decay := math.Exp2(-float64(now.Sub(e.updated)) / float64(estimateHalfLife))
	return time.Duration(max(0, e.mean-lowerBoundDeviations*e.deviation) * decay)
}
