package crashguard

import (
	"context"
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
	defer g.endCheck(leaf)
	if path, ok := g.view.Load().healthPathOfExpired(leaf); ok {
		g.ask(ctx, p, leaf, path)
		return
	}
	silent, reported := 0, false
	for end := g.clock().Add(refusalWindow); g.clock().Before(end); {
		result := p.Probe(ctx, leaf)
		g.metrics.checks.WithLabelValues(string(result)).Inc()
		if result == leafcall.NoResponse {
			silent++
		}
		switch {
		case result == leafcall.Refused:
			g.Down(leaf)
			return
		case silent == silentAttempts:
			g.unresponsive(leaf)
			return
		case !wait.For(ctx, answerGrace):
			return
		}
		if !reported {
			reported = true
			g.reportUnconfirmed(leaf, result == leafcall.Reached)
		}
		if result == leafcall.Reached {
			return
		}
	}
}

// ask finds out whether a leaf whose entry is gone answers at its address, which has taken connections.
func (g *Guard) ask(ctx context.Context, p Prober, leaf catalog.LeafID, path string) {
	result := p.Ask(ctx, leaf, path)
	g.metrics.checks.WithLabelValues(string(result)).Inc()
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

func (g *Guard) endCheck(leaf catalog.LeafID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.checking, leaf)
}

// reportUnconfirmed tells the fleet of the losses at a leaf whose address still takes connections, perhaps those of
// another start of a leaf. alive is set if it took one.
func (g *Guard) reportUnconfirmed(leaf catalog.LeafID, alive bool) {
	draining := g.view.Load().view.Draining[leaf]
	var open []loss
	g.mu.Lock()
	for i := range g.losses[leaf] {
		l := &g.losses[leaf][i]
		l.alive = l.alive || alive
		if !l.Silent && !draining {
			open = append(open, *l)
		}
	}
	g.mu.Unlock()
	for _, l := range open {
		g.report(&l, true)
	}
}
