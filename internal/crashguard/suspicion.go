package crashguard

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/peers"
)

// Blocked reports whether the request crashes leaves, by what the fleet knows of the leaves that ended under it within
// blockPeriod.
func (g *Guard) Blocked(digest uint64) bool {
	if !g.crashedTooMany(digest) {
		return false
	}
	now := g.clock()
	g.fleet.ReportRefusal(digest, now)
	g.metrics.blocked.Inc()
	g.logRefusal(digest, now)
	return true
}

// logRefusal logs the first of a series of refusals.
func (g *Guard) logRefusal(digest uint64, now time.Time) {
	g.mu.Lock()
	_, known := g.refusedAt[digest]
	g.refusedAt[digest] = now
	g.mu.Unlock()
	if known {
		return
	}
	var leaves []string
	for _, c := range g.fleet.Crashes(digest, now.Add(-blockPeriod)) {
		leaves = append(leaves, c.Leaf.String())
	}
	g.log.Warn("request refused from now on: it crashes leaves", zap.Uint64("digest", digest), zap.Strings("leaves", leaves))
}

func (g *Guard) crashedTooMany(digest uint64) bool {
	e := g.evidence(digest, g.fleet.Crashes(digest, g.clock().Add(-blockPeriod)))
	return len(e.crashes) >= crashesToBlock && e.blames()
}

// evidence returns what the fleet knows of the ends of leaves at which the request, which has the crashes, was in flight.
func (g *Guard) evidence(digest uint64, crashes []peers.Crash) *evidence {
	if len(crashes) == 0 {
		return &evidence{}
	}
	others := g.fleet.Confirmed()
	e := &evidence{digest: digest, crashes: confirmed(crashes, others[digest]), others: others}
	if len(e.crashes) == 0 {
		return e
	}
	e.answered = answered(crashes) || g.hasAnswer(digest)
	slices.SortFunc(e.crashes, compareTimes)
	return e
}

// Suspicion is what speaks against a request that is not blocked.
type Suspicion struct {
	// Ended are the leaves at which the request was in flight when they ended or may have ended.
	Ended []catalog.LeafID
	// Undecided is set if the request is to wait: once it is known which of these leaves have ended, it may be blocked.
	Undecided bool
	// Outlived is set if a leaf has answered the request since, and at most one of the ends counts against it: it may be
	// sent as any other.
	Outlived bool
}

// Suspect reports whether the request may be crashing leaves.
func (g *Guard) Suspect(digest uint64) (s Suspicion, suspect bool) {
	now := g.clock()
	undecided := false
	s.Outlived = true
	crashes := g.fleet.Crashes(digest, now.Add(-blockPeriod))
	for _, c := range crashes {
		if c.Unconfirmed && now.Sub(c.At) > suspicionPeriod {
			continue
		}
		undecided = undecided || c.Unconfirmed
		s.Outlived = s.Outlived && c.Outlived
		s.Ended = append(s.Ended, c.Leaf)
	}
	for _, leaf := range g.undecidedLeaves(digest) {
		if !slices.Contains(s.Ended, leaf) {
			undecided, s.Outlived = true, false
			s.Ended = append(s.Ended, leaf)
		}
	}
	s.Undecided = undecided && len(s.Ended) >= crashesToBlock
	if s.Outlived && len(crashes) >= recurrentCrashes {
		s.Outlived = len(g.evidence(digest, crashes).counted()) < recurrentCrashes
	}
	return s, len(s.Ended) > 0
}

// undecidedLeaves returns the leaves at which this VM lost a connection with the request in flight, and whose end is neither
// shown nor ruled out.
func (g *Guard) undecidedLeaves(digest uint64) []catalog.LeafID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.suspects[digest]))
}
