// Package crashguard detects requests that crash the leaves that run them and blocks them in the whole
// fleet. A connection that ends while a request runs makes the request a suspect. It counts as a crash once
// something shows that the leaf has ended: its address refuses connections or takes none, or its id or its
// address belongs to another start of a leaf. The guard looks for that itself: whether the leaf gets other
// calls does not matter. An answer shows that one leaf has outlived one run, as a request may crash some of its
// runs only. So an answer lets a suspect run as any other request again, and its crashes stay on record: they stop
// counting once another request or an outage explains them, or after many answers.
package crashguard

import (
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
	// after three heartbeats of some 1.2 s, which takes up to a second to reach all VMs, and a leaf that is asked then
	// has another second.
	suspicionPeriod = replacementWindow
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
	// Confirmed returns, by digest, the crashes that are not refuted at leaves that are known to have ended. The caller must
	// not modify the result.
	Confirmed() map[uint64][]peers.Crash
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
