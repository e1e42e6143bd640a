package route

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// Request is what every hop knows about a request besides its message.
type Request struct {
	Identity *pb.Identity
	Service  *bundle.Service
	// View is the view with which the request was authenticated; it is used until the request ends. AsOf
	// is a time before View was taken.
	View *feed.View
	AsOf time.Time
}

// Options holds the dependencies of a Router, which tests replace, and its reply margin.
type Options struct {
	Dial Dial
	// FreshSince is the method of the feed.Source.
	FreshSince func(t time.Time) bool
	Parse      ParseTicket
	Resolver   TicketResolver
	Clock      Clock
	Random     Random
	// ReplyMargin is subtracted from the deadline given to a gather, so that its answer arrives before
	// the caller's own deadline.
	ReplyMargin time.Duration
}

// Router sends requests to gathers. It is safe for concurrent use.
type Router struct {
	options    Options
	table      *statsTable
	budget     *budget
	metrics    *metrics
	candidates candidateCache
	// pruned is the view with which the table was last pruned.
	pruned atomic.Pointer[feed.View]
}

// New returns a Router without stats of gathers that registers its metrics with reg.
func New(reg prometheus.Registerer, o Options) *Router {
	return &Router{options: o, table: newStatsTable(), budget: newBudget(), metrics: newMetrics(reg)}
}

// Search sends a search to one gather of the service's subset. Errors are *outcome.Error.
func (r *Router) Search(ctx context.Context, q Request, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	var res *pb.GatherSearchResponse
	g, err := r.forward(ctx, q, pb.OutcomeKind_OUTCOME_KIND_FAILED, func(ctx context.Context, c burdockv1connect.GatherServiceClient) (err error) {
		res, err = c.Search(ctx, &pb.GatherSearchRequest{Identity: q.Identity, Search: req})
		return err
	})
	if err != nil {
		return nil, err
	}
	if !r.echoed(q, res.GetIdentity(), res.GetSearch().GetRequestId()) {
		return nil, mismatch(pb.OutcomeKind_OUTCOME_KIND_FAILED, g)
	}
	return res.GetSearch(), nil
}

// IssueTicket requests a ticket from any ready gather of the subset. Errors are *outcome.Error.
func (r *Router) IssueTicket(ctx context.Context, q Request, req *pb.IssueTicketRequest) (*pb.IssueTicketResponse, error) {
	var res *pb.GatherIssueTicketResponse
	g, err := r.forward(ctx, q, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, func(ctx context.Context, c burdockv1connect.GatherServiceClient) (err error) {
		res, err = c.IssueTicket(ctx, &pb.GatherIssueTicketRequest{Identity: q.Identity, Ticket: req})
		return err
	})
	if err != nil {
		return nil, err
	}
	if !r.echoed(q, res.GetIdentity(), res.GetTicket().GetRequestId()) {
		return nil, mismatch(pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, g)
	}
	return res.GetTicket(), nil
}

// call is one call to a gather's client.
type call func(ctx context.Context, c burdockv1connect.GatherServiceClient) error

// maxSends bounds how often one request is sent while its connections go silent.
const maxSends = 4

// forward makes the call to a chosen gather. It makes it once more, to another gather where there is one,
// if the first certainly did not accept it or the connection ended before its answer arrived, and again
// for each connection that goes silent: searches and requests for tickets may run twice.
// unansweredKind is the outcome kind of a call that a gather may have accepted and did not answer.
func (r *Router) forward(ctx context.Context, q Request, unansweredKind pb.OutcomeKind, fn call) (Gather, error) {
	r.budget.earn()
	r.prune(q.View)
	gathers := r.candidates.of(q.View, q.Service)
	g, ok := choose(r.table, q.Service.Name, gathers, "", r.options.Clock(), r.options.Random)
	if !ok {
		return g, r.unreachable(pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, "", "no gather is ready")
	}
	ce := r.send(ctx, q, g, fn)
	mayHaveRun, retried := false, false
	for sends := 1; ce != nil && sends < maxSends && ce.retryable(ctx, retried); sends++ {
		retried = retried || !ce.silent
		next, ok := r.nextGather(q, gathers, g, ce)
		if !ok {
			break
		}
		mayHaveRun = mayHaveRun || !ce.notTaken
		g = next
		ce = r.send(ctx, q, g, fn)
	}
	if ce == nil {
		return g, nil
	}
	end := r.finalOutcome(ctx, g, ce, unansweredKind)
	if mayHaveRun && end.Kind == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN {
		// The last gather did not run it, but an earlier one may have.
		end.Kind = unansweredKind
	}
	return g, end
}

// prune drops the stats of VMs that are not in the view, once for each view.
func (r *Router) prune(v *feed.View) {
	if r.pruned.Swap(v) == v {
		return
	}
	ids := make(map[string]bool, len(v.VMs))
	for _, vm := range v.VMs {
		ids[vm.GetId()] = true
	}
	r.table.prune(ids)
}

