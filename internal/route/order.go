package route

import (
	"context"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

const orderStep = "entry.order"

// ParseTicket reads the text form of a ticket; ticket.Parse in the running process.
type ParseTicket func(text string) (*ticket.Ticket, error)

// TicketResolver asks the peers of a gather that can't be reached what became of a ticket. It
// returns the recorded answer, or an *outcome.Error: not_run where the ticket is sealed, unknown
// where the order may have run or nothing is known.
type TicketResolver interface {
	Resolve(ctx context.Context, t *ticket.Ticket, caller string) (*pb.OrderResponse, error)
}

// Order brings an order to the gather incarnation that its ticket names, never to another. Errors
// are *outcome.Error.
func (r *Router) Order(ctx context.Context, q Request, req *pb.OrderRequest) (*pb.OrderResponse, error) {
	if req.GetTicket() == "" {
		return nil, outcome.NotRun(pb.Reason_REASON_NO_TICKET, orderStep, "an order needs a ticket of IssueTicket")
	}
	t, err := r.o.Parse(req.GetTicket())
	if err != nil {
		return nil, outcome.NotRun(pb.Reason_REASON_TICKET_INVALID, orderStep, "the ticket can't be read")
	}
	g, here := minter(q.View.VMs, t)
	if !here {
		return r.resolve(ctx, q, t, r.gone(t))
	}
	var res *pb.GatherOrderResponse
	ce := r.at(ctx, q, g, func(ctx context.Context, c burdockv1connect.GatherServiceClient) (err error) {
		res, err = c.Order(ctx, &pb.GatherOrderRequest{Identity: q.Identity, Order: req})
		return err
	})
	switch {
	case ce == nil && !r.echoed(q, res.GetIdentity(), res.GetOrder().GetRequestId()):
		return nil, mismatch(pb.OutcomeKind_OUTCOME_KIND_UNKNOWN, g)
	case ce == nil:
		return res.GetOrder(), nil
	case ce.typed != nil:
		return nil, ce.typed
	case ended(ctx, ce.err) != pb.Reason_REASON_UNSPECIFIED:
		return nil, r.cutShort(ctx, g, ce)
	}
	return r.resolve(ctx, q, t, r.unreachable(pb.OutcomeKind_OUTCOME_KIND_UNKNOWN, g.VM,
		"the gather that holds the ticket can't be reached; come back with the same ticket").Because(ce.err))
}

// minter returns the gather that minted the ticket, if that incarnation still runs as far as the
// membership says. One that drains still answers for its tickets.
func minter(vms []*pb.Vm, t *ticket.Ticket) (Gather, bool) {
	vm := findVM(vms, t.VM)
	if vm == nil || vm.GetState() == pb.VmState_VM_STATE_GONE {
		return Gather{}, false
	}
	g, ok := gatherOf(vm)
	if !ok || g.Incarnation != t.Incarnation || g.State == pb.ProcessState_PROCESS_STATE_GONE {
		return Gather{}, false
	}
	return g, true
}

// resolve asks the ticket's peers; otherwise is the outcome where they know nothing.
func (r *Router) resolve(ctx context.Context, q Request, t *ticket.Ticket, otherwise *outcome.Error) (*pb.OrderResponse, error) {
	res, err := r.o.Resolver.Resolve(ctx, t, q.Identity.GetCaller())
	if err == nil {
		r.metrics.resolved.WithLabelValues(q.Service.Name, "recorded").Inc()
		return res, nil
	}
	e, ok := outcome.As(err)
	if ok && decides(e) {
		r.metrics.resolved.WithLabelValues(q.Service.Name, outcome.ReasonName(e.Reason)).Inc()
		return nil, e
	}
	r.metrics.resolved.WithLabelValues(q.Service.Name, "nothing_known").Inc()
	return nil, otherwise.Because(err)
}

// decides tells whether a peer's word about a ticket is one, and not only that it could not be asked.
func decides(e *outcome.Error) bool {
	return e.Reason != pb.Reason_REASON_UNREACHABLE && e.Reason != pb.Reason_REASON_INTERNAL
}

// gone is the final outcome of an order whose gather incarnation has ended.
func (r *Router) gone(t *ticket.Ticket) *outcome.Error {
	return outcome.Unknown(pb.Reason_REASON_INCARNATION_GONE, orderStep,
		"the gather that held the ticket has ended and no record of the order was found").At(t.VM)
}

// cutShort is the outcome of an order whose caller's time ended while the gather had it: it may have
// run, and the same ticket tells.
func (r *Router) cutShort(ctx context.Context, g Gather, ce *callError) *outcome.Error {
	kind := pb.OutcomeKind_OUTCOME_KIND_UNKNOWN
	if ce.notTaken {
		kind = pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	}
	e := &outcome.Error{
		Kind: kind, Reason: ended(ctx, ce.err), Step: orderStep, Peer: g.VM,
		Message: "the time ended before the gather answered; come back with the same ticket",
	}
	return e.After(r.comeBack()).Because(ce.err)
}

// NoPeers is a TicketResolver that can ask nobody.
type NoPeers struct{}

// Resolve implements TicketResolver.
func (NoPeers) Resolve(context.Context, *ticket.Ticket, string) (*pb.OrderResponse, error) {
	return nil, outcome.Unknown(pb.Reason_REASON_UNREACHABLE, orderStep, "no peer of the ticket can be asked")
}
