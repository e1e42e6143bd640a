package quarantine

import (
	"context"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
)

const (
	// lossResolutionInterval is the interval between two calls of ResolveLosses.
	lossResolutionInterval = 20 * time.Millisecond
	// refreshInterval is the interval between two calls of Refresh.
	refreshInterval = 100 * time.Millisecond
)

// Run applies the source's views, refreshes the states of the leaves and resolves lost connections until
// ctx ends. It always returns nil.
func (r *Registry) Run(ctx context.Context, source feed.Source) error {
	resolveTicker, refreshTicker := time.NewTicker(lossResolutionInterval), time.NewTicker(refreshInterval)
	defer resolveTicker.Stop()
	defer refreshTicker.Stop()
	changed := source.Changed()
	r.ApplyView(source.Current())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = source.Changed()
			r.ApplyView(source.Current())
		case <-refreshTicker.C:
			r.Refresh()
		case <-resolveTicker.C:
			r.ResolveLosses()
		}
	}
}

// ResolveLosses classifies the lost connections for which it is not yet known whether the leaf crashed.
func (r *Registry) ResolveLosses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resolveLosses(r.clock())
}

// Refresh compares the states of all leaves with the previous ones, resolves lost connections, removes
// expired suspects and updates the gauges.
func (r *Registry) Refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	for id := range r.leaves {
		r.observe(id, now)
	}
	r.resolveLosses(now)
	for d, s := range r.suspects {
		if r.expired(s, now) {
			delete(r.suspects, d)
		}
	}
	r.updateGauges(now)
}

// ApplyView adds the crash evidence of a view. If the view has a bundle, it starts to track the leaves
// named in it and forgets the others, except those with an unproven request in flight.
func (r *Registry) ApplyView(v *feed.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	for _, c := range v.Crashes {
		r.applyCrash(c, v.Received, now)
	}
	if v.Bundle == nil {
		return
	}
	inBundle := make(map[string]bool)
	for _, s := range v.Bundle.Services {
		for id := range s.Leaves {
			inBundle[id] = true
			r.leaf(id)
		}
	}
	for id, l := range r.leaves {
		if !inBundle[id] && l.unprovenInFlight == 0 {
			delete(r.leaves, id)
		}
	}
}

func (r *Registry) applyCrash(c *pb.Crash, received, now time.Time) {
	at := received.Add(-c.GetAge().AsDuration())
	if now.Sub(at) > r.settings.Age.D() {
		return
	}
	id := crashID{c.GetLeaf(), c.GetIncarnation()}
	s := r.suspectFor(c.GetRequestDigest(), now)
	if s.addCrash(crash{crashID: id, renewedAt: at, alone: c.GetAlone()}, now) {
		r.metrics.evidence.WithLabelValues("heard").Inc()
	}
	s.markShared(id, c.GetAnswered())
	if c.GetAnswered() {
		r.answered.add(s.digest, now)
	}
	r.reportAnswer(s, now)
}
