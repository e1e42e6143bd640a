package dispatch

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/leafcall"
)

// A VM that was short of processor time sent requests on whose callers had left before it read them.
func TestNothingIsSentForACallerThatLeft(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for _, path := range []string{"/s/q", "/i/1", "/o/1"} {
			a, elapsed := w.ask(ctx, path)
			is.Equal(a.Outcome, CallerGone)
			is.Equal(elapsed, time.Duration(0))
		}
		is.Equal(len(w.requests), 0)
	})
}

// A close that has not been read yet counts once the VM lags behind: a busy one reads it too late.
func TestLaggingVMAsksForTheCallersClose(t *testing.T) {
	for name, lag := range map[string]time.Duration{"idle": 0, "lagging": 2 * callerCheckLag} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				w.engine.lag.estimate = lag
				w.oddFirst("x", reply{after: 10 * ms, cause: leafcall.ConnectionLost})
				left := func() bool { return true }
				a := w.engine.Serve(t.Context(), &Request{ID: "r1", Method: "GET", Host: "h", Path: "/i/1", Target: "/i/1", Arrived: time.Now(), CallerLeft: left})
				is.Equal(a.Outcome == CallerGone, lag > 0)
				is.Equal(w.callsTo("x-a", "x-b", "x-c") == 1, lag > 0)
			})
		})
	}
}

func TestCompleteSearch(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		a, elapsed := w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, Served)
		is.Equal(len(a.Signatures), shards)
		is.Equal(a.Missing, 0)
		is.Equal(string(a.Records), "s9-a            s8-a            s7-a            ")
		is.Equal(elapsed, 10*ms)
		is.Equal(w.callsTo("s0-a", "s0-b", "s0-c"), 1)
	})
}

// A paused leaf of one shard costs a hedge but does not delay the search.
func TestPausedLeafIsHedged(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for range 20 {
			w.ask(t.Context(), "/s/q")
		}
		w.oddFirst("s4", reply{after: 200 * ms})
		a, elapsed := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 0)
		is.True(elapsed < 80*ms)
		is.Equal(w.traces[20].Hedges, 1)
	})
}

// If a hedge does not help either, the answer is in time without the shard and says so.
func TestPartialAnswerComesInTime(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, id := range []string{"s4-a", "s4-b", "s4-c"} {
			w.set(id, ok(time.Second))
		}
		a, elapsed := w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, Served)
		is.Equal(a.Reason, ReasonPartial)
		is.Equal(a.Missing, 1)
		is.Equal(len(a.Signatures), shards-1)
		is.True(elapsed <= 140*ms)
		bad := w.traces[0].BadCalls
		is.Equal(len(bad), 1)
		is.Equal(bad[0].Service, "s4")
		is.True(strings.HasPrefix(bad[0].Leaf.Name, "s4-"))
		is.Equal(bad[0].Problem, "no answer yet")
		is.True(!slices.ContainsFunc(a.Signatures, func(s string) bool { return strings.Contains(s, "s4") }))
	})
}

// Two of ten shards are too many to lose, which is known as soon as their leaves have failed.
func TestTooFewShardsFailsAtOnce(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, s := range []string{"s4", "s5"} {
			for _, r := range []string{"-a", "-b", "-c"} {
				w.set(s+r, fail(leafcall.ConnectionLost))
			}
		}
		a, elapsed := w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, Unknown) // some calls of it have run
		is.True(elapsed < 10*ms)
	})
}

func TestSearchWithoutLeavesIsRefusedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		delete(w.view.Leaves, "s4")
		a, _ := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 1) // one may be missing
		delete(w.view.Leaves, "s5")
		before := len(w.requests)
		a, elapsed := w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, NotRun)
		is.Equal(a.Reason, ReasonNoLeaf)
		is.True(a.RetryAfter > 0)
		is.Equal(elapsed, time.Duration(0))
		is.Equal(len(w.requests), before)
	})
}

// While too many shards have no responsive leaf, as in a zone that is cut off from those of others, searches are
// refused immediately, as not run and with a retry delay, instead of waiting until their deadline. Occasional
// searches are still sent, so that the recovery is detected.
func TestSearchOfMuteShardsIsRefusedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		makeUnresponsive := func(shards ...string) {
			for _, s := range shards {
				for _, r := range []string{"-a", "-b", "-c"} {
					w.set(s+r, ok(time.Hour))
				}
			}
		}
		makeUnresponsive("s4")
		for range 20 {
			a, _ := w.ask(t.Context(), "/s/q")
			is.Equal(a.Outcome, Served) // one may be missing
		}
		makeUnresponsive("s4", "s5")
		var tried, refused atomic.Int64
		for start := time.Now(); time.Since(start) < 6*time.Second; time.Sleep(20 * ms) {
			go func() {
				a, elapsed := w.ask(t.Context(), "/s/q")
				if a.Outcome != NotRun {
					tried.Add(1)
					return
				}
				refused.Add(1)
				is.Equal(a.Reason, ReasonUnresponsiveLeaves)
				is.True(a.RetryAfter > 0)
				is.Equal(elapsed, time.Duration(0))
			}()
		}
		time.Sleep(2 * time.Second)
		is.True(refused.Load() > tried.Load()/2)
		is.True(tried.Load() > 0)
		for _, s := range []string{"s4", "s5"} {
			for _, r := range []string{"-a", "-b", "-c"} {
				w.set(s+r, ok(10*ms))
			}
		}
		a, _ := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 0) // recovered
	})
}

