package order

import (
	"context"
	"errors"
	"fmt"
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

// The steps at which a fault may be armed. A fault strikes the next call of its step.
const (
	atNote     = "note"
	atHandover = "handover"
	atResolve  = "resolve"
	atOrder    = "order"
	atExecute  = "execute"
)

// fault is what befalls one call.
type fault struct {
	dropRequest, dropResponse bool
	delay                     time.Duration
	// before and after strike the sender, before it sends and after it has the answer.
	before, after strike
	// notWritten, refused and broken are ways a call to a leaf fails; a broken one runs all the same.
	notWritten, refused, broken bool
}

type strike int

const (
	strikeNone strike = iota
	strikeFreeze
	strikeKill
)

var errLost = errors.New("lost")

// world is some gathers, the leaves and the network between them, on fake time. An order is told
// apart by its ticket at the leaves.
type world struct {
	cfg Config

	mu sync.Mutex
	// All below is guarded by mu.
	nodes           map[string]*node
	lastIncarnation uint64
	cut             map[[2]string]bool
	armed           map[string]fault
	// believed is the view that all processes have; it changes by news and rumours only.
	believed map[string]*pb.Vm
	runs     map[string]int
}

// node is one incarnation of a VM's gather.
type node struct {
	w           *world
	id, zone    string
	incarnation uint64
	m           *Manager
	pauses      fakePauses
	cancel      context.CancelFunc
	dead, left  bool
	draining    bool
	// thawed is nil while the node runs, frozeAt when it froze, lag how far its clocks are behind;
	// these, dead and draining are guarded by w.mu.
	thawed  chan struct{}
	frozeAt time.Time
	lag     time.Duration
	balance.Replicas
}

func newWorld(cfg Config, zones map[string]string) *world {
	w := &world{
		cfg: cfg, nodes: make(map[string]*node), cut: make(map[[2]string]bool),
		armed: make(map[string]fault), believed: make(map[string]*pb.Vm), runs: make(map[string]int),
	}
	for id, zone := range zones {
		w.start(id, zone)
	}
	w.news()
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
		n.thawed, n.frozeAt = make(chan struct{}), time.Now()
	}
}

// thawUnaware wakes a node whose clocks stood still while it was frozen, so that it sees no pause.
func (w *world) thawUnaware(n *node) {
	w.mu.Lock()
	if n.thawed != nil {
		n.lag += time.Since(n.frozeAt)
	}
	w.mu.Unlock()
	w.wake(n, n.pauses.LastPause(time.Time{}))
}

// now is the node's clock.
func (n *node) now() time.Time {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return time.Now().Add(-n.lag)
}

func (w *world) thaw(n *node) { w.wake(n, n.now()) }

