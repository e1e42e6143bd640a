package delegate

import (
	"context"
	"math/rand/v2"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/dispatch"
)

const (
	// modelLimit is the longest wait at which a modelGatherer accepts a search: half of the target of 150 ms.
	modelLimit = 75 * ms
	// leafTime is how long the calls of a search take, and modelRTT how long a message between zones takes both ways.
	leafTime, modelRTT = 25 * ms, ms
	// declineWork is the processor time of declining a search.
	declineWork = ms / 5
)

// modelGatherer is a gatherer whose processor serves searches one after the other.
type modelGatherer struct {
	address string
	work    time.Duration
	// silentLoad is set if answers carry no load.
	silentLoad bool

	mu sync.Mutex
	// free is when the processor has done all admitted work, resumes when a pause ends. Both are guarded by mu, as
	// are dead, cut and served, the number of accepted searches by zone of their delegator.
	free, resumes time.Time
	dead, cut     bool
	served        map[string]int
	declines      int
	running       map[context.Context]context.CancelFunc
}

func newModelGatherer(address string, work time.Duration) *modelGatherer {
	return &modelGatherer{address: address, work: work, served: make(map[string]int), running: make(map[context.Context]context.CancelFunc)}
}

func (g *modelGatherer) wait(now time.Time) time.Duration { return max(0, g.free.Sub(now)) }

func (g *modelGatherer) load() *pb.FleetPong {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := []int64{modelLimit.Microseconds(), modelLimit.Microseconds() / 2}
	return &pb.FleetPong{WaitUs: g.wait(time.Now()).Microseconds(), WaitLimitsUs: limits}
}

// do changes the gatherer under its mutex.
func (g *modelGatherer) do(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

// kill ends the gatherer: its connections are reset.
func (g *modelGatherer) kill() {
	g.do(func() {
		g.dead = true
		for _, cancel := range g.running {
			cancel()
		}
	})
}

// connect returns an error where the gatherer can't be reached.
func (g *modelGatherer) connect() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return errNoAnswer
	}
	return nil
}

// travel waits until a message has arrived.
func (g *modelGatherer) travel(ctx context.Context) error {
	g.mu.Lock()
	cut := g.cut
	g.mu.Unlock()
	if cut {
		return sleep(ctx, time.Hour, nil)
	}
	return sleep(ctx, max(modelRTT/2, g.pause()), nil)
}

// sleep returns err after d, or the error of ctx where that ends first.
func sleep(ctx context.Context, d time.Duration, err error) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return err
	}
}

// pause returns the time until the end of a pause.
func (g *modelGatherer) pause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, time.Until(g.resumes))
}

func (g *modelGatherer) Search(ctx context.Context, req *pb.FleetSearch) (*pb.FleetSearchAnswer, error) {
	if err := g.connect(); err != nil {
		return nil, err
	}
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.do(func() { g.running[ctx] = cancel })
	defer g.do(func() { delete(g.running, ctx) })
	if err := g.travel(ctx); err != nil {
		return nil, errNoAnswer
	}
	took, ok := g.accept(req)
	out := &pb.FleetSearchAnswer{Outcome: "served", Version: 3}
	if !ok {
		out = &pb.FleetSearchAnswer{NotTaken: notTakenBusy}
	} else if err := sleep(ctx, took+leafTime, nil); err != nil {
		return nil, errNoAnswer
	}
	if err := g.travel(ctx); err != nil {
		return nil, errNoAnswer
	}
	if !g.silentLoad {
		out.Load = g.load()
	}
	return out, nil
}

// accept adds the work of the search, and returns when it is done.
func (g *modelGatherer) accept(req *pb.FleetSearch) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	wait := g.wait(now)
	if wait > modelLimit {
		g.declines++
		g.free = g.free.Add(declineWork)
		return 0, false
	}
	g.served[req.GetFrom()[:1]]++
	g.free = now.Add(wait + g.work)
	return wait + g.work, true
}

func (g *modelGatherer) Ping(ctx context.Context, _ *pb.FleetPing) (*pb.FleetPong, error) {
	if err := g.connect(); err != nil {
		return nil, err
	}
	g.mu.Lock()
	wait := g.wait(time.Now())
	g.mu.Unlock()
	if err := sleep(ctx, wait, nil); err != nil {
		return nil, err
	}
	return g.load(), g.travel(ctx)
}

// modelFleet is a fleet with zones a, b and c of two gatherers and ten delegators each, in virtual time.
type modelFleet struct {
	gatherers []*modelGatherer
	managers  map[string][]*Manager
	view      *directory.View
	rng       *rand.Rand

	mu sync.Mutex
	// local counts the searches that delegators served themselves; guarded by mu, as is the tally.
	local int
	tally tally
}

// tally counts searches by their end.
type tally struct{ sent, late, refused, failed int }

func (f *modelFleet) Current() *directory.View { return f.view }

