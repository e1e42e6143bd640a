package crashguard

import (
	"time"

	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/peers"
)

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
