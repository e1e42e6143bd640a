package order

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

const stepPlace = "order.place"

// run works on the one order of a ticket until its record is final. It goes on when its caller goes
// away, within the kind's timeout, so that a resend gets the outcome.
func (m *Manager) run(t *ticket.Ticket, e *entry, order *pb.OrderRequest, who *pb.Identity) {
	p, end := m.place(order)
	if end != nil {
		m.refuse(t, e, end)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.kind.Timeout)
	defer cancel()
	linger, stop := context.WithTimeout(context.Background(), p.kind.Timeout+m.cfg.Linger)
	defer stop()
	a := &attempt{m: m, t: t, e: e, order: order, who: who, place: p, linger: linger}
	m.record(a, a.do(ctx))
}

// place is where an order may run: the replicas of the group that its key falls on.
type place struct {
	kind   *bundle.Kind
	leaves []string
	bundle uint64
	// planned is a time before the view was taken that it goes by.
	planned time.Time
}

// place finds the group of the order's key in the newest snapshot.
func (m *Manager) place(order *pb.OrderRequest) (*place, *outcome.Error) {
	planned := m.now()
	view := m.source.Current()
	kind, end := orderKind(view, order.GetService(), order.GetKind(), stepPlace)
	if end != nil {
		return nil, end
	}
	if !m.source.FreshSince(planned) {
		return nil, m.stale()
	}
	group := groupOf(view, order.GetService(), order.GetKey())
	if group == nil {
		return nil, outcome.NotRun(pb.Reason_REASON_NO_SNAPSHOT, stepPlace, "the service has no snapshot")
	}
	return &place{kind: kind, leaves: group, bundle: view.Bundle.Version, planned: planned}, nil
}

// stale refuses an order of which nothing was sent.
func (m *Manager) stale() *outcome.Error {
	return outcome.NotRun(pb.Reason_REASON_PAUSED, stepPlace, "no fresh news of the fleet, take a new ticket").WithRetryAfter(m.cfg.RetryAfter)
}

// groupOf returns the leaves of the shard that xxhash64 of the key falls on, or nil.
func groupOf(view *feed.View, service, key string) []string {
	svc := view.Bundle.Services[service]
	if len(svc.Snapshots) == 0 || len(svc.Snapshots[0].Shards) == 0 {
		return nil
	}
	shards := svc.Snapshots[0].Shards
	return shards[xxhash.Sum64String(key)%uint64(len(shards))].Leaves
}
