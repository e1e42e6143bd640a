// Package crashguard detects requests that crash the leaves that run them and blocks them in the whole
// fleet. A connection that ends while a request runs makes the request a suspect. It counts as a crash once
// something shows that the leaf has ended: its address refuses connections or takes none, or its id or its
// address belongs to another start of a leaf. The guard looks for that itself: whether the leaf gets other
// calls does not matter. An answer shows that one leaf has outlived one run, as a request may crash some of its
// runs only. So an answer lets a suspect run as any other request again, and its crashes stay on record: they stop
// counting once another request or an outage explains them, or after many answers.
package crashguard

import (
	"maps"
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
	// answerValidity is how long after an answer a lost connection does not count against the request if its leaf was not
	// seen to refuse connections: those of a network partition are lost one after the other.
	answerValidity = time.Second
	// answersToRefute is the number of answers that a VM has to see since a crash until that no longer counts against the
	// request. Of requests that crash one leaf in 20 runs, one in 2,000 is answered so often in a row.
	answersToRefute = 150
	// sweepInterval is how often losses without an effect are removed.
	sweepInterval = 500 * time.Millisecond
	// maxLossesPerLeaf bounds the losses at one leaf that are kept.
	maxLossesPerLeaf = 64
)

// Fleet shares crashes with the other VMs.
type Fleet interface {
	ReportCrash(c peers.Crash)
	// ReportAnswer reports that a leaf has answered the request since its crashes that are known here.
	ReportAnswer(digest uint64)
	// Refute reports that the crashes of the request at the leaves do not count against it.
	Refute(digest uint64, leaves []catalog.LeafID, at time.Time)
	// ReportRefusal records that the request came and was refused.
	ReportRefusal(digest uint64, at time.Time)
	// Crashes returns the leaves that crashed with the request in flight since the given time, and that are not refuted.
	Crashes(digest uint64, since time.Time) []peers.Crash
	// OtherCrashes returns the crashes, those not refuted, of all other requests.
	OtherCrashes(digest uint64) []peers.Crash
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
	// Repeated is set if the request had been in flight at the end of a leaf already when it was sent.
	Repeated bool
	// Ran is for how long the call had been under way.
	Ran time.Duration
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
	// outlived counts the answers to each request since each of its crashes became known.
	outlived map[uint64]map[catalog.LeafID]int
	// refusedAt is when each blocked request was last refused.
	refusedAt map[uint64]time.Time
	// lastSweep is when losses without an effect were last removed.
	lastSweep time.Time
}

type loss struct {
	Loss
	at time.Time
	// alive is set once the leaf's address has taken a connection after the loss, asked once a health check is due because
	// the leaf's entry is gone all the same. decided is set once it is known whether the loss counts.
	alive, asked, decided bool
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
		checking: make(map[catalog.LeafID]bool), answers: newAnswers(), outlived: make(map[uint64]map[catalog.LeafID]int), refusedAt: make(map[uint64]time.Time),
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
	crashes := g.fleet.Crashes(digest, g.clock().Add(-blockPeriod))
	return len(crashes) >= crashesToBlock && g.evidence(digest, crashes).blames()
}

// evidence returns what the fleet knows of the ends of leaves at which the request was in flight.
func (g *Guard) evidence(digest uint64, crashes []peers.Crash) *evidence {
	e := &evidence{answered: answered(crashes) || g.hasAnswer(digest), others: make(map[uint64][]peers.Crash)}
	others := g.fleet.OtherCrashes(digest)
	ended := endedLeaves(crashes, others)
	e.crashes = confirmed(crashes, ended)
	for _, c := range confirmed(others, ended) {
		e.others[c.Digest] = append(e.others[c.Digest], c)
	}
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

// finding is what shows the end of a leaf.
type finding struct {
	// description of what the leaf does now.
	description string
	// certain is set if the finding is none of a network partition.
	certain bool
	// covers reports whether the finding decides on a loss of the age.
	covers func(l *loss, age time.Duration) bool
}

// The findings.
var (
	refuses = finding{"refuses connections", true, func(l *loss, age time.Duration) bool {
		return !l.alive && age <= refusalWindow
	}}
	takesNone = finding{"takes no connections", false, func(l *loss, age time.Duration) bool {
		return !l.alive && !l.Silent && age <= refusalWindow
	}}
	hasNoEntry = finding{"has no entry", false, func(l *loss, age time.Duration) bool {
		return !l.alive && !l.Silent && age <= replacementWindow
	}}
	answersNothing = finding{"has no entry and answers nothing", true, func(l *loss, age time.Duration) bool {
		return !l.Silent && age <= replacementWindow
	}}
	replaced = finding{"replaced", true, func(l *loss, age time.Duration) bool {
		return !l.Silent && age <= replacementWindow
	}}
)

// Down records that the leaf's address refuses connections.
func (g *Guard) Down(leaf catalog.LeafID) { g.conclude(leaf, refuses) }

// unresponsive records that the leaf's address takes no connection and refuses none.
func (g *Guard) unresponsive(leaf catalog.LeafID) { g.conclude(leaf, takesNone) }

// expired records that the leaf's entry is gone although it had not announced its shutdown.
func (g *Guard) expired(leaf catalog.LeafID) { g.conclude(leaf, hasNoEntry) }

// Replaced records that the leaf's id or address belongs to another start of a leaf.
func (g *Guard) Replaced(leaf catalog.LeafID) { g.conclude(leaf, replaced) }

// conclude decides on the losses at a leaf that the finding of its end covers. They count as crashes unless the leaf had
// announced its shutdown, or the request was answered and the leaf may live on. Another finding may still cover the others.
func (g *Guard) conclude(leaf catalog.LeafID, f finding) {
	now := g.clock()
	draining := g.view.Load().view.Draining[leaf]
	var crashes []loss
	g.mu.Lock()
	for i := range g.losses[leaf] {
		l := &g.losses[leaf][i]
		switch {
		case l.decided || !f.covers(l, now.Sub(l.at)):
			continue
		case !f.certain && g.clearedByAnswer(l):
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
		g.count(&l, f, now)
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
func (g *Guard) count(l *loss, f finding, now time.Time) {
	g.metrics.outcomes.WithLabelValues(string(counted)).Inc()
	g.log.Warn("leaf crashed with a request in flight", zap.Stringer("leaf", l.Leaf), zap.Uint64("digest", l.Digest), zap.String("leaf_now", f.description),
		zap.Duration("lost_before", now.Sub(l.at)), zap.Bool("repeated", l.Repeated))
	g.report(l, false)
}

// report tells the fleet of a loss.
func (g *Guard) report(l *loss, unconfirmed bool) {
	g.fleet.ReportCrash(peers.Crash{
		Digest: l.Digest, Leaf: l.Leaf, At: l.at, Repeated: l.Repeated, Unconfirmed: unconfirmed, Answered: g.hasAnswer(l.Digest), Ran: l.Ran,
	})
}

// clearSuspicion ends the suspicion of a request at one leaf. Requires mu.
func (g *Guard) clearSuspicion(digest uint64, leaf catalog.LeafID) {
	delete(g.suspects[digest], leaf)
	if len(g.suspects[digest]) == 0 {
		delete(g.suspects, digest)
	}
}
