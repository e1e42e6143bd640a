package quota

import (
	"math"
	"time"
)

const (
	// RateTimeConstant is the time in which the weight of an event in a Rate falls to 1/e.
	RateTimeConstant = time.Second
	// minRateSpan is the shortest time over which a rate is computed.
	minRateSpan = 50 * time.Millisecond
	// rateResetAfter is the time without an event after which a rate starts over.
	rateResetAfter = 5 * RateTimeConstant
)

// Rate estimates the events per second, with weights that decay exponentially.
type Rate struct {
	// weightSum is the sum of the events' weights at updated.
	weightSum        float64
	started, updated time.Time
}

// Add counts one event.
func (r *Rate) Add(now time.Time) {
	if r.updated.IsZero() || now.Sub(r.updated) > rateResetAfter {
		*r = Rate{started: now}
	}
	r.weightSum = r.decayed(now) + 1
	r.updated = now
}

// decayed returns the sum of the weights that the events so far have at now.
func (r *Rate) decayed(now time.Time) float64 {
	return r.weightSum * math.Exp(-float64(now.Sub(r.updated))/float64(RateTimeConstant))
}

// PerSecond returns the events per second. Shortly after the first event it corrects for the short time
// of observation.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	age := max(minRateSpan, now.Sub(r.started))
	return r.decayed(now) / (RateTimeConstant.Seconds() * (1 - math.Exp(-float64(age)/float64(RateTimeConstant))))
}