// A refused call is repeated at another leaf immediately, and a failure response of a leaf does not count as a
// part.
func TestRefusedAndFailedPartsAreRepeated(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.set("s1-a", refuses())
		w.set("s2-a", always(reply{after: ms, status: 500}))
		w.set("s3-a", fail(leafcall.InvalidAnswer))
		a, elapsed := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 0)
		is.True(!slices.ContainsFunc(a.Signatures, func(s string) bool { return strings.HasPrefix(s, "bad") }))
		is.True(elapsed < 20*ms)
		is.Equal(w.traces[0].Repeats, 3)
	})
}

func TestAttemptsAreBounded(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, id := range []string{"x-a", "x-b", "x-c"} {
			w.set(id, always(reply{after: ms, status: 500}))
		}
		a, _ := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, LeafFailure) // the leaf's own response is passed on
		is.Equal(a.Leaf.Status, 500)
		is.Equal(w.callsTo("x-a", "x-b", "x-c"), 2)
	})
}

// A request that is not idempotent is sent again only if it has certainly not run.
func TestAtMostOnce(t *testing.T) {
	for name, tt := range map[string]struct {
		first   behaviour
		calls   int
		outcome Outcome
	}{
		"answered":              {ok(10 * ms), 1, Served},
		"slow":                  {ok(1500 * ms), 1, Served},
		"leaf's own failure":    {always(reply{after: ms, status: 500}), 1, LeafFailure},
		"connection lost":       {fail(leafcall.ConnectionLost), 1, Unknown},
		"spoiled answer":        {fail(leafcall.InvalidAnswer), 1, Unknown},
		"no answer in time":     {ok(time.Hour), 1, TimedOut},
		"refused":               {refuses(), 2, Served},
		"address of another":    {always(reply{after: ms, moved: true}), 2, Served},
		"no connection":         {fail(leafcall.NoConnection), 2, Served},
		"connections all taken": {first(reply{cause: leafcall.ConnectionFull}, reply{after: ms}), 2, Served},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				w.set("x-a", tt.first)
				a, elapsed := w.ask(t.Context(), "/o/1")
				is.Equal(a.Outcome, tt.outcome)
				is.Equal(w.callsTo("x-a", "x-b", "x-c"), tt.calls)
				is.True(elapsed <= 2*time.Second)
			})
		})
	}
}

// NotRun is returned only if no leaf has run the request, and with a retry delay.
func TestNotRunOnlyIfNoLeafRan(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, id := range []string{"x-a", "x-b", "x-c"} {
			w.set(id, refuses())
		}
		a, elapsed := w.ask(t.Context(), "/o/1")
		is.Equal(a.Outcome, NotRun)
		is.True(a.RetryAfter > 0)
		is.True(elapsed < 20*ms)
		w.set("x-a", fail(leafcall.ConnectionLost))
		a, _ = w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Unknown) // two leaves refused it, but one may have run it
		is.Equal(w.lost["x-a"], 1)
	})
}

// A call that is still in flight at the deadline may still run.
func TestTimedOutIsNotNotRun(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for id := range w.leaves {
			w.set(id, ok(time.Hour))
		}
		a, elapsed := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, TimedOut)
		is.True(elapsed > 1900*ms && elapsed < 2*time.Second)
		a, elapsed = w.ask(t.Context(), "/s/1")
		is.Equal(a.Outcome, TimedOut)
		is.True(elapsed < 800*ms) // the route's own timeout
	})
}

// Leaves get no more than the remaining time, also with the second call.
func TestRemainingTimeIsPassedOn(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.set("x-a", fail(leafcall.ConnectionLost))
		w.set("x-a", always(reply{after: 300 * ms, cause: leafcall.ConnectionLost}))
		w.set("x-b", ok(10*ms))
		start := time.Now()
		w.engine.Serve(t.Context(), &Request{ID: "r", Method: "GET", Host: "h", Path: "/i/1", Target: "/i/1", Remaining: time.Second, Arrived: start})
		is.True(len(w.requests) >= 2)
		is.Equal(w.requests[0].Remaining, time.Second)
		for _, r := range w.requests[1:] {
			is.True(r.Remaining < time.Second)
		}
	})
}

// When the caller leaves, its calls are cancelled immediately.
func TestCallerLeaves(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for id := range w.leaves {
			w.set(id, ok(time.Hour))
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*ms, cancel)
		start := time.Now()
		a, elapsed := w.ask(ctx, "/s/q")
		is.Equal(a.Outcome, CallerGone)
		is.Equal(elapsed, 20*ms)
		w.engine.Wait()
		is.Equal(time.Since(start), 20*ms)
		is.True(w.abandoned >= shards)
	})
}

