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

// runOrder works on the one order of a ticket until its record is final. It continues within the
// kind's timeout when its caller disconnects, so that a resend gets the outcome.
func (m *Manager) runOrder(t *ticket.Ticket, e *entry, order *pb.OrderRequest, requester *pb.Identity) {
	p, outcomeErr := m.findPlacement(order)
	if outcomeErr != nil {
		m.refuseOrder(t, e, outcomeErr)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.kind.Timeout)
	defer cancel()
	answerCtx, stop := context.WithTimeout(context.Background(), p.kind.Timeout+m.cfg.LateAnswerGracePeriod)
	defer stop()
	a := &attempt{m: m, t: t, e: e, order: order, requester: requester, placement: p, answerCtx: answerCtx}
	m.finishAttempt(a, a.run(ctx))
}

// placement says where an order may run: on the replicas of the shard that its key maps to.
type placement struct {
	kind   *bundle.Kind
	leaves []string
	bundle uint64
	// plannedAt is a time before the view of this placement was read.
	plannedAt time.Time
}

// findPlacement returns the replicas of the order's shard in the newest snapshot.
func (m *Manager) findPlacement(order *pb.OrderRequest) (*placement, *outcome.Error) {
	plannedAt := m.now()
	view := m.source.Current()
	kind, outcomeErr := orderKind(view, order.GetService(), order.GetKind(), stepPlace)
	if outcomeErr != nil {
		return nil, outcomeErr
	}
	if !m.source.FreshSince(plannedAt) {
		return nil, m.staleViewError()
	}
	leaves := shardLeaves(view, order.GetService(), order.GetKey())
	if leaves == nil {
		return nil, outcome.NotRun(pb.Reason_REASON_NO_SNAPSHOT, stepPlace, "the service has no snapshot")
	}
	return &placement{kind: kind, leaves: leaves, bundle: view.Bundle.Version, plannedAt: plannedAt}, nil
}

// staleViewError returns the outcome of an order that was not sent because the view may be stale.
func (m *Manager) staleViewError() *outcome.Error {
	return outcome.NotRun(pb.Reason_REASON_PAUSED, stepPlace, "no fresh news of the fleet, take a new ticket").WithRetryAfter(m.cfg.RetryAfter)
}

// shardLeaves returns the leaves of the shard that xxhash64 of the key maps to, or nil if the
// service has no shard.
func shardLeaves(view *feed.View, service, key string) []string {
	svc := view.Bundle.Services[service]
	if len(svc.Snapshots) == 0 || len(svc.Snapshots[0].Shards) == 0 {
		return nil
	}
	shards := svc.Snapshots[0].Shards
	return shards[xxhash.Sum64String(key)%uint64(len(shards))].Leaves
}
