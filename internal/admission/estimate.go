package admission

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.1
	// estimateHalfLife is the half-life of a lower bound without new samples. The decay lets requests
	// to a service that was slow through again.
	estimateHalfLife = time.Second
	// lowerBoundDeviations is how many mean deviations below the mean the lower bound of a time lies.
	lowerBoundDeviations = 2
)

// estimate holds moving averages of a time and of its absolute deviation, in nanoseconds.
type estimate struct {
	mean, deviation float64
	updated         time.Time
}

// add adds a sample.
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

// typical returns the mean, or 0 before the first sample.
func (e *estimate) typical() time.Duration { return time.Duration(e.mean) }

// lowerBound returns the time below which a request is assumed not to finish, or 0 before the first
// sample.
func (e *estimate) lowerBound(now time.Time) time.Duration {
	if e.updated.IsZero() {
		return 0
	}
	decay := math.Exp2(-float64(now.Sub(e.updated)) / float64(estimateHalfLife))
	return time.Duration(max(0, e.mean-lowerBoundDeviations*e.deviation) * decay)
}

const (
	// rateTimeConstant is the time in which the weight of an event in an eventRate falls to 1/e.
	rateTimeConstant = time.Second
	// minRateSpan is the shortest time over which a rate is computed.
	minRateSpan = 50 * time.Millisecond
	// rateResetAfter is the time without an event after which a rate starts over.
	rateResetAfter = 5 * rateTimeConstant
)

// eventRate estimates the events per second, with weights that decay exponentially.
type eventRate struct {
	weightSum        float64
	started, updated time.Time
}

// add counts one event.
func (r *eventRate) add(now time.Time) {
	if r.updated.IsZero() || now.Sub(r.updated) > rateResetAfter {
		*r = eventRate{started: now}
	}
	r.weightSum = r.decayed(now) + 1
	r.updated = now
}

// decayed returns the sum of the weights that the events so far have at now.
func (r *eventRate) decayed(now time.Time) float64 {
	return r.weightSum * math.Exp(-float64(now.Sub(r.updated))/float64(rateTimeConstant))
}

// perSecond returns the events per second. Shortly after the first event it corrects for the short time
// of observation.
func (r *eventRate) perSecond(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	age := max(minRateSpan, now.Sub(r.started))
	return r.decayed(now) / (rateTimeConstant.Seconds() * (1 - math.Exp(-float64(age)/float64(rateTimeConstant))))
}
