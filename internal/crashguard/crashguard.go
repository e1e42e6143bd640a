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
	// blockAt is the number of crashed leaves from which a request is blocked.
	blockAt = 3
	// blockFor is how long after its latest crash it stays blocked; it comes again and again.
	blockFor = time.Minute
	// downWithin is how soon after a lost connection the leaf's address must refuse another one.
	downWithin = 1500 * time.Millisecond
	// provenFor is how long an answer clears a request: crashes around it had another cause.
	provenFor = time.Minute
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
	// lost requests by leaf, when each was lost last, and answered when one of these was last answered; guarded by mu.
	lost     map[catalog.LeafID][]loss
	lostAt   map[uint64]time.Time
	answered map[uint64]time.Time
	swept    time.Time
}

type loss struct {
	digest uint64
	at     time.Time
}

// New returns a guard that suspects nothing.
func New(f Fleet, clock func() time.Time, log *zap.Logger) *Guard {
	return &Guard{
		fleet: f, clock: clock, log: log,
		lost: make(map[catalog.LeafID][]loss), lostAt: make(map[uint64]time.Time), answered: make(map[uint64]time.Time),
	}
}

// Blocked tells whether the request has crashed too many leaves.
func (g *Guard) Blocked(digest uint64) bool {
	now := g.clock()
	since := now.Add(-blockFor)
	g.mu.Lock()
	if at := g.answered[digest]; at.After(since) {
		since = at
	}
	g.mu.Unlock()
	return g.fleet.Crashes(digest, since) >= blockAt
}

// Lost notes that the leaf's connection was lost while it ran the request.
func (g *Guard) Lost(digest uint64, leaf catalog.LeafID) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	g.lost[leaf] = append(g.lost[leaf], loss{digest, now})
	g.lostAt[digest] = now
}

// Answered notes that a leaf has answered the request.
func (g *Guard) Answered(digest uint64) {
	now := g.clock()
	told := g.fleet.Crashes(digest, now.Add(-blockFor)) > 0
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, lost := g.lostAt[digest]; lost || told {
		g.answered[digest] = now
	}
}

// Down notes that the leaf's address takes no connections.
func (g *Guard) Down(leaf catalog.LeafID) {
	now := g.clock()
	g.mu.Lock()
	losses := slices.DeleteFunc(g.lost[leaf], func(l loss) bool {
		return now.Sub(l.at) > downWithin || now.Sub(g.answered[l.digest]) < provenFor
	})
	delete(g.lost, leaf)
	g.mu.Unlock()
	for _, l := range losses {
		g.log.Warn("leaf crashed with a request in flight", zap.Stringer("leaf", leaf), zap.Uint64("digest", l.digest), zap.Duration("lost_before", now.Sub(l.at)))
		g.fleet.ReportCrash(peers.Crash{Digest: l.digest, Leaf: leaf, At: l.at})
	}
}

// sweep drops what is too old to matter. Requires mu.
func (g *Guard) sweep(now time.Time) {
	if now.Sub(g.swept) < downWithin {
		return
	}
	g.swept = now
	for leaf, list := range g.lost {
		if now.Sub(list[len(list)-1].at) > downWithin {
			delete(g.lost, leaf)
		}
	}
	for digest, at := range g.lostAt {
		if now.Sub(at) > downWithin {
			delete(g.lostAt, digest)
		}
	}
	for digest, at := range g.answered {
		if now.Sub(at) > provenFor {
			delete(g.answered, digest)
		}
	}
}
