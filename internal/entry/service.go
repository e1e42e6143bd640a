package entry

import (
	"context"
	"time"
	"unicode/utf8"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/admission"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/route"
)

const checkFieldsStep = "entry.check"

// service implements burdockv1connect.QueryServiceHandler.
type service struct{ m *Manager }

// Search implements burdockv1connect.QueryServiceHandler.
func (s service) Search(ctx context.Context, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	c := callOf(ctx)
	var res *pb.SearchResponse
	err := s.m.run(ctx, requestWork{
		service: req.GetService(), kind: req.GetKind(), mode: bundle.ModeSearch, unknownEndKind: pb.OutcomeKind_OUTCOME_KIND_FAILED,
		check: func(l bundle.Limits) *outcome.Error { return checkSearch(l, req) },
		forward: func(ctx context.Context, q route.Request) (_ any, err error) {
			res, err = s.m.router.Search(ctx, q, req)
			s.m.answeredVersion.observe(res.GetBundleVersion())
			return res, err
		},
	})
	if err != nil {
		return nil, err
	}
	res.RequestId = c.id
	c.recordAnswer(res)
	return res, nil
}

// IssueTicket implements burdockv1connect.QueryServiceHandler.
func (s service) IssueTicket(ctx context.Context, req *pb.IssueTicketRequest) (*pb.IssueTicketResponse, error) {
	c := callOf(ctx)
	var res *pb.IssueTicketResponse
	err := s.m.run(ctx, requestWork{
		service: req.GetService(), kind: req.GetKind(), mode: bundle.ModeOrder, unknownEndKind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN,
		forward: func(ctx context.Context, q route.Request) (_ any, err error) {
			res, err = s.m.router.IssueTicket(ctx, q, req)
			return res, err
		},
	})
	if err != nil {
		return nil, err
	}
	res.RequestId = c.id
	c.recordEnd(pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE, pb.Reason_REASON_UNSPECIFIED)
	return res, nil
}

// Order implements burdockv1connect.QueryServiceHandler.
func (s service) Order(ctx context.Context, req *pb.OrderRequest) (*pb.OrderResponse, error) {
	c := callOf(ctx)
	var res *pb.OrderResponse
	err := s.m.run(ctx, requestWork{
		service: req.GetService(), kind: req.GetKind(), mode: bundle.ModeOrder, unknownEndKind: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN,
		check: func(l bundle.Limits) *outcome.Error { return checkOrder(l, req) },
		forward: func(ctx context.Context, q route.Request) (_ any, err error) {
			res, err = s.m.router.Order(ctx, q, req)
			return res, err
		},
	})
	if err != nil {
		return nil, err
	}
	res.RequestId = c.id
	c.recordAnswer(res)
	return res, nil
}

// recordAnswer records the outcome of an answer as the end of the request and sets the request id
// in it.
func (c *call) recordAnswer(a interface{ GetOutcome() *pb.Outcome }) {
	o := a.GetOutcome()
	if o != nil {
		o.RequestId = c.id
	}
	c.recordEnd(o.GetKind(), o.GetReason())
}

// requestWork is one decoded request.
type requestWork struct {
	service, kind string
	mode          bundle.Mode
	// unknownEndKind is the outcome of a request whose end the entry does not know.
	unknownEndKind pb.OutcomeKind
	// check refuses values outside the bundle's limits; nil if there is nothing to check.
	check func(bundle.Limits) *outcome.Error
	// forward sends the request to a gather and returns the answer.
	forward func(context.Context, route.Request) (any, error)
}

// run checks, admits and forwards one request. The error is a connect error with the outcome.
func (m *Manager) run(ctx context.Context, w requestWork) error {
	m.drainer.running.Add(1)
	defer m.drainer.running.Add(-1)
	c := callOf(ctx)
	e := m.admitAndForward(ctx, c, w)
	if e == nil {
		return nil
	}
	c.recordError(e)
	return outcome.ToConnect(e, c.id)
}

func (m *Manager) admitAndForward(ctx context.Context, c *call, w requestWork) *outcome.Error {
	svc, kind, e := findKind(c, w)
	if e != nil {
		return e
	}
	c.service, c.kind = svc.Name, kind.Name
	if w.check != nil {
		if e := w.check(c.view.Bundle.Limits); e != nil {
			return e
		}
	}
	ctx, cancel := withDeadline(ctx, c, kind)
	defer cancel()
	m.admission.Prune(c.view.Bundle)
	slot, e := m.admission.Admit(ctx, admission.Request{Service: svc.Name, Kind: kind, Caller: c.caller})
	if e != nil {
		return e
	}
	result := admission.ResultFailed
	defer func() { slot.Done(result) }()
	res, err := w.forward(ctx, route.Request{Identity: c.identity(m.answeredVersion.Load()), Service: svc, View: c.view, AsOf: c.start})
	if err != nil {
		e = outcome.Classify(err, w.unknownEndKind, route.Step)
		result = failureResult(e)
		return e
	}
	result = answerResult(res)
	return nil
}

