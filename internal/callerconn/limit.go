package callerconn

import "time"

// timeLimit is a limit of the configuration that may change; 0 where there is none. A caller may go by a longer limit of
// before until that is over, so a shorter one takes effect only then.
type timeLimit struct {
	current, previous time.Duration
	// changedAt is when current replaced previous.
	changedAt time.Time
}

// set records the limit of the configuration in force.
func (l *timeLimit) set(d time.Duration, now time.Time) {
	if d == l.current {
		return
	}
	l.previous, l.current, l.changedAt = l.inUse(now), d, now
}

// inUse returns the limit to go by.
func (l *timeLimit) inUse(now time.Time) time.Duration {
	if now.Sub(l.changedAt) < l.previous {
		return max(l.current, l.previous)
	}
	return l.current
}
