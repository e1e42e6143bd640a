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

// attempt is the single execution of an order.
type attempt struct {
	m         *Manager
	t         *ticket.Ticket
	e         *entry
	order     *pb.OrderRequest
	requester *pb.Identity
	placement *placement
	// answerCtx ends when the gather stops waiting for the leaf's answer, one grace period after
	// the order's deadline.
	answerCtx context.Context
	// notStarted holds the leaves that are known not to have started the order.
	notStarted []string
	// mayBeNoted is true from the first request to the witness on, since the witness may have
	// noted the intent even if its answer is lost. askedAt is the time of the latest request.
	mayBeNoted bool
	askedAt    time.Time
}

// run executes the order and returns its final record. After a leaf that is known not to have
// started the order it tries another replica. After any other failure it never sends the order
// again.
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
		decided := a.m.now()
		if !a.m.source.FreshSince(a.placement.plannedAt) {
			call.Done(balance.ResultCancelled)
			return a.finalRecord(a.m.staleViewError())
		}
		resp, err := a.execute(ctx, call, decided)
		if err == nil {
			return a.answerRecord(call, resp)
		}
		var ce *upstream.CallError
		if !errors.As(err, &ce) || !ce.NotStarted() {
			call.Done(balanceResult(ctx, ce))
			return a.finalRecord(unansweredError(a.answerCtx, call.Leaf(), err))
		}
		call.Done(balanceResult(ctx, ce))
		if ce.TooLate() {
			wait.For(ctx, a.m.cfg.SlotPollInterval)
			continue // the leaf may take the order after a new check
		}
		a.notStarted = append(a.notStarted, call.Leaf())
		if lastErr = notStartedError(ce); lastErr.RetryAfter == 0 {
			lastErr = lastErr.WithRetryAfter(a.m.cfg.RetryAfter)
		}
		if ce.Refusal == pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED && !a.replicas().AllowRetry(a.placement.kind.RetryBudget) {
			return a.finalRecord(lastErr)
		}
	}
}

// execute sends the order to the leaf, which refuses it if it arrives too long after the gather
// decided on it, as when the gather was paused before it sent the order. The leaf has until the
// deadline of ctx to work on it. The answer is awaited until answerCtx ends, but the call stops
// counting as load of the leaf at the end of ctx.
func (a *attempt) execute(ctx context.Context, call balance.Call, decided time.Time) (*pb.LeafExecuteResponse, error) {
	stopTimeout := context.AfterFunc(ctx, func() { call.Done(balance.ResultTimeout) })
	defer stopTimeout()
	answerCtx := upstream.WithDecisionTime(a.answerCtx, decided)
	if deadline, ok := ctx.Deadline(); ok {
		answerCtx = upstream.WithWorkDeadline(answerCtx, deadline)
	}
	return a.m.leaves.Execute(answerCtx, call.Leaf(), a.request())
}

func (a *attempt) replicas() balance.Replicas { return a.m.replicas(a.t.Service) }

// acquireSlot takes a slot at a replica that has not been tried, waiting up to SlotTimeout for one.
// Without a candidate it returns lastErr, the last refusal.
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

// candidates returns the replicas that are not leaving and have not been tried. It returns only
// connected ones if there are any.
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

// answerRecord returns the final record for the leaf's answer. The outcome is unknown if the answer
// belongs to another order.
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
