package crashguard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// maxQueuedChecks bounds the leaves that wait to be checked. A fleet loses hundreds of leaves at once.
	maxQueuedChecks = 512
	// maxConcurrentChecks bounds the checks at the same time.
	maxConcurrentChecks = 16
	// checkRetryDelay is the delay between two attempts to connect to a leaf.
	checkRetryDelay = 20 * time.Millisecond
	// answerGrace is how long the answer to a repeat may clear a request before other VMs are told of the loss.
	answerGrace = 30 * time.Millisecond
	// silentAttempts is the number of attempts without any response after which a leaf counts as ended.
	silentAttempts = 2
)

// Prober tries to open a connection to a leaf, which it keeps for later calls.
type Prober interface {
	Probe(ctx context.Context, leaf catalog.LeafID) leafcall.Reachability
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

// check finds out whether the leaf has ended.
func (g *Guard) check(ctx context.Context, p Prober, leaf catalog.LeafID) {
	result := leafcall.NotTried
	silent := 0
	for end := g.clock().Add(refusalWindow); g.clock().Before(end); {
		result = p.Probe(ctx, leaf)
		if result == leafcall.NoResponse {
			silent++
		}
		if result == leafcall.Reached || result == leafcall.Refused || silent == silentAttempts || !wait.For(ctx, checkRetryDelay) {
			break
		}
	}
	g.metrics.checks.WithLabelValues(string(result)).Inc()
	g.mu.Lock()
	delete(g.checking, leaf)
	g.mu.Unlock()
	switch result {
	case leafcall.Refused:
		g.Down(leaf)
	case leafcall.NoResponse:
		g.unresponsive(leaf)
	case leafcall.Reached, leafcall.NotTried:
		if wait.For(ctx, answerGrace) {
			g.reportUnconfirmed(leaf, result == leafcall.Reached)
		}
	}
}

// reportUnconfirmed tells the fleet of the losses at a leaf whose address still takes connections, perhaps those of
// another start of a leaf. alive is set if it took one.
func (g *Guard) reportUnconfirmed(leaf catalog.LeafID, alive bool) {
	draining := g.view.Load().Draining[leaf]
	var open []loss
	g.mu.Lock()
	for i := range g.losses[leaf] {
		l := &g.losses[leaf][i]
		l.alive = l.alive || alive
		if !l.Silent && !draining && !g.clearedByAnswer(l) {
			open = append(open, *l)
		}
	}
	g.mu.Unlock()
	for _, l := range open {
		g.report(&l, true)
	}
}

// SetView takes a new view of the leaves, which may show that leaves have ended.
func (g *Guard) SetView(v *directory.View) {
	g.view.Store(v)
	for _, l := range g.lostLeaves() {
		g.compareWithView(v, l.id, l.address)
	}
}

type lostLeaf struct {
	id      catalog.LeafID
	address string
}

// lostLeaves returns the leaves with recorded losses.
func (g *Guard) lostLeaves() []lostLeaf {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]lostLeaf, 0, len(g.losses))
	for id, losses := range g.losses {
		out = append(out, lostLeaf{id, losses[0].Address})
	}
	return out
}

// compareWithView records the end of the leaf if the view shows it.
func (g *Guard) compareWithView(v *directory.View, leaf catalog.LeafID, address string) {
	another := func(l catalog.Leaf) bool {
		return l.ID != leaf && (l.ID.Name == leaf.Name || address != "" && l.Address == address)
	}
	switch {
	case contains(v.Leaves, another) || contains(v.EvacuatedLeaves, another):
		g.Replaced(leaf)
	case contains(v.Expired, func(l catalog.Leaf) bool { return l.ID == leaf }):
		g.expired(leaf)
	}
}

// contains reports whether any of the leaves fulfils the condition.
func contains(leaves map[string][]catalog.Leaf, f func(catalog.Leaf) bool) bool {
	for _, list := range leaves {
		if slices.ContainsFunc(list, f) {
			return true
		}
	}
	return false
}