func (f *modelFleet) Serve(context.Context, *dispatch.Request) *dispatch.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.local++
	return &dispatch.Answer{Outcome: dispatch.Served}
}

func (f *modelFleet) Ended(*dispatch.Request, *dispatch.Answer, *dispatch.Trace) {}

// perZone and delegatorsPerZone are the sizes of a zone of modelFleet.
const perZone, delegatorsPerZone = 2, 10

// runFleet runs the test with a fleet of the zones.
func runFleet(t *testing.T, zones string, delegators int, test func(f *modelFleet, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &modelFleet{managers: make(map[string][]*Manager), view: testView(3), rng: rand.New(rand.NewPCG(7, 11))}
		addresses := make(map[string][]string)
		for _, zone := range strings.Split(zones, "") {
			for _, n := range []string{"1", "2"} {
				f.gatherers = append(f.gatherers, newModelGatherer(zone+n, 4*ms))
				addresses[zone] = append(addresses[zone], zone+n)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for zone, own := range addresses {
			p := Plan{ZoneGatherers: own}
			for _, g := range f.gatherers {
				if !slices.Contains(own, g.address) {
					p.OtherZoneGatherers = append(p.OtherZoneGatherers, g.address)
				}
			}
			for range delegators {
				m := New(Config{
					Self: zone + "-delegator", Local: f, Directory: f, Observer: f, Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
					Dial: func(address string) Client { return f.gatherer(address) }, OnNewerConfig: func(string) {},
					Lag: func() time.Duration { return 0 }, Gate: openGate(),
				})
				m.SetPlan(p)
				f.managers[zone] = append(f.managers[zone], m)
				running.Go(func() { _ = m.Run(ctx) })
			}
		}
		test(f, is.New(t))
		cancel()
		running.Wait()
	})
}

func (f *modelFleet) gatherer(address string) *modelGatherer {
	return f.gatherers[slices.IndexFunc(f.gatherers, func(g *modelGatherer) bool { return g.address == address })]
}

// press sends searches at random times to random VMs, by zone at the rate per second, and returns how they ended.
func (f *modelFleet) press(d time.Duration, rates map[string]float64) tally {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	f.tally = tally{}
	var wg sync.WaitGroup
	for end := time.Now().Add(d); ; {
		time.Sleep(time.Duration(f.rng.ExpFloat64() / total * float64(time.Second)))
		if !time.Now().Before(end) {
			break
		}
		managers := f.managers[f.zoneBy(rates, total)]
		wg.Go(func() { f.search(managers[f.rng.IntN(len(managers))]) })
		synctest.Wait()
	}
	wg.Wait()
	return f.tally
}

// zoneBy returns a random zone in proportion to its rate.
func (f *modelFleet) zoneBy(rates map[string]float64, total float64) string {
	at := f.rng.Float64() * total
	for _, zone := range []string{"a", "b", "c"} {
		if at -= rates[zone]; at < 0 {
			return zone
		}
	}
	return "a"
}

func (f *modelFleet) search(m *Manager) {
	start := time.Now()
	a := m.Serve(context.Background(), &dispatch.Request{
		Method: "GET", Host: "h", Path: "/s/1", Target: "/s/1", Remaining: 800 * ms, Arrived: start,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tally.sent++
	switch {
	case a.Outcome == dispatch.NotRun:
		f.tally.refused++
	case a.Outcome != dispatch.Served:
		f.tally.failed++
	case time.Since(start) > 150*ms:
		f.tally.late++
	}
}

// served returns the searches of zone a that gatherers of the zone have accepted.
func (f *modelFleet) served(by string) int {
	sum := 0
	for _, g := range f.gatherers {
		if g.address[:1] == by {
			sum += g.served["a"]
		}
	}
	return sum
}

// zoneCapacity is the number of searches per second that the gatherers of a zone can do.
const zoneCapacity = perZone * 250.

// base is the usual rate of a zone: a twelfth of its capacity.
const base = zoneCapacity / 12

// A burst of 8 times fits the zone, one of 25 times twice exceeds it. Gatherers of other zones get none of the former,
// and enough of the latter that none fails; after the burst they get none again.
func TestBurstInOneZone(t *testing.T) {
	for name, times := range map[string]float64{"8 times": 8, "25 times": 25} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, "abc", delegatorsPerZone, func(f *modelFleet, is *is.I) {
				calm := map[string]float64{"a": base, "b": base, "c": base}
				is.Equal(f.press(2*time.Second, calm).late, 0)
				is.Equal(f.served("b")+f.served("c"), 0)
				own, before := f.served("a"), time.Now()
				r := f.press(4*time.Second, map[string]float64{"a": times * base, "b": base, "c": base})
				t.Logf("%+v, own zone %d, others %d", r, f.served("a")-own, f.served("b")+f.served("c"))
				is.Equal(r.failed+r.refused+f.local, 0)
				is.True(r.late*100 <= 3*r.sent)
				others := f.served("b") + f.served("c")
				if times == 8 {
					is.Equal(others, 0)
				} else { // the own zone comes first: it does nearly all that it can
					is.True(float64(f.served("a")-own) >= 0.9*zoneCapacity*time.Since(before).Seconds())
				}
				f.press(time.Second, calm)
				others = f.served("b") + f.served("c")
				f.press(2*time.Second, calm)
				is.Equal(f.served("b")+f.served("c"), others)
			})
		})
	}
}

