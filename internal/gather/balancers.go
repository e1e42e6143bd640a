package gather

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/subset"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// refreshInterval is how often the balancers are given the leaves' incarnations.
const refreshInterval = 100 * time.Millisecond

// Balancers holds one balancer for each service. It is safe for concurrent use.
type Balancers struct {
	settings balance.Settings
	clock    balance.Clock
	random   balance.Random
	states   func(leaf string) (upstream.State, bool)

	mu sync.Mutex
	// byService is guarded by mu.
	byService map[string]balance.Replicas
}

// NewBalancers returns an empty set.
func NewBalancers(s balance.Settings, clock balance.Clock, random balance.Random, states func(string) (upstream.State, bool)) *Balancers {
	return &Balancers{settings: s, clock: clock, random: random, states: states, byService: make(map[string]balance.Replicas)}
}

// For returns the balancer of a service. It creates the balancer on first use.
func (b *Balancers) For(service string) balance.Replicas {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.byService[service]
	if r == nil {
		r = b.settings.New(b.clock, b.random)
		b.byService[service] = r
	}
	return r
}

// All returns the balancers by service.
func (b *Balancers) All() map[string]balance.Replicas {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.byService)
}

// Dump implements operator.Dumper. It returns a snapshot for each service with an adaptive
// balancer; the baseline policy has no state to show.
func (b *Balancers) Dump() any {
	dump := make(map[string]balance.Snapshot)
	for service, r := range b.All() {
		if adaptive, ok := r.(*balance.Balancer); ok {
			dump[service] = adaptive.Snapshot()
		}
	}
	return dump
}

// Run gives the balancers the leaves' slots, the number of sharers and the incarnations until ctx
// ends.
func (b *Balancers) Run(ctx context.Context, source feed.Source) error {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		changed := source.Changed()
		v := source.Current()
		b.setCapacities(v)
		for wait := true; wait; {
			b.setIncarnations(v)
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
				wait = false
			case <-t.C:
			}
		}
	}
}

func (b *Balancers) setCapacities(v *feed.View) {
	if v.Bundle == nil {
		return
	}
	for _, s := range v.Bundle.Services {
		plan := subset.For(s, v.Zone, v.VMs)
		r := b.For(s.Name)
		for id, l := range s.Leaves {
			r.SetCapacity(id, l.Slots, max(plan.Sharers, 1))
		}
	}
}

func (b *Balancers) setIncarnations(v *feed.View) {
	if v.Bundle == nil {
		return
	}
	for _, s := range v.Bundle.Services {
		r := b.For(s.Name)
		for id := range s.Leaves {
			if st, ok := b.states(id); ok && st.Incarnation != 0 {
				r.SetIncarnation(id, st.Incarnation)
			}
		}
	}
}