// Calls in flight after the answer end within half a second.
func TestLateCallsEndAfterGracePeriod(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for range 10 {
			w.ask(t.Context(), "/s/q")
		}
		w.oddFirst("s4", reply{after: time.Hour})
		_, elapsed := w.ask(t.Context(), "/s/q")
		start := time.Now()
		w.engine.Wait()
		is.True(elapsed < 100*ms)
		is.Equal(time.Since(start), lateCallGrace)
	})
}

func TestSplitKeepsItsWeights(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for range 40 {
			w.ask(t.Context(), "/w/1")
		}
		is.Equal(w.callsTo("x-a", "x-b", "x-c"), 30)
		is.Equal(w.callsTo("y-a", "y-b", "y-c"), 10)
	})
}

// A request that the service of one share of a split cannot take is refused, not moved to the other service.
func TestSplitShareWithoutCapacity(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, id := range []string{"y-a", "y-b", "y-c"} {
			w.set(id, refuses())
		}
		refused := 0
		for range 40 {
			if a, _ := w.ask(t.Context(), "/w/1"); a.Outcome == NotRun {
				refused++
			}
		}
		is.Equal(refused, 10)
		is.Equal(w.callsTo("x-a", "x-b", "x-c"), 30)
	})
}

func TestWithoutConfigurationOrRoute(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		a, _ := w.ask(t.Context(), "/unknown/1")
		is.Equal(a.Outcome, NoRoute)
		w.view = &directory.View{}
		a, _ = w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, NotRun) // never "no route" while no configuration is known
		is.Equal(a.Reason, ReasonNoConfig)
	})
}

func TestCrashingRequestIsBlocked(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.blocked = true
		a, _ := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, NotRun)
		is.Equal(a.Reason, ReasonCrashedLeaves)
		is.Equal(len(w.requests), 0)
	})
}

// A leaf whose address belongs to another leaf is left out immediately, also by later requests.
func TestMovedLeaf(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.set("x-a", always(reply{after: ms, moved: true}))
		for range 5 {
			a, _ := w.ask(t.Context(), "/i/1")
			is.Equal(a.Outcome, Served)
		}
		is.Equal(w.callsTo("x-a"), 1)
	})
}

// A leaf that leaves while a request waits gets no call of that request.
func TestLeafLeavesDuringRequest(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.set("x-a", always(reply{after: 100 * ms, cause: leafcall.ConnectionLost}))
		w.set("x-b", always(reply{after: 100 * ms, cause: leafcall.ConnectionLost}))
		time.AfterFunc(50*ms, func() {
			next := *w.view
			next.Leaves = map[string][]catalog.Leaf{"x": {w.view.Leaves["x"][0], w.view.Leaves["x"][2]}}
			w.mu.Lock()
			defer w.mu.Unlock()
			w.view = &next
		})
		a, _ := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Served)
		is.Equal(w.callsTo("x-b"), 0)
	})
}

// Leaves with an expired entry are called only if there are no others.
func TestExpiredLeavesAreUsedLast(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.view.Expired = map[string][]catalog.Leaf{"x": w.view.Leaves["x"][:1]}
		w.view.Leaves["x"] = w.view.Leaves["x"][1:]
		a, _ := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Served)
		is.Equal(w.callsTo("x-a"), 0)
		delete(w.view.Leaves, "x")
		a, _ = w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Served)
		is.Equal(w.callsTo("x-a"), 1)
	})
}

// While all connections to a shard's leaves are in use its call waits for one.
func TestPartWaitsForAConnection(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, id := range []string{"s1-a", "s1-b", "s1-c"} {
			w.full[id] = true
		}
		time.AfterFunc(30*ms, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.full["s1-b"] = false
		})
		a, elapsed := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 0)
		is.True(elapsed >= 40*ms && elapsed < 50*ms)
		is.Equal(w.traces[0].Repeats, 0)
	})
}

func TestTopRecords(t *testing.T) {
	is := is.New(t)
	pad := func(s string) string { return s + strings.Repeat(".", recordBytes-len(s)) }
	bodies := [][]byte{[]byte(pad("b") + pad("a") + "rest"), []byte(pad("c") + pad("b")), nil}
	is.Equal(string(topRecords(bodies, 3)), pad("c")+pad("b")+pad("b"))
	is.Equal(string(topRecords(bodies, 9)), pad("c")+pad("b")+pad("b")+pad("a"))
	is.Equal(len(topRecords(nil, 3)), 0)
}

func TestDigestOfRepetitions(t *testing.T) {
	is := is.New(t)
	one := &Request{ID: "1", Method: "GET", Host: "h", Target: "/a", Body: []byte("x")}
	again := *one
	again.ID, again.Header = "2", http.Header{"X": {"1"}}
	is.Equal(digestOf(one), digestOf(&again))
	other := *one
	other.Body = []byte("y")
	is.True(digestOf(one) != digestOf(&other))
}
