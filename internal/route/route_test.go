package route

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/rpc"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

const (
	live    = pb.VmState_VM_STATE_LIVE
	isReady = pb.ProcessState_PROCESS_STATE_READY
)

// vm returns a VM whose gather has the address "<id>:1" and the incarnation 7.
func vm(id, zone string, s pb.VmState, p pb.ProcessState) *pb.Vm {
	return &pb.Vm{Id: id, Zone: zone, Address: id, GatherPort: 1, State: s, Processes: []*pb.Process{
		{Role: pb.ProcessRole_PROCESS_ROLE_GATHER, Incarnation: 7, State: p},
	}}
}

// testService has a leaf with room for the connections of every gather, so all are in its subset.
func testService() *bundle.Service {
	leaf := &bundle.Leaf{ID: "s-0-a", Zone: "z1", Slots: 3, Connections: 30}
	return &bundle.Service{Name: "s", Leaves: map[string]*bundle.Leaf{leaf.ID: leaf}}
}

func TestCandidates(t *testing.T) {
	tests := map[string]struct {
		vms  []*pb.Vm
		want string
	}{
		"own zone first": {[]*pb.Vm{vm("a", "z1", live, isReady), vm("b", "z2", live, isReady), vm("c", "z1", live, isReady)}, "a c"},
		"not leaving, suspect or draining": {[]*pb.Vm{
			vm("a", "z1", pb.VmState_VM_STATE_LEAVING, isReady), vm("b", "z1", pb.VmState_VM_STATE_SUSPECT, isReady),
			vm("c", "z1", live, pb.ProcessState_PROCESS_STATE_DRAINING), vm("d", "z1", live, isReady),
		}, "d"},
		"other zones when the own has none": {[]*pb.Vm{
			vm("a", "z1", live, pb.ProcessState_PROCESS_STATE_STARTING), vm("b", "z2", live, isReady), vm("c", "z3", live, isReady),
		}, "b c"},
		"none":              {nil, ""},
		"VM without gather": {[]*pb.Vm{{Id: "a", Zone: "z1", State: live}}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, g := range candidates(testService(), "z1", test.vms) {
				got = append(got, g.VM)
			}
			slices.Sort(got) // the subset's own order, which doesn't matter here
			is.Equal(strings.Join(got, " "), test.want)
		})
	}
}

func TestChoiceOfTwo(t *testing.T) {
	a, b := Gather{VM: "a", Incarnation: 7}, Gather{VM: "b", Incarnation: 7}
	now := time.Unix(100, 0)
	end := func(s *stats, elapsed time.Duration, r result) { s.begin(); s.end(now, elapsed, r) }
	tests := map[string]struct {
		before func(a *stats)
		later  time.Duration
		tried  string
		want   string
	}{
		"the first where both cost the same": {func(*stats) {}, 0, "", "a"},
		"fewer in flight":                    {func(a *stats) { a.begin() }, 0, "", "b"},
		"quicker":                            {func(a *stats) { end(a, time.Second, resultOK) }, 0, "", "b"},
		"fewer failures":                     {func(a *stats) { end(a, 0, resultFailed) }, 0, "", "b"},
		"a neutral result is ignored":        {func(a *stats) { end(a, time.Second, resultNeutral) }, 0, "", "a"},
		"forgets":                            {func(a *stats) { end(a, time.Second, resultOK) }, time.Hour, "", "a"},
		"not the one tried":                  {func(*stats) {}, 0, "a", "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tab := newStatsTable()
			test.before(tab.of("s", a))
			g, ok := choose(tab, "s", []Gather{a, b}, test.tried, now.Add(test.later), func(int) int { return 0 })
			is.True(ok)
			is.Equal(g.VM, test.want)
		})
	}
	is := is.New(t)
	tab := newStatsTable()
	end(tab.of("s", a), time.Minute, resultFailed)
	is.Equal(tab.of("s", Gather{VM: "a", Incarnation: 8}).cost(now), minLatency) // a new incarnation has no history
	tab.prune(map[string]bool{})
	is.Equal(len(tab.byKey), 0)
}

