package delegate

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/overload"
)

// fixedGate decides the same about each request, which it records.
type fixedGate struct {
	overload.Decision
	asked []overload.Request
}

func (g *fixedGate) Admit(_ time.Time, r overload.Request) overload.Decision {
	g.asked = append(g.asked, r)
	return g.Decision
}

func (g *fixedGate) ObserveLag(time.Time, time.Duration) {}

func (g *fixedGate) Room(time.Time) overload.Room {
	return overload.Room{Wait: 70 * ms, Limits: []time.Duration{60 * ms, 30 * ms}}
}

var busyCaller = overload.Decision{
	Reason: overload.ReasonCallerShare, Wait: 70 * ms, Limit: 60 * ms, Demand: 9, RetryAfter: 80 * ms,
}

// A search that the gate of either VM refuses causes no call, and its caller learns when to retry.
func TestGatesRefuse(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		e, gate := &stubEngine{view: testView(3)}, &fixedGate{Decision: busyCaller}
		req := request(time.Now())
		req.Caller = "10.1.1.1"
		g := NewGatherer(e, e, gate, func() bool { return false })
		msg := g.Search(t.Context(), encodeSearch("w1", req, 3, time.Now()))
		is.Equal(len(e.received), 0)
		is.Equal(gate.asked[0], overload.Request{
			Route: "s", Caller: "10.1.1.1", Target: 150 * ms, Elapsed: 5 * ms, Work: overload.Work{Calls: 2},
		})
		is.Equal(msg.GetNotTaken(), notTakenBusy)
		is.Equal(msg.GetLoad().GetWaitUs(), int64(70_000))
		is.Equal(msg.GetLoad().GetWaitLimitsUs(), []int64{60_000, 30_000})

		f.s1.answer, f.s2.answer = msg, msg
		a, _ := f.search(t.Context(), "/s/1")
		is.Equal([]any{a.Outcome, a.Reason, a.RetryAfter}, []any{dispatch.NotRun, dispatch.ReasonCallerShare, 80 * ms})
		is.Equal(f.m.targets[0].closed, nil) // other callers have their share

		f.m.cfg.Gate = gate
		offered := len(f.s1.searches) + len(f.s2.searches)
		f.m.RecordGatherers(gathererLoads(time.Now(), 0, 60*ms))
		a, _ = f.search(t.Context(), "/s/1")
		is.Equal([]any{a.Outcome, a.Reason, a.RetryAfter}, []any{dispatch.NotRun, dispatch.ReasonCallerShare, 80 * ms})
		is.Equal(gate.asked[1].Work, overload.Work{HandOver: true})
		is.Equal(*f.traces[1], dispatch.Trace{Version: 3, Wait: 70 * ms, WaitLimit: 60 * ms, Demand: 9})
		is.Equal(len(f.s1.searches)+len(f.s2.searches)+f.localSearches, offered)
	})
}

// gathererLoads returns loads of both gatherers of the fixture.
func gathererLoads(at time.Time, wait time.Duration, limits ...time.Duration) []GathererLoad {
	s1 := GathererLoad{Address: "s1", Wait: wait, Limits: limits, At: at}
	return []GathererLoad{s1, {Address: "s2", Wait: wait + ms, Limits: limits, At: at}}
}

// Gatherers that others told to be full get no search, and the caller is told when one has room. One that declined is
// closed for the priority and lower ones. A lower priority is still offered now and then, so that it does not starve.
func TestFullGatherers(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		route := f.view.Config.Match("h", "/s/1")
		route.Target = time.Second
		f.m.RecordGatherers(gathererLoads(time.Now(), 300*ms, 100*ms, 50*ms))
		a, elapsed := f.search(t.Context(), "/s/1")
		is.Equal([]any{a.Outcome, a.Reason, elapsed}, []any{dispatch.NotRun, dispatch.ReasonBusyGatherers, time.Duration(0)})
		is.True(a.RetryAfter >= 200*ms && a.RetryAfter <= 300*ms)
		is.Equal(len(f.s1.searches)+len(f.s2.searches)+f.localSearches, 0)
		s1 := f.m.targets[0]
		s1.close(1, time.Now())
		is.Equal([]time.Duration{s1.closedFor(0, time.Now()), s1.closedFor(2, time.Now())}, []time.Duration{0, 250 * ms})
		route.Priority = 1
		f.s1.answer.Load = &pb.FleetPong{WaitUs: 300_000, WaitLimitsUs: []int64{100_000, 50_000}}
		for range 3 {
			f.search(t.Context(), "/s/1")
		}
		is.Equal(len(f.s1.searches), 1)
	})
}

