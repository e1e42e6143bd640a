package order

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// fakeSource is a feed.Source whose view tests change by hand.
type fakeSource struct {
	mu    sync.Mutex
	view  feed.View
	stale bool
}

func (s *fakeSource) Current() *feed.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view
	return &v
}

func (s *fakeSource) Changed() <-chan struct{} { return nil }

func (s *fakeSource) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stale
}

func (s *fakeSource) set(change func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// fakeLeaves executes orders by a function and counts executions by ticket.
type fakeLeaves struct {
	mu sync.Mutex
	// execute is called for each order; started is to be called when the effect starts.
	execute func(ctx context.Context, leaf string, req *pb.LeafExecuteRequest, started func()) (*pb.LeafExecuteResponse, error)
	runs    map[string]int
	states  map[string]upstream.State
}

func newFakeLeaves() *fakeLeaves {
	return &fakeLeaves{runs: make(map[string]int), states: make(map[string]upstream.State), execute: executeOrder}
}

func executeOrder(_ context.Context, _ string, req *pb.LeafExecuteRequest, started func()) (*pb.LeafExecuteResponse, error) {
	started()
	return doneResponse(req), nil
}

func doneResponse(req *pb.LeafExecuteRequest) *pb.LeafExecuteResponse {
	return &pb.LeafExecuteResponse{RequestId: req.GetRequestId(), Ticket: req.GetTicket(), Result: "done:" + req.GetTicket()}
}

func (l *fakeLeaves) Execute(ctx context.Context, leaf string, req *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	return l.execute(ctx, leaf, req, func() { l.started(req.GetTicket()) })
}

func (l *fakeLeaves) started(ticket string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[ticket]++
}

func (l *fakeLeaves) runsOf(ticket string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[ticket]
}

func (l *fakeLeaves) Search(context.Context, string, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	panic("no search in these tests")
}

func (l *fakeLeaves) State(leaf string) (upstream.State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.states[leaf]
	if !ok {
		return upstream.State{Leaf: leaf, Connected: true}, true
	}
	return s, true
}

// fakeReplicas picks the first candidate unless full.
type fakeReplicas struct {
	balance.Replicas
	full    bool
	retries bool
}

type fakeCall string

func (c fakeCall) Leaf() string        { return string(c) }
func (c fakeCall) Done(balance.Result) {}

func (r *fakeReplicas) Pick(candidates []string) (balance.Call, bool) {
	return fakeCall(candidates[0]), !r.full
}

func (r *fakeReplicas) AllowRetry(float64) bool { return r.retries }

// fakePauses is an order.Pauses set by hand.
type fakePauses struct {
	mu sync.Mutex
	at time.Time
}

func (p *fakePauses) LastPause(time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at
}

func (p *fakePauses) paused(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = at
}

// noPeers has no peer to reach.
type noPeers struct{}

func (noPeers) Peer(*pb.Vm) burdockv1connect.TicketPeerServiceClient { return nil }

const testTimeout = time.Second

func testBundle() *bundle.Bundle {
	kind := &bundle.Kind{Name: "book", Mode: bundle.ModeOrder, Timeout: testTimeout}
	search := &bundle.Kind{Name: "dawn", Mode: bundle.ModeSearch, Timeout: testTimeout}
	return &bundle.Bundle{Version: 5, Services: map[string]*bundle.Service{
		"teachers": {
			Name:  "teachers",
			Kinds: map[string]*bundle.Kind{"book": kind, "dawn": search},
			Snapshots: []*bundle.Snapshot{{Version: 2, Shards: []bundle.Shard{
				{ID: 0, Leaves: []string{"leaf-0a", "leaf-0b"}},
				{ID: 1, Leaves: []string{"leaf-1a", "leaf-1b"}},
			}}},
		},
	}}
}

func gatherVM(id, zone string, incarnation uint64) *pb.Vm {
	return &pb.Vm{Id: id, Zone: zone, State: pb.VmState_VM_STATE_LIVE, Processes: []*pb.Process{{
		Role: pb.ProcessRole_PROCESS_ROLE_GATHER, Incarnation: incarnation, State: pb.ProcessState_PROCESS_STATE_READY,
	}}}
}

// bench is one gather with its fakes.
type bench struct {
	*Manager
	source   *fakeSource
	leaves   *fakeLeaves
	replicas *fakeReplicas
	pauses   *fakePauses
}

// newBench returns the gather of VM vm-1 in az-1, which knows the given VMs.
func newBench(peers Peers, vms ...*pb.Vm) *bench {
	b := &bench{
		source:   &fakeSource{view: feed.View{VM: "vm-1", Zone: "az-1", Bundle: testBundle(), VMs: vms}},
		leaves:   newFakeLeaves(),
		replicas: &fakeReplicas{},
		pauses:   &fakePauses{},
	}
	b.Manager = New(Options{
		Config: DefaultConfig(), VM: "vm-1", Incarnation: 11, Source: b.source,
		Replicas: func(string) balance.Replicas { return b.replicas },
		Leaves:   b.leaves, Peers: peers, Pauses: b.pauses,
		Registry: prometheus.NewRegistry(), Log: zap.NewNop(),
		Now: time.Now, Random: func() float64 { return 0 },
	})
	return b
}

// ticketFor issues a ticket to the caller "desk".
func (b *bench) ticketFor(ctx context.Context) (string, error) {
	resp, err := b.IssueTicket(ctx, &pb.GatherIssueTicketRequest{
		Identity: &pb.Identity{RequestId: "t", Caller: "desk"},
		Ticket:   &pb.IssueTicketRequest{Service: "teachers", Kind: "book"},
	})
	return resp.GetTicket().GetTicket(), err
}

func orderRequest(ticket, payload string) *pb.GatherOrderRequest {
	return &pb.GatherOrderRequest{
		Identity: &pb.Identity{RequestId: "r", Caller: "desk"},
		Order:    &pb.OrderRequest{Ticket: ticket, Service: "teachers", Kind: "book", Key: "k", Payload: payload},
	}
}