// script maps a gather's address to how it ends a call; a gather without an entry answers.
type script map[string]func(id *pb.Identity) error

// fakeFleet is a Router with scripted gathers.
type fakeFleet struct {
	*Router
	script script
	// called lists the gathers in the order of the calls. remaining is the time that the last one had
	// until its deadline.
	called    []string
	remaining time.Duration
	// wrongEcho makes gathers return the identity of another caller.
	wrongEcho bool
	// paused is when the entry was last paused.
	paused   time.Time
	resolved int
	now      time.Time
}

func newFakeFleet(s script) *fakeFleet {
	f := &fakeFleet{script: s, now: time.Now()}
	f.Router = New(prometheus.NewRegistry(), Options{
		Dial: func(address string) burdockv1connect.GatherServiceClient {
			return fakeClient{f, strings.TrimSuffix(address, ":1")}
		},
		FreshSince: func(t time.Time) bool { return !f.paused.After(t) },
		Parse: func(text string) (*ticket.Ticket, error) {
			if text == "bad" {
				return nil, errors.New("bad")
			}
			return &ticket.Ticket{VM: text, Incarnation: 7}, nil
		},
		Resolver: f, Clock: func() time.Time { return f.now }, Random: func(int) int { return 0 },
		ReplyMargin: 10 * time.Millisecond,
	})
	return f
}

// ResolveOrder implements TicketResolver.
func (f *fakeFleet) ResolveOrder(context.Context, *ticket.Ticket, string, *pb.OrderRequest, string) (*pb.OrderResponse, error) {
	f.resolved++
	return nil, outcome.NotRun(pb.Reason_REASON_SEALED, "order.resolve", "sealed")
}

type fakeClient struct {
	f  *fakeFleet
	vm string
}

func (c fakeClient) end(ctx context.Context, id *pb.Identity) (*pb.Identity, error) {
	c.f.called = append(c.f.called, c.vm)
	if d, ok := ctx.Deadline(); ok {
		c.f.remaining = d.Sub(c.f.now)
	}
	if fn := c.f.script[c.vm]; fn != nil {
		return nil, fn(id)
	}
	if c.f.wrongEcho {
		return &pb.Identity{RequestId: id.RequestId, Caller: "another"}, nil
	}
	return id, nil
}

func (c fakeClient) Search(ctx context.Context, r *pb.GatherSearchRequest) (*pb.GatherSearchResponse, error) {
	id, err := c.end(ctx, r.Identity)
	return &pb.GatherSearchResponse{Identity: id, Search: &pb.SearchResponse{}}, err
}

func (c fakeClient) IssueTicket(ctx context.Context, r *pb.GatherIssueTicketRequest) (*pb.GatherIssueTicketResponse, error) {
	id, err := c.end(ctx, r.Identity)
	return &pb.GatherIssueTicketResponse{Identity: id, Ticket: &pb.IssueTicketResponse{}}, err
}

func (c fakeClient) Order(ctx context.Context, r *pb.GatherOrderRequest) (*pb.GatherOrderResponse, error) {
	id, err := c.end(ctx, r.Identity)
	return &pb.GatherOrderResponse{Identity: id, Order: &pb.OrderResponse{Result: "done"}}, err
}

// request returns a request of the caller "desk" with a view of the VMs.
func request(vms ...*pb.Vm) Request {
	return Request{
		Identity: &pb.Identity{RequestId: "r1", Caller: "desk"}, Service: &bundle.Service{Name: "s"},
		View: &feed.View{Zone: "z1", VMs: vms},
	}
}

func refusedToConnect(*pb.Identity) error {
	return connect.NewError(connect.CodeUnavailable, &net.OpError{Op: "dial", Err: errors.New("connection refused")})
}

func connectionLost(*pb.Identity) error {
	return connect.NewError(connect.CodeUnavailable, errors.New("connection reset"))
}

func gatherOutcome(kind pb.OutcomeKind, reason pb.Reason) func(*pb.Identity) error {
	return func(id *pb.Identity) error {
		return outcome.ToConnect(&outcome.Error{Kind: kind, Reason: reason, Step: "gather.x"}, id.RequestId)
	}
}

