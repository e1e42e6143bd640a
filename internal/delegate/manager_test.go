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
	// after is how long a search takes; unreachable ones take no connection, silent ones don't answer.
	after       time.Duration
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

// count notes what the gatherer was asked.
func (g *fakeGatherer) count(note func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	note()
}

func newGatherer() *fakeGatherer {
	return &fakeGatherer{
		after: 30 * ms, pong: &pb.FleetPong{},
		answer: &pb.FleetSearchAnswer{Outcome: "served", Signatures: []string{"sig"}, Records: []byte("r"), Version: 3, Load: &pb.FleetPong{}},
	}
}

var errNoAnswer = errors.New("no answer")

// stay waits as the gatherer would, and tells whether it answers.
func (g *fakeGatherer) stay(ctx context.Context, d time.Duration) error {
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
	g.count(func() { g.searches = append(g.searches, req) })
	if g.lostAfter > 0 {
		time.Sleep(g.lostAfter)
		return nil, errNoAnswer
	}
	if err := g.stay(ctx, g.after); err != nil {
		g.count(func() { g.cancelled++ })
		return nil, err
	}
	return g.answer, nil
}

func (g *fakeGatherer) Ping(ctx context.Context, _ *pb.FleetPing) (*pb.FleetPong, error) {
	g.count(func() { g.pings++ })
	if g.unreachable {
		return nil, errNoAnswer
	}
	return g.pong, g.stay(ctx, 0)
}

// world is a weak VM beside two strong ones, in virtual time.
type world struct {
	m        *Manager
	s1, s2   *fakeGatherer
	view     *directory.View
	local    int
	declined string
	behind   []string

	mu sync.Mutex
	// ended holds the traces of searches handed over; guarded by mu.
	ended []*dispatch.Trace
}

func (w *world) Current() *directory.View { return w.view }

// Serve is the local engine.
func (w *world) Serve(_ context.Context, r *dispatch.Request) *dispatch.Answer {
	w.local++
	w.declined = r.Declined
	return &dispatch.Answer{Outcome: dispatch.Served}
}

// Ended implements dispatch.Observer.
func (w *world) Ended(_ *dispatch.Request, _ *dispatch.Answer, t *dispatch.Trace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = append(w.ended, t)
}

func play(t *testing.T, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{s1: newGatherer(), s2: newGatherer()}
		w.view = viewOf(3)
		w.m = New(Config{
			Self: "w1", Local: w, Directory: w, Observer: w, Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
			Dial:          func(address string) Client { return map[string]Client{"s1": w.s1, "s2": w.s2}[address] },
			OnNewerConfig: func(address string) { w.behind = append(w.behind, address) },
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

// viewOf has a search route /s/ and a single one /x/.
func viewOf(version uint64) *directory.View {
	return &directory.View{Config: catalog.New(version, []*catalog.Route{
		{Name: "s", Host: "h", Prefix: "/s/", Idempotent: true, Shards: []string{"s0", "s1"}, Target: 150 * ms, Timeout: 800 * ms, MaxAttempts: 2},
		{Name: "x", Host: "h", Prefix: "/x/", Split: []catalog.Weighted{{Service: "x", Weight: 1}}, Timeout: 800 * ms, MaxAttempts: 2},
	}, nil, catalog.Limits{})}
}

func (w *world) ask(ctx context.Context, path string) (*dispatch.Answer, time.Duration) {
	begun := time.Now()
	a := w.m.Serve(ctx, &dispatch.Request{
		ID: "r", Method: "GET", Host: "h", Path: path, Target: path + "?q", Header: http.Header{"A": {"1", "2"}},
		Remaining: 800 * ms, Arrived: begun.Add(-2 * ms),
	})
	return a, time.Since(begun)
}

func TestSearchIsHandedOver(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		a, took := w.ask(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(a.Signatures, []string{"sig"})
		is.Equal(a.Route.Name, "s")
		is.Equal(took, 30*ms)
		is.Equal(w.local, 0)
		is.Equal(len(w.s1.searches)+len(w.s2.searches), 1)
		got := append(w.s1.searches, w.s2.searches...)[0]
		is.Equal(got.GetElapsedUs(), int64(2000))
		is.Equal(got.GetVersionLeast(), uint64(3))
		is.True(w.ended[0].Gatherer != "")
	})
}

// Single requests, unknown routes and all where there is no configuration stay with this VM.
func TestOthersStayHere(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.ask(t.Context(), "/x/1")
		w.ask(t.Context(), "/nowhere")
		w.view = &directory.View{}
		w.ask(t.Context(), "/s/1")
		is.Equal(w.local, 3)
	})
}

// What a gatherer surely has not begun is offered to the other one, and then made here.
func TestNotBegunIsServedElsewhere(t *testing.T) {
	for name, set := range map[string]func(g *fakeGatherer){
		"unreachable": func(g *fakeGatherer) { g.unreachable = true },
		"not taken":   func(g *fakeGatherer) { g.answer = &pb.FleetSearchAnswer{NotTaken: notTakenBusy} },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				set(w.s1)
				for range 4 {
					a, _ := w.ask(t.Context(), "/s/1")
					is.Equal(a.Outcome, dispatch.Served)
				}
				set(w.s2)
				w.ask(t.Context(), "/s/1")
				is.Equal(w.local, 1)
				is.True(strings.Contains(w.declined, "s2: ")) // so that its line tells
			})
		})
	}
}

