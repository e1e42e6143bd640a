package quarantine

import (
	"context"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
)

const (
	// settleEvery is how often lost connections are judged.
	settleEvery = 20 * time.Millisecond
	// sampleEvery is how many settles apart the states of all leaves are compared with those seen
	// before.
	sampleEvery = 5
)

// Run takes in the evidence of the source's views and settles lost connections until ctx ends.
func (r *Registry) Run(ctx context.Context, source feed.Source) error {
	t := time.NewTicker(settleEvery)
	defer t.Stop()
	for {
		changed := source.Changed()
		r.Take(source.Current())
		if !r.sampleUntil(ctx, t.C, changed) {
			return nil
		}
	}
}

// sampleUntil looks at the leaves at each tick until changed is closed; false where ctx ended.
func (r *Registry) sampleUntil(ctx context.Context, tick <-chan time.Time, changed <-chan struct{}) bool {
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case <-tick:
		}
		if n%sampleEvery == 0 {
			r.Look()
		} else {
			r.Settle()
		}
	}
}

// Settle judges the lost connections of which it isn't known yet whether the leaf crashed.
func (r *Registry) Settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(r.clock())
}

// Look compares the leaves' states with those seen before, settles lost connections and drops what
// has aged out.
func (r *Registry) Look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	for id := range r.leaves {
		r.sample(id, now)
	}
	r.settle(now)
	for d, s := range r.suspects {
		if r.agedOut(s, now) {
			delete(r.suspects, d)
		}
	}
	r.metrics.show(r.suspects, r.proven.len())
}

// Take takes in the crash evidence and the leaves of a view.
func (r *Registry) Take(v *feed.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	for _, c := range v.Crashes {
		r.takeCrash(c, v.Received, now)
	}
	if v.Bundle == nil {
		return
	}
	named := make(map[string]bool)
	for _, s := range v.Bundle.Services {
		for id := range s.Leaves {
			named[id] = true
			r.leaf(id)
		}
	}
	for id, l := range r.leaves {
		if !named[id] && l.unproven == 0 {
			delete(r.leaves, id)
		}
	}
}

func (r *Registry) takeCrash(c *pb.Crash, received, now time.Time) {
	at := received.Add(-c.GetAge().AsDuration())
	if now.Sub(at) > r.settings.Age.D() {
		return
	}
	id := crashID{c.GetLeaf(), c.GetIncarnation()}
	if r.suspect(c.GetRequestDigest(), now).add(crash{crashID: id, at: at, alone: c.GetAlone()}) {
		r.metrics.suspicions.WithLabelValues("heard").Inc()
	}
}
