package admission

import (
	"math"
	"time"
)

const (
	// estimateShare is the weight of a new sample.
	estimateShare = 0.1
	// estimateHalfLife is how fast an estimate without new samples is forgotten, so that a service
	// that was slow is tried again.
	estimateHalfLife = time.Second
	// surelyDeviations is how far below the mean a time must be to count as surely too short.
	surelyDeviations = 2
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
		e.deviation += estimateShare * (math.Abs(x-e.mean) - e.deviation)
		e.mean += estimateShare * (x - e.mean)
	}
	e.updated = now
}

// typical returns the mean, 0 before the first sample.
func (e *estimate) typical() time.Duration { return time.Duration(e.mean) }

// least returns a time in which a request surely can't be done, 0 where nothing is known.
func (e *estimate) least(now time.Time) time.Duration {
	if e.updated.IsZero() {
		return 0
	}
	age := math.Exp2(-float64(now.Sub(e.updated)) / float64(estimateHalfLife))
	return time.Duration(max(0, e.mean-surelyDeviations*e.deviation) * age)
}

// rateTime is the time constant of an eventRate.
const rateTime = time.Second

// eventRate counts events a second, forgetting the old.
type eventRate struct {
	count   float64
	updated time.Time
}

// add takes one event.
func (r *eventRate) add(now time.Time) {
	r.count = r.at(now)*rateTime.Seconds() + 1
	r.updated = now
}

// at returns the events a second.
func (r *eventRate) at(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.count * math.Exp(-float64(now.Sub(r.updated))/float64(rateTime)) / rateTime.Seconds()
}
