package ctl

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// fakeEntry returns the configured answer and records the requests that it receives.
type fakeEntry struct {
	err   error
	abort bool // close the connection instead of answering an order

	mu sync.Mutex
	// guarded by mu
	token    string
	deadline bool
	orders   []*pb.OrderRequest
}

func (e *fakeEntry) record(ctx context.Context) {
	info, _ := connect.CallInfoForHandlerContext(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.token = info.RequestHeader().Get("Authorization")
	_, e.deadline = ctx.Deadline()
}

func (e *fakeEntry) Search(ctx context.Context, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	e.record(ctx)
	if e.err != nil {
		return nil, e.err
	}
	return &pb.SearchResponse{
		Outcome: &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_PARTIAL},
		Hits:    []*pb.Hit{{Document: "d7", Score: 0.5, Shard: 1, Text: req.GetQuery()}},
		Coverage: &pb.Coverage{
			ShardsTotal: 3, ShardsCovered: 2, DocumentsTotal: 100_000, DocumentsCovered: 99_999,
			Missing: []*pb.MissingShard{{Shard: 2, Reason: pb.Reason_REASON_DEADLINE, Peer: "teachers-2-a"}},
		},
		Snapshot: 8, BundleVersion: 4, RequestId: "r1", QueryDigest: 1 << 63,
	}, nil
}

func (e *fakeEntry) IssueTicket(ctx context.Context, _ *pb.IssueTicketRequest) (*pb.IssueTicketResponse, error) {
	e.record(ctx)
	return &pb.IssueTicketResponse{Ticket: "t-1", Expires: timestamppb.New(time.Unix(1000, 0))}, nil
}

func (e *fakeEntry) Order(ctx context.Context, req *pb.OrderRequest) (*pb.OrderResponse, error) {
	e.record(ctx)
	e.mu.Lock()
	e.orders = append(e.orders, req)
	replayed := len(e.orders) > 1
	e.mu.Unlock()
	if e.abort {
		panic(http.ErrAbortHandler)
	}
	if e.err != nil {
		return nil, e.err
	}
	return &pb.OrderResponse{
		Outcome: &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE},
		Result:  "done:" + req.GetTicket(), Leaf: "teachers-0-a", Replayed: replayed,
	}, nil
}

func serveEntry(t *testing.T, e *fakeEntry) string {
	mux := http.NewServeMux()
	mux.Handle(burdockv1connect.NewQueryServiceHandler(e))
	return serve(t, mux)
}

func searchArgs(t *testing.T, entry string, more ...string) []string {
	return append([]string{"search", "--entry", entry, "--token-file", writeFile(t, "token", "secret\n"),
		"--service", "teachers", "--kind", "dawn", "--query", "maths"}, more...)
}

func orderArgs(t *testing.T, command, entry string, more ...string) []string {
	return append([]string{"order", command, "--entry", entry, "--token-file", writeFile(t, "token", "secret\n"),
		"--service", "teachers", "--kind", "book", "--key", "school-1", "--payload", "Anna"}, more...)
}

func TestSearchPrintsAnswer(t *testing.T) {
	is := is.New(t)
	e := new(fakeEntry)
	addr := serveEntry(t, e)
	r := burdockctl(t, searchArgs(t, addr, "--timeout", "5s")...)
	is.Equal(r.code, ExitOK) // a partial answer counts as answered
	is.Equal(e.token, "Bearer secret")
	is.True(e.deadline)
	for _, part := range []string{
		"answered_partial", "2 of 3 shards, 99999 of 100000 documents (99.9%)", "teachers-2-a", "snapshot  8", "maths",
	} {
		is.True(strings.Contains(r.out, part)) // part of the answer
	}
	r = burdockctl(t, searchArgs(t, addr, "--json")...)
	is.True(!e.deadline) // without --timeout, the kind's own timeout applies
	var got searchReport
	is.NoErr(json.Unmarshal([]byte(r.out), &got))
	is.Equal(got.QueryDigest, uint64(1<<63))
	is.Equal(got.Coverage.Missing, []missingReport{{2, "deadline", "teachers-2-a"}})
}

func TestOutcomesHaveTheirExitCodes(t *testing.T) {
	wait := 1500 * time.Millisecond
	tests := []struct {
		name       string
		err        *outcome.Error
		code       int
		wantOutput []string
	}{
		{"not run", outcome.NotRun(pb.Reason_REASON_QUEUE_FULL, "entry.admission", "queue of 10").WithRetryAfter(wait), ExitNotRun,
			[]string{"not_run", "queue_full", "entry.admission", "retry after", "1.5s", "req-9"}},
		{"failed", outcome.Failed(pb.Reason_REASON_UPSTREAM_ERROR, "gather.scatter", "").WithPeer("teachers-1-a"), ExitFailed,
			[]string{"failed", "upstream_error", "gather.scatter", "teachers-1-a"}},
		{"unknown", outcome.Unknown(pb.Reason_REASON_INCARNATION_GONE, "order.run", "").WithPeer("vm-2"), ExitUnknown,
			[]string{"unknown", "incarnation_gone", "vm-2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addr := serveEntry(t, &fakeEntry{err: outcome.ToConnect(tt.err, "req-9")})
			r := burdockctl(t, searchArgs(t, addr)...)
			is.Equal(r.code, tt.code)
			for _, part := range tt.wantOutput {
				is.True(strings.Contains(r.out, part)) // part of the outcome
			}
			var got failureReport
			is.NoErr(json.Unmarshal([]byte(burdockctl(t, searchArgs(t, addr, "--json")...).out), &got))
			is.Equal(got.Outcome.Reason, outcome.ReasonName(tt.err.Reason))
		})
	}
}

func TestOrderCanBeSentAgainUnderItsTicket(t *testing.T) {
	is := is.New(t)
	e := new(fakeEntry)
	addr := serveEntry(t, e)
	r := burdockctl(t, orderArgs(t, "run", addr)...)
	is.Equal(r.code, ExitOK)
	is.True(strings.Index(r.out, "t-1") < strings.Index(r.out, "done:t-1"))
	r = burdockctl(t, orderArgs(t, "send", addr, "--ticket", "t-1")...)
	is.Equal(r.code, ExitOK)
	is.True(strings.Contains(r.out, "recorded for an earlier send"))
	is.Equal(e.orders[0].GetPayload(), "Anna")
}

func TestOrderWithoutAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	e := &fakeEntry{abort: true}
	r := burdockctl(t, orderArgs(t, "run", serveEntry(t, e))...)
	is.Equal(r.code, ExitUnknown)
	is.True(strings.HasPrefix(r.out, "ticket")) // printed before the order went out
	is.True(strings.Contains(r.out, "Send it again only under the same ticket"))
	is.Equal(len(e.orders), 1) // sent once

	is.Equal(burdockctl(t, orderArgs(t, "send", closedAddress(t), "--ticket", "t-1")...).code, ExitFailure) // never sent
}
