package order

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

const stepIssue = "order.issue"

// IssueTicket mints a ticket for the caller. Errors are *outcome.Error, all not_run.
func (m *Manager) IssueTicket(ctx context.Context, req *pb.GatherIssueTicketRequest) (*pb.GatherIssueTicketResponse, error) {
	request, requester := req.GetTicket(), req.GetIdentity()
	t, outcomeErr := m.issue(ctx, request, requester.GetCaller())
	m.metrics.countIssue(request, outcomeErr)
	if outcomeErr != nil {
		return nil, outcomeErr
	}
	return &pb.GatherIssueTicketResponse{
		Identity: requester,
		Ticket: &pb.IssueTicketResponse{
			Ticket: t.Text(), Expires: timestamppb.New(t.Expires), RequestId: requester.GetRequestId(),
		},
	}, nil
}

func (m *Manager) issue(ctx context.Context, request *pb.IssueTicketRequest, caller string) (*ticket.Ticket, *outcome.Error) {
	view := m.source.Current()
	if _, outcomeErr := orderKind(view, request.GetService(), request.GetKind(), stepIssue); outcomeErr != nil {
		return nil, outcomeErr
	}
	if !m.source.Fresh() {
		return nil, outcome.NotRun(pb.Reason_REASON_PAUSED, stepIssue, "no fresh news of the fleet").WithRetryAfter(m.cfg.RetryAfter)
	}
	if m.draining.Load() {
		return nil, outcome.NotRun(pb.Reason_REASON_DRAINING, stepIssue, "this gather is leaving").WithRetryAfter(m.cfg.RetryAfter)
	}
	if reason := m.table.limitReached(caller); reason != pb.Reason_REASON_UNSPECIFIED {
		return nil, outcome.NotRun(reason, stepIssue, "too many tickets held").WithRetryAfter(m.cfg.TTL)
	}
	return m.mint(ctx, request, caller)
}

func (m *Manager) mint(ctx context.Context, request *pb.IssueTicketRequest, caller string) (*ticket.Ticket, *outcome.Error) {
	w := m.waitForWitness(ctx)
	expires := m.table.clock.Since() + m.cfg.TTL
	g := ticket.Grant{
		Expires: m.table.clock.WallTime(expires),
		Caller:  caller, Service: request.GetService(), Kind: request.GetKind(),
	}
	if w != nil {
		g.WitnessVM, g.WitnessIncarnation = w.GetId(), gatherOf(w).GetIncarnation()
	}
	t, ok := m.minter.Mint(g)
	if !ok || !m.table.add(t.Sequence, caller, expires) {
		return nil, outcome.NotRun(pb.Reason_REASON_DRAINING, stepIssue, "this gather issues no more tickets").WithRetryAfter(m.cfg.RetryAfter)
	}
	return t, nil
}

// waitForWitness picks the witness of a new ticket, or returns nil if there is none. Until
// WitnessWait after the start it waits for a witness if the view holds other VMs.
func (m *Manager) waitForWitness(ctx context.Context) *pb.Vm {
	for {
		changed, view := m.source.Changed(), m.source.Current()
		w := m.witnessSelector.Pick(view)
		remaining := m.cfg.WitnessWait - m.table.clock.Since()
		if w != nil || remaining <= 0 || len(view.VMs) < 2 || ctx.Err() != nil {
			return w
		}
		t := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// orderKind returns the kind from the bundle in force. It is an error if the kind is not an order
// kind.
func orderKind(view *feed.View, service, kind, step string) (*bundle.Kind, *outcome.Error) {
	if view.Bundle == nil {
		return nil, outcome.NotRun(pb.Reason_REASON_NO_BUNDLE, step, "no bundle in force yet")
	}
	svc := view.Bundle.Services[service]
	if svc == nil {
		return nil, outcome.NotRun(pb.Reason_REASON_UNKNOWN_SERVICE, step, "service is not in the bundle")
	}
	k := svc.Kinds[kind]
	if k == nil || k.Mode != bundle.ModeOrder {
		return nil, outcome.NotRun(pb.Reason_REASON_INVALID_REQUEST, step, "kind is not one of orders")
	}
	return k, nil
}