// A search that a gatherer lost may have run at the leaves: it isn't made again under the same attempt, and
// its caller hears at once.
func TestLostSearchIsNotMadeAgain(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.s1.lostAfter, w.s2.lostAfter = 10*ms, 10*ms
		a, took := w.ask(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.Equal(a.Reason, dispatch.ReasonGathererLost)
		is.Equal(took, 10*ms)
		is.Equal(w.local, 0)
		is.Equal(len(w.s1.searches)+len(w.s2.searches), 1)
	})
}

// A gatherer gone silent is found by a ping long before a search's time is over, loses all that it has, and
// gets searches again once it answers.
func TestSilentGatherer(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.s1.silent.Store(true)
		w.s2.silent.Store(true)
		a, took := w.ask(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.Equal(took, quietAfter+pingTimeout)
		_, took = w.ask(t.Context(), "/s/1")
		is.Equal(took, pingTimeout) // the other one, which was asked as soon as the first was lost
		a, took = w.ask(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(took, time.Duration(0))
		is.Equal(w.local, 1)
		shown, err := json.Marshal(w.m.Dump())
		is.NoErr(err)
		is.True(strings.Contains(string(shown), `"s1":{"lost":true`))
		w.s1.silent.Store(false)
		time.Sleep(2*lostPeriod + 2*pingTimeout)
		before := len(w.s1.searches)
		w.ask(t.Context(), "/s/1")
		is.Equal(len(w.s1.searches), before+1)
	})
}

// A gatherer that goes silent later, after it has answered a ping, is found all the same.
func TestGathererSilentLater(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.s1.after, w.s2.after = time.Hour, time.Hour
		time.AfterFunc(100*ms, func() {
			w.s1.silent.Store(true)
			w.s2.silent.Store(true)
		})
		a, took := w.ask(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.True(took > 100*ms && took < 100*ms+pingPeriod+2*pingTimeout)
	})
}

// A search of which a gatherer that answers pings never tells the end gets its final answer in time.
func TestSearchWithoutEnd(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.s1.after, w.s2.after = time.Hour, time.Hour
		a, took := w.ask(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Unknown)
		is.True(took <= 800*ms) // the route's timeout
	})
}

// Pings don't go out for searches that are answered soon.
func TestQuickSearchesNeedNoPing(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for range 10 {
			w.ask(t.Context(), "/s/1")
		}
		is.Equal(w.s1.pings+w.s2.pings, 0)
	})
}

// A VM whose processor is behind, or that is about to end, gets nothing while that lasts.
func TestBusyAndLeavingGatherersAreSpared(t *testing.T) {
	for name, load := range map[string]*pb.FleetPong{
		"behind":  {LagUs: (lagMost + ms).Microseconds()},
		"leaving": {Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				w.s1.answer.Load, w.s1.pong = load, load
				for range 12 {
					w.ask(t.Context(), "/s/1")
				}
				is.True(len(w.s1.searches) <= 1)
				is.Equal(w.local, 0)
			})
		})
	}
}

// Searches of a VM are never served by an older configuration than one before: a gatherer that lags gets to
// know what it needs, and this VM asks for what it lacks.
func TestConfigurationNeverGoesBack(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.s2.unreachable = true
		w.s1.answer.Version = 7
		w.ask(t.Context(), "/s/1")
		is.Equal(w.behind, []string{"s1"})
		w.ask(t.Context(), "/s/1")
		is.Equal(w.s1.searches[1].GetVersionLeast(), uint64(7))
	})
}

// A caller that leaves ends the search at the gatherer.
func TestCallerGoes(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 10*ms)
		defer cancel()
		a, took := w.ask(ctx, "/s/1")
		is.Equal(a.Outcome, dispatch.CallerGone)
		is.Equal(took, 10*ms)
		is.Equal(w.s1.cancelled+w.s2.cancelled, 1)
		w.ask(t.Context(), "/s/1")
		is.Equal(w.local, 0) // that says nothing of the gatherer
	})
}

// Searches are shared out, and go to the gatherer with fewer of this VM's in flight.
func TestSharedOut(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.s1.after = 300 * ms
		for range 10 {
			go w.ask(t.Context(), "/s/1")
			time.Sleep(35 * ms)
		}
		time.Sleep(400 * ms)
		synctest.Wait()
		is.True(len(w.s1.searches) < len(w.s2.searches))
		is.True(len(w.s1.searches) > 0)
	})
}

// Strong VMs of other zones get searches only where those of the own zone can't take them.
func TestOtherZonesComeLast(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.m.SetPlan(Plan{ZoneGatherers: []string{"s1"}, OtherZoneGatherers: []string{"s2"}, GathererCount: 2, DelegatorCount: 1})
		for range 5 {
			w.ask(t.Context(), "/s/1")
		}
		is.Equal(len(w.s1.searches), 5)
		w.s1.unreachable = true
		a, took := w.ask(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(took, 30*ms)
		is.Equal(len(w.s2.searches), 1)
		is.Equal(w.local, 0)
	})
}

// One gatherer that is lost makes doubt of those beside it: when a whole zone is cut off, one search pays for it
// and not one for each gatherer there.
func TestGatherersAreLostTogether(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.s1.silent.Store(true)
		w.s2.silent.Store(true)
		w.ask(t.Context(), "/s/1")
		time.Sleep(pingTimeout + ms)
		a, took := w.ask(t.Context(), "/s/1")
		is.Equal(a.Outcome, dispatch.Served)
		is.Equal(took, time.Duration(0))
		is.Equal(w.local, 1)
	})
}
