package dispatch

import "time"

// retrySchedule gives the refused requests of one priority at the same leaves their times to retry, one after another
// at the rate at which such requests are admitted.
type retrySchedule interface {
	// Admitted records that a request was admitted.
	Admitted(now time.Time)
	// RetryAfter returns the time after which a refused request is to be retried, at the earliest after the given one.
	RetryAfter(now time.Time, earliest time.Duration) time.Duration
}

// jitteredRetries is a retrySchedule that does not track the rate of admissions.
type jitteredRetries struct{}

// Admitted implements retrySchedule.
func (jitteredRetries) Admitted(time.Time) {}

// RetryAfter implements retrySchedule.
func (jitteredRetries) RetryAfter(_ time.Time, earliest time.Duration) time.Duration {
	return withJitter(min(max(earliest, retryRefused), maxRetryDelay))
}

// newRetrySchedule returns the schedule for one priority at one group of leaves.
func newRetrySchedule() retrySchedule { return jitteredRetries{} }
