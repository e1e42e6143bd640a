package delegate

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http/httptrace"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/dispatch"
)

const (
	// modelLimit is the longest wait at which a modelGatherer accepts a search: half of the target of 150 ms.
	modelLimit = 75 * ms
	// leafTime is how long the calls of a search take, and declineWork the processor time of declining one.
	leafTime, declineWork = 25 * ms, ms / 5
	// perZone and delegatorsPerZone are the sizes of a zone of modelFleet.
	perZone, delegatorsPerZone = 2, 10
	// zoneCapacity is the number of searches of 4 ms per second that a zone can do, usual its usual load.
	zoneCapacity, usual = perZone * 250., zoneCapacity / 12
)

// modelGatherer is a gatherer whose processor serves searches one after the other.
type modelGatherer struct {
	address string
	work    time.Duration
	// silentLoad is set if answers carry no load.
	silentLoad bool
	// killed is closed when the gatherer dies.
	killed chan struct{}

	mu sync.Mutex
	// free is when the processor has done all admitted work, resumes when a pause ends, served the number of accepted
	// searches of zone a. All are guarded by mu.
	free, resumes time.Time
	served        int
}

func (g *modelGatherer) load() *pb.FleetPong {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := max(0, time.Until(g.free))
	return &pb.FleetPong{WaitUs: wait.Microseconds(), WaitLimitsUs: []int64{modelLimit.Microseconds()}}
}

func (g *modelGatherer) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.served
}

func (g *modelGatherer) pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumes = time.Now().Add(d)
}

// pass waits for d and for the end of a pause, or until the call or the gatherer ends.
func (g *modelGatherer) pass(ctx context.Context, d time.Duration) error {
	g.mu.Lock()
	d = max(d, time.Until(g.resumes))
	g.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.killed:
		return errNoAnswer
	case <-time.After(d):
		return nil
	}
}

func (g *modelGatherer) Search(ctx context.Context, req *pb.FleetSearch) (*pb.FleetSearchAnswer, error) {
	select {
	case <-g.killed:
		return nil, errNoAnswer
	default:
	}
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{})
	if err := g.pass(ctx, ms/2); err != nil {
		return nil, err
	}
	out := &pb.FleetSearchAnswer{Outcome: "served", Version: 3}
	if took := g.accept(req); took == 0 {
		out = &pb.FleetSearchAnswer{NotTaken: notTakenBusy}
	} else if err := g.pass(ctx, took+leafTime); err != nil {
		return nil, err
	}
	if !g.silentLoad {
		out.Load = g.load()
	}
	return out, g.pass(ctx, ms/2)
}

// accept adds the work of the search, and returns when it is done; 0 if the gatherer is full.
func (g *modelGatherer) accept(req *pb.FleetSearch) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := max(0, time.Until(g.free))
	if wait > modelLimit {
		g.free = g.free.Add(declineWork)
		return 0
	}
	if req.GetFrom() == "a" {
		g.served++
	}
	g.free = time.Now().Add(wait + g.work)
	return wait + g.work
}

func (g *modelGatherer) Ping(ctx context.Context, _ *pb.FleetPing) (*pb.FleetPong, error) {
	if err := g.pass(ctx, microseconds(g.load().GetWaitUs())); err != nil {
		return nil, err
	}
	return g.load(), nil
}

// modelFleet is a fleet of one or more zones in virtual time.
type modelFleet struct {
	*fixture
	gatherers  []*modelGatherer
	delegators map[string][]*Manager
	rng        *rand.Rand
}

// tally counts searches by their end.
type tally struct{ sent, late, refused, failed int }

