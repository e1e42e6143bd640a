package search

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/quarantine"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

const serviceTime = 3 * time.Millisecond

// crashMark at the start of a text crashes every leaf that runs it.
const crashMark = "crash"

var (
	errRefused = errors.New("refused")
	errLost    = errors.New("connection reset")
	// errAnswered is an error that a leaf answers with.
	errAnswered = connect.NewWireError(connect.CodeInternal, errors.New("no"))
)

// incarnationStep is by how much the incarnation of a leaf grows when it returns.
const incarnationStep = 1000

// fakeLeaf is one leaf of a fakeFleet. Tests set its fields before or between calls under the fleet's mutex.
type fakeLeaf struct {
	incarnation uint64
	up, leaving bool
	snapshots   []uint64
	// answer replaces the default answer if it is set.
	answer func(ctx context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error)
	// failing is how many more calls fail with an error before they run.
	failing int
	// down is closed when this incarnation crashes.
	down chan struct{}
	// wentDown and returned are when the leaf last crashed and last returned.
	wentDown, returned time.Time
	// calls, delivered and cancelled count the calls of the leaf, those answered and those cancelled.
	calls, delivered, cancelled int
}

// fakeFleet is a set of leaves shared by any number of callers.
type fakeFleet struct {
	mu     sync.Mutex
	leaves map[string]*fakeLeaf
	// crashes counts the leaves that each crashing text ended. restart is how long they stay down, 0 for ever, and
	// restartAfter draws it for each crash if it is set.
	crashes      map[string]int
	restart      time.Duration
	restartAfter func() time.Duration
	// harmless, if set, reports whether the n-th run of a crashing text is answered, counted from 0 over all leaves.
	harmless func(n int) bool
	// lastCrash is when a crashing text last ended a leaf.
	lastCrash time.Time
	// ran counts how often each text reached a leaf.
	ran map[string]int
}

func newFakeFleet(ids ...string) *fakeFleet {
	f := &fakeFleet{leaves: make(map[string]*fakeLeaf), ran: make(map[string]int), crashes: make(map[string]int)}
	for i, id := range ids {
		f.leaves[id] = &fakeLeaf{incarnation: uint64(i + 1), up: true, down: make(chan struct{})}
	}
	return f
}

func (f *fakeFleet) set(id string, change func(*fakeLeaf)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.leaves[id])
}

// runs returns how often the text reached a leaf.
func (f *fakeFleet) runs(text string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[text]
}

func (f *fakeFleet) State(id string) (upstream.State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.leaves[id]
	if !ok {
		return upstream.State{}, false
	}
	return upstream.State{Leaf: id, Incarnation: l.incarnation, Leaving: l.leaving, Connected: l.up, Snapshots: l.snapshots}, true
}

func (f *fakeFleet) Execute(context.Context, string, *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	panic("unexpected call of Execute")
}

func (f *fakeFleet) Search(ctx context.Context, id string, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	f.mu.Lock()
	l := f.leaves[id]
	if !l.up {
		f.mu.Unlock()
		return nil, &upstream.CallError{Leaf: id, Err: errRefused}
	}
	l.calls++
	harmless := f.harmless != nil && f.harmless(f.ran[req.GetQuery()])
	f.ran[req.GetQuery()]++
	incarnation, down, answer := l.incarnation, l.down, l.answer
	if l.failing > 0 {
		l.failing--
		f.mu.Unlock()
		return nil, &upstream.CallError{Leaf: id, Incarnation: incarnation, Wrote: true, Err: errAnswered}
	}
	f.mu.Unlock()
	if strings.HasPrefix(req.GetQuery(), crashMark) && !harmless {
		time.AfterFunc(serviceTime/2, func() { f.crash(id, incarnation, req.GetQuery()) })
		answer = stall
	}
	if answer == nil {
		answer = answerAfter(serviceTime)
	}
	return f.await(ctx, id, incarnation, down, func(ctx context.Context) (*pb.LeafSearchResponse, error) { return answer(ctx, req) })
}

// await returns the answer of run, or the error of a call whose leaf crashed before it.
func (f *fakeFleet) await(ctx context.Context, id string, incarnation uint64, down <-chan struct{}, run func(context.Context) (*pb.LeafSearchResponse, error)) (*pb.LeafSearchResponse, error) {
	type end struct {
		res *pb.LeafSearchResponse
		err error
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan end, 1)
	go func() {
		res, err := run(runCtx)
		ends <- end{res, err}
	}()
	select {
	case e := <-ends:
		f.mu.Lock()
		defer f.mu.Unlock()
		if ctx.Err() != nil && e.err != nil {
			f.leaves[id].cancelled++
		}
		if e.err == nil {
			f.leaves[id].delivered++
		}
		return e.res, e.err
	case <-down:
		return nil, &upstream.CallError{Leaf: id, Incarnation: incarnation, Wrote: true, ConnectionLost: true, Err: errLost}
	}
}

