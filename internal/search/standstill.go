package search

import (
	"fmt"
	"time"
)

const (
	// standstillFactor is how many times the time of a quick search must pass without a search ending to count as a
	// standstill. Queues and slow leaves make searches longer, but with several running some end all the time.
	// minStandstill is the minimum of that time. A pause of a leaf or a scheduling delay of the processor is shorter.
	standstillFactor = 4
	minStandstill    = 50 * time.Millisecond
)

// inStandstill reports whether searches run and none has ended for a long time. Requires mu.
func (l *limiter) inStandstill(now time.Time) bool {
	return l.running > 0 && now.Sub(l.lastEnd) >= max(l.maxWait, minStandstill, standstillFactor*l.shortestTime)
}

// startInStandstill starts a search beyond the limit during a standstill. It returns false if enough searches run, or
// if none has ended so far and no connection is silent, because then the leaves may be what fails. Requires mu.
func (l *limiter) startInStandstill() bool {
	if l.shortestTime == 0 && !l.showsSilence() || l.running >= max(l.minStandstillLimit, 2*int(l.limit)) || !l.inStandstill(time.Now()) {
		return false
	}
	l.start()
	return true
}

// probeConnections pings the connections to the leaves where no search has ended so far. By the end of its wait, a search
// in the queue then knows whether the running ones wait for busy leaves or on silent connections. Requires mu.
func (l *limiter) probeConnections() {
	if l.shortestTime == 0 && l.connections != nil {
		l.connections.Probe(l.service)
	}
}

// showsSilence reports whether a connection to the leaves is silent. Requires mu.
func (l *limiter) showsSilence() bool { return l.connections != nil && l.connections.Silent(l.service) }

// recordEnd records the end of a search, and the end of a standstill if the search is the first to end after one.
// Requires mu.
func (l *limiter) recordEnd(now time.Time) {
	if l.inStandstill(now) {
		l.standstillEnd = now
		l.openWindow(now)
	}
	l.lastEnd = now
}

// describe returns what a refusal goes by: how many searches run and wait, the limit, and how long ago one ended.
func (l *limiter) describe(now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := fmt.Sprintf("%d running of %d, %d waiting", l.running, int(l.limit), len(l.queue))
	idle := now.Sub(l.lastEnd).Round(time.Millisecond)
	if l.shortestTime == 0 {
		return fmt.Sprintf("%s, none ended for %s, none ever but in a standstill", load, idle)
	}
	return fmt.Sprintf("%s, none ended for %s, the shortest took %s", load, idle, l.shortestTime.Round(time.Millisecond))
}
