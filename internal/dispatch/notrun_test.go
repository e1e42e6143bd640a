package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/overload"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// leavesFunc implements Leaves with a function. Connections are always free.
type leavesFunc func(ctx context.Context, id catalog.LeafID) (*leafcall.Response, error)

func (f leavesFunc) Do(ctx context.Context, id catalog.LeafID, _ *leafcall.Request) (*leafcall.Response, error) {
	return f(ctx, id)
}
func (leavesFunc) Free(catalog.LeafID) (free, open bool) { return true, true }

// refuseFull is a leaf that is full.
func refuseFull(context.Context, catalog.LeafID) (*leafcall.Response, error) {
	time.Sleep(ms)
	return &leafcall.Response{Status: http.StatusServiceUnavailable, NotRun: true, Load: &replica.Load{Running: 3, Waiting: 9, Slots: 3}}, nil
}

// neverSent is a leaf to which no connection opens before the call is cancelled.
func neverSent(ctx context.Context, _ catalog.LeafID) (*leafcall.Response, error) {
	<-ctx.Done()
	return nil, &leafcall.Error{Cause: leafcall.NoConnection, Err: ctx.Err()}
}

// neverAnswered is a leaf that gets the call and does not answer.
func neverAnswered(ctx context.Context, _ catalog.LeafID) (*leafcall.Response, error) {
	<-ctx.Done()
	return nil, &leafcall.Error{Cause: leafcall.TimedOut, Sent: true, Err: ctx.Err()}
}

// Callers got 502 and 504 for requests that no leaf had run: all calls were refused, or none had left the VM.
func TestNothingRunIsNotRun(t *testing.T) {
	for name, tt := range map[string]struct {
		leaves  leavesFunc
		outcome Outcome
	}{
		"all leaves are full":       {refuseFull, NotRun},
		"no call leaves the VM":     {neverSent, NotRun},
		"calls are sent, no answer": {neverAnswered, TimedOut},
	} {
		for _, path := range []string{"/i/q", "/o/q", "/s/q"} {
			t.Run(name+path, func(t *testing.T) {
				play(t, func(t *testing.T, w *world) {
					is := is.New(t)
					w.engine.leaves = tt.leaves
					a, elapsed := w.ask(t.Context(), path)
					is.Equal(a.Outcome == NotRun, tt.outcome == NotRun)
					is.True(elapsed <= 2*time.Second)
					is.Equal(a.RetryAfter > 0, tt.outcome == NotRun)
				})
			})
		}
	}
}

// A request whose time was over, or whose caller was gone, was sent to leaves and answered 504.
func TestEndedRequestsAreNotSent(t *testing.T) {
	for _, path := range []string{"/i/q", "/s/q"} {
		t.Run(path, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				request := func(remaining time.Duration, arrived time.Time) *Request {
					return &Request{Method: "GET", Host: "h", Path: path, Target: path, Remaining: remaining, Arrived: arrived}
				}
				late := w.engine.Serve(t.Context(), request(200*ms, time.Now().Add(-time.Second)))
				is.Equal(late.Outcome, NotRun)
				is.Equal(late.Reason, ReasonDeadline)
				gone, cancel := context.WithCancel(t.Context())
				cancel()
				is.Equal(w.engine.Serve(gone, request(time.Second, time.Now())).Outcome, CallerGone)
				is.Equal(len(w.requests), 0)
			})
		})
	}
}

// closedGate refuses every request.
type closedGate struct{ asked []overload.Request }

func (g *closedGate) Admit(_ time.Time, r overload.Request) overload.Decision {
	g.asked = append(g.asked, r)
	return overload.Decision{Reason: overload.ReasonCallerShare, Wait: 40 * ms, Limit: 30 * ms, Demand: 7, RetryAfter: time.Second}
}

// A refusal of the gate must send nothing, and a request that was admitted elsewhere must not pass the gate again.
func TestGateIsAskedOnce(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		gate := &closedGate{}
		w.engine.gate = gate
		a, _ := w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, NotRun)
		is.Equal(a.Reason, ReasonCallerShare)
		is.Equal(a.RetryAfter, time.Second)
		is.Equal(gate.asked[0].Work.Calls, shards)
		is.Equal(w.traces[0].Wait, 40*ms)
		is.Equal(len(w.requests), 0)
		admitted := &Request{Method: "GET", Host: "h", Path: "/s/q", Target: "/s/q", Arrived: time.Now(), Admitted: true}
		is.Equal(w.engine.Serve(t.Context(), admitted).Outcome, Served)
		is.Equal(len(gate.asked), 1)
	})
}

// Priorities, targets and reports that are 0, negative or absurd must neither close nor open the leaves to others.
func TestInvalidInputNeitherOpensNorCloses(t *testing.T) {
	const normal = 100 * ms
	for name, tt := range map[string]struct {
		priority int
		target   time.Duration
	}{
		"priority below 0":     {-1 << 40, normal},
		"priority beyond all":  {1 << 40, normal},
		"no target":            {0, 0},
		"negative target":      {0, -time.Hour},
		"target of nanosecond": {5, 1},
		"target of centuries":  {0, 1 << 62},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := sharedLeaves{newSchedule: newRetrySchedule}
			odd := &catalog.Route{Name: "odd", Priority: tt.priority, Target: tt.target}
			other := &catalog.Route{Name: "other", Priority: 1, Target: normal}
			now := time.Now()
			own := s.request("x", odd, slackOf(tt.target, 10*ms, 20*ms), now, 0.5).limit
			is.True(own >= 0 && own <= maxTarget)
			limit := s.request("x", other, slackOf(normal, 10*ms, 20*ms), now, 0.5).limit
			is.True(limit >= 20*ms && limit <= normal)
		})
	}
}

// A lower priority may use only a part of the slack of the routes above it, and a route that is gone does not count.
func TestWaitLimits(t *testing.T) {
	is := is.New(t)
	s := sharedLeaves{newSchedule: newRetrySchedule}
	route := func(name string, priority int) *catalog.Route { return &catalog.Route{Name: name, Priority: priority} }
	now := time.Now()
	limit := func(name string, priority int, slack time.Duration) time.Duration {
		defer s.admitted("x", route(name, priority), now)
		return s.request("x", route(name, priority), slack, now, 0.5).limit.Round(ms)
	}
	is.Equal(limit("a", 1, 100*ms), 80*ms)
	is.Equal(limit("b", 4, 300*ms), 48*ms)
	is.Equal(limit("c", 9, 200*ms), 29*ms) // 0.8 * 100 ms * 0.6 * 0.6
	is.Equal(limit("a", 1, 100*ms), 80*ms)
	is.Equal(limit("d", 9, 20*ms), 16*ms)
	is.Equal(limit("e", 9, 200*ms), 16*ms) // that of a route as urgent
	now = now.Add(2 * routeExpiry)
	is.Equal(limit("c", 9, 200*ms), 160*ms)
}