// crash ends an incarnation of a leaf. If the fleet restarts leaves, the leaf returns as another incarnation.
func (f *fakeFleet) crash(id string, incarnation uint64, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.leaves[id]
	if l.incarnation != incarnation || !l.up {
		return
	}
	f.crashes[text]++
	f.lastCrash = time.Now()
	f.kill(l)
	restart := f.restart
	if f.restartAfter != nil {
		restart = f.restartAfter()
	}
	if restart > 0 {
		time.AfterFunc(restart, func() { f.revive(id) })
	}
}

func (f *fakeFleet) kill(l *fakeLeaf) {
	l.up, l.wentDown = false, time.Now()
	close(l.down)
}

func (f *fakeFleet) revive(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.leaves[id]
	l.up, l.down, l.returned = true, make(chan struct{}), time.Now()
	l.incarnation += incarnationStep
}

// stall answers only when the call is cancelled or times out.
func stall(ctx context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	<-ctx.Done()
	return nil, &upstream.CallError{Wrote: true, Err: ctx.Err()}
}

func answerAfter(d time.Duration) func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	return func(ctx context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
		select {
		case <-ctx.Done():
			return nil, &upstream.CallError{Wrote: true, Err: ctx.Err()}
		case <-time.After(d):
			return goodAnswer(req), nil
		}
	}
}

// refuseWith answers with a refusal of the leaf.
func refuseWith(reason pb.LeafRefusalReason) func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	return failWith(&upstream.CallError{Wrote: true, Refusal: reason, Err: errRefused})
}

func failWith(err *upstream.CallError) func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	return func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) { return nil, err }
}

// corrupt changes the good answer before it is returned.
func corrupt(change func(*pb.LeafSearchResponse)) func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	return func(_ context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
		res := goodAnswer(req)
		change(res)
		return res, nil
	}
}

// goodAnswer returns an answer with one hit whose text only this request can produce.
func goodAnswer(req *pb.LeafSearchRequest) *pb.LeafSearchResponse {
	return &pb.LeafSearchResponse{
		RequestId: req.GetRequestId(), Service: req.GetService(), Shard: req.GetShard(), Snapshot: req.GetSnapshot(),
		QueryDigest: xxhash.Sum64String(req.GetQuery()),
		Hits: []*pb.Hit{{
			Document: fmt.Sprintf("doc-%d", req.GetShard()), Score: float64(req.GetShard()), Shard: req.GetShard(),
			Text: hitText(req.GetRequestId(), req.GetSnapshot(), req.GetQuery()),
		}},
	}
}

func hitText(id string, snapshot uint64, query string) string {
	return fmt.Sprintf("%s/%d/%x", id, snapshot, xxhash.Sum64String(query))
}

// fakeReplicas picks the first candidate with a free slot.
type fakeReplicas struct {
	mu       sync.Mutex
	slots    int
	inFlight map[string]int
	// hedges and retries are the remaining budgets.
	hedges, retries int
	hedgeAfter      time.Duration
	results         map[balance.Result]int
	// slow leaves are picked only if they are the only candidate.
	slow map[string]bool
	// suspect leaves are hedged after a shorter delay.
	suspect map[string]bool
}

func newFakeReplicas() *fakeReplicas {
	return &fakeReplicas{
		slots: 100, inFlight: make(map[string]int), hedges: 100, retries: 100,
		hedgeAfter: 10 * time.Millisecond, results: make(map[balance.Result]int),
	}
}

func (r *fakeReplicas) For(string) balance.Replicas { return r }

func (r *fakeReplicas) Pick(candidates []string) (balance.Call, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range candidates {
		if r.inFlight[c] < r.slots && !(r.slow[c] && len(candidates) > 1) {
			r.inFlight[c]++
			return &fakeCall{r: r, leaf: c}, true
		}
	}
	return nil, false
}

func (r *fakeReplicas) take(n *int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n--
	return *n >= 0
}

func (r *fakeReplicas) AllowHedge(float64) bool           { return r.take(&r.hedges) }
func (r *fakeReplicas) AllowRetry(float64) bool           { return r.take(&r.retries) }
func (r *fakeReplicas) HedgeAfter([]string) time.Duration { return r.hedgeAfter }
func (r *fakeReplicas) SetCapacity(string, int, int)      {}
func (r *fakeReplicas) SetIncarnation(string, uint64)     {}
func (r *fakeReplicas) Report(string, *pb.LeafLoad)       {}

type fakeCall struct {
	r    *fakeReplicas
	leaf string
	once sync.Once
}

func (c *fakeCall) Leaf() string { return c.leaf }

func (c *fakeCall) Suspect() bool { return c.r.suspect[c.leaf] }

func (c *fakeCall) Done(res balance.Result) {
	c.once.Do(func() {
		c.r.mu.Lock()
		defer c.r.mu.Unlock()
		c.r.inFlight[c.leaf]--
		c.r.results[res]++
	})
}

