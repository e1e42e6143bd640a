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

// station is a leaf with slots and a queue. It refuses calls that find the queue full and, in addition, the
// fraction shed of all calls.
type station struct {
	slots chan struct{}
	shed  float64

	mu sync.Mutex
	// waiting is guarded by mu.
	waiting int
}

const (
	stationSlots = 3
	stationQueue = 12
	// overloadVMs is the number of VMs that receive the requests. Each learns on its own.
	overloadVMs = 4
)

// enter waits for a slot; it returns false if the queue is full.
func (s *station) enter() bool {
	s.mu.Lock()
	if s.waiting >= stationQueue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.slots <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return true
}

func (s *station) load() *replica.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &replica.Load{Running: len(s.slots), Waiting: s.waiting, Slots: stationSlots}
}

// overloadedFleet is several VMs that share the same leaves.
type overloadedFleet struct {
	*world
	rng      *rand.Rand
	stations map[string]*station
	engines  []*Engine
	// work of each request, by its id.
	work sync.Map
}

// Do implements Leaves.
func (o *overloadedFleet) Do(_ context.Context, id catalog.LeafID, r *leafcall.Request) (*leafcall.Response, error) {
	s := o.stations[id.Name]
	time.Sleep(ms / 2)
	if o.float() < s.shed || !s.enter() {
		return &leafcall.Response{Status: http.StatusServiceUnavailable, NotRun: true, Load: s.load()}, nil
	}
	work, _ := o.work.Load(r.ID)
	time.Sleep(time.Duration(float64(work.(time.Duration)) * (0.95 + 0.1*o.float())))
	load := s.load()
	<-s.slots
	return &leafcall.Response{Status: http.StatusOK, Signature: id.Name, Body: make([]byte, recordBytes), Load: load}, nil
}

func (o *overloadedFleet) float() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rng.Float64()
}

// The kinds of search: a full one, which is more urgent, and a quick one.
var (
	fullSearch  = &catalog.Route{Name: "full", Host: "h", Prefix: "/full/", Timeout: 800 * ms, Target: 150 * ms, Priority: 1, MinShare: 0.89}
	quickSearch = &catalog.Route{Name: "quick", Host: "h", Prefix: "/quick/", Timeout: 400 * ms, Target: 60 * ms, Priority: 2, MinShare: 0.75}
)

func newOverload(seed uint64) *overloadedFleet {
	o := &overloadedFleet{world: newWorld(), rng: rand.New(rand.NewPCG(seed, 3)), stations: make(map[string]*station)}
	names := shardNames(shards)
	leaves := replicasOf(names, stationSlots, func(_ int, id string) {
		o.stations[id] = &station{slots: make(chan struct{}, stationSlots)}
	})
	var routes []*catalog.Route
	for _, r := range []*catalog.Route{fullSearch, quickSearch} {
		c := *r
		c.Idempotent, c.MaxAttempts, c.Shards, c.TopK = true, 2, names, 3
		routes = append(routes, &c)
	}
	o.view = &directory.View{Config: catalog.New(3, routes, nil, catalog.Limits{}), Leaves: leaves, Revision: 9}
	for range overloadVMs {
		b := retrybudget.New(retrybudget.Limit{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}, time.Now)
		b.SetShare(func(string) float64 { return 1. / overloadVMs })
		o.engines = append(o.engines, New(Location{Zone: "z"}, o, o, replica.New(), b, o, noColdLeaves{}, openGate{}, o))
	}
	return o
}

// tally counts the outcomes of the requests of one kind.
type tally struct {
	sent, inTime, late, refused, other int
	// refusalTime is the longest time until a refusal.
	refusalTime time.Duration
}

// servedShare is the share of requests that were answered with success, and inTimeShare the share of the admitted
// requests that were answered in time.
func (t *tally) servedShare() float64 { return float64(t.inTime+t.late) / float64(max(t.sent, 1)) }
func (t *tally) inTimeShare() float64 {
	return float64(t.inTime) / float64(max(t.inTime+t.late+t.other, 1))
}

// press sends searches of both kinds at the given multiple of 180 a second for the given time. Three quarters of
// them are full searches.
func (o *overloadedFleet) press(t *testing.T, multiple float64, d time.Duration) (full, quick tally) {
	var all sync.WaitGroup
	var mu sync.Mutex
	const typicalRate = 180.
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		route, work, sum := fullSearch, 20., &full
		if o.float() < 0.25 {
			route, work, sum = quickSearch, 6.7, &quick
		}
		o.mu.Lock()
		size := math.Exp(0.35 * o.rng.NormFloat64())
		gap := o.rng.ExpFloat64() / (multiple * typicalRate)
		o.mu.Unlock()
		id := fmt.Sprint(route.Name, i, time.Now().UnixNano())
		o.work.Store(id, time.Duration(work*size*float64(ms)))
		all.Go(func() {
			start := time.Now()
			a := o.engines[i%overloadVMs].Serve(t.Context(), &Request{
				ID: id, Method: "GET", Host: "h", Path: route.Prefix, Target: route.Prefix, Remaining: route.Timeout, Arrived: start,
			})
			elapsed := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			sum.sent++
			switch {
			case a.Outcome == Served && elapsed < route.Target:
				sum.inTime++
			case a.Outcome == Served:
				sum.late++
			case a.Outcome == NotRun && a.Reason == ReasonBusyLeaves:
				sum.refused++
				sum.refusalTime = max(sum.refusalTime, elapsed)
				is.New(t).True(a.RetryAfter > 0)
			default:
				sum.other++
			}
		})
		time.Sleep(time.Duration(gap * float64(time.Second)))
	}
	all.Wait()
	return full, quick
}

// The load is more than twice the traffic while a third of the leaves refuse 45 of 100 calls, and three times the
// traffic with healthy leaves, which is as much as they can do. Admitted searches must be in time, the more urgent
// kind must not be served less, and the others must be refused immediately with a retry delay. At the typical
// traffic, and at one and a half times that, all must be admitted.
func TestOverload(t *testing.T) {
	for name, tt := range map[string]struct {
		multiple, shed             float64
		minServed, inTime, refused float64
	}{
		"usual":           {multiple: 1, minServed: 0.99, inTime: 0.99},
		"half as much":    {multiple: 1.5, minServed: 0.99, inTime: 0.99},
		"twice, shedding": {multiple: 2.2, shed: 0.45, minServed: 0.6, inTime: 0.8, refused: 0.4},
		"three times":     {multiple: 3, minServed: 0.5, inTime: 0.8, refused: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newOverload(5)
				o.press(t, 1, 3*time.Second)
				for id, s := range o.stations {
					if id[len(id)-1] == 'a' {
						s.shed = tt.shed
					}
				}
				full, quick := o.press(t, tt.multiple, 6*time.Second)
				t.Logf("full %+v quick %+v", full, quick)
				sum := tally{sent: full.sent + quick.sent, inTime: full.inTime + quick.inTime, late: full.late + quick.late, other: full.other + quick.other}
				is.True(sum.servedShare() >= tt.minServed)
				is.True(sum.inTimeShare() >= tt.inTime)
				is.True(float64(full.refused+quick.refused) <= tt.refused*float64(sum.sent))
				is.True(full.servedShare() >= quick.servedShare()-0.05)
				is.Equal(full.refusalTime+quick.refusalTime, time.Duration(0))
				for _, e := range o.engines {
					e.Wait()
				}
			})
		})
	}
}
