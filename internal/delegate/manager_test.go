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

// fakeGatherer is a stronger VM as the client of another one sees it.
type fakeGatherer struct {
	// delay is how long a search takes; unreachable ones take no connection, silent ones don't answer.
	delay       time.Duration
	unreachable bool
	silent      atomic.Bool
	// lostAfter ends a search without an answer, where it isn't 0.
	lostAfter time.Duration
	answer    *pb.FleetSearchAnswer
	pong      *pb.FleetPong

	mu sync.Mutex
	// What it was asked; guarded by mu.
	searches  []*pb.FleetSearch
	pings     int
	cancelled int
}

// record notes what the gatherer was asked.
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

// respondAfter waits as the gatherer would, and tells whether it answers.
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

// fixture is a weak VM beside two strong ones, in virtual time.
type fixture struct {
	m             *Manager
	s1, s2        *fakeGatherer
	view          *directory.View
	localSearches int
	declined      string
	newerConfigs  []string

	mu sync.Mutex
	// ended holds the traces of searches handed over; guarded by mu.
	traces []*dispatch.Trace
}

func (w *fixture) Current() *directory.View { return w.view }

// Serve is the local engine.
func (w *fixture) Serve(_ context.Context, r *dispatch.Request) *dispatch.Answer {
	w.localSearches++
	w.declined = r.Declined
	return &dispatch.Answer{Outcome: dispatch.Served}
}

// Ended implements dispatch.Observer.
func (w *fixture) Ended(_ *dispatch.Request, _ *dispatch.Answer, t *dispatch.Trace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.traces = append(w.traces, t)
}

func runFixture(t *testing.T, f func(t *testing.T, w *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &fixture{s1: newGatherer(), s2: newGatherer()}
		w.view = testView(3)
		w.m = New(Config{
			Self: "w1", Local: w, Directory: w, Observer: w, Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
			Dial:          func(address string) Client { return map[string]Client{"s1": w.s1, "s2": w.s2}[address] },
			OnNewerConfig: func(address string) { w.newerConfigs = append(w.newerConfigs, address) },
			Lag:           func() time.Duration { return 0 },
		})
		w.m.SetPlan(Plan{ZoneGatherers: []string{"s1", "s2"}, GathererCount: 2, DelegatorCount: 1})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = w.m.Run(ctx) }()
		f(t, w)
		cancel()
		<-done
	})
}

// testView has a search route /s/ and a single one /x/.
func testView(version uint64) *directory.View {
	return &directory.View{Config: catalog.New(version, []*catalog.Route{
		{Name: "s", Host: "h", Prefix: "/s/", Idempotent: true, Shards: []string{"s0", "s1"}, Target: 150 * ms, Timeout: 800 * ms, MaxAttempts: 2},
		{Name: "x", Host: "h", Prefix: "/x/", Split: []catalog.Weighted{{Service: "x", Weight: 1}}, Timeout: 800 * ms, MaxAttempts: 2},
	}, nil, catalog.Limits{})}
}

func (w *fixture) search(ctx context.Context, path string) (*dispatch.Answer, time.Duration) {
	start := time.Now()
	a := w.m.Serve(ctx, &dispatch.Request{
		ID: "r", Method: "GET", Host: "h", Path: path, Target: path + "?q", Header: http.Header{"A": {"1", "2"}},
		Remaining: 800 * ms, Arrived: start.Add(-2 * ms),
	})
	return a, time.Since(start)
}

func TestSearchIsHandedOver(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		a, elapsed := w.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(a.Signatures, []string{"sig"})
		is.Equal(a.Route.Name, "s")
		is.Equal(elapsed, 30*ms)
		is.Equal(w.localSearches, 0)
		is.Equal(len(w.s1.searches)+len(w.s2.searches), 1)
		got := append(w.s1.searches, w.s2.searches...)[0]
		is.Equal(got.GetElapsedUs(), int64(2000))
		is.Equal(got.GetVersionLeast(), uint64(3))
		is.True(w.traces[0].Gatherer != "")
	})
}

// Single requests, unknown routes and all where there is no configuration stay with this VM.
func TestOtherRequestsAreServedLocally(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		w.search(t.Context(), "/x/1")
		w.search(t.Context(), "/nowhere")
		w.view = &directory.View{}
		w.search(t.Context(), "/s/1")
		is.Equal(w.localSearches, 3)
	})
}

// What a gatherer surely has not begun is offered to the other one, and then made here.
func TestUnstartedSearchIsOfferedAgain(t *testing.T) {
	for name, set := range map[string]func(g *fakeGatherer){
		"unreachable": func(g *fakeGatherer) { g.unreachable = true },
		"not taken":   func(g *fakeGatherer) { g.answer = &pb.FleetSearchAnswer{NotTaken: notTakenBusy} },
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(t *testing.T, w *fixture) {
				is := is.New(t)
				set(w.s1)
				for range 4 {
					a, _ := w.search(t.Context(), "/s/1")
					is.Equal(a.Outcome, dispatch.Served)
				}
				set(w.s2)
				w.search(t.Context(), "/s/1")
				is.Equal(w.localSearches, 1)
				is.True(strings.Contains(w.declined, "s2: ")) // so that its line tells
			})
		})
	}
}

