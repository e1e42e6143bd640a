package delegate

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/dispatch"
)

const ms = time.Millisecond

// fakeGatherer is a larger VM as the client of another VM sees it.
type fakeGatherer struct {
	// delay is how long a search takes. An unreachable gatherer accepts no connection, a silent one does not
	// answer.
	delay       time.Duration
	unreachable bool
	silent      atomic.Bool
	// lostAfter, where it is not 0, fails a search after this time without an answer.
	lostAfter time.Duration
	answer    *pb.FleetSearchAnswer
	pong      *pb.FleetPong

	mu sync.Mutex
	// Calls received; guarded by mu.
	searches  []*pb.FleetSearch
	pings     int
	cancelled int
}

// record updates the counts of received calls under mu.
func (g *fakeGatherer) record(note func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	note()
}

func newGatherer() *fakeGatherer {
	return &fakeGatherer{
		delay: 30 * ms, pong: &pb.FleetPong{},
		answer: &pb.FleetSearchAnswer{Outcome: "served", Signatures: []string{"sig"}, Records: []byte("r"), Version: 3, Load: &pb.FleetPong{}},
	}
}

var errNoAnswer = errors.New("no answer")

// respondAfter waits for d, or for an hour where the gatherer is silent, and returns the error of ctx where ctx
// ends first.
func (g *fakeGatherer) respondAfter(ctx context.Context, d time.Duration) error {
	if g.silent.Load() {
		d = time.Hour
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *fakeGatherer) Search(ctx context.Context, req *pb.FleetSearch) (*pb.FleetSearchAnswer, error) {
	if g.unreachable {
		return nil, errNoAnswer
	}
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{})
	g.record(func() { g.searches = append(g.searches, req) })
	if g.lostAfter > 0 {
		time.Sleep(g.lostAfter)
		return nil, errNoAnswer
	}
	if err := g.respondAfter(ctx, g.delay); err != nil {
		g.record(func() { g.cancelled++ })
		return nil, err
	}
	return g.answer, nil
}

func (g *fakeGatherer) Ping(ctx context.Context, _ *pb.FleetPing) (*pb.FleetPong, error) {
	g.record(func() { g.pings++ })
	if g.unreachable {
		return nil, errNoAnswer
	}
	return g.pong, g.respondAfter(ctx, 0)
}

// fixture is a smaller VM with two larger ones in its zone, in virtual time.
type fixture struct {
	m             *Manager
	s1, s2        *fakeGatherer
	view          *directory.View
	localSearches int
	declined      string
	newerConfigs  []string

	mu sync.Mutex
	// traces holds the traces of searches that were handed over. It is guarded by mu.
	traces []*dispatch.Trace
}

func (f *fixture) Current() *directory.View { return f.view }

// Serve implements dispatch.Server as the local engine.
func (f *fixture) Serve(_ context.Context, r *dispatch.Request) *dispatch.Answer {
	f.localSearches++
	f.declined = r.Declined
	return &dispatch.Answer{Outcome: dispatch.Served}
}

// Ended implements dispatch.Observer.
func (f *fixture) Ended(_ *dispatch.Request, _ *dispatch.Answer, t *dispatch.Trace) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.traces = append(f.traces, t)
}

func runFixture(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{s1: newGatherer(), s2: newGatherer()}
		f.view = testView(3)
		f.m = New(Config{
			Self: "w1", Local: f, Directory: f, Observer: f, Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
			Dial:          func(address string) Client { return map[string]Client{"s1": f.s1, "s2": f.s2}[address] },
			OnNewerConfig: func(address string) { f.newerConfigs = append(f.newerConfigs, address) },
			Lag:           func() time.Duration { return 0 }, Gate: openGate(),
		})
		f.m.SetPlan(Plan{ZoneGatherers: []string{"s1", "s2"}, GathererCount: 2, DelegatorCount: 1})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = f.m.Run(ctx) }()
		test(t, f)
		cancel()
		<-done
	})
}

// testView returns a view with a search route /s/ and a single-request route /x/.
func testView(version uint64) *directory.View {
	return &directory.View{Config: catalog.New(version, []*catalog.Route{
		{Name: "s", Host: "h", Prefix: "/s/", Idempotent: true, Shards: []string{"s0", "s1"}, Target: 150 * ms, Timeout: 800 * ms, MaxAttempts: 2},
		{Name: "x", Host: "h", Prefix: "/x/", Split: []catalog.Weighted{{Service: "x", Weight: 1}}, Timeout: 800 * ms, MaxAttempts: 2},
	}, nil, catalog.Limits{})}
}

