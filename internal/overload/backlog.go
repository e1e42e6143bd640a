package overload

import "time"

// drainFraction is the part of the processor share at which the backlog drains. The rest is for work that no request
// accounts for: garbage collection, control messages and background tasks.
const drainFraction = 0.9

// backlog is the processor time of admitted work that has not been done yet, in seconds.
type backlog struct {
	// cores is the processor share.
	cores   float64
	seconds float64
	at      time.Time
}

// advance drains the backlog by the time that has passed.
func (b *backlog) advance(now time.Time) {
	if !b.at.IsZero() {
		b.seconds = max(0, b.seconds-now.Sub(b.at).Seconds()*drainFraction*b.cores)
	}
	b.at = now
}

// add adds the work, in seconds of processor time.
func (b *backlog) add(work float64) { b.seconds += work }

// addUpTo adds the work, but only as far as the wait does not exceed the limit.
func (b *backlog) addUpTo(work float64, limit time.Duration) {
	b.seconds = max(b.seconds, min(b.seconds+work, limit.Seconds()*b.cores))
}

// wait returns the expected wait of new work.
func (b *backlog) wait() time.Duration { return b.timeFor(b.seconds) }

// timeFor returns how long the processor share takes for the work, in seconds of processor time.
func (b *backlog) timeFor(work float64) time.Duration {
	return time.Duration(work / b.cores * float64(time.Second))
}

// untilBelow returns the time until the given wait has drained to the limit.
func untilBelow(wait, limit time.Duration) time.Duration {
	return time.Duration(float64(max(0, wait-limit)) / drainFraction)
}
