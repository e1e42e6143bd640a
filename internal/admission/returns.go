package admission

import "time"

const (
	// returnSoonest is the shortest wait told to a refused caller.
	returnSoonest = 50 * time.Millisecond
	// slowestDrain, in requests a second, bounds waits when nothing drains.
	slowestDrain = 1
)

// returns gives each refused caller a time of its own to come back, one after the other at the rate
// at which the queue drains, so that they don't come back in one wave.
type returns struct {
	most time.Duration
	// next is the time given to the caller refused last.
	next time.Time
}

// after returns when to come back: after the work that is ahead, and after those refused before.
// The random number, in [0,1), moves it within its place in the row, or spreads it over the later
// half of the longest wait where the row is longer than that.
func (r *returns) after(now time.Time, ahead int, drain, random float64) time.Duration {
	place := time.Duration(float64(time.Second) / max(drain, slowestDrain))
	soonest := now.Add(returnSoonest + time.Duration(ahead)*place)
	if r.next.Before(soonest) {
		r.next = soonest
	}
	r.next = r.next.Add(place)
	wait := r.next.Sub(now) - time.Duration(random*float64(place))
	if wait <= r.most {
		return wait
	}
	r.next = now.Add(r.most)
	return r.most - time.Duration(random*float64(r.most)/2)
}
