package fleetload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/replica"
)

const (
	// leafCount leaves of slotCount slots belong to the service. Each VM of a zone of 60 gets 2 answers a second of
	// each, as observed in a fleet of 71.
	leafCount, slotCount = 15, 4
	zoneAnswersPerSecond = 120
	inZoneTrip           = 200 * time.Microsecond
	otherZoneTrip        = 3 * time.Millisecond
	// zoneBound and fleetBound are the times within which a report is known in the zone and in the fleet.
	zoneBound, fleetBound = 300 * time.Millisecond, 600 * time.Millisecond
	// maxBytesPerSecond is what control messages may take for each VM.
	maxBytesPerSecond = 4 << 10
)

// testFleet is a fleet in virtual time.
type testFleet struct {
	vms map[string]*testVM
	// list holds the VMs by zone; the first two of a zone are its gateways.
	list  map[string][]*testVM
	bytes atomic.Int64

	mu sync.Mutex
	// dead holds the VMs that answer nothing, cut the zones that reach no other. load is that of each leaf.
	dead, cut map[string]bool
	load      map[catalog.LeafID]replica.Load
	// callers decides which VMs call a leaf; nil for all.
	callers func(vm *testVM, id catalog.LeafID) bool
}

type testVM struct {
	*Manager
	fleet         *testFleet
	address, zone string
	table         *replica.Table
	others        *fakeGatherers
	ownBytes      atomic.Int64
}

// fakeGatherers holds what a VM observed itself of gatherers, and what others told it.
type fakeGatherers struct {
	mu            sync.Mutex
	own, recorded []delegate.GathererLoad
}

func (g *fakeGatherers) GathererLoads(time.Time) []delegate.GathererLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.own
}

func (g *fakeGatherers) RecordGatherers(l []delegate.GathererLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recorded = append(g.recorded, l...)
}

// heard returns what other VMs told.
func (g *fakeGatherers) heard() []delegate.GathererLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.recorded)
}

func (g *fakeGatherers) setOwn(l []delegate.GathererLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.own = l
}

func gatherer(i int, wait time.Duration, at time.Time) delegate.GathererLoad {
	limits := []time.Duration{80 * time.Millisecond, 60 * time.Millisecond, 40 * time.Millisecond, 20 * time.Millisecond}
	return delegate.GathererLoad{Address: fmt.Sprintf("10.1.0.%d:8224", i), Wait: wait, Limits: limits, At: at}
}

// loopback is the client of vm for the VM at the address to.
type loopback struct {
	vm *testVM
	to string
}

func (l loopback) Load(ctx context.Context, req *pb.FleetLoad) (*pb.FleetLoad, error) {
	l.count(req)
	to, trip := l.vm.fleet.vms[l.to], inZoneTrip
	if to.zone != l.vm.zone {
		trip = otherZoneTrip
	}
	if !l.vm.fleet.reaches(l.vm, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(trip)
	answer := to.Answer(req)
	l.count(answer)
	time.Sleep(trip)
	return answer, ctx.Err()
}

func (l loopback) count(msg *pb.FleetLoad) {
	size := int64(proto.Size(msg))
	l.vm.fleet.bytes.Add(size)
	l.vm.ownBytes.Add(size)
}

func (f *testFleet) reaches(a, b *testVM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.dead[b.address] && (a.zone == b.zone || !f.cut[a.zone] && !f.cut[b.zone])
}

// newFleet returns a fleet with the given number of VMs in each zone.
func newFleet(zones, vmsPerZone int) *testFleet {
	f := &testFleet{
		vms: make(map[string]*testVM), list: make(map[string][]*testVM),
		dead: make(map[string]bool), cut: make(map[string]bool), load: make(map[catalog.LeafID]replica.Load),
	}
	for z := range zones {
		zone := fmt.Sprint("zone-", z)
		for i := range vmsPerZone {
			address := fmt.Sprintf("10.0.%d.%d:8224", z, i)
			vm := &testVM{fleet: f, address: address, zone: zone, table: replica.New(), others: &fakeGatherers{}}
			vm.Manager = New(Config{
				Self: vm.address, Zone: zone, Gateways: f.gateways, Leaves: vm.table, Gatherers: vm.others,
				Own: func() *pb.FleetPong { return nil }, Service: func(catalog.LeafID) string { return "x" },
				Dial:   func(to string) Client { return loopback{vm, to} },
				Random: rand.Float64, Registry: prometheus.NewRegistry(),
			})
			f.vms[vm.address] = vm
			f.list[zone] = append(f.list[zone], vm)
		}
	}
	return f
}

func (f *testFleet) gateways() map[string][]peers.VM {
	out := make(map[string][]peers.VM)
	for zone, vms := range f.list {
		for _, vm := range vms[:min(2, len(vms))] {
			out[zone] = append(out[zone], peers.VM{Address: vm.address, Zone: zone})
		}
	}
	return out
}

// run runs the VMs and their calls, with the given load at each leaf, until the test ends.
func (f *testFleet) run(t *testing.T, perLeaf replica.Load) {
	f.setAll(perLeaf)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for _, vm := range f.vms {
		wg.Go(func() { _ = vm.Run(ctx) })
		wg.Go(func() { vm.call(ctx) })
	}
}

// call gets an answer of a random leaf at the VM's part of the zone's rate, until ctx ends.
func (vm *testVM) call(ctx context.Context) {
	mean := time.Second * time.Duration(len(vm.fleet.list[vm.zone])) / (zoneAnswersPerSecond * leafCount)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.Float64() * 2 * float64(mean)))
		vm.fleet.mu.Lock()
		id := leaf(rand.IntN(leafCount))
		load, calls := vm.fleet.load[id], vm.fleet.callers == nil || vm.fleet.callers(vm, id)
		vm.fleet.mu.Unlock()
		if calls {
			vm.answered(id, load)
		}
	}
}

// answered records the answer of a leaf to a call of this VM.
func (vm *testVM) answered(id catalog.LeafID, load replica.Load) {
	now := time.Now()
	_, call := vm.table.Choose(now, "x", time.Millisecond, []replica.Candidate{{ID: id, Slots: slotCount}})
	vm.table.Report(id, load, now)
	call.End(replica.OK, now)
}

func (f *testFleet) setAll(load replica.Load) {
	f.set(func() {
		for i := range leafCount {
			f.load[leaf(i)] = load
		}
	})
}

func (f *testFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// unaware returns the live VMs of the zones that do not know that the leaf has at least waiting calls in its queue.
func (f *testFleet) unaware(id catalog.LeafID, waiting int, zones ...string) (out []string) {
	for _, zone := range zones {
		for _, vm := range f.list[zone] {
			if !f.dead[vm.address] && vm.knownWaiting(id) < waiting {
				out = append(out, vm.address)
			}
		}
	}
	return out
}

// knownWaiting returns the queue of the leaf by the VM's newest report, or -1 without one.
func (vm *testVM) knownWaiting(id catalog.LeafID) int {
	for _, r := range vm.table.Loads(time.Now(), maxAge, func(other catalog.LeafID) bool { return other == id }) {
		return r.Load.Waiting
	}
	return -1
}

func leaf(i int) catalog.LeafID {
	return catalog.LeafID{Name: fmt.Sprintf("i-%06x", i), StartMillis: 1_700_000_000_000}
}