// failureResult returns what the end of a failed request shows about load.
func failureResult(e *outcome.Error) admission.Result {
	switch e.Reason {
	case pb.Reason_REASON_OVERLOAD, pb.Reason_REASON_QUEUE_FULL:
		return admission.ResultOverload
	case pb.Reason_REASON_DEADLINE:
		return admission.ResultDeadline
	case pb.Reason_REASON_CANCELLED:
		return admission.ResultCancelled
	}
	return admission.ResultFailed
}

// answerResult reports whether an answer lacks shards because of overload.
func answerResult(res any) admission.Result {
	s, ok := res.(*pb.SearchResponse)
	if !ok {
		return admission.ResultOK
	}
	for _, shard := range s.GetCoverage().GetMissing() {
		if shard.GetReason() == pb.Reason_REASON_OVERLOAD {
			return admission.ResultPartialOverload
		}
	}
	return admission.ResultOK
}

// findKind returns the service and kind of the request. A service that the caller may not use looks
// like one that does not exist.
func findKind(c *call, w requestWork) (*bundle.Service, *bundle.Kind, *outcome.Error) {
	svc := c.view.Bundle.Services[w.service]
	if svc == nil || !c.caller.MayUse(w.service) {
		return nil, nil, outcome.NotRun(pb.Reason_REASON_UNKNOWN_SERVICE, checkFieldsStep, "no such service for this caller")
	}
	kind := svc.Kinds[w.kind]
	if kind == nil || kind.Mode != w.mode {
		return nil, nil, outcome.NotRun(pb.Reason_REASON_UNKNOWN_SERVICE, checkFieldsStep, "the service has no such %s kind", w.mode)
	}
	return svc, kind, nil
}

// withDeadline applies the kind's timeout, counted from the request's arrival, if the caller gave
// none.
func withDeadline(ctx context.Context, c *call, kind *bundle.Kind) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	timeout := kind.Timeout
	if maxTimeout := c.view.Bundle.Limits.MaxTimeout; maxTimeout > 0 {
		timeout = min(timeout, maxTimeout)
	}
	return context.WithDeadline(ctx, c.start.Add(timeout))
}

// checkSearch refuses a search outside the limits.
func checkSearch(l bundle.Limits, req *pb.SearchRequest) *outcome.Error {
	if req.GetTopK() < 0 || int(req.GetTopK()) > l.MaxTopK {
		return invalidRequest("top_k must be 0 to %d", l.MaxTopK)
	}
	return checkText(l, "query", req.GetQuery())
}

// checkOrder refuses an order outside the limits.
func checkOrder(l bundle.Limits, req *pb.OrderRequest) *outcome.Error {
	if e := checkText(l, "key", req.GetKey()); e != nil {
		return e
	}
	return checkText(l, "payload", req.GetPayload())
}

// checkText refuses text that is too long or not UTF-8.
func checkText(l bundle.Limits, field, text string) *outcome.Error {
	if len(text) > l.MaxQueryBytes {
		return outcome.NotRun(pb.Reason_REASON_TOO_LARGE, checkFieldsStep, "%s is longer than %d bytes", field, l.MaxQueryBytes)
	}
	if !utf8.ValidString(text) {
		return invalidRequest("%s is not UTF-8", field)
	}
	return nil
}

func invalidRequest(format string, args ...any) *outcome.Error {
	return outcome.NotRun(pb.Reason_REASON_INVALID_REQUEST, checkFieldsStep, format, args...)
}

// pausedRetryAfter is the retry-after time of a process that waits for a bundle or for a fresh
// view.
const pausedRetryAfter = time.Second

// checkAccepting refuses every request while the process drains, has no bundle, or has not heard
// from its sync process recently or since a pause: its view may be outdated.
func (m *Manager) checkAccepting(c *call) *outcome.Error {
	switch {
	case m.drainer.refusing():
		return outcome.NotRun(pb.Reason_REASON_DRAINING, checkRequestStep, "this entry is shutting down").WithRetryAfter(drainRetryAfter)
	case c.view.Bundle == nil:
		return outcome.NotRun(pb.Reason_REASON_NO_BUNDLE, checkRequestStep, "no bundle has been accepted yet").WithRetryAfter(pausedRetryAfter)
	case !m.source.Fresh():
		return outcome.NotRun(pb.Reason_REASON_PAUSED, checkRequestStep, "this entry waits for news of the fleet").WithRetryAfter(pausedRetryAfter)
	}
	return nil
}
