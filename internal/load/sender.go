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

// Request is one request of a caller. Its resends use the same value.
type Request struct {
	Mix      *MixSettings
	Sequence uint64
	// Ticket is the ticket of an order, empty until one was issued.
	Ticket string
}

// text returns the query of a search or the payload of an order.
func (r *Request) text() string {
	if r.Mix.Text != "" {
		return r.Mix.Text
	}
	return fmt.Sprintf("%s %s %d", r.Mix.Service, r.Mix.Kind, r.Sequence)
}

// Reply is the outcome of one send of a request.
type Reply struct {
	Kind   pb.OutcomeKind
	Reason pb.Reason
	// RetryAfter is the delay after which to retry, 0 if the answer gave none.
	RetryAfter time.Duration
	// ShardsTotal is the number of shards of the snapshot that answered.
	ShardsTotal uint32
	// Coverage is the share of documents, 0 to 1, that an answered search covered.
	Coverage float64
	// Replayed is true if an order's outcome had been recorded for an earlier send.
	Replayed bool
	// Untyped is true if the error carried no outcome, as after a broken connection.
	Untyped bool
	// Mismatch is true if the answer is to a text other than this request's.
	Mismatch bool
}

// answered reports whether the caller got a whole or partial answer.
func (r Reply) answered() bool {
	return r.Kind == pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE || r.Kind == pb.OutcomeKind_OUTCOME_KIND_ANSWERED_PARTIAL
}

// Sender sends a request once, through the entry with the given index.
type Sender interface {
	Send(ctx context.Context, entry int, r *Request) Reply
}

// ConnectSender sends requests to entries over the Connect protocol.
type ConnectSender struct {
	clients []burdockv1connect.QueryServiceClient
}

// NewConnectSender returns a sender for entries at the given IP:PORT addresses. It returns a
// *TargetError for an address that isn't on loopback.
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

// order gets a ticket if the request has none yet, then sends the order with it.
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

// failedReply returns the outcome that the error carries. If it carries none the reply is untyped, of
// the given kind.
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
