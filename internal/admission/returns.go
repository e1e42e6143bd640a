package admission

import "time"

const (
	// minRetryAfter is the shortest wait told to a refused caller.
	minRetryAfter = 50 * time.Millisecond
	// minDrainRate, in requests a second, bounds waits when nothing drains.
	minDrainRate = 1
)

// retrySchedule gives each refused caller a time of its own to come back, one after the other at the rate
// at which the queue drains, so that they don't come back in one wave.
type retrySchedule struct {
	maxWait time.Duration
	// latest is the time given to the caller refused last.
	latest time.Time
}

// retryAfter returns when to come back: after the work that is ahead, and after those refused before.
// The random number, in [0,1), moves it within its place in the row, or spreads it over the later
// half of the longest wait where the row is longer than that.
func (s *retrySchedule) retryAfter(now time.Time, ahead int, drain, random float64) time.Duration {
	interval := time.Duration(float64(time.Second) / max(drain, minDrainRate))
	earliest := now.Add(minRetryAfter + time.Duration(ahead)*interval)
	if s.latest.Before(earliest) {
		s.latest = earliest
	}
	s.latest = s.latest.Add(interval)
	wait := s.latest.Sub(now) - time.Duration(random*float64(interval))
	if wait <= s.maxWait {
		return wait
	}
	s.latest = now.Add(s.maxWait)
	return s.maxWait - time.Duration(random*float64(s.maxWait)/2)
}