// Delegators that have the same reports, 100 to 200 ms old, must not all move to the gatherer that was idle then: of
// two gatherers each gets its share of the capacity, within 10 points, in any half second.
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
			runFleet(t, "a", 20, func(f *modelFleet, is *is.I) {
				f.gatherers[1].work = tt.slower
				f.gatherers[0].silentLoad, f.gatherers[1].silentLoad = true, true
				capacity := 250 * (1 + float64(4*ms)/float64(tt.slower))
				done := make(chan struct{})
				go f.gossip(done)
				defer func() { close(done); synctest.Wait() }()
				f.press(time.Second, map[string]float64{"a": tt.load * capacity})
				first, both := f.gatherers[0].served["a"], f.served("a")
				for range 6 {
					r := f.press(500*ms, map[string]float64{"a": tt.load * capacity})
					share := float64(f.gatherers[0].served["a"]-first) / float64(f.served("a")-both)
					t.Logf("%.2f of %d, %+v, declines %d", share, both, r, f.gatherers[0].declines+f.gatherers[1].declines)
					is.True(share > 250/capacity-0.1 && share < 250/capacity+0.1)
				}
			})
		})
	}
}

// gossip tells all delegators every 100 ms the loads of the gatherers of 100 ms before.
func (f *modelFleet) gossip(done chan struct{}) {
	var old []GathererLoad
	for sleepUntil(done, 100*ms) {
		for _, m := range f.managers["a"] {
			m.RecordGatherers(old)
		}
		old = nil
		for _, g := range f.gatherers {
			r := newReport(g.load(), time.Now())
			old = append(old, newGathererLoad(g.address, &r))
		}
	}
}

// sleepUntil sleeps for d, and returns false once done is closed.
func sleepUntil(done chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return false
	case <-time.After(d):
		return true
	}
}

// A gatherer that fails under load costs at most the searches that it has in flight, and the others take the rest:
// they have room for it.
func TestGathererFailsUnderLoad(t *testing.T) {
	const rate = 0.9 * zoneCapacity
	const unanswered = modelLimit + leafTime // how old the oldest search in flight may be
	for name, tt := range map[string]struct {
		fail func(g *modelGatherer)
		// noticed is the time until all delegators know of the failure.
		noticed time.Duration
		back    bool
	}{
		"dies":          {func(g *modelGatherer) { g.kill() }, 0, false},
		"paused 300 ms": {func(g *modelGatherer) { g.do(func() { g.resumes = time.Now().Add(300 * ms) }) }, firstPingDelay + pingTimeout + modelLimit, true},
		"cut off":       {func(g *modelGatherer) { g.do(func() { g.cut = true }) }, firstPingDelay + pingTimeout + modelLimit, false},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, "abc", delegatorsPerZone, func(f *modelFleet, is *is.I) {
				f.press(time.Second, map[string]float64{"a": rate})
				time.AfterFunc(300*ms, func() { tt.fail(f.gatherers[0]) })
				r := f.press(time.Second, map[string]float64{"a": rate})
				t.Logf("%+v", r)
				// Each delegator notices it by a search; the gatherer gets no more searches than it can do.
				most := delegatorsPerZone + zoneCapacity/perZone*(unanswered+tt.noticed).Seconds()
				is.True(float64(r.failed) <= most)
				is.Equal(r.refused+f.local, 0)
				before := f.gatherers[0].served["a"]
				r = f.press(time.Second, map[string]float64{"a": rate})
				is.Equal(r.failed+r.refused+f.local, 0)
				is.True(r.late*100 <= 3*r.sent)
				is.Equal(f.gatherers[0].served["a"] > before, tt.back)
			})
		})
	}
}

// Where all gatherers are full, searches are refused at once and nobody makes their calls; where all are lost, the
// delegator makes them.
func TestNoGathererLeft(t *testing.T) {
	runFleet(t, "ab", delegatorsPerZone, func(f *modelFleet, is *is.I) {
		r := f.press(2*time.Second, map[string]float64{"a": 3 * zoneCapacity})
		is.Equal(f.local+r.failed, 0)
		is.True(r.refused > 0 && r.late*100 <= 3*(r.sent-r.refused))
		is.True(float64(r.sent-r.refused) >= 0.9*2*zoneCapacity*2)
		for _, g := range f.gatherers {
			g.kill()
		}
		r = f.press(time.Second, map[string]float64{"a": base})
		is.Equal(f.local, r.sent)
	})
}
