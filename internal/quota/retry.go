package quota

import "time"

const (
	// minRetryAfter is the shortest retry-after time of a refusal.
	minRetryAfter = 50 * time.Millisecond
	// minDrainRate, in requests per second, bounds the retry-after times when no request completes.
	minDrainRate = 1
)

// RetrySchedule gives each refused request its own time to retry, one after another at the rate at which
// the queue drains, so that the retries don't arrive in one wave.
type RetrySchedule struct {
	MaxWait time.Duration
	// waiting is the number of refused requests whose time was yet to come at updated. Unlike times, it follows a
	// drain rate that changes.
	waiting float64
	updated time.Time
}

// RetryAfter returns the time after which to retry: after the requests ahead have completed, at a drain
// rate in requests per second, and after the requests refused before. The random number, in [0,1), adds
// jitter of up to one interval. Where the schedule is longer than MaxWait, the jitter spreads the time
// over the later half of MaxWait.
func (s *RetrySchedule) RetryAfter(now time.Time, ahead int, drain, random float64) time.Duration {
	drain = max(drain, minDrainRate)
	drained := now.Sub(s.updated).Seconds() * drain
	s.waiting = max(s.waiting-drained, float64(ahead)) + 1
	s.updated = now
	wait := minRetryAfter + time.Duration((s.waiting-random)/drain*float64(time.Second))
	if wait <= s.MaxWait {
		return wait
	}
	s.waiting = (s.MaxWait - minRetryAfter).Seconds() * drain
	return s.MaxWait - time.Duration(random*float64(s.MaxWait)/2)
}