const (
	notRun  = pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	failed  = pb.OutcomeKind_OUTCOME_KIND_FAILED
	unknown = pb.OutcomeKind_OUTCOME_KIND_UNKNOWN
)

func silent(*pb.Identity) error {
	return connect.NewError(connect.CodeUnavailable, errors.New("http2: client connection lost"))
}

// TestSearchIsRetriedWithoutAnAnswer guards against retries that are missing or excessive. A search may run
// twice, so it is sent once more where the first gather didn't accept it or its connection ended before the
// answer. Any other answer or refusal of a gather is final. A search that the first gather may have run is
// never reported as not run.
func TestSearchIsRetriedWithoutAnAnswer(t *testing.T) {
	draining := gatherOutcome(notRun, pb.Reason_REASON_DRAINING)
	tests := map[string]struct {
		script script
		budget float64
		called string
		kind   pb.OutcomeKind
		reason pb.Reason
	}{
		"answered":                 {script{}, 1, "a", 0, 0},
		"connection refused":       {script{"a": refusedToConnect}, 1, "a b", 0, 0},
		"draining":                 {script{"a": draining}, 1, "a b", 0, 0},
		"paused":                   {script{"a": gatherOutcome(notRun, pb.Reason_REASON_PAUSED)}, 1, "a b", 0, 0},
		"no bundle yet":            {script{"a": gatherOutcome(notRun, pb.Reason_REASON_NO_BUNDLE)}, 1, "a b", 0, 0},
		"other refusal":            {script{"a": gatherOutcome(notRun, pb.Reason_REASON_OVERLOAD)}, 1, "a", notRun, pb.Reason_REASON_OVERLOAD},
		"failed":                   {script{"a": gatherOutcome(failed, pb.Reason_REASON_DRAINING)}, 1, "a", failed, pb.Reason_REASON_DRAINING},
		"lost after the call":      {script{"a": connectionLost}, 1, "a b", 0, 0},
		"lost, no budget":          {script{"a": connectionLost}, 0, "a", failed, pb.Reason_REASON_UNREACHABLE},
		"lost twice":               {script{"a": connectionLost, "b": connectionLost}, 9, "a b", failed, pb.Reason_REASON_UNREACHABLE},
		"lost, then refused":       {script{"a": connectionLost, "b": gatherOutcome(notRun, pb.Reason_REASON_OVERLOAD)}, 9, "a b", failed, pb.Reason_REASON_OVERLOAD},
		"lost, then no gather":     {script{"a": connectionLost, "b": refusedToConnect}, 9, "a b", failed, pb.Reason_REASON_UNREACHABLE},
		"silent, no budget needed": {script{"a": silent}, 0, "a b", 0, 0},
		"silent each time":         {script{"a": silent, "b": silent, "c": silent}, 9, "a b a b", failed, pb.Reason_REASON_UNREACHABLE},
		"silent, then lost":        {script{"a": silent, "b": connectionLost}, 9, "a b a b", failed, pb.Reason_REASON_UNREACHABLE},
		"only once, other zones":   {script{"a": refusedToConnect, "b": refusedToConnect}, 9, "a b", notRun, pb.Reason_REASON_UNREACHABLE},
		"no budget":                {script{"a": draining}, 0, "a", notRun, pb.Reason_REASON_DRAINING},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(test.script)
			f.budget.saved = test.budget
			_, err := f.Search(t.Context(), request(vm("a", "z1", live, isReady), vm("b", "z2", live, isReady), vm("c", "z2", live, isReady)), &pb.SearchRequest{})
			is.Equal(strings.Join(f.called, " "), test.called)
			if test.kind == 0 {
				is.NoErr(err)
				return
			}
			e, _ := outcome.As(err)
			is.Equal(e.Kind, test.kind)
			is.Equal(e.Reason, test.reason)
		})
	}
	is := is.New(t)
	f := newFakeFleet(nil)
	f.script = script{"a": func(id *pb.Identity) error {
		delete(f.script, "a")
		return silent(id)
	}}
	_, err := f.Search(t.Context(), request(vm("a", "z1", live, isReady)), &pb.SearchRequest{})
	is.NoErr(err)
	is.Equal(strings.Join(f.called, " "), "a a") // the only gather, over a new connection
	f = newFakeFleet(nil)
	_, err = f.Search(t.Context(), request(), &pb.SearchRequest{})
	e, _ := outcome.As(err)
	is.Equal(e.Kind, notRun) // no gather at all
	is.True(e.RetryAfter > 0)
}

