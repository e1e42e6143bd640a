package order

import (
	"context"

	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

const stepResolve = "order.resolve"

// Resolver determines the outcome of a ticket whose gather can't be reached. It is safe for
// concurrent use.
type Resolver struct {
	cfg    Config
	source feed.Source
	peers  Peers
}

// NewResolver returns a Resolver that reads the view of source.
func NewResolver(cfg Config, source feed.Source, peers Peers) *Resolver {
	return &Resolver{cfg: cfg, source: source, peers: peers}
}

// Resolve returns the recorded answer of the ticket's order, or its outcome as an *outcome.Error:
// not_run if the order certainly never runs, unknown with a retry delay if more may be known later,
// and unknown without one if not.
func (r *Resolver) Resolve(ctx context.Context, t *ticket.Ticket, caller string) (*pb.OrderResponse, error) {
	return r.ResolveOrder(ctx, t, caller, nil, "")
}

// ResolveOrder is Resolve for one send: if order differs from the ticket's order the outcome is
// not_run, and the answer carries requestID. If order is nil, the orders are not compared.
func (r *Resolver) ResolveOrder(ctx context.Context, t *ticket.Ticket, caller string, order *pb.OrderRequest, requestID string) (*pb.OrderResponse, error) {
	if t.Caller != caller || (order != nil && (t.Service != order.GetService() || t.Kind != order.GetKind())) {
		return nil, invalidTicketError()
	}
	view := r.source.Current()
	q := &query{r: r, view: view, t: t, minterEnded: minterEnded(view, t)}
	resp := q.find(ctx)
	switch resp.GetState() {
	case pb.TicketState_TICKET_STATE_DONE:
		return replayResolved(resp.GetRecord(), order, requestID)
	case pb.TicketState_TICKET_STATE_SEALED:
		return nil, outcome.NotRun(pb.Reason_REASON_SEALED, stepResolve, "the ticket is sealed, take a new one").WithPeer(t.VM)
	}
	return nil, q.undecidedError(resp.GetState())
}

func replayResolved(rec *pb.TicketRecord, order *pb.OrderRequest, requestID string) (*pb.OrderResponse, error) {
	if order != nil && rec.GetOrderDigest() != Digest(order) {
		return nil, outcome.NotRun(pb.Reason_REASON_TICKET_REUSED, stepResolve, "the ticket is taken by another order")
	}
	return Replay(rec, requestID, true)
}

// query determines the outcome of one ticket.
type query struct {
	r    *Resolver
	view *feed.View
	t    *ticket.Ticket
	// minterEnded is true if the minting incarnation has ended. incomplete is true if a witness or
	// peer that may know more could not be asked.
	minterEnded bool
	incomplete  bool
}

// find asks the witness first, then the peers that may hold the records of a handover. Only after
// both does it close an intent without an outcome at the witness.
func (q *query) find(ctx context.Context) *pb.ResolveResponse {
	noted := q.askWitness(ctx, false)
	if decided(noted) {
		return noted
	}
	handed := q.askPeers(ctx)
	if decided(handed) {
		return handed
	}
	if q.minterEnded && !q.incomplete && noted.GetState() == pb.TicketState_TICKET_STATE_INTENT {
		return q.askWitness(ctx, true)
	}
	if noted.GetState() == pb.TicketState_TICKET_STATE_INTENT {
		return noted
	}
	return handed
}

// askWitness asks the witness, if it still runs in the incarnation that the ticket names.
func (q *query) askWitness(ctx context.Context, minterEnded bool) *pb.ResolveResponse {
	vm := findVM(q.view, q.t.WitnessVM)
	if !q.t.HasWitness() || vm == nil || incarnationEnded(vm, q.t.WitnessIncarnation) {
		return notKnown()
	}
	if vm.GetState() == pb.VmState_VM_STATE_GONE {
		q.incomplete = true // the witness may run on the other side of a network partition
		return notKnown()
	}
	req := q.request()
	req.WitnessIncarnation = q.t.WitnessIncarnation
	req.MinterGone = minterEnded
	resp := q.resolveAt(ctx, vm, req)
	q.incomplete = q.incomplete || resp == nil
	return resp
}

// askPeers asks all peers concurrently and returns the first answer that decides, else an intent if
// a peer has one.
func (q *query) askPeers(ctx context.Context) *pb.ResolveResponse {
	targets := resolveTargets(q.view, identity{q.t.VM, q.t.Incarnation})
	answers := make(chan *pb.ResolveResponse, len(targets))
	for _, vm := range targets {
		go func() { answers <- q.resolveAt(ctx, vm, q.request()) }()
	}
	best := notKnown()
	for range targets {
		a := <-answers
		if decided(a) {
			return a
		}
		q.incomplete = q.incomplete || a == nil
		if a.GetState() == pb.TicketState_TICKET_STATE_INTENT {
			best = a
		}
	}
	return best
}

// resolveAt returns nil if the peer can't be reached.
func (q *query) resolveAt(ctx context.Context, vm *pb.Vm, req *pb.ResolveRequest) *pb.ResolveResponse {
	ctx, cancel := context.WithTimeout(ctx, q.r.cfg.PeerTimeout)
	defer cancel()
	resp, err := q.r.peers.Peer(vm).Resolve(ctx, req)
	if err != nil {
		return nil
	}
	return resp
}

func (q *query) request() *pb.ResolveRequest {
	return &pb.ResolveRequest{
		Ticket:  &pb.TicketId{Vm: q.t.VM, Incarnation: q.t.Incarnation, Sequence: q.t.Sequence},
		Expires: timestamppb.New(q.t.Expires), Caller: q.t.Caller,
	}
}

// undecidedError returns an unknown outcome. It is final if neither the gather nor a witness or
// peer can ever know more.
func (q *query) undecidedError(s pb.TicketState) *outcome.Error {
	if !q.minterEnded || q.incomplete {
		return outcome.Unknown(pb.Reason_REASON_UNREACHABLE, stepResolve,
			"the ticket's gather can't be asked now, come back with the same ticket").WithPeer(q.t.VM).WithRetryAfter(q.r.cfg.RetryAfter)
	}
	message := "the ticket's gather has ended and left no record"
	if s == pb.TicketState_TICKET_STATE_INTENT {
		message = "the ticket's gather ended with the order under way, it may have run"
	}
	return outcome.Unknown(pb.Reason_REASON_INCARNATION_GONE, stepResolve, "%s", message).WithPeer(q.t.VM)
}

func decided(r *pb.ResolveResponse) bool {
	return r.GetState() == pb.TicketState_TICKET_STATE_DONE || r.GetState() == pb.TicketState_TICKET_STATE_SEALED
}

// minterEnded reports whether the view shows that the minting incarnation has ended. A VM that is
// no longer listed counts as ended, because addresses and VMs are replaced at any time. A listed VM
// that can't be reached may run on the other side of a network partition and answer once the
// partition heals.
func minterEnded(v *feed.View, t *ticket.Ticket) bool {
	vm := findVM(v, t.VM)
	if vm == nil {
		return len(v.VMs) > 0
	}
	return incarnationEnded(vm, t.Incarnation)
}
