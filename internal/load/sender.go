package load

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/rpc"
)

// Request is one request of a caller; resends of it share the value.
type Request struct {
	Mix      *MixSettings
	Sequence uint64
	// Ticket of an order, empty until one was issued.
	Ticket string
}

// text is what is searched, or the payload of an order.
func (r *Request) text() string {
	if r.Mix.Text != "" {
		return r.Mix.Text
	}
	return fmt.Sprintf("%s %s %d", r.Mix.Service, r.Mix.Kind, r.Sequence)
}

// Reply is how one send of a request ended.
type Reply struct {
	Kind   pb.OutcomeKind
	Reason pb.Reason
	// RetryAfter is when to come back, 0 where the answer didn't say so.
	RetryAfter time.Duration
	// ShardsTotal is the number of shards of the snapshot that answered.
	ShardsTotal uint32
	// Coverage is the share of documents, 0 to 1, of an answered search.
	Coverage float64
	// Replayed is true where an order's outcome was recorded for an earlier send.
	Replayed bool
	// Untyped is true where the error carried no outcome, such as a broken connection.
	Untyped bool
	// Mismatch is true where the answer isn't the one to this request's text.
	Mismatch bool
}

// answered tells whether the caller got what it asked for, whole or in part.
func (r Reply) answered() bool {
	return r.Kind == pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE || r.Kind == pb.OutcomeKind_OUTCOME_KIND_ANSWERED_PARTIAL
}

// Sender sends a request once through the entry of the given index.
type Sender interface {
	Send(ctx context.Context, entry int, r *Request) Reply
}

// ConnectSender speaks connect to entries.
type ConnectSender struct {
	clients []burdockv1connect.QueryServiceClient
}

// NewConnectSender returns a sender for entries at the given IP:PORT addresses. It refuses any
// that isn't on loopback with a *TargetError.
func NewConnectSender(entries []string) (*ConnectSender, error) {
	s := &ConnectSender{}
	client := rpc.NewClient("")
	for _, e := range entries {
		if err := CheckTarget(e); err != nil {
			return nil, err
		}
		s.clients = append(s.clients, burdockv1connect.NewQueryServiceClient(client, "http://"+e))
	}
	return s, nil
}

// Send implements Sender.
func (s *ConnectSender) Send(ctx context.Context, entry int, r *Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, r.Mix.Timeout.D())
	defer cancel()
	ctx, info := connect.NewClientContext(ctx)
	info.RequestHeader().Set("Authorization", "Bearer "+r.Mix.Token)
	if r.Mix.Mode == bundle.ModeOrder {
		return s.order(ctx, s.clients[entry], r)
	}
	return s.search(ctx, s.clients[entry], r)
}

func (s *ConnectSender) search(ctx context.Context, c burdockv1connect.QueryServiceClient, r *Request) Reply {
	text := r.text()
	res, err := c.Search(ctx, &pb.SearchRequest{Service: r.Mix.Service, Kind: r.Mix.Kind, Query: text, TopK: r.Mix.TopK})
	if err != nil {
		return failedReply(err, pb.OutcomeKind_OUTCOME_KIND_FAILED)
	}
	cov := res.GetCoverage()
	reply := Reply{
		Kind: res.GetOutcome().GetKind(), Reason: res.GetOutcome().GetReason(),
		ShardsTotal: cov.GetShardsTotal(),
		Mismatch:    res.GetQueryDigest() != xxhash.Sum64String(text),
	}
	if cov.GetDocumentsTotal() > 0 {
		reply.Coverage = float64(cov.GetDocumentsCovered()) / float64(cov.GetDocumentsTotal())
	}
	return reply
}

// order gets a ticket where the request has none yet, then sends the order with it.
func (s *ConnectSender) order(ctx context.Context, c burdockv1connect.QueryServiceClient, r *Request) Reply {
	if r.Ticket == "" {
		t, err := c.IssueTicket(ctx, &pb.IssueTicketRequest{Service: r.Mix.Service, Kind: r.Mix.Kind})
		if err != nil {
			return failedReply(err, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
		}
		r.Ticket = t.GetTicket()
		var info connect.CallInfo
		ctx, info = connect.NewClientContext(ctx)
		info.RequestHeader().Set("Authorization", "Bearer "+r.Mix.Token)
	}
	res, err := c.Order(ctx, &pb.OrderRequest{
		Ticket: r.Ticket, Service: r.Mix.Service, Kind: r.Mix.Kind,
		Key: fmt.Sprintf("key-%d", r.Sequence), Payload: r.text(),
	})
	if err != nil {
		return failedReply(err, pb.OutcomeKind_OUTCOME_KIND_UNKNOWN)
	}
	return Reply{
		Kind: res.GetOutcome().GetKind(), Reason: res.GetOutcome().GetReason(), Replayed: res.GetReplayed(),
	}
}

// failedReply takes the outcome from the error; kind stands where it carries none.
func failedReply(err error, kind pb.OutcomeKind) Reply {
	if e, ok := outcome.FromConnect(err); ok && e != nil {
		return Reply{Kind: e.Kind, Reason: e.Reason, RetryAfter: e.RetryAfter}
	}
	r := Reply{Kind: kind, Reason: pb.Reason_REASON_INTERNAL, Untyped: true}
	switch connect.CodeOf(err) {
	case connect.CodeDeadlineExceeded:
		r.Reason = pb.Reason_REASON_DEADLINE
	case connect.CodeUnavailable:
		r.Reason = pb.Reason_REASON_UNREACHABLE
	}
	return r
}

var _ Sender = (*ConnectSender)(nil)
