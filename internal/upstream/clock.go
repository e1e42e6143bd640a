package upstream

import "time"

// clockWindow is how long a reading of a leaf's clock is preferred to less precise ones. Meanwhile
// the clocks of two VMs drift apart by a few milliseconds at most.
const clockWindow = 30 * time.Second

// clockReading is an uptime that a leaf reported, with the local times between which it read its
// clock.
type clockReading struct {
	uptime              time.Duration
	requested, received time.Time
}

// leafClock converts local times to the uptime of one incarnation of a leaf. It errs on the early
// side by at most the time that a reading takes, so that a time limit is never extended. The zero
// value holds no reading. The leaf's mutex guards it.
type leafClock struct {
	incarnation uint64
	// started is the latest local time at which the incarnation can have started. read is when the
	// reading that shows it was received.
	started, read time.Time
}

// observe takes a reading into account if it is more precise than the one held, or if that one is
// old, belongs to another incarnation, or is contradicted because one of the two clocks stood still.
func (c *leafClock) observe(incarnation uint64, r clockReading) {
	started := r.received.Add(-r.uptime)
	contradicted := r.requested.Add(-r.uptime).After(c.started)
	outdated := c.incarnation != incarnation || r.received.Sub(c.read) > clockWindow
	if outdated || contradicted || started.Before(c.started) {
		c.incarnation, c.started, c.read = incarnation, started, r.received
	}
}

// uptimeAt returns the incarnation's uptime at a local time, and false if it is not known.
func (c *leafClock) uptimeAt(incarnation uint64, t time.Time) (time.Duration, bool) {
	if incarnation == 0 || c.incarnation != incarnation {
		return 0, false
	}
	return t.Sub(c.started), true
}
