package order

import (
	"context"
	"errors"
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
	"github.com/burdockplank/burdockplank/internal/upstream"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const stepExecute = "order.execute"

// attempt is the one execution of an order.
type attempt struct {
	m     *Manager
	t     *ticket.Ticket
	e     *entry
	order *pb.OrderRequest
	who   *pb.Identity
	place *place
	// linger ends when the answer of the leaf is no longer waited for.
	linger context.Context
	// tried are the leaves that surely did not start the order.
	tried []string
	// noted is true once the intent may be noted at the witness, asked when it was last asked.
	noted bool
	asked time.Time
}

// do returns the final record. A leaf that surely did not start the order is followed by another
// replica; after any other failure the order is never sent again.
func (a *attempt) do(ctx context.Context) *pb.TicketRecord {
	last := outcome.NotRun(pb.Reason_REASON_NO_UPSTREAM, stepPlace, "no replica takes orders, take a new ticket").WithRetryAfter(a.m.cfg.RetryAfter)
	for {
		if stop := a.clear(ctx); stop != nil {
			return stop
		}
		call, end := a.pick(ctx, last)
		if end != nil {
			return a.ended(end)
		}
		if stop := a.clear(ctx); stop != nil {
			call.Done(balance.ResultCancelled)
			return stop
		}
		if !a.m.source.FreshSince(a.place.planned) {
			call.Done(balance.ResultCancelled)
			return a.ended(a.m.stale())
		}
		resp, err := a.execute(ctx, call)
		if err == nil {
			return a.answered(call, resp)
		}
		var ce *upstream.CallError
		if !errors.As(err, &ce) || !ce.NotStarted() {
			call.Done(resultOf(ctx, ce))
			return a.ended(unknownEnd(a.linger, call.Leaf(), err))
		}
		call.Done(resultOf(ctx, ce))
		a.tried = append(a.tried, call.Leaf())
		if last = refusedEnd(ce); last.RetryAfter == 0 {
			last = last.WithRetryAfter(a.m.cfg.RetryAfter)
		}
		if ce.Refusal == pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED && !a.replicas().AllowRetry(a.place.kind.RetryBudget) {
			return a.ended(last)
		}
	}
}

// execute writes the order to the leaf. The leaf has until the end of ctx; its answer is waited for
// beyond, while the leaf's load counts it as over.
func (a *attempt) execute(ctx context.Context, call balance.Call) (*pb.LeafExecuteResponse, error) {
	over := context.AfterFunc(ctx, func() { call.Done(balance.ResultTimeout) })
	defer over()
	wait := a.linger
	if deadline, ok := ctx.Deadline(); ok {
		wait = upstream.WithWorkDeadline(wait, deadline)
	}
	return a.m.leaves.Execute(wait, call.Leaf(), a.request())
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
			return nil, outcome.NotRun(pb.Reason_REASON_OVERLOAD, stepPlace, "all replicas are at their limit, take a new ticket").WithRetryAfter(a.m.cfg.RetryAfter)
		}
		wait.For(ctx, a.m.cfg.PickEvery)
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
		return a.ended(outcome.Unknown(pb.Reason_REASON_ANSWER_MISMATCH, stepExecute, "the leaf answered another order").WithPeer(call.Leaf()))
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
