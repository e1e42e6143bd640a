package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/replica"
	"github.com/burdockplank/burdockplank/internal/retrybudget"
)

// pressedLeaf is a leaf with slots and a queue that refuses calls beyond it.
type pressedLeaf struct {
	slots chan struct{}
	mu    sync.Mutex
	// waiting, slowness and dark are guarded by mu.
	waiting  int
	slowness float64
	dark     bool
}

// pressedFleet is several VMs that share leaves. The work of a call depends on its route.
type pressedFleet struct {
	*world
	rng     *rand.Rand
	routes  []*catalog.Route
	work    map[string]time.Duration
	leaves  map[string]*pressedLeaf
	engines []*Engine
	slots   int
	queue   int
	// shared is set if all VMs get the load reports of all calls at once.
	shared bool
	// waited counts the calls that waited while another leaf had a free slot.
	waited int
	sent   int
}

// pressureRoute returns a route with the priority, and with slots and a queue for each of its leaves.
func pressureRoute(name string, priority int, target time.Duration, services ...string) *catalog.Route {
	r := &catalog.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: true, MaxAttempts: 2, Priority: priority, Target: target,
		Timeout: 4 * target, TopK: 3, MinShare: 0.89,
	}
	if len(services) > 1 {
		r.Shards = services
	} else {
		r.Split = []catalog.Weighted{{Service: services[0], Weight: 1}}
	}
	return r
}

// pressureSetup describes a pressedFleet.
type pressureSetup struct {
	seed                      uint64
	vms, leaves, slots, queue int
	services                  []string
	routes                    []*catalog.Route
	work                      map[string]time.Duration
	shared                    bool
}

func newPressure(s pressureSetup) *pressedFleet {
	f := &pressedFleet{
		world: newWorld(), rng: rand.New(rand.NewPCG(s.seed, 5)), routes: s.routes, work: s.work, shared: s.shared,
		leaves: make(map[string]*pressedLeaf), slots: s.slots, queue: s.queue,
	}
	view := make(map[string][]catalog.Leaf)
	for _, service := range s.services {
		for i := range s.leaves {
			id := fmt.Sprintf("%s-%d", service, i)
			f.leaves[id] = &pressedLeaf{slots: make(chan struct{}, s.slots), slowness: 1}
			view[service] = append(view[service], catalog.Leaf{ID: catalog.LeafID{Name: id}, Service: service, Slots: s.slots, Zone: "z"})
		}
	}
	f.view = &directory.View{Config: catalog.New(3, s.routes, nil, catalog.Limits{}), Leaves: view, Revision: 9}
	for range s.vms {
		b := retrybudget.New(retrybudget.Limit{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}, time.Now)
		b.SetShare(func(string) float64 { return 1 / float64(s.vms) })
		f.engines = append(f.engines, New(Location{Zone: "z"}, f, f, replica.New(), b, f, noColdLeaves{}, openGate{}, f))
	}
	return f
}

// Do implements Leaves.
func (f *pressedFleet) Do(ctx context.Context, id catalog.LeafID, r *leafcall.Request) (*leafcall.Response, error) {
	l := f.leaves[id.Name]
	time.Sleep(ms / 2)
	f.noteWait(l)
	l.mu.Lock()
	if l.waiting >= f.queue && len(l.slots) == f.slots {
		l.mu.Unlock()
		return f.answer(id, l, &leafcall.Response{Status: http.StatusServiceUnavailable, NotRun: true}), nil
	}
	l.waiting++
	l.mu.Unlock()
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		l.left()
		return nil, &leafcall.Error{Cause: leafcall.Abandoned, Sent: true, Err: ctx.Err()}
	}
	l.left()
	defer func() { <-l.slots }()
	f.mu.Lock()
	work := float64(f.work[r.Target]) * math.Exp(0.35*f.rng.NormFloat64())
	f.mu.Unlock()
	l.mu.Lock()
	work *= l.slowness
	dark := l.dark
	l.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, &leafcall.Error{Cause: leafcall.Abandoned, Sent: true, Err: ctx.Err()}
	}
	time.Sleep(time.Duration(work))
	return f.answer(id, l, &leafcall.Response{Status: http.StatusOK, Signature: id.Name, Body: make([]byte, recordBytes)}), nil
}

func (l *pressedLeaf) left() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
}

