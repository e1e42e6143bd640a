package crashguard_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/crashguard"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/notify"
	"github.com/burdockplank/burdockplank/internal/overload"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/replica"
	"github.com/burdockplank/burdockplank/internal/retrybudget"
)

const (
	ms = time.Millisecond
	// workTime is how long a leaf works on a request, timeToCrash how long before a request crashes it.
	workTime, timeToCrash = 160 * ms, 70 * ms
	// entryExpiry is how long the store keeps the entry of a leaf that has ended.
	entryExpiry = 3600 * ms
	// viewDelay is how long a change of the store takes to reach the VMs, linkDelay a message between two of them.
	viewDelay, linkDelay = 50 * ms, ms
	// slots is how many requests a leaf runs at once, queue how many may wait there.
	slots, queue = 6, 12
	// contactTimeout is how long after its third crash a request may still be sent.
	contactTimeout = 4 * time.Second
	// crashMark begins the path of requests that crash leaves.
	crashMark = "/i/crash"
)

// fleetPlan describes a fleet and what its leaves do.
type fleetPlan struct {
	vms int
	// leaves of the service that all requests go to, leavesLater of the one to which the route moves at moveAt; 0 for never.
	leaves, leavesLater int
	moveAt              time.Duration
	// share is the share of the runs of a crashing request that crash their leaf, harmlessFor the time before which none
	// does.
	share       float64
	harmlessFor time.Duration
	// backAfter is how long a leaf is down until another start of it takes its address; negative for never.
	backAfter time.Duration
	// patience is how long the callers of the crashing request wait; 0 for as long as others. Leaves run it to its end all
	// the same.
	patience time.Duration
	// work is how long a leaf works on a request, 0 for workTime; crashesAt how long before a request crashes it, 0 for
	// timeToCrash.
	work, crashesAt time.Duration
	// unresponsive is set if the address of a leaf that ended takes connections and answers nothing.
	unresponsive bool
	// slowStore makes changes of the store reach the VMs after a second.
	slowStore bool
	// events happen to the leaves for reasons of their own.
	events []fleetEvent
	seed   uint64
}

// fleetEvent is what happens to the leaves at a time after the start.
type fleetEvent struct {
	at     time.Duration
	happen func(f *modelFleet)
}

// modelFleet is a fleet of VMs with their engines and guards, and leaves that requests crash, in virtual time.
type modelFleet struct {
	plan    fleetPlan
	started time.Time
	vms     []*modelVM
	others  sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc

	mu sync.Mutex
	// The fields below are guarded by mu. starts counts the leaves that were started. ends are the times at which a
	// crashing request ended a leaf, runs those at which leaves began to run one.
	leaves map[catalog.LeafID]*modelLeaf
	starts int
	ends   []time.Time
	runs   []time.Time
	view   *directory.View
	moved  bool
}

// modelLeaf is one start of a leaf.
type modelLeaf struct {
	catalog.Leaf
	// ended is closed when the leaf ends.
	ended chan struct{}
	// cut is set while nothing reaches the leaf.
	cut bool
	// entry is the state of its entry in the store.
	entry entryState
	// running holds the requests that run, waiting counts those that run or wait for a slot.
	running chan struct{}
	waiting int
}

type entryState int

const (
	entryReady entryState = iota
	entryExpired
	entryGone
)

// down reports whether the leaf has ended.
func (l *modelLeaf) down() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// modelVM is a VM of the fleet.
type modelVM struct {
	f       *modelFleet
	address string
	engine  *dispatch.Engine
	guard   *crashguard.Guard
	peers   *peers.Manager
	view    atomic.Pointer[directory.View]
}

