// Package crashguard finds requests that crash the leaves that run them, and blocks them in the whole
// fleet. A crash counts against a request where its connection to the leaf was lost while it ran and
// the leaf's address takes no connections right after; a connection lost alone proves nothing. Such a request crashes
// each leaf that runs it, so that one which any leaf answers isn't to blame: a cut that resets connections looks like
// the crash of all leaves beyond it.
package crashguard

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/peers"
)

const (
	// crashesToBlock is the number of crashed leaves from which a request is blocked.
	crashesToBlock = 3
	// blockPeriod is how long after its latest crash it stays blocked; it comes again and again.
	blockPeriod = time.Minute
	// refusalWindow is how soon after a lost connection the leaf's address must refuse another one.
	refusalWindow = 1500 * time.Millisecond
	// answerValidity is how long an answer clears a request: crashes around it had another cause.
	answerValidity = time.Minute
)

// Fleet shares crashes with the other VMs.
type Fleet interface {
	ReportCrash(c peers.Crash)
	Crashes(digest uint64, since time.Time) int
}

// Guard is safe for concurrent use.
type Guard struct {
	fleet Fleet
	clock func() time.Time
	log   *zap.Logger

	mu sync.Mutex
	// losses requests by leaf, when each was lost last, and answered when one of these was last answered; guarded by mu.
	losses     map[catalog.LeafID][]loss
	lostAt     map[uint64]time.Time
	answeredAt map[uint64]time.Time
	lastSweep  time.Time
}

type loss struct {
	digest uint64
	at     time.Time
}

// New returns a guard that suspects nothing.
func New(f Fleet, clock func() time.Time, log *zap.Logger) *Guard {
	return &Guard{
		fleet: f, clock: clock, log: log,
		losses: make(map[catalog.LeafID][]loss), lostAt: make(map[uint64]time.Time), answeredAt: make(map[uint64]time.Time),
	}
}

// Blocked tells whether the request has crashed too many leaves.
func (g *Guard) Blocked(digest uint64) bool {
	now := g.clock()
	since := now.Add(-blockPeriod)
	g.mu.Lock()
	if at := g.answeredAt[digest]; at.After(since) {
		since = at
	}
	g.mu.Unlock()
	return g.fleet.Crashes(digest, since) >= crashesToBlock
}

// Lost notes that the leaf's connection was lost while it ran the request.
func (g *Guard) Lost(digest uint64, leaf catalog.LeafID) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	g.losses[leaf] = append(g.losses[leaf], loss{digest, now})
	g.lostAt[digest] = now
}

// Answered notes that a leaf has answered the request.
func (g *Guard) Answered(digest uint64) {
	now := g.clock()
	reported := g.fleet.Crashes(digest, now.Add(-blockPeriod)) > 0
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, lost := g.lostAt[digest]; lost || reported {
		g.answeredAt[digest] = now
	}
}

// Down notes that the leaf's address takes no connections.
func (g *Guard) Down(leaf catalog.LeafID) {
	now := g.clock()
	g.mu.Lock()
	losses := slices.DeleteFunc(g.losses[leaf], func(l loss) bool {
		return now.Sub(l.at) > refusalWindow || now.Sub(g.answeredAt[l.digest]) < answerValidity
	})
	delete(g.losses, leaf)
	g.mu.Unlock()
	for _, l := range losses {
		g.log.Warn("leaf crashed with a request in flight", zap.Stringer("leaf", leaf), zap.Uint64("digest", l.digest), zap.Duration("lost_before", now.Sub(l.at)))
		g.fleet.ReportCrash(peers.Crash{Digest: l.digest, Leaf: leaf, At: l.at})
	}
}

// sweep drops what is too old to matter. Requires mu.
func (g *Guard) sweep(now time.Time) {
	if now.Sub(g.lastSweep) < refusalWindow {
		return
	}
	g.lastSweep = now
	for leaf, losses := range g.losses {
		if now.Sub(losses[len(losses)-1].at) > refusalWindow {
			delete(g.losses, leaf)
		}
	}
	for digest, at := range g.lostAt {
		if now.Sub(at) > refusalWindow {
			delete(g.lostAt, digest)
		}
	}
	for digest, at := range g.answeredAt {
		if now.Sub(at) > answerValidity {
			delete(g.answeredAt, digest)
		}
	}
}
