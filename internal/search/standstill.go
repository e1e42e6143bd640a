package search

import "time"

const (
	// standstillPaces is how many times the time of a quick search none may have ended for it to count as a
	// standstill: queues and slow leaves make searches longer, but with several running some end all along.
	// standstillLeast is the least such time; a leaf's pause or a turn of the processor that comes late is shorter.
	standstillPaces = 4
	standstillLeast = 50 * time.Millisecond
)

// standsStill tells whether searches run and none has ended for long. Requires mu.
func (g *gate) standsStill(now time.Time) bool {
	return g.running > 0 && now.Sub(g.ended) >= max(g.longest, standstillLeast, standstillPaces*g.pace)
}

// startStanding lets a search in beyond the limit during a standstill; false where enough have been, or where no
// search has ended so far, so that the leaves may be what doesn't work. Requires mu.
func (g *gate) startStanding() bool {
	if g.pace == 0 || g.running >= max(g.most, 2*int(g.limit)) || !g.standsStill(time.Now()) {
		return false
	}
	g.start()
	return true
}

// noteEnd notes the end of a search, and of a standstill where it is the first after one. Requires mu.
func (g *gate) noteEnd(now time.Time) {
	if g.standsStill(now) {
		g.resumed = now
		g.open(now)
	}
	g.ended = now
}
