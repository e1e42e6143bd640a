package search

import "time"

const (
	// standstillFactor is how many times the time of a quick search none may have ended for it to count as a
	// standstill: queues and slow leaves make searches longer, but with several running some end all along.
	// standstillLeast is the least such time; a leaf's pause or a turn of the processor that comes late is shorter.
	standstillFactor = 4
	minStandstill    = 50 * time.Millisecond
)

// inStandstill tells whether searches run and none has ended for long. Requires mu.
func (l *limiter) inStandstill(now time.Time) bool {
	return l.running > 0 && now.Sub(l.lastEnd) >= max(l.maxWait, minStandstill, standstillFactor*l.shortestTime)
}

// startInStandstill lets a search in beyond the limit during a standstill; false where enough have been, or where no
// search has ended so far, so that the leaves may be what doesn't work. Requires mu.
func (l *limiter) startInStandstill() bool {
	if l.shortestTime == 0 || l.running >= max(l.minStandstillLimit, 2*int(l.limit)) || !l.inStandstill(time.Now()) {
		return false
	}
	l.start()
	return true
}

// recordEnd notes the end of a search, and of a standstill where it is the first after one. Requires mu.
func (l *limiter) recordEnd(now time.Time) {
	if l.inStandstill(now) {
		l.standstillEnd = now
		l.openWindow(now)
	}
	l.lastEnd = now
}
