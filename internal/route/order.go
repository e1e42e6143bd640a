package route

import (
	"context"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

const orderStep = "entry.order"

// ParseTicket parses the text form of a ticket; it is ticket.Parse in the running process.
type ParseTicket func(text string) (*ticket.Ticket, error)

// TicketResolver finds out what became of a ticket whose gather can't be called, from the witness and the
// peers of that gather. It returns the recorded answer, or an *outcome.Error: not_run where the order
// certainly never runs, unknown with a retry-after time where more may be known later, and unknown without
// one where nothing more will be known. *order.Resolver implements it.
type TicketResolver interface {
	ResolveOrder(ctx context.Context, t *ticket.Ticket, caller string, order *pb.OrderRequest, requestID string) (*pb.OrderResponse, error)
}

// Order sends an order to the gather of the VM that its ticket names, never to another. That gather runs
// it only if it is the incarnation that the ticket names. Where it can't be called, the ticket's peers are
// called instead to resolve the ticket. Errors are *outcome.Error.
func (r *Router) Order(ctx context.Context, q Request, req *pb.OrderRequest) (*pb.OrderResponse, error) {
	if req.GetTicket() == "" {
		return nil, outcome.NotRun(pb.Reason_REASON_NO_TICKET, orderStep, "an order needs a ticket of IssueTicket")
	}
	t, err := r.options.Parse(req.GetTicket())
	if err != nil {
		return nil, outcome.NotRun(pb.Reason_REASON_TICKET_INVALID, orderStep, "the ticket can't be read")
	}
	g, found := minter(q.View.VMs, t)
	if !found {
		return r.resolve(ctx, q, t, req)
	}
	var res *pb.GatherOrderResponse
	ce := r.callGather(ctx, q, g, func(ctx context.Context, c burdockv1connect.GatherServiceClient) (err error) {
		res, err = c.Order(ctx, &pb.GatherOrderRequest{Identity: q.Identity, Order: req})
		return err
	})
	switch {
	case ce == nil && !r.echoed(q, res.GetIdentity(), res.GetOrder().GetRequestId()):
		return nil, mismatch(pb.OutcomeKind_OUTCOME_KIND_UNKNOWN, g)
	case ce == nil:
		return res.GetOrder(), nil
	case ce.outcome != nil:
		return nil, ce.outcome
	case contextReason(ctx, ce.err) != pb.Reason_REASON_UNSPECIFIED:
		return nil, r.interrupted(ctx, g, ce)
	}
	return r.resolve(ctx, q, t, req)
}

// minter returns the gather of the VM that minted the ticket, and false where the membership shows that it
// has ended. A draining gather still answers for its tickets. Where the view shows another incarnation, or
// none yet, the view may lag, so the gather itself decides.
func minter(vms []*pb.Vm, t *ticket.Ticket) (Gather, bool) {
	vm := findVM(vms, t.VM)
	if vm == nil || vm.GetState() == pb.VmState_VM_STATE_GONE {
		return Gather{}, false
	}
	g, ok := gatherOf(vm)
	if !ok {
		g = gatherAt(vm, t.Incarnation)
	}
	return g, g.State != pb.ProcessState_PROCESS_STATE_GONE
}

// resolve resolves the ticket through its peers and counts the result.
func (r *Router) resolve(ctx context.Context, q Request, t *ticket.Ticket, req *pb.OrderRequest) (*pb.OrderResponse, error) {
	res, err := r.options.Resolver.ResolveOrder(ctx, t, q.Identity.GetCaller(), req, q.Identity.GetRequestId())
	if err == nil {
		r.metrics.resolved.WithLabelValues(q.Service.Name, "recorded").Inc()
		return res, nil
	}
	e := outcome.Classify(err, pb.OutcomeKind_OUTCOME_KIND_UNKNOWN, orderStep)
	r.metrics.resolved.WithLabelValues(q.Service.Name, outcome.ReasonName(e.Reason)).Inc()
	return nil, e
}

// interrupted returns the outcome of an order whose context ended during the call to the gather. The order
// may have run; a retry with the same ticket shows it.
func (r *Router) interrupted(ctx context.Context, g Gather, ce *callError) *outcome.Error {
	kind := pb.OutcomeKind_OUTCOME_KIND_UNKNOWN
	if ce.notTaken {
		kind = pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	}
	e := &outcome.Error{
		Kind: kind, Reason: contextReason(ctx, ce.err), Step: orderStep, Peer: g.VM,
		Message: "the time ended before the gather answered; come back with the same ticket",
	}
	return e.WithRetryAfter(r.retryAfter()).WithCause(ce.err)
}