// A search that a gatherer lost may have run at the leaves: it isn't made again under the same attempt, and
// its caller hears at once.
func TestLostSearchIsNotRetried(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		w.s1.lostAfter, w.s2.lostAfter = 10*ms, 10*ms
		a, elapsed := w.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.Equal(a.Reason, dispatch.ReasonGathererLost)
		is.Equal(elapsed, 10*ms)
		is.Equal(w.localSearches, 0)
		is.Equal(len(w.s1.searches)+len(w.s2.searches), 1)
	})
}

// A gatherer gone silent is found by a ping long before a search's time is over, loses all that it has, and
// gets searches again once it answers.
func TestSilentGatherer(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		w.s1.silent.Store(true)
		w.s2.silent.Store(true)
		a, elapsed := w.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.Equal(elapsed, firstPingDelay+pingTimeout)
		_, elapsed = w.search(t.Context(), "/s/1")
		is.Equal(elapsed, pingTimeout) // the other one, which was asked as soon as the first was lost
		a, elapsed = w.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(elapsed, time.Duration(0))
		is.Equal(w.localSearches, 1)
		dump, err := json.Marshal(w.m.Dump())
		is.NoErr(err)
		is.True(strings.Contains(string(dump), `"s1":{"lost":true`))
		w.s1.silent.Store(false)
		time.Sleep(2*lostPingPeriod + 2*pingTimeout)
		before := len(w.s1.searches)
		w.search(t.Context(), "/s/1")
		is.Equal(len(w.s1.searches), before+1)
	})
}

// A gatherer that goes silent later, after it has answered a ping, is found all the same.
func TestGathererSilentAfterPing(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		w.s1.delay, w.s2.delay = time.Hour, time.Hour
		time.AfterFunc(100*ms, func() {
			w.s1.silent.Store(true)
			w.s2.silent.Store(true)
		})
		a, elapsed := w.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.True(elapsed > 100*ms && elapsed < 100*ms+pingPeriod+2*pingTimeout)
	})
}

// A search of which a gatherer that answers pings never tells the end gets its final answer in time.
func TestSearchTimesOut(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		w.s1.delay, w.s2.delay = time.Hour, time.Hour
		a, elapsed := w.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.True(elapsed <= 800*ms) // the route's timeout
	})
}

// Pings don't go out for searches that are answered soon.
func TestNoPingsForFastSearches(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		for range 10 {
			w.search(t.Context(), "/s/1")
		}
		is.Equal(w.s1.pings+w.s2.pings, 0)
	})
}

// A VM whose processor is behind, or that is about to end, gets nothing while that lasts.
func TestBusyAndLeavingGatherersGetNoSearches(t *testing.T) {
	for name, load := range map[string]*pb.FleetPong{
		"behind":  {LagUs: (maxLag + ms).Microseconds()},
		"leaving": {Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(t *testing.T, w *fixture) {
				is := is.New(t)
				w.s1.answer.Load, w.s1.pong = load, load
				for range 12 {
					w.search(t.Context(), "/s/1")
				}
				is.True(len(w.s1.searches) <= 1)
				is.Equal(w.localSearches, 0)
			})
		})
	}
}

// Searches of a VM are never served by an older configuration than one before: a gatherer that lags gets to
// know what it needs, and this VM asks for what it lacks.
func TestConfigurationNeverGoesBack(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		w.s2.unreachable = true
		w.s1.answer.Version = 7
		w.search(t.Context(), "/s/1")
		is.Equal(w.newerConfigs, []string{"s1"})
		w.search(t.Context(), "/s/1")
		is.Equal(w.s1.searches[1].GetVersionLeast(), uint64(7))
	})
}

// A caller that leaves ends the search at the gatherer.
func TestCallerCancels(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 10*ms)
		defer cancel()
		a, elapsed := w.search(ctx, "/s/1")
		is.Equal(a.Outcome, dispatch.CallerGone)
		is.Equal(elapsed, 10*ms)
		is.Equal(w.s1.cancelled+w.s2.cancelled, 1)
		w.search(t.Context(), "/s/1")
		is.Equal(w.localSearches, 0) // that says nothing of the gatherer
	})
}

// Searches are shared out, and go to the gatherer with fewer of this VM's in flight.
func TestLeastLoadedGatherer(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		w.s1.delay = 300 * ms
		for range 10 {
			go w.search(t.Context(), "/s/1")
			time.Sleep(35 * ms)
		}
		time.Sleep(400 * ms)
		synctest.Wait()
		is.True(len(w.s1.searches) < len(w.s2.searches))
		is.True(len(w.s1.searches) > 0)
	})
}

// Strong VMs of other zones get searches only where those of the own zone can't take them.
func TestOtherZonesAreFallback(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		w.m.SetPlan(Plan{ZoneGatherers: []string{"s1"}, OtherZoneGatherers: []string{"s2"}, GathererCount: 2, DelegatorCount: 1})
		for range 5 {
			w.search(t.Context(), "/s/1")
		}
		is.Equal(len(w.s1.searches), 5)
		w.s1.unreachable = true
		a, elapsed := w.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(elapsed, 30*ms)
		is.Equal(len(w.s2.searches), 1)
		is.Equal(w.localSearches, 0)
	})
}

// One gatherer that is lost makes doubt of those beside it: when a whole zone is cut off, one search pays for it
// and not one for each gatherer there.
func TestGatherersOfAZoneAreLostTogether(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		w.s1.silent.Store(true)
		w.s2.silent.Store(true)
		w.search(t.Context(), "/s/1")
		time.Sleep(pingTimeout + ms)
		a, elapsed := w.search(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(elapsed, time.Duration(0))
		is.Equal(w.localSearches, 1)
	})
}
