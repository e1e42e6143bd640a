// Package crashguard detects requests that crash the leaves that run them and blocks them in the whole
// fleet. A crash counts against a request if the connection to the leaf was lost while the request ran
// and the leaf's address refuses connections right after. A lost connection alone proves nothing. A
// crashing request crashes every leaf that runs it, so a request that any leaf answers is not the cause:
// a network partition that resets connections looks like the crash of all leaves beyond it.
package crashguard

import (
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/peers"
)

const (
	// crashesToBlock is the number of crashed leaves at which a request is blocked.
	crashesToBlock = 3
	// blockPeriod is how long a crash counts towards the block of a request, because crashing requests
	// are sent repeatedly.
	blockPeriod = time.Minute
	// refusalWindow is how soon after a lost connection the leaf's address must refuse another one for
	// the loss to count as a crash.
	refusalWindow = 1500 * time.Millisecond
	// answerValidity is how long an answer clears a request. Crashes within that time had another cause.
	answerValidity = time.Minute
	// maxLogsPerSecond limits the log lines about lost connections, which come by the dozen.
	maxLogsPerSecond = 5
)

// outcome says what became of a lost connection with a request in flight.
type outcome string

// The outcomes.
const (
	// counted: the leaf has ended, and this counts against the request.
	counted outcome = "counted"
	// cleared: the request has been answered.
	cleared outcome = "cleared"
	// unconfirmed: nothing has shown in time that the leaf has ended.
	unconfirmed outcome = "unconfirmed"
)

// Fleet shares crashes with the other VMs. Crashes returns the number of leaves that crashed
// with the request in flight since the given time.
type Fleet interface {
	ReportCrash(c peers.Crash)
	Crashes(digest uint64, since time.Time) int
}

// Guard blocks requests that crash leaves. It is safe for concurrent use.
type Guard struct {
	fleet Fleet
	clock func() time.Time
	log   *zap.Logger
	// logLimiter limits the lines about lost connections.
	logLimiter *rate.Limiter
	lostTotal  prometheus.Counter
	outcomes   *prometheus.CounterVec

	mu sync.Mutex
	// mu guards the fields below. losses holds the connection losses by leaf. lostAt is when each
	// request last lost its connection. answeredAt is when one of these requests, or one with a crash
	// reported in the fleet, was last answered. lastSweep is when sweep last removed old entries.
	losses     map[catalog.LeafID][]loss
	lostAt     map[uint64]time.Time
	answeredAt map[uint64]time.Time
	lastSweep  time.Time
}

type loss struct {
	digest uint64
	at     time.Time
}

// New returns a guard without recorded losses that registers its metrics with reg.
func New(f Fleet, clock func() time.Time, log *zap.Logger, reg prometheus.Registerer) *Guard {
	lost := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "burdock_crash_losses_total", Help: "Requests in flight at lost connections to leaves.",
	})
	outcomes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "burdock_crash_evidence_total", Help: "Requests in flight at lost connections by what became of the loss: counted against the request, cleared by an answer, or unconfirmed.",
	}, []string{"outcome"})
	reg.MustRegister(lost, outcomes)
	return &Guard{
		fleet: f, clock: clock, log: log, logLimiter: rate.NewLimiter(maxLogsPerSecond, maxLogsPerSecond), lostTotal: lost, outcomes: outcomes,
		losses: make(map[catalog.LeafID][]loss), lostAt: make(map[uint64]time.Time), answeredAt: make(map[uint64]time.Time),
	}
}

// Blocked reports whether the request has crashed too many leaves since its last answer, within
// blockPeriod.
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

// Lost records that the connection to the leaf was lost while the leaf ran the request.
func (g *Guard) Lost(digest uint64, leaf catalog.LeafID) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	g.losses[leaf] = append(g.losses[leaf], loss{digest, now})
	g.lostAt[digest] = now
	g.lostTotal.Inc()
}

// Answered records that a leaf has answered the request. It does nothing for a request without a
// recorded loss or reported crash.
func (g *Guard) Answered(digest uint64) {
	now := g.clock()
	reported := g.fleet.Crashes(digest, now.Add(-blockPeriod)) > 0
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, lost := g.lostAt[digest]; lost || reported {
		g.answeredAt[digest] = now
	}
}

// Down records that the leaf's address refuses connections. It reports a crash to the fleet for each
// request that lost its connection to the leaf within refusalWindow and was not answered within
// answerValidity.
func (g *Guard) Down(leaf catalog.LeafID) {
	now := g.clock()
	g.mu.Lock()
	losses := slices.DeleteFunc(g.losses[leaf], func(l loss) bool {
		switch {
		case now.Sub(l.at) > refusalWindow:
			g.dismiss(leaf, l, unconfirmed, now)
			return true
		case now.Sub(g.answeredAt[l.digest]) < answerValidity:
			g.dismiss(leaf, l, cleared, now)
			return true
		}
		return false
	})
	delete(g.losses, leaf)
	g.mu.Unlock()
	for _, l := range losses {
		g.log.Warn("leaf crashed with a request in flight", zap.Stringer("leaf", leaf), zap.Uint64("digest", l.digest), zap.Duration("lost_before", now.Sub(l.at)))
		g.outcomes.WithLabelValues(string(counted)).Inc()
		g.fleet.ReportCrash(peers.Crash{Digest: l.digest, Leaf: leaf, At: l.at})
	}
}

// dismiss records that a loss does not count against its request, and why. Requires mu.
func (g *Guard) dismiss(leaf catalog.LeafID, l loss, why outcome, now time.Time) {
	g.outcomes.WithLabelValues(string(why)).Inc()
	if g.logLimiter.Allow() {
		g.log.Info("lost connection does not count against its request",
			zap.String("why", string(why)), zap.Stringer("leaf", leaf), zap.Uint64("digest", l.digest), zap.Duration("lost_before", now.Sub(l.at)))
	}
}

// sweep removes entries that no longer have an effect, at most once per refusalWindow. Requires mu.
func (g *Guard) sweep(now time.Time) {
	if now.Sub(g.lastSweep) < refusalWindow {
		return
	}
	g.lastSweep = now
	for leaf, losses := range g.losses {
		if now.Sub(losses[len(losses)-1].at) > refusalWindow {
			for _, l := range losses {
				g.dismiss(leaf, l, unconfirmed, now)
			}
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
