// Package crashguard detects requests that crash the leaves that run them and blocks them in the whole
// fleet. A connection that ends while a request runs makes the request a suspect. It counts as a crash once
// something shows that the leaf has ended: its address refuses connections or takes none, or its id or its
// address belongs to another start of a leaf. The guard looks for that itself: whether the leaf gets other
// calls does not matter. A crashing request crashes every leaf that runs it, so a request that any leaf
// answers is not the cause: a network partition that resets connections looks like the crash of all leaves
// beyond it.
package crashguard

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/peers"
)

const (
	// crashesToBlock is the number of crashed leaves at which a request is blocked.
	crashesToBlock = 3
	// blockPeriod is how long a crash counts towards the block of a request after the request last came,
	// because crashing requests are sent repeatedly.
	blockPeriod = 10 * time.Minute
	// refusalWindow is how soon after a lost connection the leaf's address must refuse another one for
	// the loss to count as a crash.
	refusalWindow = 1500 * time.Millisecond
	// replacementWindow is how soon after a lost connection another start of a leaf must have the leaf's id or
	// address, or its entry must be gone, for the loss to count as a crash.
	replacementWindow = 6 * time.Second
	// suspicionPeriod is how long after a lost connection a leaf may still turn out to have ended: its entry expires
	// after three heartbeats of some 1.2 s, which takes up to a second to reach all VMs.
	suspicionPeriod = 5 * time.Second
	// answerValidity is how long an answer clears a request. Losses within that time had another cause: those
	// of a network partition come one after the other.
	answerValidity = time.Second
	// sweepInterval is how often losses without an effect are removed.
	sweepInterval = 500 * time.Millisecond
	// maxLossesPerLeaf bounds the losses at one leaf that are kept.
	maxLossesPerLeaf = 64
)

// Fleet shares crashes with the other VMs.
type Fleet interface {
	ReportCrash(c peers.Crash)
	// ReportAnswer reports that a leaf has answered the request, which refutes its crashes that are known here. It returns
	// the leaves of those crashes.
	ReportAnswer(digest uint64, at time.Time) []catalog.LeafID
	// ReportRefusal records that the request came and was refused.
	ReportRefusal(digest uint64, at time.Time)
	// Crashes returns the leaves that crashed with the request in flight since the given time, and that no answer
	// has refuted.
	Crashes(digest uint64, since time.Time) []peers.Crash
	// Suspects returns the requests that were in flight at crashes.
	Suspects() []uint64
}

// Loss is a call that ended without an answer while its leaf may have run the request.
type Loss struct {
	Digest uint64
	Leaf   catalog.LeafID
	// Address of the leaf; empty if unknown.
	Address string
	// Silent is set if the connection did not end: this VM gave up waiting. Such a loss makes the request no
	// suspect, and counts only if the leaf's address refuses connections right after.
	Silent bool
	// Repeated is set if the request was a suspect already when it was sent.
	Repeated bool
}

// Guard blocks requests that crash leaves. It is safe for concurrent use.
type Guard struct {
	fleet   Fleet
	clock   func() time.Time
	log     *zap.Logger
	metrics *metrics
	// checks holds the leaves that Run is to check.
	checks chan catalog.LeafID
	view   atomic.Pointer[indexedView]
	// logLimiter limits the lines about losses that do not count.
	logLimiter *rate.Limiter

	mu sync.Mutex
	// mu guards the fields below. losses holds the losses by leaf, suspects the leaves at which each request was
	// lost and whose end is neither shown nor ruled out. checking holds the leaves that are being checked.
	losses   map[catalog.LeafID][]loss
	suspects map[uint64]map[catalog.LeafID]bool
	checking map[catalog.LeafID]bool
	answers  answers
	// refusedAt is when each blocked request was last refused.
	refusedAt map[uint64]time.Time
	// lastSweep is when losses without an effect were last removed.
	lastSweep time.Time
}

type loss struct {
	Loss
	at time.Time
	// alive is set once the leaf's address has taken a connection after the loss, decided once it is known whether the
	// loss counts.
	alive, decided bool
}

type metrics struct {
	lost, blocked, refuted prometheus.Counter
	outcomes               *prometheus.CounterVec
	checks                 *prometheus.CounterVec
}