func startFleet(plan fleetPlan) *modelFleet {
	f := &modelFleet{plan: plan, started: time.Now(), leaves: make(map[catalog.LeafID]*modelLeaf)}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.mu.Lock()
	for i := range plan.leaves + plan.leavesLater {
		service := "x"
		if i >= plan.leaves {
			service = "later"
		}
		f.startLeaf(service, fmt.Sprintf("10.0.0.%d:80", i), fmt.Sprintf("z%d", i%3))
	}
	f.view = f.currentView()
	f.mu.Unlock()
	for i := range plan.vms {
		f.vms = append(f.vms, f.newVM(i))
	}
	for _, v := range f.vms {
		f.others.Go(func() { _ = v.peers.Run(f.ctx) })
		f.others.Go(func() { _ = v.guard.Run(f.ctx, v) })
	}
	if plan.moveAt > 0 {
		f.after(plan.moveAt, func() { f.moved = true })
	}
	time.Sleep(time.Second) // the VMs meet
	f.started = time.Now()
	for _, e := range plan.events {
		f.others.Go(func() {
			time.Sleep(e.at)
			e.happen(f)
		})
	}
	return f
}

// end stops the VMs.
func (f *modelFleet) end() {
	for _, v := range f.vms {
		v.engine.Wait()
	}
	f.stop()
	f.others.Wait()
	time.Sleep(2 * linkDelay) // for the exchanges that are under way
}

