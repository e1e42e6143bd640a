package crashguard

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// outcome says what became of a lost connection with a request in flight.
type outcome string

// The outcomes.
const (
	// counted: the leaf has ended, and this counts against the request.
	counted outcome = "counted"
	// cleared: the request has been answered.
	cleared outcome = "cleared"
	// leftInOrder: the leaf had announced its shutdown.
	leftInOrder outcome = "left_in_order"
	// unconfirmed: nothing has shown in time that the leaf has ended.
	unconfirmed outcome = "unconfirmed"
)

// maxLogsPerSecond limits the log lines about losses that do not count, which come by the dozen.
const maxLogsPerSecond = 5

// dismiss records that a loss does not count against its request, and why. Requires mu.
func (g *Guard) dismiss(l *loss, why outcome, now time.Time) {
	g.metrics.outcomes.WithLabelValues(string(why)).Inc()
	if !l.Silent && g.logLimiter.Allow() {
		g.log.Info("lost connection does not count against its request", zap.String("why", string(why)), zap.Stringer("leaf", l.Leaf),
			zap.Uint64("digest", l.Digest), zap.Bool("leaf_takes_connections", l.alive), zap.Duration("lost_before", now.Sub(l.at)))
	}
}

// logRefuted counts and logs the crashes that answers have refuted.
func (g *Guard) logRefuted(digest uint64, leaves []catalog.LeafID) {
	g.metrics.refuted.Add(float64(len(leaves)))
	if g.logLimiter.Allow() {
		g.log.Info("crashes no longer count against a request that leaves have answered", zap.Uint64("digest", digest), zap.Stringers("leaves", leaves))
	}
}

// sweep removes the losses that no longer have an effect. A loss that nothing explains in time ends its suspicion.
// Requires mu.
func (g *Guard) sweep(now time.Time) {
	g.lastSweep = now
	maps.DeleteFunc(g.outlived, func(digest uint64, _ map[catalog.LeafID]int) bool {
		return len(g.fleet.Crashes(digest, now.Add(-blockPeriod))) == 0
	})
	maps.DeleteFunc(g.refusedAt, func(_ uint64, at time.Time) bool { return now.Sub(at) > blockPeriod })
	for leaf := range g.losses {
		g.keep(leaf, func(l *loss) bool {
			if now.Sub(l.at) > suspicionPeriod {
				g.clearSuspicion(l.Digest, leaf)
			}
			if now.Sub(l.at) <= l.relevantFor() {
				return true
			}
			g.dismiss(l, unconfirmed, now)
			return false
		})
	}
}

// relevantFor returns how long the loss may still count.
func (l *loss) relevantFor() time.Duration {
	if l.Silent {
		return refusalWindow
	}
	return replacementWindow
}
