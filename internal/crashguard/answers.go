package crashguard

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/peers"
)

// rememberedAnswers bounds the requests that are remembered as answered, some 50 bytes each.
const rememberedAnswers = 4096

// answers remembers when requests were last answered. The one that was added first goes first.
type answers struct {
	times map[uint64]time.Time
	order []uint64
	next  int
}

func newAnswers() answers {
	return answers{times: make(map[uint64]time.Time), order: make([]uint64, 0, rememberedAnswers)}
}

// at returns when the request was last answered; zero if no answer is remembered.
func (a *answers) at(digest uint64) time.Time { return a.times[digest] }

func (a *answers) add(digest uint64, at time.Time) {
	if _, known := a.times[digest]; !known {
		a.reserve(digest)
	}
	a.times[digest] = at
}

// reserve makes room for the request.
func (a *answers) reserve(digest uint64) {
	if len(a.order) < rememberedAnswers {
		a.order = append(a.order, digest)
		return
	}
	delete(a.times, a.order[a.next])
	a.order[a.next] = digest
	a.next = (a.next + 1) % rememberedAnswers
}

// Answered records that a leaf has run the request and outlived it.
func (g *Guard) Answered(digest uint64) {
	now := g.clock()
	crashes := g.fleet.Crashes(digest, now.Add(-blockPeriod))
	g.mu.Lock()
	g.answers.add(digest, now)
	delete(g.suspects, digest)
	refuted := g.countAnswer(digest, crashes)
	g.mu.Unlock()
	if len(crashes) > 0 {
		g.fleet.ReportAnswer(digest)
	}
	if len(refuted) > 0 {
		g.fleet.Refute(digest, refuted, now)
		g.logRefuted(digest, refuted)
	}
}

// countAnswer counts an answer to the request since its crashes, and returns the leaves of those that have been followed by
// enough answers. Requires mu.
func (g *Guard) countAnswer(digest uint64, crashes []peers.Crash) (refuted []catalog.LeafID) {
	if len(crashes) == 0 {
		delete(g.outlived, digest)
		return nil
	}
	known := g.outlived[digest]
	counts := make(map[catalog.LeafID]int, len(crashes))
	for _, c := range crashes {
		counts[c.Leaf] = known[c.Leaf] + 1
		if counts[c.Leaf] >= answersToRefute {
			refuted = append(refuted, c.Leaf)
		}
	}
	g.outlived[digest] = counts
	return refuted
}

func (g *Guard) hasAnswer(digest uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.answers.at(digest).IsZero()
}
