package entry

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/admission"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/route"
	"github.com/burdockplank/burdockplank/internal/rpc"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

const testToken = "s3cret-desk"

// testBundle returns a bundle with one caller, a search kind and an order kind.
func testBundle(t *testing.T) *bundle.Bundle {
	t.Helper()
	b, err := bundle.Parse(fmt.Appendf(nil, `version = 3
[limits]
max_query_bytes = 64
max_top_k = 100
max_timeout = "10s"
[[caller]]
name = "desk"
token_sha256 = "%x"
services = ["teachers"]
[[service]]
name = "teachers"
[[service.kind]]
name = "dawn"
mode = "search"
weight = 10
timeout = "1s"
top_k = 10
[[service.kind]]
name = "booking"
mode = "order"
weight = 20
timeout = "1s"
[[service.leaf]]
id = "a"
zone = "az-1"
address = "127.0.2.1:9001"
slots = 3
connections = 30
[[service.snapshot]]
version = 1
[[service.snapshot.shard]]
id = 0
documents = 1000
leaves = ["a"]
`, sha256.Sum256([]byte(testToken))))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// fakeFeed is a feed.Source and a feed.Reporter.
type fakeFeed struct {
	view  atomic.Pointer[feed.View]
	stale atomic.Bool
	// paused is when the process was last paused, in Unix nanoseconds.
	paused atomic.Int64
	mu     sync.Mutex
	// states reported; guarded by mu.
	states []pb.ProcessState
}

func (f *fakeFeed) Current() *feed.View      { return f.view.Load() }
func (f *fakeFeed) Changed() <-chan struct{} { return nil }
func (f *fakeFeed) Fresh() bool              { return !f.stale.Load() }
func (f *fakeFeed) FreshSince(t time.Time) bool {
	return f.Fresh() && !time.Unix(0, f.paused.Load()).After(t)
}
func (f *fakeFeed) ReportDeparture(*pb.Departure) {}
func (f *fakeFeed) ReportCrash(*pb.Crash)         {}
func (f *fakeFeed) SetState(s pb.ProcessState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states = append(f.states, s)
}

// fakeGather answers as the test specifies, and counts calls.
type fakeGather struct {
	calls  atomic.Int32
	search func(context.Context, *pb.GatherSearchRequest) (*pb.GatherSearchResponse, error)
}

func (g *fakeGather) Search(ctx context.Context, r *pb.GatherSearchRequest) (*pb.GatherSearchResponse, error) {
	g.calls.Add(1)
	if g.search != nil {
		return g.search(ctx, r)
	}
	return &pb.GatherSearchResponse{Identity: r.Identity, Search: &pb.SearchResponse{
		Outcome: &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE},
		Hits:    []*pb.Hit{{Document: "d1", Text: r.Search.Query}},
	}}, nil
}

func (g *fakeGather) IssueTicket(_ context.Context, r *pb.GatherIssueTicketRequest) (*pb.GatherIssueTicketResponse, error) {
	g.calls.Add(1)
	return &pb.GatherIssueTicketResponse{Identity: r.Identity, Ticket: &pb.IssueTicketResponse{Ticket: "vm-1"}}, nil
}

func (g *fakeGather) Order(_ context.Context, r *pb.GatherOrderRequest) (*pb.GatherOrderResponse, error) {
	g.calls.Add(1)
	return &pb.GatherOrderResponse{Identity: r.Identity, Order: &pb.OrderResponse{
		Outcome: &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE}, Result: "done:" + r.Order.Ticket,
	}}, nil
}

// testEntry is an entry in front of one gather.
type testEntry struct {
	feed    *fakeFeed
	gather  *fakeGather
	manager *Manager
	url     string
	reg     *prometheus.Registry
}

func newTestEntry(t *testing.T) *testEntry {
	t.Helper()
	w := &testEntry{feed: &fakeFeed{}, gather: &fakeGather{}, reg: prometheus.NewRegistry()}
	mux := http.NewServeMux()
	mux.Handle(burdockv1connect.NewGatherServiceHandler(w.gather))
	address := listen(t, rpc.NewServer(mux))
	host, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	w.feed.view.Store(&feed.View{
		VM: "vm-1", Zone: "az-1", Bundle: testBundle(t), Heard: time.Now(),
		VMs: []*pb.Vm{{
			Id: "vm-1", Zone: "az-1", Address: host, GatherPort: uint32(n), State: pb.VmState_VM_STATE_LIVE,
			Processes: []*pb.Process{{Role: pb.ProcessRole_PROCESS_ROLE_GATHER, Incarnation: 7, State: pb.ProcessState_PROCESS_STATE_READY}},
		}},
	})
	s := DefaultSettings()
	s.VM.ID, s.VM.Zone, s.Drain.BalancerLag = "vm-1", "az-1", 0
	s.Entry.MaxBodyBytes = 4 << 10
	client := rpc.NewClient("")
	t.Cleanup(client.CloseIdleConnections)
	router := route.New(w.reg, route.Options{
		Dial: route.NewDial(client), FreshSince: w.feed.FreshSince, Clock: time.Now, Random: func(int) int { return 0 },
		Parse: func(text string) (*ticket.Ticket, error) { return &ticket.Ticket{VM: text, Incarnation: 7}, nil },
	})
	w.manager = NewManager(s, zap.NewNop(), w.reg, w.feed, w.feed,
		admission.New(s.Admission, w.reg, time.Now, rand.Float64), router)
	w.url = "http://" + listen(t, w.manager.server)
	return w
}

// listen serves on a free loopback port until the test ends.
func listen(t *testing.T, s *http.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close(); <-done })
	return l.Addr().String()
}

// post sends one request as curl does.
func (w *testEntry) post(t *testing.T, path, body string, header map[string]string) *http.Response {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequest(http.MethodPost, w.url+path, newReader(body))
	is.NoErr(err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+testToken)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}
