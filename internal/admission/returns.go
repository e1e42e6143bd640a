package admission

import "time"

const (
	// minRetryAfter is the shortest retry-after time of a refusal.
	minRetryAfter = 50 * time.Millisecond
	// minDrainRate, in requests per second, bounds the retry-after times when no request completes.
	minDrainRate = 1
)

// retrySchedule gives each refused request its own time to retry, one after another at the rate at which
// the queue drains, so that the retries don't arrive in one wave.
type retrySchedule struct {
	maxWait time.Duration
	// latest is the time given to the request refused last.
	latest time.Time
}

// retryAfter returns the time after which to retry: after the requests ahead have completed, at a drain
// rate in requests per second, and after the requests refused before. The random number, in [0,1), adds
// jitter of up to one interval. Where the schedule is longer than maxWait, the jitter spreads the time
// over the later half of maxWait.
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
