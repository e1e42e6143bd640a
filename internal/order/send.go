package order

import (
	"context"
	"errors"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

const (
	stepTicket = "order.ticket"
	stepWait   = "order.wait"
	// An answer needs time to travel back to the caller. minAnswerReserve is reserved for it, but
	// at most 1/maxAnswerReserveDivisor of the remaining time. When much time remains,
	// 1/answerReserveDivisor of it is reserved, as for searches, since the way back takes longer
	// where VMs are busy.
	minAnswerReserve        = 20 * time.Millisecond
	maxAnswerReserveDivisor = 10
	answerReserveDivisor    = 32
)

// Order runs the order of a ticket, or returns the outcome that it already has. Errors are
// *outcome.Error.
func (m *Manager) Order(ctx context.Context, req *pb.GatherOrderRequest) (*pb.GatherOrderResponse, error) {
	order, requester := req.GetOrder(), req.GetIdentity()
	t, outcomeErr := m.checkTicket(order, requester.GetCaller())
	if t != nil && outcomeErr != nil {
		return m.resolveEarlier(ctx, t, order, requester)
	}
	if outcomeErr != nil {
		m.metrics.countSend(t, nil, outcomeErr)
		return nil, outcomeErr
	}
	resp, err := m.send(ctx, t, order, requester)
	m.metrics.countSend(t, resp, err)
	if err != nil {
		return nil, err
	}
	return &pb.GatherOrderResponse{Identity: requester, Order: resp}, nil
}

// checkTicket checks that this gather minted the ticket for this caller, service and kind. It
// returns the same error for all mismatches, so that a caller learns nothing about another caller's
// ticket. It returns a ticket without an error if the MAC is right, and a ticket with an error, its
// MAC unchecked, if another incarnation of this VM's gather minted it.
func (m *Manager) checkTicket(order *pb.OrderRequest, caller string) (*ticket.Ticket, *outcome.Error) {
	if order.GetTicket() == "" {
		return nil, outcome.NotRun(pb.Reason_REASON_NO_TICKET, stepTicket, "an order needs a ticket")
	}
	t, err := ticket.Parse(order.GetTicket())
	if err != nil {
		return nil, invalidTicketError()
	}
	if t.Caller != caller || t.Service != order.GetService() || t.Kind != order.GetKind() {
		return nil, invalidTicketError()
	}
	if t.VM != m.table.self.vm {
		return nil, outcome.Unknown(pb.Reason_REASON_UNREACHABLE, stepTicket, "the ticket is another gather's").WithPeer(t.VM).WithRetryAfter(m.cfg.RetryAfter)
	}
	if t.Incarnation != m.table.self.incarnation {
		return t, outcome.Unknown(pb.Reason_REASON_INCARNATION_GONE, stepTicket, "the ticket is of another incarnation")
	}
	if !m.minter.Check(t) {
		return nil, invalidTicketError()
	}
	return t, nil
}

// resolveEarlier resolves a ticket of an earlier incarnation of this VM's gather, for an entry that
// does not know yet that the gather has restarted.
func (m *Manager) resolveEarlier(ctx context.Context, t *ticket.Ticket, order *pb.OrderRequest, requester *pb.Identity) (*pb.GatherOrderResponse, error) {
	resp, err := m.resolver.ResolveOrder(ctx, t, requester.GetCaller(), order, requester.GetRequestId())
	m.metrics.countSend(nil, resp, err)
	if err != nil {
		return nil, err
	}
	return &pb.GatherOrderResponse{Identity: requester, Order: resp}, nil
}

func invalidTicketError() *outcome.Error {
	return outcome.NotRun(pb.Reason_REASON_TICKET_INVALID, stepTicket, "the ticket can't be used for this order")
}

func (m *Manager) send(ctx context.Context, t *ticket.Ticket, order *pb.OrderRequest, requester *pb.Identity) (*pb.OrderResponse, error) {
	e, v := m.table.begin(t.Sequence, Digest(order))
	switch v {
	case verdictEvicted:
		return nil, outcome.Unknown(pb.Reason_REASON_TICKET_EXPIRED, stepTicket, "the ticket's record is no longer held")
	case verdictReused:
		return nil, outcome.NotRun(pb.Reason_REASON_TICKET_REUSED, stepTicket, "the ticket is taken by another order")
	case verdictExpired:
		m.end(t, e, outcome.NotRun(pb.Reason_REASON_TICKET_EXPIRED, stepTicket, "take a new ticket"))
	case verdictSealed:
		m.end(t, e, outcome.NotRun(pb.Reason_REASON_SEALED, stepTicket, "this gather is leaving, take a new ticket").WithRetryAfter(m.cfg.RetryAfter))
	case verdictStart:
		go m.runOrder(t, e, order, requester)
	}
	return m.await(ctx, e, requester.GetRequestId(), v == verdictJoin)
}

// await returns the answer from the final record of the entry. If there is no record shortly before
// the end of ctx, it returns that the order is still running.
func (m *Manager) await(ctx context.Context, e *entry, requestID string, replayed bool) (*pb.OrderResponse, error) {
	ctx, cancel := withAnswerReserve(ctx)
	defer cancel()
	select {
	case <-e.done:
	default:
		select {
		case <-e.done:
		case <-ctx.Done():
			return nil, m.stillRunningError(ctx)
		}
	}
	return Replay(m.table.recordOf(e), requestID, replayed)
}

// withAnswerReserve ends the context early enough for an answer to reach the caller in time.
func withAnswerReserve(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline.Add(-answerReserve(time.Until(deadline))))
}

// answerReserve returns how much of the remaining time is reserved for the answer to travel back.
func answerReserve(remaining time.Duration) time.Duration {
	return min(max(minAnswerReserve, remaining/answerReserveDivisor), remaining/maxAnswerReserveDivisor)
}

func (m *Manager) stillRunningError(ctx context.Context) *outcome.Error {
	reason := pb.Reason_REASON_DEADLINE
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = pb.Reason_REASON_CANCELLED
	}
	return outcome.Unknown(reason, stepWait, "still running, come back with the same ticket").WithRetryAfter(m.cfg.RetryAfter)
}

// end makes the error the final record of a ticket whose order won't run.
func (m *Manager) end(t *ticket.Ticket, e *entry, end *outcome.Error) {
	m.finish(t, e, finalRecord(m.table.ticketID(t.Sequence), e, end))
}

func (m *Manager) finish(t *ticket.Ticket, e *entry, r *pb.TicketRecord) {
	m.metrics.countRecord(t, r)
	m.table.finish(e, r)
}