// fakeFeed is a source with a fixed view, fresh until stale is set, and a reporter that passes crashes to onCrash.
type fakeFeed struct {
	mu      sync.Mutex
	view    *feed.View
	onCrash func(*pb.Crash)
	stale   atomic.Bool
	// paused is when the process was last paused, in Unix nanoseconds.
	paused atomic.Int64
}

func (f *fakeFeed) Current() *feed.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}
func (f *fakeFeed) Changed() <-chan struct{} { return nil }
func (f *fakeFeed) Fresh() bool              { return !f.stale.Load() }
func (f *fakeFeed) FreshSince(t time.Time) bool {
	return f.Fresh() && !time.Unix(0, f.paused.Load()).After(t)
}
func (f *fakeFeed) ReportDeparture(*pb.Departure) {}
func (f *fakeFeed) SetState(pb.ProcessState)      {}
func (f *fakeFeed) ReportCrash(c *pb.Crash)       { f.onCrash(c) }

// rig is one gather's engine with its fakes.
type rig struct {
	fleet    *fakeFleet
	replicas *fakeReplicas
	feed     *fakeFeed
	guard    *quarantine.Registry
	registry *prometheus.Registry
	engine   *Engine
}

func newRig(zone string, service *bundle.Service, fleet *fakeFleet, change func(*quarantine.Settings)) *rig {
	return newRigOver(zone, service, fleet, fleet, change)
}

// newRigOver creates a gather that reaches the fleet through caller.
func newRigOver(zone string, service *bundle.Service, caller upstream.Caller, fleet *fakeFleet, change func(*quarantine.Settings)) *rig {
	b := &bundle.Bundle{
		Version: 7, Services: map[string]*bundle.Service{service.Name: service},
		Limits: bundle.Limits{MaxQueryBytes: 100, MaxTopK: 100, MaxTimeout: 10 * time.Second},
	}
	r := &rig{fleet: fleet, replicas: newFakeReplicas(), registry: prometheus.NewRegistry()}
	r.feed = &fakeFeed{view: &feed.View{Zone: zone, Bundle: b}, onCrash: func(*pb.Crash) {}}
	qs := quarantine.DefaultSettings()
	if change != nil {
		change(&qs)
	}
	r.guard = quarantine.New(qs, r.feed, caller.State, time.Now, quarantine.NewMetrics(r.registry))
	r.guard.ApplyView(r.feed.Current())
	r.engine = New(DefaultSettings(), r.feed, caller, nil, r.replicas, r.guard, zap.NewNop(), NewMetrics(r.registry))
	return r
}

// anywhere lets unproven requests run on all shards at once.
func anywhere(s *quarantine.Settings) { s.FirstRun = quarantine.ModeNever }

// search sends one search with a time limit.
func (r *rig) search(id, kind, query string, timeout time.Duration) (*pb.SearchResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return r.engine.Search(ctx, &pb.Identity{RequestId: id, Caller: "desk"}, &pb.SearchRequest{Service: "teachers", Kind: kind, Query: query})
}

// counter returns the sum of the counters of a metric whose labels include all the given values.
func (r *rig) counter(t testing.TB, name string, values ...string) float64 {
	t.Helper()
	families, err := r.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			found := 0
			for _, v := range values {
				for _, l := range m.GetLabel() {
					if l.GetValue() == v {
						found++
					}
				}
			}
			if found == len(values) {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// groups creates a service of n shards, each with one leaf in each of three availability zones, and the fleet of these
// leaves. The kinds are dawn, which prefers latency, and claim, which prefers coverage.
func groups(n int) (*bundle.Service, *fakeFleet) {
	s := &bundle.Service{Name: "teachers", Leaves: make(map[string]*bundle.Leaf), Kinds: map[string]*bundle.Kind{
		"dawn":  {Name: "dawn", Mode: bundle.ModeSearch, Timeout: time.Second, TopK: 10, Partial: bundle.PartialLatency, EarlyCoverage: 0.6, EarlyAfter: 3, HedgeBudget: 0.05, RetryBudget: 0.1},
		"claim": {Name: "claim", Mode: bundle.ModeSearch, Timeout: time.Second, TopK: 10, Partial: bundle.PartialCoverage, HedgeBudget: 0.05, RetryBudget: 0.1},
	}}
	sn := &bundle.Snapshot{Version: 1}
	var ids []string
	for i := range n {
		sh := bundle.Shard{ID: uint32(i), Documents: 100}
		for _, z := range []string{"a", "b", "c"} {
			id := fmt.Sprintf("leaf-%d-%s", i, z)
			s.Leaves[id] = &bundle.Leaf{ID: id, Zone: "az-" + z, Slots: 3, Connections: 30}
			sh.Leaves = append(sh.Leaves, id)
			ids = append(ids, id)
		}
		sn.Shards = append(sn.Shards, sh)
	}
	s.Snapshots = []*bundle.Snapshot{sn}
	return s, newFakeFleet(ids...)
}