// What this VM has just sent counts before the gatherer reports it: a burst within one round trip filled the gatherer.
func TestSentSearchesCount(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		f.m.SetPlan(Plan{ZoneGatherers: []string{"s1"}})
		f.m.RecordGatherers(gathererLoads(time.Now(), 90*ms, 100*ms))
		time.Sleep(ms)
		var burst sync.WaitGroup
		for range 10 {
			burst.Go(func() { f.search(t.Context(), "/s/1") })
			synctest.Wait()
		}
		burst.Wait()
		is.New(t).Equal(len(f.s1.searches), int(10*ms/searchWork)+1)
	})
}

// slowPing is a gatherer that answers pings late.
type slowPing struct{ *fakeGatherer }

func (g slowPing) Ping(ctx context.Context, _ *pb.FleetPing) (*pb.FleetPong, error) {
	return &pb.FleetPong{}, g.respondAfter(ctx, 300*ms)
}

// A gatherer that told a long wait answers a ping late and is alive. Its search was cancelled and answered 502.
func TestPingOfBusyGatherer(t *testing.T) {
	for wait, want := range map[time.Duration]dispatch.Outcome{longWait: dispatch.Unknown, 250 * ms: dispatch.Served} {
		runFixture(t, func(t *testing.T, f *fixture) {
			is := is.New(t)
			f.view.Config.Match("h", "/s/1").Target = time.Second
			f.m.RecordGatherers(gathererLoads(time.Now(), wait, time.Second))
			f.s1.delay = 500 * ms
			f.m.SetPlan(Plan{ZoneGatherers: []string{"s1"}})
			f.m.targets[0].client = slowPing{f.s1}
			a, _ := f.search(t.Context(), "/s/1")
			is.Equal(a.Outcome, want)
		})
	}
}

// A search may time out at a gatherer that is behind. The gatherer counted as lost, and its other searches were
// answered 502.
func TestTimeoutAtBusyGatherer(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.s1.delay, f.s2.delay = time.Hour, time.Hour
		f.s1.pong = &pb.FleetPong{WaitUs: 100_000, WaitLimitsUs: []int64{200_000}}
		f.s2.pong = f.s1.pong
		a, _ := f.search(t.Context(), "/s/1")
		is.Equal([]any{a.Outcome, a.Reason}, []any{dispatch.TimedOut, dispatch.ReasonDeadline})
		states := f.m.Dump().(map[string]gathererState)
		is.True(!states["s1"].Lost && !states["s2"].Lost)
	})
}

// Loads that other VMs heard of count where they are newer, are passed on for at most a second, and are bounded.
func TestLoadsOfOtherVMs(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is, now := is.New(t), time.Now()
		f.m.RecordGatherers(gathererLoads(now, 20*ms, 60*ms))
		f.m.RecordGatherers(gathererLoads(now.Add(-ms), 90*ms, 60*ms))
		for i := range 2 * maxOtherLoads {
			f.m.RecordGatherers([]GathererLoad{{Address: strings.Repeat("x", i+1), At: now.Add(time.Duration(i-100) * ms)}})
		}
		loads := f.m.GathererLoads(now)
		is.Equal(len(loads), 2+maxOtherLoads)
		is.Equal(loads[:2], gathererLoads(now, 20*ms, 60*ms))
		is.True(slices.IsSortedFunc(loads, func(a, b GathererLoad) int { return b.At.Compare(a.At) }))
		is.Equal(f.m.Dump().(map[string]gathererState)["s1"].ToldBy, "another VM")
		is.Equal(len(f.m.GathererLoads(now.Add(reportExpiry))), 0)
	})
}