// TestNothingIsSentByAViewOfBeforeAPause guards against requests that an entry admits, and sends to a gather
// after it was paused: the request's view of callers and gathers may be old, although a fresh view has
// arrived since.
func TestNothingIsSentByAViewOfBeforeAPause(t *testing.T) {
	for name, tt := range map[string]struct {
		first func(*pb.Identity) error
		kind  pb.OutcomeKind
	}{
		"before it is sent":             {nil, notRun},
		"before another gather":         {refusedToConnect, notRun},
		"after one that may have it":    {connectionLost, failed},
		"after one that was paused too": {gatherOutcome(notRun, pb.Reason_REASON_PAUSED), notRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(nil)
			q := request(vm("a", "z1", live, isReady), vm("b", "z2", live, isReady))
			q.AsOf = time.Now()
			want := ""
			if tt.first == nil {
				f.paused = q.AsOf.Add(time.Second)
			} else {
				want = "a"
				f.script = script{"a": func(id *pb.Identity) error {
					f.paused = q.AsOf.Add(time.Second)
					return tt.first(id)
				}}
			}
			_, err := f.Search(t.Context(), q, &pb.SearchRequest{})
			end, ok := outcome.As(err)
			is.True(ok)
			is.Equal(end.Kind, tt.kind)
			is.Equal(end.Reason, pb.Reason_REASON_PAUSED)
			is.Equal(strings.Join(f.called, " "), want)
		})
	}
}

func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(nil)
	f.wrongEcho = true
	q := request(vm("a", "z1", live, isReady))
	_, err := f.Search(t.Context(), q, &pb.SearchRequest{})
	e, _ := outcome.As(err)
	is.Equal(e.Kind, failed)
	is.Equal(e.Reason, pb.Reason_REASON_ANSWER_MISMATCH)
	_, err = f.Order(t.Context(), q, &pb.OrderRequest{Ticket: "a"})
	e, _ = outcome.As(err)
	is.Equal(e.Kind, unknown) // the order may have run
	is.Equal(int(testutil.ToFloat64(f.metrics.mismatches)), 2)
}

func TestDeadlineLeavesRoomForTheAnswer(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(nil)
	for remaining, given := range map[time.Duration]time.Duration{time.Second: 990 * time.Millisecond, 50 * time.Millisecond: 45 * time.Millisecond} {
		ctx, cancel := context.WithDeadline(t.Context(), f.now.Add(remaining))
		_, err := f.Search(ctx, request(vm("a", "z1", live, isReady)), &pb.SearchRequest{})
		cancel()
		is.NoErr(err)
		is.Equal(f.remaining, given)
	}
}