func (f *modelFleet) newVM(i int) *modelVM {
	v := &modelVM{f: f, address: fmt.Sprint("vm", i)}
	v.view.Store(f.view)
	changed := notify.New()
	v.peers = peers.New(peers.Config{
		Self: v.address, Zone: fmt.Sprintf("z%d", i%3), Incarnation: 1, Seeds: func() []string { return []string{"vm0"} }, Mirror: mirror.New(changed),
		Changed: changed, Evidence: replica.New(), Dial: func(to string) peers.Client { return modelLink{f, to} }, Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	v.guard = crashguard.New(v.peers, time.Now, zap.NewNop(), prometheus.NewRegistry())
	budget := retrybudget.New(retrybudget.Limit{Ratio: 0.2, Slack: 52 / float64(f.plan.vms), Window: 10 * time.Second}, time.Now)
	v.engine = dispatch.New(dispatch.Location{Zone: fmt.Sprintf("z%d", i%3)}, v, v, replica.New(), budget, v.guard, noColdLeaves{}, openGate{}, noObserver{})
	return v
}

// modelLink carries the exchanges to a VM.
type modelLink struct {
	f  *modelFleet
	to string
}

func (l modelLink) Exchange(_ context.Context, req *pb.FleetExchange) (*pb.FleetExchange, error) {
	time.Sleep(linkDelay)
	for _, v := range l.f.vms {
		if v.address == l.to {
			return v.peers.Answer(req), nil
		}
	}
	return nil, errors.New("no such VM")
}

// startLeaf starts a leaf. Requires mu.
func (f *modelFleet) startLeaf(service, address, zone string) {
	f.starts++
	l := &modelLeaf{
		Leaf:  catalog.Leaf{ID: catalog.LeafID{Name: fmt.Sprintf("i-%d", f.starts)}, Service: service, Address: address, Zone: zone, Slots: slots},
		ended: make(chan struct{}), running: make(chan struct{}, slots),
	}
	f.leaves[l.ID] = l
}

// after changes the state of the fleet later, and publishes the view of the leaves that results.
func (f *modelFleet) after(d time.Duration, change func()) {
	f.others.Go(func() {
		select {
		case <-f.ctx.Done():
			return
		case <-time.After(d):
		}
		f.mu.Lock()
		change()
		f.view = f.currentView()
		view := f.view
		f.mu.Unlock()
		delay := viewDelay
		if f.plan.slowStore {
			delay = time.Second
		}
		time.Sleep(delay)
		for _, v := range f.vms {
			v.view.Store(view)
			v.guard.SetView(view)
		}
	})
}

// currentView returns the view that the store's entries give. Requires mu.
func (f *modelFleet) currentView() *directory.View {
	service := "x"
	if f.moved {
		service = "later"
	}
	route := &catalog.Route{
		Name: "i", Host: "h", Prefix: "/i/", Idempotent: true, Timeout: 4 * time.Second, Target: 600 * ms, MaxAttempts: 2,
		Split: []catalog.Weighted{{Service: service, Weight: 1}},
	}
	v := &directory.View{
		Config: catalog.New(1, []*catalog.Route{route}, []catalog.Service{{Name: "x", HealthPath: "/health"}, {Name: "later", HealthPath: "/health"}}, catalog.Limits{}),
		Leaves: make(map[string][]catalog.Leaf), Expired: make(map[string][]catalog.Leaf), Removed: make(map[string][]catalog.Leaf),
	}
	for _, l := range f.leaves {
		switch l.entry {
		case entryReady:
			v.Leaves[l.Service] = append(v.Leaves[l.Service], l.Leaf)
		case entryExpired:
			v.Expired[l.Service] = append(v.Expired[l.Service], l.Leaf)
			v.Removed[l.Service] = append(v.Removed[l.Service], l.Leaf)
		}
	}
	return v
}

// crash ends a leaf. Requires mu.
func (f *modelFleet) crash(l *modelLeaf) {
	if l.down() {
		return
	}
	close(l.ended)
	f.after(entryExpiry, func() { l.entry = entryExpired })
	f.after(entryExpiry+3*time.Second, func() { l.entry = entryGone })
	if f.plan.backAfter >= 0 {
		f.after(f.plan.backAfter, func() { f.startLeaf(l.Service, l.Address, l.Zone) })
	}
}

// crashSome ends n leaves of the service at the same moment, for a reason of their own.
func (f *modelFleet) crashSome(n int, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.leaves {
		if n > 0 && l.Service == service && !l.down() {
			f.crash(l)
			n--
		}
	}
}

// cutZone makes the leaves of an availability zone unreachable for d. Their entries expire meanwhile.
func (f *modelFleet) cutZone(zone string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.leaves {
		if l.Zone != zone {
			continue
		}
		l.cut = true
		f.after(entryExpiry, func() { l.entry = max(l.entry, entryExpired) })
		f.after(d, func() {
			l.cut = false
			if !l.down() {
				l.entry = entryReady
			}
		})
	}
}

// crashes reports whether the run of the request at the leaf crashes it, the same for the same run in each play.
func (f *modelFleet) crashes(r *leafcall.Request, id catalog.LeafID) bool {
	if !strings.HasPrefix(r.Target, crashMark) || time.Since(f.started) < f.plan.harmlessFor {
		return false
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, f.plan.seed, r.ID, id.Name)
	return float64(h.Sum64()%10_000) < f.plan.share*10_000
}

// Do implements dispatch.Leaves.
func (v *modelVM) Do(ctx context.Context, id catalog.LeafID, r *leafcall.Request) (*leafcall.Response, error) {
	f := v.f
	f.mu.Lock()
	l := f.leaves[id]
	down, cut, full := l.down(), l.cut, l.waiting >= slots+queue
	if !full {
		l.waiting++
	}
	f.mu.Unlock()
	switch {
	case cut || down && f.plan.unresponsive:
		<-ctx.Done()
		return nil, callError(l, leafcall.TimedOut)
	case down && v.taken(l):
		time.Sleep(ms)
		return &leafcall.Response{Status: http.StatusMisdirectedRequest, NotRun: true, WrongIncarnation: true}, nil
	case down:
		time.Sleep(ms)
		return nil, &leafcall.Error{Cause: leafcall.NoConnection, Refused: true, Peer: id.Name, Err: errors.New("refused")}
	case full:
		time.Sleep(ms)
		return &leafcall.Response{Status: http.StatusServiceUnavailable, NotRun: true, Load: &replica.Load{Running: slots, Waiting: queue, Slots: slots}}, nil
	}
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		l.waiting--
	}()
	select {
	case <-ctx.Done():
		return nil, callError(l, leafcall.Abandoned)
	case <-l.ended:
		return nil, callError(l, leafcall.ConnectionLost)
	case l.running <- struct{}{}:
	}
	defer func() { <-l.running }()
	return f.run(ctx, l, r)
}

// run runs a request in a slot of the leaf.
func (f *modelFleet) run(ctx context.Context, l *modelLeaf, r *leafcall.Request) (*leafcall.Response, error) {
	f.mu.Lock()
	crashes := f.crashes(r, l.ID)
	if strings.HasPrefix(r.Target, crashMark) {
		f.runs = append(f.runs, time.Now())
	}
	f.mu.Unlock()
	if crashes {
		time.AfterFunc(cmp.Or(f.plan.crashesAt, timeToCrash), func() { f.crashBy(l) })
	}
	select {
	case <-ctx.Done():
		return nil, callError(l, leafcall.Abandoned)
	case <-l.ended:
		return nil, callError(l, leafcall.ConnectionLost)
	case <-time.After(cmp.Or(f.plan.work, workTime)):
		return &leafcall.Response{Status: http.StatusOK, Signature: "s-" + l.ID.Name, Body: []byte("body")}, nil
	}
}

// crashBy ends the leaf by the crashing request.
func (f *modelFleet) crashBy(l *modelLeaf) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !l.down() {
		f.ends = append(f.ends, time.Now())
		f.crash(l)
	}
}

