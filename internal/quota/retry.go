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
	// latest is the time given to the request refused last.
	latest time.Time
}

// RetryAfter returns the time after which to retry: after the requests ahead have completed, at a drain
// rate in requests per second, and after the requests refused before. The random number, in [0,1), adds
// jitter of up to one interval. Where the schedule is longer than MaxWait, the jitter spreads the time
// over the later half of MaxWait.
func (s *RetrySchedule) RetryAfter(now time.Time, ahead int, drain, random float64) time.Duration {
	interval := time.Duration(float64(time.Second) / max(drain, minDrainRate))
	earliest := now.Add(minRetryAfter + time.Duration(ahead)*interval)
	if s.latest.Before(earliest) {
		s.latest = earliest
	}
	s.latest = s.latest.Add(interval)
	wait := s.latest.Sub(now) - time.Duration(random*float64(interval))
	if wait <= s.MaxWait {
		return wait
	}
	s.latest = now.Add(s.MaxWait)
	return s.MaxWait - time.Duration(random*float64(s.MaxWait)/2)
}
