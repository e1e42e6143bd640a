package order

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

const (
	stepPlace   = "order.place"
	stepExecute = "order.execute"
)

// run works on the one order of a ticket until its record is final. It goes on when its caller goes
// away, within the kind's timeout, so that a resend gets the outcome.
func (m *Manager) run(t *ticket.Ticket, e *entry, order *pb.OrderRequest, who *pb.Identity) {
	p, end := m.place(order)
	if end != nil {
		m.end(t, e, end)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.kind.Timeout)
	defer cancel()
	a := &attempt{m: m, t: t, e: e, order: order, who: who, place: p}
	m.finish(t, e, a.do(ctx))
}

// place is where an order may run: the replicas of the group that its key falls on.
type place struct {
	kind   *bundle.Kind
	leaves []string
	bundle uint64
}

// place finds the group of the order's key in the newest snapshot.
func (m *Manager) place(order *pb.OrderRequest) (*place, *outcome.Error) {
	view := m.source.Current()
	kind, end := orderKind(view, order.GetService(), order.GetKind(), stepPlace)
	if end != nil {
		return nil, end
	}
	if !m.source.Fresh() {
		return nil, outcome.NotRun(pb.Reason_REASON_PAUSED, stepPlace, "no fresh news of the fleet, take a new ticket").After(m.cfg.RetryAfter)
	}
	group := groupOf(view, order.GetService(), order.GetKey())
	if group == nil {
		return nil, outcome.NotRun(pb.Reason_REASON_NO_SNAPSHOT, stepPlace, "the service has no snapshot")
	}
	return &place{kind: kind, leaves: group, bundle: view.Bundle.Version}, nil
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

// attempt is the one execution of an order.
type attempt struct {
	m     *Manager
	t     *ticket.Ticket
	e     *entry
	order *pb.OrderRequest
	who   *pb.Identity
	place *place
	// tried are the leaves that surely did not start the order.
	tried []string
}

// do returns the final record. A leaf that surely did not start the order is followed by another
// replica; after any other failure the order is never sent again.
func (a *attempt) do(ctx context.Context) *pb.TicketRecord {
	last := outcome.NotRun(pb.Reason_REASON_NO_UPSTREAM, stepPlace, "no replica takes orders, take a new ticket").After(a.m.cfg.RetryAfter)
	for {
		call, end := a.pick(ctx, last)
		if end != nil {
			return a.ended(end)
		}
		resp, err := a.m.leaves.Execute(ctx, call.Leaf(), a.request())
		if err == nil {
			return a.answered(call, resp)
		}
		var ce *upstream.CallError
		if !errors.As(err, &ce) || !ce.NotStarted() {
			call.Done(resultOf(ctx, ce))
			return a.ended(unknownEnd(ctx, call.Leaf(), err))
		}
		call.Done(resultOf(ctx, ce))
		a.tried = append(a.tried, call.Leaf())
		last = refusedEnd(ce).After(a.m.cfg.RetryAfter)
		if ce.Refusal == pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED && !a.replicas().AllowRetry(a.place.kind.RetryBudget) {
			return a.ended(last)
		}
	}
}

func (a *attempt) replicas() balance.Replicas { return a.m.replicas(a.t.Service) }

// pick takes a slot at a replica that was not tried, waiting a little for one. Where none is left
// it gives the last refusal.
func (a *attempt) pick(ctx context.Context, last *outcome.Error) (balance.Call, *outcome.Error) {
	limit := a.m.now().Add(a.m.cfg.PickWait)
	for {
		candidates := a.candidates()
		if len(candidates) == 0 || ctx.Err() != nil {
			return nil, last
		}
		if call, ok := a.replicas().Pick(candidates); ok {
			return call, nil
		}
		if !a.m.now().Before(limit) {
			return nil, outcome.NotRun(pb.Reason_REASON_OVERLOAD, stepPlace, "all replicas are at their limit, take a new ticket").After(a.m.cfg.RetryAfter)
		}
		sleep(ctx, a.m.cfg.PickEvery)
	}
}

// candidates are the replicas that are not leaving and were not tried; connected ones where there
// are any.
func (a *attempt) candidates() []string {
	var connected, other []string
	for _, leaf := range a.place.leaves {
		st, _ := a.m.leaves.State(leaf)
		switch {
		case st.Leaving || slices.Contains(a.tried, leaf):
		case st.Connected:
			connected = append(connected, leaf)
		default:
			other = append(other, leaf)
		}
	}
	if len(connected) > 0 {
		return connected
	}
	return other
}

func (a *attempt) request() *pb.LeafExecuteRequest {
	return &pb.LeafExecuteRequest{
		RequestId: a.who.GetRequestId(), Ticket: a.order.GetTicket(), Service: a.t.Service, Kind: a.t.Kind,
		Key: a.order.GetKey(), Payload: a.order.GetPayload(),
	}
}

// answered records the leaf's answer, or unknown where it answers another order.
func (a *attempt) answered(call balance.Call, resp *pb.LeafExecuteResponse) *pb.TicketRecord {
	if resp.GetRequestId() != a.who.GetRequestId() || resp.GetTicket() != a.order.GetTicket() {
		call.Done(balance.ResultError)
		return a.ended(outcome.Unknown(pb.Reason_REASON_ANSWER_MISMATCH, stepExecute, "the leaf answered another order").At(call.Leaf()))
	}
	call.Done(balance.ResultOK)
	return answeredRecord(a.m.table.id(a.t.Sequence), a.e, &pb.OrderResponse{
		Outcome: &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE, Step: stepExecute},
		Result:  resp.GetResult(), Leaf: call.Leaf(), BundleVersion: a.place.bundle,
	})
}

func (a *attempt) ended(end *outcome.Error) *pb.TicketRecord {
	return endedRecord(a.m.table.id(a.t.Sequence), a.e, end)
}

// unknownEnd is the end of an order that was written and not answered.
func unknownEnd(ctx context.Context, leaf string, err error) *outcome.Error {
	reason := pb.Reason_REASON_UPSTREAM_ERROR
	if ctx.Err() != nil {
		reason = pb.Reason_REASON_DEADLINE
	}
	return outcome.Unknown(reason, stepExecute, "the order was sent and not answered, it may have run").At(leaf).Because(err)
}

// refusedEnd is the end of an order that no replica started.
func refusedEnd(ce *upstream.CallError) *outcome.Error {
	if ce.Wrote {
		return outcome.NotRun(pb.Reason_REASON_UPSTREAM_REFUSED, stepExecute, "no replica started the order, take a new ticket").At(ce.Leaf)
	}
	return outcome.NotRun(pb.Reason_REASON_NO_UPSTREAM, stepExecute, "no replica could be reached, take a new ticket").At(ce.Leaf)
}

func resultOf(ctx context.Context, ce *upstream.CallError) balance.Result {
	switch {
	case ce != nil && ce.Refusal == pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED:
		return balance.ResultShed
	case ctx.Err() != nil:
		return balance.ResultTimeout
	default:
		return balance.ResultError
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