func (w *world) wake(n *node, pauseSeen time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.thawed != nil {
		n.pauses.paused(pauseSeen)
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

// leave drains the node within the limit and ends its process.
func (w *world) leave(n *node, limit time.Duration) {
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

func (w *world) strike(n *node, s strike) {
	switch {
	case n == nil:
	case s == strikeFreeze:
		w.freeze(n)
	case s == strikeKill:
		w.kill(n)
	}
}

// alive waits while the node is frozen and tells whether it lives. Each step of a node passes here.
func (n *node) alive() bool {
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

func (w *world) arm(step string, f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed[step] = f
}

func (w *world) take(step string) fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.armed[step]
	delete(w.armed, step)
	return f
}

func linkOf(from *node, to string) [2]string {
	name := "entry"
	if from != nil {
		name = from.id
	}
	return [2]string{min(name, to), max(name, to)}
}

func (w *world) isCut(from *node, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[linkOf(from, to)]
}

// call carries one message to the gather of a VM and its answer back; from is nil for the entry. A
// lost message shows at the end of ctx. A request may arrive long after its sender gave up.
func call[T any](w *world, ctx context.Context, from *node, to, step string, handle func(*node) (T, error)) (T, error) {
	type result struct {
		v   T
		err error
	}
	var none T
	f := w.take(step)
	if w.strike(from, f.before); !from.alive() {
		return none, errLost
	}
	answer := make(chan result, 1)
	if !f.dropRequest && !w.isCut(from, to) {
		go func() {
			time.Sleep(f.delay)
			n := w.node(to)
			if !n.alive() {
				return
			}
			v, err := handle(n)
			if n.alive() && !f.dropResponse && !w.isCut(from, to) {
				answer <- result{v, err}
			}
		}()
	}
	r := result{err: errLost}
	select {
	case r = <-answer:
	case <-ctx.Done():
	}
	if w.strike(from, f.after); !from.alive() {
		return none, errLost
	}
	return r.v, r.err
}

// netPeers is Peers over the fake network.
type netPeers struct {
	w    *world
	from *node
}

type netPeer struct {
	netPeers
	to string
}

func (p netPeers) Peer(vm *pb.Vm) burdockv1connect.TicketPeerServiceClient {
	return netPeer{p, vm.GetId()}
}

func (p netPeer) NoteIntent(ctx context.Context, req *pb.NoteIntentRequest) (*pb.NoteIntentResponse, error) {
	return call(p.w, ctx, p.from, p.to, atNote, func(n *node) (*pb.NoteIntentResponse, error) {
		return n.m.Handler().NoteIntent(ctx, req)
	})
}

func (p netPeer) Resolve(ctx context.Context, req *pb.ResolveRequest) (*pb.ResolveResponse, error) {
	return call(p.w, ctx, p.from, p.to, atResolve, func(n *node) (*pb.ResolveResponse, error) {
		return n.m.Handler().Resolve(ctx, req)
	})
}

func (p netPeer) Handover(ctx context.Context, req *pb.HandoverRequest) (*pb.HandoverResponse, error) {
	return call(p.w, ctx, p.from, p.to, atHandover, func(n *node) (*pb.HandoverResponse, error) {
		return n.m.Handler().Handover(ctx, req)
	})
}

// Execute implements upstream.Caller. What is written may run at any time after.
func (n *node) Execute(ctx context.Context, leaf string, req *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	f := n.w.take(atExecute)
	n.w.strike(n, f.before)
	if !n.alive() || f.notWritten {
		return nil, &upstream.CallError{Leaf: leaf, Err: errLost}
	}
	if f.refused {
		return nil, &upstream.CallError{Leaf: leaf, Wrote: true, Refusal: pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING, Err: errLost}
	}
	answer := make(chan struct{}, 1)
	if !f.dropRequest {
		go func() {
			time.Sleep(f.delay)
			n.w.ran(req.GetTicket())
			if !f.dropResponse {
				answer <- struct{}{}
			}
		}()
	}
	var err error
	if f.broken {
		err = &upstream.CallError{Leaf: leaf, Wrote: true, ConnectionLost: true, Err: errLost}
	} else {
		select {
		case <-answer:
		case <-ctx.Done():
			err = &upstream.CallError{Leaf: leaf, Wrote: true, Err: ctx.Err()}
		}
	}
	n.w.strike(n, f.after)
	n.alive()
	return doneResponse(req), err
}

func (w *world) ran(ticket string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[ticket]++
}

func (w *world) runsOf(ticket string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[ticket]
}

// Search and State implement upstream.Caller.
func (n *node) Search(context.Context, string, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	panic("no search in these tests")
}

func (n *node) State(leaf string) (upstream.State, bool) {
	n.alive()
	return upstream.State{Leaf: leaf, Connected: true}, true
}

// Pick and AllowRetry implement balance.Replicas.
func (n *node) Pick(candidates []string) (balance.Call, bool) {
	n.alive()
	return fakeCall(candidates[0]), true
}

func (n *node) AllowRetry(float64) bool { return true }

// LastPause implements Pauses.
func (n *node) LastPause(now time.Time) time.Time {
	n.alive()
	return n.pauses.LastPause(now)
}

// Current, Changed and Fresh implement feed.Source.
func (n *node) Current() *feed.View {
	n.alive()
	return n.w.view(n.id, n.zone)
}

func (n *node) Changed() <-chan struct{} { return nil }
func (n *node) Fresh() bool              { return true }

// entrySource is the feed.Source of an entry.
type entrySource struct{ w *world }

func (e entrySource) Current() *feed.View      { return e.w.view("entry", "az-1") }
func (e entrySource) Changed() <-chan struct{} { return nil }
func (e entrySource) Fresh() bool              { return true }

func (w *world) view(id, zone string) *feed.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := &feed.View{VM: id, Zone: zone, Bundle: w.bundle()}
	for _, vm := range w.believed {
		v.VMs = append(v.VMs, vm)
	}
	return v
}

func (w *world) bundle() *bundle.Bundle { return testBundle() }

// truth is what is the case with the VM. Needs mu.
func (w *world) truth(n *node) *pb.Vm {
	vm := gatherVM(n.id, n.zone, n.incarnation)
	switch {
	case n.dead:
		vm.State = pb.VmState_VM_STATE_GONE
	case n.draining:
		vm.Processes[0].State = pb.ProcessState_PROCESS_STATE_DRAINING
	}
	return vm
}

// news makes everyone believe what is the case.
func (w *world) news() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.nodes {
		w.believed[id] = w.truth(n)
	}
}

// rumour makes everyone believe a state of a VM, true or not.
func (w *world) rumour(id string, s pb.VmState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.believed[id]
	w.believed[id] = &pb.Vm{Id: old.Id, Zone: old.Zone, State: s, Processes: old.Processes}
}

// viewTrue tells whether all that is believed is the case.
func (w *world) viewTrue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.nodes {
		if fmt.Sprint(w.believed[id]) != fmt.Sprint(w.truth(n)) {
			return false
		}
	}
	return true
}