// nextGather returns the gather for one more call after one to tried that ended with ce. It is another
// gather of the given ones, or one of another zone where they have none. Where there is no other either,
// and only the connection broke, it is the same gather again, over a new connection. A retry after an
// silent connection takes nothing from the budget, because such a connection loses only the calls
// that are in flight at that moment.
func (r *Router) nextGather(q Request, gathers []Gather, tried Gather, ce *callError) (Gather, bool) {
	g, ok := choose(r.table, q.Service.Name, gathers, tried.VM, r.options.Clock(), r.options.Random)
	if !ok {
		g, ok = choose(r.table, q.Service.Name, inOtherZones(q, tried), tried.VM, r.options.Clock(), r.options.Random)
	}
	if !ok && ce.broken() && !ce.notTaken {
		g, ok = tried, true
	}
	if !ok {
		return g, false
	}
	if !ce.silent && !r.budget.take() {
		r.metrics.reroutes.WithLabelValues(q.Service.Name, "no_budget").Inc()
		return g, false
	}
	r.metrics.reroutes.WithLabelValues(q.Service.Name, "sent").Inc()
	return g, true
}

// inOtherZones returns the ready gathers of the zones other than that of the gather already tried.
func inOtherZones(q Request, tried Gather) []Gather {
	var vms []*pb.Vm
	for _, vm := range q.View.VMs {
		if vm.GetZone() != tried.Zone {
			vms = append(vms, vm)
		}
	}
	return candidates(q.Service, tried.Zone, vms)
}

// send makes the call to one gather, unless the process was paused after the request was authenticated: the
// caller may have lost its token meanwhile, and gathers may have left.
func (r *Router) send(ctx context.Context, q Request, g Gather, fn call) *callError {
	if !r.options.FreshSince(q.AsOf) {
		return pausedError()
	}
	return r.callGather(ctx, q, g, fn)
}

// callGather makes the call to one gather and records it in the gather's stats.
func (r *Router) callGather(ctx context.Context, q Request, g Gather, fn call) *callError {
	s := r.table.of(q.Service.Name, g)
	s.begin()
	start := r.options.Clock()
	cctx, cancel := r.withReplyMargin(ctx)
	defer cancel()
	ce := classify(fn(cctx, r.options.Dial(g.Address)))
	now := r.options.Clock()
	s.end(now, now.Sub(start), resultOf(ctx, ce))
	return ce
}

// marginDivisor bounds the reply margin to that fraction of the remaining time.
const marginDivisor = 10

// withReplyMargin returns ctx with its deadline earlier by the reply margin.
func (r *Router) withReplyMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	remaining := deadline.Sub(r.options.Clock())
	return context.WithDeadline(ctx, deadline.Add(-min(r.options.ReplyMargin, remaining/marginDivisor)))
}

// finalOutcome converts the failure of the last call to the outcome for the caller.
func (r *Router) finalOutcome(ctx context.Context, g Gather, ce *callError, unansweredKind pb.OutcomeKind) *outcome.Error {
	if ce.outcome != nil {
		return ce.outcome
	}
	kind := unansweredKind
	if ce.notTaken {
		kind = pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	}
	if reason := contextReason(ctx, ce.err); reason != pb.Reason_REASON_UNSPECIFIED {
		return (&outcome.Error{Kind: kind, Reason: reason, Step: Step}).WithPeer(g.VM).WithCause(ce.err)
	}
	return r.unreachable(kind, g.VM, "the gather can't be reached").WithCause(ce.err)
}

// unreachable returns the outcome of a request whose gather can't be reached, with a retry-after time.
func (r *Router) unreachable(kind pb.OutcomeKind, vm, message string) *outcome.Error {
	e := &outcome.Error{Kind: kind, Reason: pb.Reason_REASON_UNREACHABLE, Step: Step, Message: message}
	return e.WithPeer(vm).WithRetryAfter(r.retryAfter())
}

// retryAfter returns a retry-after time with jitter.
func (r *Router) retryAfter() time.Duration {
	return unreachableRetryAfter + time.Duration(r.options.Random(int(unreachableJitter/time.Millisecond)))*time.Millisecond
}

// echoed reports whether an answer belongs to the request: the gather must repeat the request's id and
// caller. It counts a mismatch.
func (r *Router) echoed(q Request, got *pb.Identity, inner string) bool {
	ok := got.GetRequestId() == q.Identity.GetRequestId() && got.GetCaller() == q.Identity.GetCaller()
	ok = ok && (inner == "" || inner == q.Identity.GetRequestId())
	if !ok {
		r.metrics.mismatches.WithLabelValues(q.Service.Name).Inc()
	}
	return ok
}

// mismatch returns the outcome of a call whose answer belongs to another request.
func mismatch(kind pb.OutcomeKind, g Gather) *outcome.Error {
	return &outcome.Error{
		Kind: kind, Reason: pb.Reason_REASON_ANSWER_MISMATCH, Step: Step, Peer: g.VM,
		Message: "the gather's answer belongs to another request and was dropped",
	}
}
