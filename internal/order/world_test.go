package order

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// The steps at which a fault may be armed. A fault affects the next call of its step.
const (
	atNote     = "note"
	atHandover = "handover"
	atResolve  = "resolve"
	atOrder    = "order"
	atExecute  = "execute"
)

// fault is what goes wrong in one call.
type fault struct {
	dropRequest, dropResponse bool
	delay                     time.Duration
	// before and after happen to the sender, before it sends and after it has the answer.
	before, after nodeEvent
	// notWritten, broken and refusal are ways in which a call to a leaf fails. The order of a
	// broken call runs all the same.
	notWritten, broken bool
	refusal            pb.LeafRefusalReason
	// mismatch makes the leaf answer another order.
	mismatch bool
}

type nodeEvent int

const (
	eventNone nodeEvent = iota
	eventFreeze
	eventKill
)

// world simulates several gathers, the leaves and the network between them under fake time. The
// leaves identify an order by its ticket.
type world struct {
	cfg Config

	mu sync.Mutex
	// All below is guarded by mu.
	nodes           map[string]*node
	lastIncarnation uint64
	partitioned     map[[2]string]bool
	armed           map[string][]fault
	// viewVMs is the view that all processes have. It changes only through publishActualState,
	// setViewState and setViewGatherEnded.
	viewVMs map[string]*pb.Vm
	runs    map[string]int
}

// node is one incarnation of a VM's gather.
type node struct {
	w           *world
	id, zone    string
	incarnation uint64
	m           *Manager
	cancel      context.CancelFunc
	// All below is guarded by w.mu. thawed is nil while the node runs, frozenSince is when it was
	// frozen, and clockLag is how far its clocks are behind.
	dead, draining bool
	thawed         chan struct{}
	frozenSince    time.Time
	clockLag       time.Duration
	// lastPause is when the node last observed the end of a pause of its own.
	lastPause time.Time
	// stale is true while the node has no fresh view of the fleet. It is set before the node runs
	// orders.
	stale bool
	// full and leaving are the state of the leaves as the node sees it. They are set before the
	// node runs orders.
	full    bool
	leaving map[string]bool
	balance.Replicas
}

func newWorld(cfg Config, zones map[string]string) *world {
	w := &world{
		cfg: cfg, nodes: make(map[string]*node), partitioned: make(map[[2]string]bool),
		armed: make(map[string][]fault), viewVMs: make(map[string]*pb.Vm), runs: make(map[string]int),
	}
	for id, zone := range zones {
		w.start(id, zone)
	}
	w.publishActualState()
	return w
}