// noteWait counts a call and whether it waits while another leaf has a free slot.
func (f *pressedFleet) noteWait(l *pressedLeaf) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if len(l.slots) < f.slots {
		return
	}
	for _, other := range f.leaves {
		if len(other.slots) < f.slots {
			f.waited++
			return
		}
	}
}

// answer adds the load of the leaf to a response. The call that ends holds no slot any more.
func (f *pressedFleet) answer(id catalog.LeafID, l *pressedLeaf, r *leafcall.Response) *leafcall.Response {
	l.mu.Lock()
	r.Load = &replica.Load{Running: len(l.slots), Waiting: l.waiting, Slots: f.slots}
	l.mu.Unlock()
	if r.Status == http.StatusOK {
		r.Load.Running-- // the slot is given back right after the answer
	}
	if f.shared {
		for _, e := range f.engines {
			e.table.Report(id, *r.Load, time.Now())
		}
	}
	return r
}

// pressTally counts the answers to one route.
type pressTally struct {
	sent, inTime, late, refused, other int
	refusalTime                        time.Duration
}

func (t *pressTally) admitted() int { return t.inTime + t.late + t.other }

// press sends each route's requests at its rate per second for the given time and returns the counts by route. The
// requests of the first warmUp are not counted.
func (f *pressedFleet) press(t *testing.T, rates map[string]float64, warmUp, d time.Duration) map[string]*pressTally {
	var all sync.WaitGroup
	var mu sync.Mutex
	tallies := make(map[string]*pressTally)
	start := time.Now()
	for _, route := range f.routes {
		sum := &pressTally{}
		tallies[route.Name] = sum
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), 9))
		all.Go(func() {
			for i := 0; time.Since(start) < warmUp+d; i++ {
				time.Sleep(time.Duration(rng.ExpFloat64() / rates[route.Name] * float64(time.Second)))
				counts := time.Since(start) > warmUp
				engine := f.engines[rng.IntN(len(f.engines))]
				all.Go(func() {
					sent := time.Now()
					a := engine.Serve(t.Context(), &Request{
						ID: fmt.Sprint(route.Name, i), Method: "GET", Host: "h", Path: route.Prefix, Target: route.Prefix,
						Remaining: route.Timeout, Arrived: sent,
					})
					mu.Lock()
					defer mu.Unlock()
					if counts {
						sum.add(a, route, time.Since(sent))
					}
				})
			}
		})
	}
	all.Wait()
	for _, e := range f.engines {
		e.Wait()
	}
	return tallies
}

func (t *pressTally) add(a *Answer, route *catalog.Route, elapsed time.Duration) {
	t.sent++
	switch {
	case a.Outcome == Served && elapsed <= route.Target:
		t.inTime++
	case a.Outcome == Served:
		t.late++
	case a.Outcome == NotRun:
		t.refused++
		t.refusalTime = max(t.refusalTime, elapsed)
	default:
		t.other++
	}
}

// urgentSearch and lowSearch share ten shards. The capacity is that of the slots.
const (
	urgentRoute, lowRoute = "urgent", "low"
	searchWork            = 20 * ms
	searchSlots           = 3
)

// searchPressure returns six VMs with searches of two priorities over shards of three leaves, and how many searches per
// second they can do.
func searchPressure(seed uint64) (*pressedFleet, float64) {
	names := shardNames(shards)
	routes := []*catalog.Route{pressureRoute(urgentRoute, 0, 150*ms, names...), pressureRoute(lowRoute, 1, 150*ms, names...)}
	f := newPressure(pressureSetup{
		seed: seed, vms: 6, leaves: 3, slots: searchSlots, queue: 24, services: names, routes: routes,
		work: map[string]time.Duration{routes[0].Prefix: searchWork, routes[1].Prefix: searchWork},
	})
	mean := searchWork.Seconds() * math.Exp(0.35*0.35/2)
	return f, 3 * searchSlots / mean
}