func TestOrderGoesOnlyToTheGatherOfItsTicket(t *testing.T) {
	gone, draining := pb.ProcessState_PROCESS_STATE_GONE, pb.ProcessState_PROCESS_STATE_DRAINING
	restarted := vm("a", "z1", live, isReady)
	restarted.Processes[0].Incarnation = 8
	tests := map[string]struct {
		ticket   string
		vms      []*pb.Vm
		end      func(*pb.Identity) error
		called   string
		resolved int
		kind     pb.OutcomeKind
		reason   pb.Reason
	}{
		"no ticket":                     {"", nil, nil, "", 0, notRun, pb.Reason_REASON_NO_TICKET},
		"bad ticket":                    {"bad", nil, nil, "", 0, notRun, pb.Reason_REASON_TICKET_INVALID},
		"at the gather":                 {"a", []*pb.Vm{vm("a", "z1", live, isReady)}, nil, "a", 0, 0, 0},
		"draining gather answers":       {"a", []*pb.Vm{vm("a", "z1", live, draining)}, nil, "a", 0, 0, 0},
		"the view may lag":              {"a", []*pb.Vm{restarted}, nil, "a", 0, 0, 0},
		"not yet in the view":           {"a", []*pb.Vm{{Id: "a", Address: "a", GatherPort: 1, State: live}}, nil, "a", 0, 0, 0},
		"suspect is called":             {"a", []*pb.Vm{vm("a", "z1", pb.VmState_VM_STATE_SUSPECT, isReady)}, nil, "a", 0, 0, 0},
		"gather gone":                   {"a", []*pb.Vm{vm("a", "z1", live, gone)}, nil, "", 1, notRun, pb.Reason_REASON_SEALED},
		"VM gone":                       {"a", []*pb.Vm{vm("a", "z1", pb.VmState_VM_STATE_GONE, isReady)}, nil, "", 1, notRun, pb.Reason_REASON_SEALED},
		"VM not listed":                 {"a", []*pb.Vm{vm("b", "z1", live, isReady)}, nil, "", 1, notRun, pb.Reason_REASON_SEALED},
		"can't connect":                 {"a", []*pb.Vm{vm("a", "z1", live, isReady), vm("b", "z1", live, isReady)}, refusedToConnect, "a", 1, notRun, pb.Reason_REASON_SEALED},
		"connection lost":               {"a", []*pb.Vm{vm("a", "z1", live, isReady)}, connectionLost, "a", 1, notRun, pb.Reason_REASON_SEALED},
		"the gather's outcome is final": {"a", []*pb.Vm{vm("a", "z1", live, isReady)}, gatherOutcome(unknown, pb.Reason_REASON_UPSTREAM_ERROR), "a", 0, unknown, pb.Reason_REASON_UPSTREAM_ERROR},
		"refused for draining":          {"a", []*pb.Vm{vm("a", "z1", live, isReady), vm("b", "z1", live, isReady)}, gatherOutcome(notRun, pb.Reason_REASON_DRAINING), "a", 0, notRun, pb.Reason_REASON_DRAINING},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(script{"a": test.end})
			res, err := f.Order(t.Context(), request(test.vms...), &pb.OrderRequest{Ticket: test.ticket})
			is.Equal(strings.Join(f.called, " "), test.called)
			is.Equal(f.resolved, test.resolved)
			if test.kind == 0 {
				is.NoErr(err)
				is.Equal(res.Result, "done")
				return
			}
			e, _ := outcome.As(err)
			is.Equal(e.Kind, test.kind)
			is.Equal(e.Reason, test.reason)
		})
	}
}

func TestInterruptedOrderIsUnknownAndCanBeRetriedWithItsTicket(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	f := newFakeFleet(script{"a": func(*pb.Identity) error {
		cancel()
		return connect.NewError(connect.CodeCanceled, context.Canceled)
	}})
	_, err := f.Order(ctx, request(vm("a", "z1", live, isReady)), &pb.OrderRequest{Ticket: "a"})
	e, _ := outcome.As(err)
	is.Equal(e.Kind, unknown)
	is.Equal(e.Reason, pb.Reason_REASON_CANCELLED)
	is.True(e.RetryAfter > 0)
	is.Equal(f.resolved, 0) // the gather has the order; sealing the ticket would only lose it
}

// TestRealRefusalCountsAsNotTaken checks that the HTTP library's error for a refused connection is
// classified as not taken.
func TestRealRefusalCountsAsNotTaken(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = NewDial(rpc.NewClient(""))(l.Addr().String()).Search(t.Context(), &pb.GatherSearchRequest{})
	is.True(err != nil)
	is.True(classify(err).notTaken)
}

// TestRealSilentConnectionIsRecognised checks that the HTTP library's error for a connection whose
// peer doesn't respond is classified as silent.
func TestRealSilentConnectionIsRecognised(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}()
	_, err = NewDial(rpc.NewClient(""))(l.Addr().String()).Search(t.Context(), &pb.GatherSearchRequest{})
	is.True(err != nil)
	is.True(classify(err).silent)
	is.True(classify(err).broken())
}
