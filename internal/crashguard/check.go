package crashguard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// maxQueuedChecks bounds the leaves that wait to be checked. A fleet loses hundreds of leaves at once.
	maxQueuedChecks = 512
	// maxConcurrentChecks bounds the checks at the same time.
	maxConcurrentChecks = 16
	// answerGrace is how long the answer to a repeat may clear a request before other VMs are told of the loss, and
	// the delay between two attempts to connect to the leaf.
	answerGrace = 30 * time.Millisecond
	// silentAttempts is the number of attempts without any response after which a leaf counts as ended.
	silentAttempts = 2
)

// Prober finds out whether a leaf lives.
type Prober interface {
	// Probe tries to open a connection to the leaf, which it keeps for later calls.
	Probe(ctx context.Context, leaf catalog.LeafID) leafcall.Reachability
	// Ask sends the leaf a health check with the path.
	Ask(ctx context.Context, leaf catalog.LeafID, path string) leafcall.Reachability
}

// enqueueCheck has the leaf checked unless that is under way. If too many checks wait, only the store's entries show
// what became of the leaf. Requires mu.
func (g *Guard) enqueueCheck(leaf catalog.LeafID) {
	if g.checking[leaf] {
		return
	}
	select {
	case g.checks <- leaf:
		g.checking[leaf] = true
	default:
	}
}

// Run checks the leaves to which connections were lost until ctx ends. It returns nil.
func (g *Guard) Run(ctx context.Context, p Prober) error {
	var open sync.WaitGroup
	defer open.Wait()
	slots := make(chan struct{}, maxConcurrentChecks)
	open.Go(func() {
		for wait.For(ctx, sweepInterval) {
			g.mu.Lock()
			g.sweep(g.clock())
			g.mu.Unlock()
		}
	})
	for {
		select {
		case <-ctx.Done():
			return nil
		case leaf := <-g.checks:
			slots <- struct{}{}
			open.Go(func() {
				defer func() { <-slots }()
				g.check(ctx, p, leaf)
			})
		}
	}
}

// check finds out whether the leaf has ended, and tells the fleet of the losses if that takes long.
func (g *Guard) check(ctx context.Context, p Prober, leaf catalog.LeafID) {
	begun := g.clock()
	if path, ok := g.view.Load().healthPathOfExpired(leaf); ok {
		result := g.ask(ctx, p, leaf, path)
		g.endCheck(leaf)
		g.concludeAnswer(leaf, result)
		g.recheck(leaf, begun)
		return
	}
	silent, reported := 0, false
	for end := begun.Add(refusalWindow); g.clock().Before(end); {
		begun = g.clock()
		result := p.Probe(ctx, leaf)
		g.metrics.checks.WithLabelValues(string(result)).Inc()
		if result == leafcall.NoResponse {
			silent++
		}
		switch {
		case result == leafcall.Refused:
			g.endCheck(leaf)
			g.Down(leaf)
			return
		case silent == silentAttempts:
			g.endCheck(leaf)
			g.unresponsive(leaf)
			return
		case !wait.For(ctx, answerGrace):
			g.endCheck(leaf)
			return
		}
		reached := result == leafcall.Reached
		if !reported {
			reported = true
			g.reportUnconfirmed(leaf, reached, begun)
		}
		if reached {
			break
		}
	}
	g.endCheck(leaf)
	g.recheck(leaf, begun)
}

// ask finds out whether a leaf whose entry is gone answers at its address, which has taken connections.
func (g *Guard) ask(ctx context.Context, p Prober, leaf catalog.LeafID, path string) leafcall.Reachability {
	result := p.Ask(ctx, leaf, path)
	g.metrics.checks.WithLabelValues(string(result)).Inc()
	return result
}

// concludeAnswer decides on the losses at a leaf by the result of a health check.
func (g *Guard) concludeAnswer(leaf catalog.LeafID, result leafcall.Reachability) {
	switch result {
	case leafcall.TakenOver:
		g.Replaced(leaf)
	case leafcall.Refused, leafcall.NoResponse:
		g.conclude(leaf, answersNothing)
	}
}

// enqueueAsk has a leaf asked whose entry is gone, once for each loss, if its address has taken a connection since.
func (g *Guard) enqueueAsk(leaf catalog.LeafID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	due := false
	for i := range g.losses[leaf] {
		l := &g.losses[leaf][i]
		due = due || l.alive && !l.asked && !l.Silent
		l.asked = true
	}
	if due {
		g.enqueueCheck(leaf)
	}
}

// endCheck notes that the leaf is no longer being checked. It precedes the conclusion from the check: a loss that is recorded
// later has the leaf checked anew.
func (g *Guard) endCheck(leaf catalog.LeafID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.checking, leaf)
}

// recheck has the leaf checked anew if a connection to it was lost since the time, at which the check that has ended last asked
// the leaf.
func (g *Guard) recheck(leaf catalog.LeafID, since time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.ContainsFunc(g.losses[leaf], func(l loss) bool { return !l.Silent && l.at.After(since) }) {
		g.enqueueCheck(leaf)
	}
}

// reportUnconfirmed tells the fleet of the losses at a leaf whose address still takes connections, perhaps those of
// another start of a leaf. reached is set if it took one that this VM began to open at the time asked.
func (g *Guard) reportUnconfirmed(leaf catalog.LeafID, reached bool, asked time.Time) {
	draining := g.view.Load().view.Draining[leaf]
	var open []loss
	g.mu.Lock()
	for i := range g.losses[leaf] {
		l := &g.losses[leaf][i]
		l.alive = l.alive || reached && !l.at.After(asked)
		if !l.Silent && !draining {
			open = append(open, *l)
		}
	}
	g.mu.Unlock()
	for _, l := range open {
		g.report(&l, true)
	}
}