// callError returns the end of a call that reached the leaf and has no answer.
func callError(l *modelLeaf, cause leafcall.Cause) error {
	return &leafcall.Error{Cause: cause, Sent: true, Peer: l.ID.Name, Err: errors.New("no answer")}
}

// Probe implements crashguard.Prober.
func (v *modelVM) Probe(_ context.Context, id catalog.LeafID) leafcall.Reachability {
	f := v.f
	f.mu.Lock()
	l := f.leaves[id]
	down, cut := l.down(), l.cut
	f.mu.Unlock()
	switch {
	case cut:
		return leafcall.NoResponse
	case !down, f.plan.unresponsive, v.taken(l):
		return leafcall.Reached
	}
	return leafcall.Refused
}

// Ask implements crashguard.Prober.
func (v *modelVM) Ask(_ context.Context, id catalog.LeafID, _ string) leafcall.Reachability {
	v.f.mu.Lock()
	l := v.f.leaves[id]
	down, cut := l.down(), l.cut
	v.f.mu.Unlock()
	switch {
	case down && v.taken(l):
		return leafcall.TakenOver
	case down && !v.f.plan.unresponsive:
		return leafcall.Refused
	case down, cut:
		time.Sleep(time.Second)
		return leafcall.NoResponse
	}
	return leafcall.Answered
}

// taken reports whether another start of a leaf has the address of the leaf, which has ended.
func (v *modelVM) taken(l *modelLeaf) bool {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	for _, other := range v.f.leaves {
		if other.Address == l.Address && !other.down() {
			return true
		}
	}
	return false
}

// Free implements dispatch.Leaves.
func (v *modelVM) Free(catalog.LeafID) (free, open bool) { return true, true }

// Current and Await implement dispatch.StartingDirectory.
func (v *modelVM) Current() *directory.View { return v.view.Load() }

// Await implements dispatch.StartingDirectory.
func (v *modelVM) Await(context.Context, time.Duration) *directory.View { return v.view.Load() }

// ask serves a request at the VM. Its caller leaves after patience; 0 for never.
func (v *modelVM) ask(path, id string, patience time.Duration) *dispatch.Answer {
	ctx := context.Background()
	if patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, patience)
		defer cancel()
	}
	return v.engine.Serve(ctx, &dispatch.Request{
		ID: id, Method: http.MethodGet, Host: "h", Path: path, Target: path, Remaining: 4 * time.Second, Arrived: time.Now(),
	})
}

// crashCounts returns how many leaves the crashing request ended, and how many of its runs began later than contactTimeout
// after the third of these ends.
func (f *modelFleet) crashCounts() (ended, runsTooLate int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.runs {
		if len(f.ends) >= 3 && at.After(f.ends[2].Add(contactTimeout)) {
			runsTooLate++
		}
	}
	return len(f.ends), runsTooLate
}

type noColdLeaves struct{}

func (noColdLeaves) Available(catalog.Leaf, float64) bool { return true }
func (noColdLeaves) Take(catalog.Leaf, float64) bool      { return true }

type openGate struct{}

func (openGate) Admit(time.Time, overload.Request) overload.Decision {
	return overload.Decision{Admitted: true}
}

type noObserver struct{}

func (noObserver) Ended(*dispatch.Request, *dispatch.Answer, *dispatch.Trace) {}