// Searches at up to ten times the load that the leaves can serve let goodput fall to a quarter, the most urgent route
// first.
func TestSearchesInOverload(t *testing.T) {
	goodput := make(map[float64]float64)
	best := 0.0
	multiples := []float64{0.9, 1.5, 2, 3, 5, 10}
	for _, multiple := range multiples {
		t.Run(fmt.Sprint(multiple), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, capacity := searchPressure(7)
				urgentRate := min(0.7, 0.5*multiple) * capacity // fits alone
				tallies := f.press(t, map[string]float64{urgentRoute: urgentRate, lowRoute: multiple*capacity - urgentRate}, 500*ms, 4*time.Second)
				urgent, low := tallies[urgentRoute], tallies[lowRoute]
				t.Logf("capacity %.0f/s, urgent %+v, low %+v", capacity, *urgent, *low)
				goodput[multiple] = float64(urgent.inTime + low.inTime)
				best = max(best, goodput[multiple])
				share := func(s *pressTally) float64 { return float64(s.inTime) / float64(s.sent) }
				is.True(share(urgent) >= 0.97)
				is.True(share(urgent) >= share(low))
				admitted := urgent.admitted() + low.admitted()
				is.True(float64(urgent.inTime+low.inTime) >= 0.95*float64(admitted))
				is.True(max(urgent.refusalTime, low.refusalTime) <= 150*ms/4)
			})
		})
	}
	for _, multiple := range multiples {
		t.Logf("%v times: %.2f of the best", multiple, goodput[multiple]/best)
		if multiple > 1 {
			is.New(t).True(goodput[multiple] >= 0.9*best)
		}
	}
}

// Leaves that turn slow or unresponsive in an overload keep their slots in the capacity, and searches wait for them.
func TestLeavesFailInOverload(t *testing.T) {
	for name, change := range map[string]func(*pressedLeaf){
		"slow": func(l *pressedLeaf) { l.slowness = 4 },
		"dark": func(l *pressedLeaf) { l.dark = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, capacity := searchPressure(11)
				time.AfterFunc(700*ms, func() {
					for _, id := range []string{"s1-0", "s4-1", "s7-2"} {
						l := f.leaves[id]
						l.mu.Lock()
						change(l)
						l.mu.Unlock()
					}
				})
				tallies := f.press(t, map[string]float64{urgentRoute: 0.45 * capacity, lowRoute: 1.05 * capacity}, 1200*ms, 3*time.Second)
				urgent, low := tallies[urgentRoute], tallies[lowRoute]
				t.Logf("urgent %+v, low %+v", *urgent, *low)
				is.True(float64(urgent.inTime+low.inTime) >= 0.95*float64(urgent.admitted()+low.admitted()))
				is.True(float64(urgent.inTime) >= 0.97*float64(urgent.sent)) // it fits the remaining leaves alone
			})
		})
	}
}

// singlePressure returns VMs with single requests to eight leaves, and how many requests per second these can do.
func singlePressure(seed uint64, vms int) (*pressedFleet, float64) {
	const slots, work = 12, 50 * ms
	route := pressureRoute("one", 0, 300*ms, "x")
	f := newPressure(pressureSetup{
		seed: seed, vms: vms, leaves: 8, slots: slots, queue: 16, services: []string{"x"}, routes: []*catalog.Route{route},
		work: map[string]time.Duration{route.Prefix: work}, shared: true,
	})
	return f, 8 * slots / (work.Seconds() * math.Exp(0.35*0.35/2))
}

// Single requests at three times the load waited in the queue of a leaf, were refused there, and by the next leaf as well.
func TestSingleRequestsInOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, capacity := singlePressure(3, 20)
		sum := f.press(t, map[string]float64{"one": 3 * capacity}, 500*ms, 4*time.Second)["one"]
		t.Logf("capacity %.0f/s, %+v, %d calls", capacity, *sum, f.sent)
		is.True(float64(sum.inTime) >= 0.95*float64(sum.admitted()))
		is.True(float64(sum.inTime) >= 0.9*4*capacity)
		is.True(sum.refusalTime <= 300*ms/4)
		is.Equal(sum.other, 0)
	})
}

// All VMs hear the same reports and moved to the same leaf together, so that requests waited beside free slots.
func TestSingleRequestsSpreadOverLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, capacity := singlePressure(4, 20)
		sum := f.press(t, map[string]float64{"one": 0.8 * capacity}, 0, 6*time.Second)["one"]
		t.Logf("%+v: %d of %d calls waited beside a free slot", *sum, f.waited, f.sent)
		is.True(f.waited*20 <= f.sent)
		is.True(sum.inTime*100 >= 99*sum.sent)
	})
}