// runFleet runs the test with a fleet of the zones with so many delegators each.
func runFleet(t *testing.T, zones []string, delegators int, test func(f *modelFleet, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &modelFleet{fixture: &fixture{view: testView(3)}, delegators: make(map[string][]*Manager)}
		f.rng = rand.New(rand.NewPCG(7, 11))
		for _, zone := range zones {
			for _, n := range []string{"1", "2"} {
				f.gatherers = append(f.gatherers, &modelGatherer{address: zone + n, work: 4 * ms, killed: make(chan struct{})})
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		for _, zone := range zones {
			for range delegators {
				m := f.newDelegator(zone)
				f.delegators[zone] = append(f.delegators[zone], m)
				running.Go(func() { _ = m.Run(ctx) })
			}
		}
		test(f, is.New(t))
	})
}

func (f *modelFleet) newDelegator(zone string) *Manager {
	m := New(Config{
		Self: zone, Local: f, Directory: f, Observer: f, Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
		Dial: func(address string) Client {
			return f.gatherers[slices.IndexFunc(f.gatherers, func(g *modelGatherer) bool { return g.address == address })]
		},
		OnNewerConfig: func(string) {}, Lag: func() time.Duration { return 0 }, Gate: openGate(),
	})
	var p Plan
	for _, g := range f.gatherers {
		list := &p.OtherZoneGatherers
		if g.address[:1] == zone {
			list = &p.ZoneGatherers
		}
		*list = append(*list, g.address)
	}
	m.SetPlan(p)
	return m
}

// press sends searches at random times to random delegators, at the rate per second in zone a and at the usual one in
// the others, and returns how those of zone a ended.
func (f *modelFleet) press(d time.Duration, rate float64) tally {
	var out tally
	var mu sync.Mutex
	var wg sync.WaitGroup
	total := rate + usual*float64(len(f.delegators)-1)
	for end := time.Now().Add(d); ; {
		time.Sleep(time.Duration(f.rng.ExpFloat64() / total * float64(time.Second)))
		if !time.Now().Before(end) {
			break
		}
		zone := "a"
		if f.rng.Float64()*total > rate {
			zone = []string{"b", "c"}[f.rng.IntN(len(f.delegators)-1)]
		}
		m := f.delegators[zone][f.rng.IntN(delegatorsPerZone)]
		wg.Go(func() {
			start := time.Now()
			a := m.Serve(context.Background(), &dispatch.Request{Host: "h", Path: "/s/1", Target: "/s/1", Arrived: start})
			mu.Lock()
			defer mu.Unlock()
			if zone == "a" {
				out.count(a, time.Since(start))
			}
		})
		synctest.Wait()
	}
	wg.Wait()
	return out
}

func (t *tally) count(a *dispatch.Answer, took time.Duration) {
	t.sent++
	switch {
	case a.Outcome == dispatch.NotRun:
		t.refused++
	case a.Outcome != dispatch.Served:
		t.failed++
	case took > 150*ms:
		t.late++
	}
}

// served returns how many searches of zone a the gatherers of the own and of other zones have accepted.
func (f *modelFleet) served() (own, others int) {
	for _, g := range f.gatherers {
		if g.address[:1] == "a" {
			own += g.served
		} else {
			others += g.served
		}
	}
	return own, others
}

// A burst of 8 times fits the zone, one of 25 times exceeds it twice. Gatherers of other zones get none of the former,
// and enough of the latter that none fails; within 1 s after the burst they get none again.
func TestBurstInOneZone(t *testing.T) {
	for name, times := range map[string]float64{"8 times": 8, "25 times": 25} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, []string{"a", "b", "c"}, delegatorsPerZone, func(f *modelFleet, is *is.I) {
				f.press(2*time.Second, usual)
				before, others := f.served()
				is.Equal(others, 0)
				r := f.press(4*time.Second, times*usual)
				own, others := f.served()
				is.Equal(r.failed+r.refused+f.localSearches, 0)
				is.True(r.late*100 <= 3*r.sent)
				if times == 8 {
					is.Equal(others, 0)
				} else { // the own zone comes first: it does nearly all that it can
					is.True(float64(own-before) >= 0.9*zoneCapacity*4)
				}
				f.press(time.Second, usual)
				_, others = f.served()
				f.press(2*time.Second, usual)
				_, after := f.served()
				is.Equal(after, others)
			})
		})
	}
}

