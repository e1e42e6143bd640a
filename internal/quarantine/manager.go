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
	// lookEvery is how often the states of all leaves are compared with those seen before.
	lookEvery = 100 * time.Millisecond
)

// Run takes in the evidence of the source's views, looks at the leaves and settles lost connections
// until ctx ends.
func (r *Registry) Run(ctx context.Context, source feed.Source) error {
	settle, look := time.NewTicker(settleEvery), time.NewTicker(lookEvery)
	defer settle.Stop()
	defer look.Stop()
	changed := source.Changed()
	r.ApplyView(source.Current())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = source.Changed()
			r.ApplyView(source.Current())
		case <-look.C:
			r.Refresh()
		case <-settle.C:
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

// Refresh compares the leaves' states with those seen before, settles lost connections and drops what
// has aged out.
func (r *Registry) Refresh() {
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
	r.show(now)
}

// ApplyView takes in the crash evidence and the leaves of a view.
func (r *Registry) ApplyView(v *feed.View) {
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
	s := r.suspect(c.GetRequestDigest(), now)
	if s.add(crash{crashID: id, at: at, alone: c.GetAlone()}, now) {
		r.metrics.suspicions.WithLabelValues("heard").Inc()
	}
	s.share(id, c.GetAnswered())
	if c.GetAnswered() {
		r.answered.add(s.digest, now)
	}
	r.vouch(s, now)
}