// New returns a guard without recorded losses that registers its metrics with reg.
func New(f Fleet, clock func() time.Time, log *zap.Logger, reg prometheus.Registerer) *Guard {
	g := &Guard{
		fleet: f, clock: clock, log: log, metrics: newMetrics(reg), checks: make(chan catalog.LeafID, maxQueuedChecks),
		logLimiter: rate.NewLimiter(maxLogsPerSecond, maxLogsPerSecond),
		losses:     make(map[catalog.LeafID][]loss), suspects: make(map[uint64]map[catalog.LeafID]bool),
		checking: make(map[catalog.LeafID]bool), answers: newAnswers(), refusedAt: make(map[uint64]time.Time),
	}
	g.view.Store(newIndexedView(&directory.View{}))
	return g
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_crash_losses_total", Help: "Calls without an answer whose leaf may have run the request.",
		}),
		blocked: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_crash_refusals_total", Help: "Requests and calls refused because the request crashes leaves.",
		}),
		refuted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_crash_refuted_total", Help: "Crashes that no longer count against their request, because leaves have answered it.",
		}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_crash_evidence_total", Help: "Calls without an answer by what became of them: counted against the request, or why not.",
		}, []string{"outcome"}),
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_crash_checks_total", Help: "Checks of leaves after a lost connection by result.",
		}, []string{"result"}),
	}
	reg.MustRegister(m.lost, m.blocked, m.refuted, m.outcomes, m.checks)
	return m
}

// Blocked reports whether the request has crashed too many leaves since its last answer, within blockPeriod. A
// request that a leaf has answered before may have been in flight at several crashes at once by chance. It is
// blocked only after it has crashed a leaf as a suspect.
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
	confirmed := 0
	answered, repeated := false, false
	for _, c := range g.fleet.Crashes(digest, g.clock().Add(-blockPeriod)) {
		if c.Unconfirmed {
			continue
		}
		confirmed++
		answered, repeated = answered || c.Answered, repeated || c.Repeated
	}
	return confirmed >= crashesToBlock && (repeated || !answered && !g.hasAnswer(digest))
}

// Suspicion is what speaks against a request that is not blocked.
type Suspicion struct {
	// Ended are the leaves at which the request was in flight when they ended or may have ended.
	Ended []catalog.LeafID
	// Undecided is set if the request is to wait: once it is known which of these leaves have ended, it may be blocked.
	Undecided bool
}

// Suspect reports whether the request may be crashing leaves.
func (g *Guard) Suspect(digest uint64) (s Suspicion, suspect bool) {
	now := g.clock()
	undecided := false
	for _, c := range g.fleet.Crashes(digest, now.Add(-blockPeriod)) {
		if c.Unconfirmed && now.Sub(c.At) > suspicionPeriod {
			continue
		}
		undecided = undecided || c.Unconfirmed
		s.Ended = append(s.Ended, c.Leaf)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for leaf := range g.suspects[digest] {
		if !slices.Contains(s.Ended, leaf) {
			undecided = true
			s.Ended = append(s.Ended, leaf)
		}
	}
	s.Undecided = undecided && len(s.Ended) >= crashesToBlock
	return s, len(s.Ended) > 0
}

// Lost records that a call ended without an answer, and has the leaf checked.
func (g *Guard) Lost(l Loss) {
	g.metrics.lost.Inc()
	g.record(l)
	if !l.Silent {
		g.compareWithView(l.Leaf, l.Address)
	}
}

func (g *Guard) record(l Loss) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastSweep) >= sweepInterval {
		g.sweep(now)
	}
	if len(g.losses[l.Leaf]) >= maxLossesPerLeaf {
		return
	}
	g.losses[l.Leaf] = append(g.losses[l.Leaf], loss{Loss: l, at: now})
	if l.Silent {
		return
	}
	if g.suspects[l.Digest] == nil {
		g.suspects[l.Digest] = make(map[catalog.LeafID]bool)
	}
	g.suspects[l.Digest][l.Leaf] = true
	g.enqueueCheck(l.Leaf)
}

// Answered records that a leaf has run the request and outlived it.
func (g *Guard) Answered(digest uint64) {
	now := g.clock()
	g.mu.Lock()
	g.answers.add(digest, now)
	delete(g.suspects, digest)
	g.mu.Unlock()
	g.logRefuted(digest, g.fleet.ReportAnswer(digest, now))
}