// Delegators that have the same reports, 100 to 200 ms old, must not all move to the gatherer that was idle then: of
// two gatherers each gets its share of the capacity, within 10 points, also in the time between two reports.
func TestNoHerd(t *testing.T) {
	for name, tt := range map[string]struct {
		slower time.Duration
		load   float64
	}{
		"equal, near capacity":   {4 * ms, 0.9},
		"equal, over capacity":   {4 * ms, 1.5},
		"unequal, near capacity": {8 * ms, 0.95},
		"unequal, over capacity": {8 * ms, 1.5},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, []string{"a"}, 2*delegatorsPerZone, func(f *modelFleet, is *is.I) {
				f.gatherers[1].work = tt.slower
				f.gatherers[0].silentLoad, f.gatherers[1].silentLoad = true, true
				capacity := 250 * (1 + float64(4*ms)/float64(tt.slower))
				var shares []float64
				var gossip sync.WaitGroup
				gossip.Go(func() { shares = f.gossip(5 * time.Second) })
				time.Sleep(250 * ms) // until all have reports
				f.press(4700*ms, tt.load*capacity)
				gossip.Wait()
				shares = shares[10:] // until the queues have formed
				mean, deviation := 0., 0.
				for _, share := range shares {
					mean += share / float64(len(shares))
					deviation += math.Abs(share-250/capacity) / float64(len(shares))
				}
				t.Logf("mean %.3f of %.3f, deviation %.3f", mean, 250/capacity, deviation)
				is.True(math.Abs(mean-250/capacity) < 0.1)
				if tt.slower == 4*ms { // a herd moves with each report
					is.True(deviation < 0.1)
				}
				is.Equal(f.localSearches, 0)
			})
		})
	}
}

// gossip tells all delegators every 100 ms the loads of the gatherers of 100 ms before. It returns the share of the first
// gatherer in the searches of each 100 ms.
func (f *modelFleet) gossip(d time.Duration) (shares []float64) {
	var old []GathererLoad
	for range d / (100 * ms) {
		for _, m := range f.delegators["a"] {
			m.RecordGatherers(old)
		}
		old = nil
		for _, g := range f.gatherers {
			r := newReport(g.load(), time.Now())
			old = append(old, newGathererLoad(g.address, &r))
		}
		first, second := f.gatherers[0].count(), f.gatherers[1].count()
		time.Sleep(100 * ms)
		first, second = f.gatherers[0].count()-first, f.gatherers[1].count()-second
		shares = append(shares, float64(first)/float64(max(1, first+second)))
	}
	return shares
}

// A gatherer that fails under load costs at most the searches that it gets until this is noticed, and the others take
// the rest: they have room for it. A paused one gets searches again.
func TestGathererFailsUnderLoad(t *testing.T) {
	const rate = 0.9 * zoneCapacity
	const unanswered = modelLimit + leafTime // how old the oldest search in flight may be
	const pinged = firstPingDelay + pingTimeout + modelLimit
	for name, tt := range map[string]struct {
		fail    func(g *modelGatherer)
		noticed time.Duration
	}{
		"dies":             {func(g *modelGatherer) { close(g.killed) }, 0},
		"paused":           {func(g *modelGatherer) { g.pause(300 * ms) }, pinged},
		"half are cut off": {func(g *modelGatherer) { g.pause(time.Hour) }, pinged},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, []string{"a", "b", "c"}, delegatorsPerZone, func(f *modelFleet, is *is.I) {
				failing := f.gatherers[0]
				f.press(time.Second, rate)
				time.AfterFunc(300*ms, func() { tt.fail(failing) })
				r := f.press(time.Second, rate)
				// Each delegator notices it by a search; the gatherer gets no more searches than it can do.
				most := delegatorsPerZone + zoneCapacity/perZone*(unanswered+tt.noticed).Seconds()
				is.True(float64(r.failed) <= most)
				is.Equal(r.refused+f.localSearches, 0)
				before := failing.served
				r = f.press(time.Second, rate)
				is.Equal(r.failed+r.refused+f.localSearches, 0)
				is.True(r.late*100 <= 3*r.sent)
				is.Equal(failing.served > before, name == "paused")
			})
		})
	}
}

// Where all gatherers are full, searches are refused at once and nobody makes their calls; where all are lost, the
// delegator makes them.
func TestNoGathererLeft(t *testing.T) {
	runFleet(t, []string{"a"}, delegatorsPerZone, func(f *modelFleet, is *is.I) {
		r := f.press(2*time.Second, 2*zoneCapacity)
		is.Equal(f.localSearches+r.failed, 0)
		is.True(r.refused > 0 && r.late*100 <= 3*(r.sent-r.refused))
		is.True(float64(r.sent-r.refused) >= 0.9*zoneCapacity*2)
		close(f.gatherers[0].killed)
		close(f.gatherers[1].killed)
		r = f.press(time.Second, usual)
		is.Equal(f.localSearches, r.sent)
	})
}