// start boots a new incarnation of the VM's gather.
func (w *world) start(id, zone string) {
	w.mu.Lock()
	w.lastIncarnation++
	n := &node{w: w, id: id, zone: zone, incarnation: w.lastIncarnation}
	w.nodes[id] = n
	w.mu.Unlock()
	n.m = New(Options{
		Config: w.cfg, VM: id, Incarnation: n.incarnation, Source: n, Leaves: n, Peers: netPeers{w, n}, Pauses: n,
		Replicas: func(string) balance.Replicas { return n },
		Registry: prometheus.NewRegistry(), Log: zap.NewNop(), Now: n.now, Random: func() float64 { return 0.5 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { _ = n.m.Run(ctx) }()
}

func (w *world) node(id string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[id]
}

func (w *world) freeze(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.thawed == nil && !n.dead {
		n.thawed, n.frozenSince = make(chan struct{}), time.Now()
	}
}

// thawUnnoticed resumes a node whose clocks stood still while it was frozen, so that it does not
// observe a pause.
func (w *world) thawUnnoticed(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.thawed != nil {
		n.clockLag += time.Since(n.frozenSince)
	}
	n.wake()
}

// now returns the time by the node's clock.
func (n *node) now() time.Time {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return time.Now().Add(-n.clockLag)
}

func (w *world) thaw(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.thawed != nil {
		n.lastPause = time.Now().Add(-n.clockLag)
	}
	n.wake()
}

// wake ends a freeze. The caller must hold w.mu.
func (n *node) wake() {
	if n.thawed != nil {
		close(n.thawed)
		n.thawed = nil
	}
}

func (w *world) kill(n *node) {
	w.mu.Lock()
	n.dead = true
	w.mu.Unlock()
	n.cancel()
	w.thaw(n)
}

// drainAndKill drains the node within the limit and then ends its process.
func (w *world) drainAndKill(n *node, limit time.Duration) {
	w.mu.Lock()
	n.draining = true
	w.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		n.m.Drain(ctx)
		w.kill(n)
	}()
}

func (w *world) applyEvent(n *node, s nodeEvent) {
	switch {
	case n == nil:
	case s == eventFreeze:
		w.freeze(n)
	case s == eventKill:
		w.kill(n)
	}
}

// waitAlive blocks while the node is frozen and reports whether the node is alive. Each step of a
// node calls it.
func (n *node) waitAlive() bool {
	if n == nil {
		return true
	}
	for {
		n.w.mu.Lock()
		dead, thawed := n.dead, n.thawed
		n.w.mu.Unlock()
		if dead || thawed == nil {
			return !dead
		}
		<-thawed
	}
}

// Search and State implement upstream.Caller.
func (n *node) Search(context.Context, string, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	panic("no search in these tests")
}

func (n *node) State(leaf string) (upstream.State, bool) {
	n.waitAlive()
	return upstream.State{Leaf: leaf, Connected: true, Leaving: n.leaving[leaf]}, true
}

// Pick and AllowRetry implement balance.Replicas.
func (n *node) Pick(candidates []string) (balance.Call, bool) {
	n.waitAlive()
	return fakeCall(candidates[0]), !n.full
}

type fakeCall string

func (c fakeCall) Leaf() string        { return string(c) }
func (c fakeCall) Suspect() bool       { return false }
func (c fakeCall) Done(balance.Result) {}

// AllowRetry denies all retries, as an empty retry budget does.
func (n *node) AllowRetry(float64) bool { return false }

// recordPause lets the node observe a pause of its own that ended at t. From then on its leaves
// have free slots.
func (n *node) recordPause(t time.Time) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.lastPause, n.full = t, false
}

// LastPause implements Pauses.
func (n *node) LastPause(time.Time) time.Time {
	n.waitAlive()
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.lastPause
}

// Current, Changed and Fresh implement feed.Source.
func (n *node) Current() *feed.View {
	n.waitAlive()
	return n.w.view(n.id, n.zone)
}

func (n *node) Changed() <-chan struct{} { return nil }
func (n *node) Fresh() bool              { return !n.stale }
func (n *node) FreshSince(t time.Time) bool {
	return n.Fresh() && !n.LastPause(time.Time{}).After(t)
}

// entrySource is the feed.Source of an entry.
type entrySource struct{ w *world }

func (e entrySource) Current() *feed.View      { return e.w.view("entry", "az-1") }
func (e entrySource) Changed() <-chan struct{} { return nil }
func (e entrySource) Fresh() bool              { return true }

// FreshSince implements feed.Source.
func (e entrySource) FreshSince(time.Time) bool { return true }

func (w *world) view(id, zone string) *feed.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := &feed.View{VM: id, Zone: zone, Bundle: testBundle()}
	for _, id := range slices.Sorted(maps.Keys(w.viewVMs)) {
		v.VMs = append(v.VMs, w.viewVMs[id])
	}
	return v
}

// actualVM returns the actual state of the node's VM. The caller must hold w.mu.
func (w *world) actualVM(n *node) *pb.Vm {
	vm := gatherVM(n.id, n.zone, n.incarnation)
	switch {
	case n.dead: // the sync process of the VM reports it
		vm.Processes[0].State = pb.ProcessState_PROCESS_STATE_GONE
	case n.draining:
		vm.Processes[0].State = pb.ProcessState_PROCESS_STATE_DRAINING
	}
	return vm
}

// publishActualState sets the view of all processes to the actual state.
func (w *world) publishActualState() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.nodes {
		w.viewVMs[id] = w.actualVM(n)
	}
}

// setViewState sets the state of a VM in the view of all processes, whether or not it is the actual
// one.
func (w *world) setViewState(id string, s pb.VmState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.viewVMs[id]
	w.viewVMs[id] = &pb.Vm{Id: old.Id, Zone: old.Zone, State: s, Processes: old.Processes}
}

// setViewGatherEnded shows the gather of a VM as ended in the view of all processes, whether or not
// it has.
func (w *world) setViewGatherEnded(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.viewVMs[id]
	ended := gatherVM(old.Id, old.Zone, gatherOf(old).GetIncarnation())
	ended.Processes[0].State = pb.ProcessState_PROCESS_STATE_GONE
	w.viewVMs[id] = ended
}

// viewIsAccurate reports whether the view equals the actual state.
func (w *world) viewIsAccurate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.nodes {
		if fmt.Sprint(w.viewVMs[id]) != fmt.Sprint(w.actualVM(n)) {
			return false
		}
	}
	return true
}

const testTimeout = time.Second

func testBundle() *bundle.Bundle {
	book := &bundle.Kind{Name: "book", Mode: bundle.ModeOrder, Timeout: testTimeout}
	dawn := &bundle.Kind{Name: "dawn", Mode: bundle.ModeSearch, Timeout: testTimeout}
	return &bundle.Bundle{Version: 5, Services: map[string]*bundle.Service{
		"teachers": {
			Name:  "teachers",
			Kinds: map[string]*bundle.Kind{"book": book, "dawn": dawn},
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

func orderRequest(ticket, payload string) *pb.GatherOrderRequest {
	return &pb.GatherOrderRequest{
		Identity: &pb.Identity{RequestId: "r", Caller: "desk"},
		Order:    &pb.OrderRequest{Ticket: ticket, Service: "teachers", Kind: "book", Key: "k", Payload: payload},
	}
}