func (g *Guard) hasAnswer(digest uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.answers.at(digest).IsZero()
}

// Down records that the leaf's address refuses connections.
func (g *Guard) Down(leaf catalog.LeafID) {
	g.conclude(leaf, "refuses connections", func(l *loss, age time.Duration) bool { return !l.alive && age <= refusalWindow })
}

// unresponsive records that the leaf's address takes no connection and refuses none.
func (g *Guard) unresponsive(leaf catalog.LeafID) {
	g.conclude(leaf, "takes no connections", func(l *loss, age time.Duration) bool { return !l.alive && !l.Silent && age <= refusalWindow })
}

// expired records that the leaf's entry is gone although it had not announced its shutdown.
func (g *Guard) expired(leaf catalog.LeafID) {
	g.conclude(leaf, "has no entry", func(l *loss, age time.Duration) bool { return !l.alive && !l.Silent && age <= replacementWindow })
}

// Replaced records that the leaf's id or address belongs to another start of a leaf.
func (g *Guard) Replaced(leaf catalog.LeafID) {
	g.conclude(leaf, "replaced", func(l *loss, age time.Duration) bool { return !l.Silent && age <= replacementWindow })
}

// conclude decides on the losses at a leaf that the finding of its end covers. They count as crashes unless the request was
// answered or the leaf had announced its shutdown. Another finding may still cover the others.
func (g *Guard) conclude(leaf catalog.LeafID, finding string, covered func(l *loss, age time.Duration) bool) {
	now := g.clock()
	draining := g.view.Load().view.Draining[leaf]
	var crashes []loss
	g.mu.Lock()
	for i := range g.losses[leaf] {
		l := &g.losses[leaf][i]
		switch {
		case l.decided || !covered(l, now.Sub(l.at)):
			continue
		case g.clearedByAnswer(l):
			g.dismiss(l, cleared, now)
		case draining:
			g.dismiss(l, leftInOrder, now)
		default:
			crashes = append(crashes, *l)
		}
		l.decided = true
	}
	g.mu.Unlock()
	for _, l := range crashes {
		g.count(&l, finding, now)
	}
	g.forgetDecided(leaf)
}

// forgetDecided drops the losses at a leaf that were decided on.
func (g *Guard) forgetDecided(leaf catalog.LeafID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keep(leaf, func(l *loss) bool {
		if l.decided {
			g.clearSuspicion(l.Digest, leaf)
		}
		return !l.decided
	})
}

// keep drops the losses at a leaf that do not fulfil the condition. Requires mu.
func (g *Guard) keep(leaf catalog.LeafID, f func(l *loss) bool) {
	kept := g.losses[leaf][:0]
	for _, l := range g.losses[leaf] {
		if f(&l) {
			kept = append(kept, l)
		}
	}
	g.losses[leaf] = kept
	if len(kept) == 0 {
		delete(g.losses, leaf)
	}
}

// clearedByAnswer reports whether an answer shows that the request did not cause the loss. Requires mu.
func (g *Guard) clearedByAnswer(l *loss) bool {
	at := g.answers.at(l.Digest)
	return !at.IsZero() && l.at.Before(at.Add(answerValidity))
}

// count reports a loss as a crash.
func (g *Guard) count(l *loss, finding string, now time.Time) {
	g.metrics.outcomes.WithLabelValues(string(counted)).Inc()
	g.log.Warn("leaf crashed with a request in flight", zap.Stringer("leaf", l.Leaf), zap.Uint64("digest", l.Digest), zap.String("leaf_now", finding),
		zap.Duration("lost_before", now.Sub(l.at)), zap.Bool("repeated", l.Repeated))
	g.report(l, false)
}

// report tells the fleet of a loss.
func (g *Guard) report(l *loss, unconfirmed bool) {
	g.fleet.ReportCrash(peers.Crash{
		Digest: l.Digest, Leaf: l.Leaf, At: l.at, Repeated: l.Repeated, Unconfirmed: unconfirmed, Answered: g.hasAnswer(l.Digest),
	})
}

// clearSuspicion ends the suspicion of a request at one leaf. Requires mu.
func (g *Guard) clearSuspicion(digest uint64, leaf catalog.LeafID) {
	delete(g.suspects[digest], leaf)
	if len(g.suspects[digest]) == 0 {
		delete(g.suspects, digest)
	}
}
