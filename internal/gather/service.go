package gather

import (
	"context"

	"connectrpc.com/connect"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// Step names this duty in outcomes.
const Step = "gather.service"

// Searcher answers searches; *search.Engine implements it.
type Searcher interface {
	Search(ctx context.Context, identity *pb.Identity, req *pb.SearchRequest) (*pb.SearchResponse, error)
}

// Orders mints tickets and executes orders.
type Orders interface {
	IssueTicket(context.Context, *pb.GatherIssueTicketRequest) (*pb.GatherIssueTicketResponse, error)
	Order(context.Context, *pb.GatherOrderRequest) (*pb.GatherOrderResponse, error)
}

// Service implements GatherService. The Admitter must admit each request first.
type Service struct {
	admitter *Admitter
	search   Searcher
	orders   Orders
	metrics  *Metrics
}

var _ burdockv1connect.GatherServiceHandler = (*Service)(nil)

// NewService returns a service whose requests the Admitter admits.
func NewService(admitter *Admitter, s Searcher, o Orders, m *Metrics) *Service {
	return &Service{admitter: admitter, search: s, orders: o, metrics: m}
}

// Search implements GatherService.
func (s *Service) Search(ctx context.Context, req *pb.GatherSearchRequest) (*pb.GatherSearchResponse, error) {
	id := req.GetIdentity()
	leave, err := s.admitter.Admit(ctx, id, req.GetSearch().GetService())
	if err != nil {
		return nil, s.connectError(err, pb.OutcomeKind_OUTCOME_KIND_FAILED, id)
	}
	defer leave()
	a, err := s.search.Search(ctx, id, req.GetSearch())
	if err != nil {
		return nil, s.connectError(err, pb.OutcomeKind_OUTCOME_KIND_FAILED, id)
	}
	return &pb.GatherSearchResponse{Identity: id, Search: a}, nil
}

// IssueTicket implements GatherService.
func (s *Service) IssueTicket(ctx context.Context, req *pb.GatherIssueTicketRequest) (*pb.GatherIssueTicketResponse, error) {
	id := req.GetIdentity()
	leave, err := s.admitter.Admit(ctx, id, req.GetTicket().GetService())
	if err != nil {
		return nil, s.connectError(err, pb.OutcomeKind_OUTCOME_KIND_FAILED, id)
	}
	defer leave()
	res, err := s.orders.IssueTicket(ctx, req)
	if err != nil {
		return nil, s.connectError(err, pb.OutcomeKind_OUTCOME_KIND_FAILED, id)
	}
	return res, nil
}

// Order implements GatherService. Resends are answered even while draining. Only the gather that
// keeps the order's ticket knows whether the order may run and whether it has run.
func (s *Service) Order(ctx context.Context, req *pb.GatherOrderRequest) (*pb.GatherOrderResponse, error) {
	leave := s.admitter.AdmitOrder()
	defer leave()
	res, err := s.orders.Order(ctx, req)
	if err != nil {
		return nil, s.connectError(err, pb.OutcomeKind_OUTCOME_KIND_UNKNOWN, req.GetIdentity())
	}
	return res, nil
}

// connectError counts the failed request and returns the connect error of its outcome. An error
// without an outcome gets the given kind, which must not claim more than is known.
func (s *Service) connectError(err error, kind pb.OutcomeKind, id *pb.Identity) *connect.Error {
	e := outcome.Classify(err, kind, Step)
	s.metrics.refused.WithLabelValues(outcome.KindName(e.Kind), outcome.ReasonName(e.Reason)).Inc()
	return outcome.ToConnect(e, id.GetRequestId())
}
