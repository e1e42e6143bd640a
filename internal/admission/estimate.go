package admission

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample.
	sampleWeight = 0.1
	// estimateHalfLife is how fast an estimate without new samples is forgotten, so that a service
	// that was slow is tried again.
	estimateHalfLife = time.Second
	// minTimeDeviations is how far below the mean a time must be to count as surely too short.
	minTimeDeviations = 2
)

// estimate is the mean and the mean deviation of a time.
type estimate struct {
	mean, deviation float64
	updated         time.Time
}

// add takes one sample.
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

// typical returns the mean, 0 before the first sample.
func (e *estimate) typical() time.Duration { return time.Duration(e.mean) }

// lowerBound returns a time in which a request surely can't be done, 0 where nothing is known.
func (e *estimate) lowerBound(now time.Time) time.Duration {
	if e.updated.IsZero() {
		return 0
	}
	age := math.Exp2(-float64(now.Sub(e.updated)) / float64(estimateHalfLife))
	return time.Duration(max(0, e.mean-minTimeDeviations*e.deviation) * age)
}

const (
	// rateTimeConstant is the time constant of an eventRate.
	rateTimeConstant = time.Second
	// minRateSpan is the shortest time over which a rate is worked out.
	minRateSpan = 50 * time.Millisecond
	// rateResetAfter is how long without an event a rate starts anew.
	rateResetAfter = 5 * rateTimeConstant
)

// eventRate counts events a second, forgetting the old.
type eventRate struct {
	count            float64
	started, updated time.Time
}

// add takes one event.
func (r *eventRate) add(now time.Time) {
	if r.updated.IsZero() || now.Sub(r.updated) > rateResetAfter {
		*r = eventRate{started: now}
	}
	r.count = r.decayed(now) + 1
	r.updated = now
}

// decayed returns the weight of the events so far.
func (r *eventRate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-float64(now.Sub(r.updated))/float64(rateTimeConstant))
}

// perSecond returns the events a second, over the time since the first where that is short.
func (r *eventRate) perSecond(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	age := max(minRateSpan, now.Sub(r.started))
	return r.decayed(now) / (rateTimeConstant.Seconds() * (1 - math.Exp(-float64(age)/float64(rateTimeConstant))))
}