func (f *fixture) search(ctx context.Context, path string) (*dispatch.Answer, time.Duration) {
	start := time.Now()
	a := f.m.Serve(ctx, &dispatch.Request{
		ID: "r", Method: "GET", Host: "h", Path: path, Target: path + "?q", Header: http.Header{"A": {"1", "2"}},
		Remaining: 800 * ms, Arrived: start.Add(-2 * ms),
	})
	return a, time.Since(start)
}

func TestSearchIsHandedOver(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		a, elapsed := f.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(a.Signatures, []string{"sig"})
		is.Equal(a.Route.Name, "s")
		is.Equal(elapsed, 30*ms)
		is.Equal(f.localSearches, 0)
		is.Equal(len(f.s1.searches)+len(f.s2.searches), 1)
		got := append(f.s1.searches, f.s2.searches...)[0]
		is.Equal(got.GetElapsedUs(), int64(2000))
		is.Equal(got.GetVersionLeast(), uint64(3))
		is.True(f.traces[0].Gatherer != "")
	})
}

// Single requests and unknown routes are served by this VM, and so is every request while there is no
// configuration.
func TestOtherRequestsAreServedLocally(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.search(t.Context(), "/x/1")
		f.search(t.Context(), "/nowhere")
		f.view = &directory.View{}
		f.search(t.Context(), "/s/1")
		is.Equal(f.localSearches, 3)
	})
}

// Searches with long bodies, which a crowd sends to one VM, were held by the VMs that it hands over to as well, outside of any budget.
func TestSearchesWithLongBodiesAreServedLocally(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		for _, size := range []int{0, maxBodyBytes, maxBodyBytes + 1} {
			f.m.Serve(t.Context(), &dispatch.Request{
				ID: "r", Method: "POST", Host: "h", Path: "/s/1", Target: "/s/1", Body: make([]byte, size), Remaining: 800 * ms, Arrived: time.Now(),
			})
		}
		is.Equal(f.localSearches, 1)
		is.Equal(len(f.s1.searches)+len(f.s2.searches), 2)
	})
}

// A search that a gatherer has certainly not started is offered to the other gatherer, and then served locally.
func TestUnstartedSearchIsOfferedAgain(t *testing.T) {
	for name, set := range map[string]func(g *fakeGatherer){
		"unreachable": func(g *fakeGatherer) { g.unreachable = true },
		"not taken":   func(g *fakeGatherer) { g.answer = &pb.FleetSearchAnswer{NotTaken: notTakenBusy} },
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(t *testing.T, f *fixture) {
				is := is.New(t)
				set(f.s1)
				for range 4 {
					a, _ := f.search(t.Context(), "/s/1")
					is.Equal(a.Outcome, dispatch.Served)
				}
				set(f.s2)
				f.search(t.Context(), "/s/1")
				is.Equal(f.localSearches, 1)
				is.True(strings.Contains(f.declined, "s2: ")) // for the log line of the request
			})
		})
	}
}

// A search that was lost with its gatherer may have run at the leaves. It is not made again under the same
// attempt, and its caller gets the answer at once.
func TestLostSearchIsNotRetried(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.s1.lostAfter, f.s2.lostAfter = 10*ms, 10*ms
		a, elapsed := f.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.Equal(a.Reason, dispatch.ReasonGathererLost)
		is.Equal(elapsed, 10*ms)
		is.Equal(f.localSearches, 0)
		is.Equal(len(f.s1.searches)+len(f.s2.searches), 1)
	})
}

// A ping finds a silent gatherer long before the search times out. The gatherer loses all its searches, and
// gets new ones once it answers again.
func TestSilentGatherer(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.s1.silent.Store(true)
		f.s2.silent.Store(true)
		a, elapsed := f.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.Equal(elapsed, firstPingDelay+pingTimeout)
		_, elapsed = f.search(t.Context(), "/s/1")
		is.Equal(elapsed, pingTimeout) // the other gatherer, which was pinged as soon as the first was lost
		a, elapsed = f.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(elapsed, time.Duration(0))
		is.Equal(f.localSearches, 1)
		dump, err := json.Marshal(f.m.Dump())
		is.NoErr(err)
		is.True(strings.Contains(string(dump), `"s1":{"lost":true`))
		f.s1.silent.Store(false)
		time.Sleep(2*lostPingPeriod + 2*pingTimeout)
		before := len(f.s1.searches)
		f.search(t.Context(), "/s/1")
		is.Equal(len(f.s1.searches), before+1)
	})
}

