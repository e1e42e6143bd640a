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
	m         *Manager
	t         *ticket.Ticket
	e         *entry
	order     *pb.OrderRequest
	requester *pb.Identity
	placement *placement
	// answerCtx ends when the answer of the leaf is no longer waited for.
	answerCtx context.Context
	// notStarted are the leaves that surely did not start the order.
	notStarted []string
	// mayBeNoted is true once the intent may be noted at the witness, asked when it was last asked.
	mayBeNoted bool
	askedAt    time.Time
}

// run returns the final record. A leaf that surely did not start the order is followed by another
// replica; after any other failure the order is never sent again.
func (a *attempt) run(ctx context.Context) *pb.TicketRecord {
	lastErr := outcome.NotRun(pb.Reason_REASON_NO_UPSTREAM, stepPlace, "no replica takes orders, take a new ticket").WithRetryAfter(a.m.cfg.RetryAfter)
	for {
		if stop := a.checkBeforeWrite(ctx); stop != nil {
			return stop
		}
		call, outcomeErr := a.acquireSlot(ctx, lastErr)
		if outcomeErr != nil {
			return a.finalRecord(outcomeErr)
		}
		if stop := a.checkBeforeWrite(ctx); stop != nil {
			call.Done(balance.ResultCancelled)
			return stop
		}
		if !a.m.source.FreshSince(a.placement.plannedAt) {
			call.Done(balance.ResultCancelled)
			return a.finalRecord(a.m.staleViewError())
		}
		resp, err := a.execute(ctx, call)
		if err == nil {
			return a.answerRecord(call, resp)
		}
		var ce *upstream.CallError
		if !errors.As(err, &ce) || !ce.NotStarted() {
			call.Done(balanceResult(ctx, ce))
			return a.finalRecord(unansweredError(a.answerCtx, call.Leaf(), err))
		}
		call.Done(balanceResult(ctx, ce))
		a.notStarted = append(a.notStarted, call.Leaf())
		if lastErr = notStartedError(ce); lastErr.RetryAfter == 0 {
			lastErr = lastErr.WithRetryAfter(a.m.cfg.RetryAfter)
		}
		if ce.Refusal == pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED && !a.replicas().AllowRetry(a.placement.kind.RetryBudget) {
			return a.finalRecord(lastErr)
		}
	}
}

// execute writes the order to the leaf. The leaf has until the end of ctx; its answer is waited for
// beyond, while the leaf's load counts it as over.
func (a *attempt) execute(ctx context.Context, call balance.Call) (*pb.LeafExecuteResponse, error) {
	stopTimeout := context.AfterFunc(ctx, func() { call.Done(balance.ResultTimeout) })
	defer stopTimeout()
	answerCtx := a.answerCtx
	if deadline, ok := ctx.Deadline(); ok {
		answerCtx = upstream.WithWorkDeadline(answerCtx, deadline)
	}
	return a.m.leaves.Execute(answerCtx, call.Leaf(), a.request())
}

func (a *attempt) replicas() balance.Replicas { return a.m.replicas(a.t.Service) }

// acquireSlot takes a slot at a replica that was not tried, waiting a little for one. Where none is left
// it gives the last refusal.
func (a *attempt) acquireSlot(ctx context.Context, lastErr *outcome.Error) (balance.Call, *outcome.Error) {
	deadline := a.m.now().Add(a.m.cfg.SlotTimeout)
	for {
		candidates := a.candidates()
		if len(candidates) == 0 || ctx.Err() != nil {
			return nil, lastErr
		}
		if call, ok := a.replicas().Pick(candidates); ok {
			return call, nil
		}
		if !a.m.now().Before(deadline) {
			return nil, outcome.NotRun(pb.Reason_REASON_OVERLOAD, stepPlace, "all replicas are at their limit, take a new ticket").WithRetryAfter(a.m.cfg.RetryAfter)
		}
		wait.For(ctx, a.m.cfg.SlotPollInterval)
	}
}

// candidates are the replicas that are not leaving and were not tried; connected ones where there
// are any.
func (a *attempt) candidates() []string {
	var connected, other []string
	for _, leaf := range a.placement.leaves {
		st, _ := a.m.leaves.State(leaf)
		switch {
		case st.Leaving || slices.Contains(a.notStarted, leaf):
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
		RequestId: a.requester.GetRequestId(), Ticket: a.order.GetTicket(), Service: a.t.Service, Kind: a.t.Kind,
		Key: a.order.GetKey(), Payload: a.order.GetPayload(),
	}
}

// answerRecord records the leaf's answer, or unknown where it answers another order.
func (a *attempt) answerRecord(call balance.Call, resp *pb.LeafExecuteResponse) *pb.TicketRecord {
	if resp.GetRequestId() != a.requester.GetRequestId() || resp.GetTicket() != a.order.GetTicket() {
		call.Done(balance.ResultError)
		return a.finalRecord(outcome.Unknown(pb.Reason_REASON_ANSWER_MISMATCH, stepExecute, "the leaf answered another order").WithPeer(call.Leaf()))
	}
	call.Done(balance.ResultOK)
	return answeredRecord(a.m.table.ticketID(a.t.Sequence), a.e, &pb.OrderResponse{
		Outcome: &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE, Step: stepExecute},
		Result:  resp.GetResult(), Leaf: call.Leaf(), BundleVersion: a.placement.bundle,
	})
}

func (a *attempt) finalRecord(outcomeErr *outcome.Error) *pb.TicketRecord {
	return finalRecord(a.m.table.ticketID(a.t.Sequence), a.e, outcomeErr)
}