// A gatherer that becomes silent after it has answered a ping is found by a later one.
func TestGathererSilentAfterPing(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.s1.delay, f.s2.delay = time.Hour, time.Hour
		time.AfterFunc(100*ms, func() {
			f.s1.silent.Store(true)
			f.s2.silent.Store(true)
		})
		a, elapsed := f.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.True(elapsed > 100*ms && elapsed < 100*ms+pingPeriod+2*pingTimeout)
	})
}

// A gatherer answers pings but never the search. The search still ends within its timeout.
func TestSearchTimesOut(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.s1.delay, f.s2.delay = time.Hour, time.Hour
		a, elapsed := f.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.True(elapsed <= 800*ms) // the route's timeout
	})
}

// Searches that are answered within firstPingDelay cause no pings.
func TestNoPingsForFastSearches(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		for range 10 {
			f.search(t.Context(), "/s/1")
		}
		is.Equal(f.s1.pings+f.s2.pings, 0)
	})
}

// A gatherer whose processor lags, or that is about to stop, gets no searches while that lasts.
func TestBusyAndLeavingGatherersGetNoSearches(t *testing.T) {
	for name, load := range map[string]*pb.FleetPong{
		"behind":  {LagUs: (maxLag + ms).Microseconds()},
		"leaving": {Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(t *testing.T, f *fixture) {
				is := is.New(t)
				f.s1.answer.Load, f.s1.pong = load, load
				for range 12 {
					f.search(t.Context(), "/s/1")
				}
				is.True(len(f.s1.searches) <= 1)
				is.Equal(f.localSearches, 0)
			})
		})
	}
}

// No search of a VM is served by an older configuration than an earlier one. A gatherer that lags learns the
// version that it needs, and this VM fetches the one that it lacks.
func TestConfigurationNeverGoesBack(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.s2.unreachable = true
		f.s1.answer.Version = 7
		f.search(t.Context(), "/s/1")
		is.Equal(f.newerConfigs, []string{"s1"})
		f.search(t.Context(), "/s/1")
		is.Equal(f.s1.searches[1].GetVersionLeast(), uint64(7))
	})
}

// A caller that disconnects ends its search at the gatherer.
func TestCallerCancels(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 10*ms)
		defer cancel()
		a, elapsed := f.search(ctx, "/s/1")
		is.Equal(a.Outcome, dispatch.CallerGone)
		is.Equal(elapsed, 10*ms)
		is.Equal(f.s1.cancelled+f.s2.cancelled, 1)
		f.search(t.Context(), "/s/1")
		is.Equal(f.localSearches, 0) // the gatherer is not marked lost
	})
}

// Both gatherers get searches, and more go to the one with fewer of this VM's searches in flight.
func TestLeastLoadedGatherer(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.s1.delay = 300 * ms
		for range 10 {
			go f.search(t.Context(), "/s/1")
			time.Sleep(35 * ms)
		}
		time.Sleep(400 * ms)
		synctest.Wait()
		is.True(len(f.s1.searches) < len(f.s2.searches))
		is.True(len(f.s1.searches) > 0)
	})
}

// Gatherers of other zones get searches only where those of the own zone can't take them.
func TestOtherZonesAreFallback(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.m.SetPlan(Plan{ZoneGatherers: []string{"s1"}, OtherZoneGatherers: []string{"s2"}, GathererCount: 2, DelegatorCount: 1})
		for range 5 {
			f.search(t.Context(), "/s/1")
		}
		is.Equal(len(f.s1.searches), 5)
		f.s1.unreachable = true
		a, elapsed := f.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(elapsed, 30*ms)
		is.Equal(len(f.s2.searches), 1)
		is.Equal(f.localSearches, 0)
	})
}

// The loss of one gatherer makes the manager ping the others of its zone: when a whole zone is cut off, this
// costs one search rather than one for each gatherer there.
func TestGatherersOfAZoneAreLostTogether(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.s1.silent.Store(true)
		f.s2.silent.Store(true)
		f.search(t.Context(), "/s/1")
		time.Sleep(pingTimeout + ms)
		a, elapsed := f.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(elapsed, time.Duration(0))
		is.Equal(f.localSearches, 1)
	})
}
