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

func TestWholeSearch(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		a, took := w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, Served)
		is.Equal(len(a.Signatures), shards)
		is.Equal(a.Missing, 0)
		is.Equal(string(a.Records), "s9-a            s8-a            s7-a            ")
		is.Equal(took, 10*ms)
		is.Equal(w.callsTo("s0-a", "s0-b", "s0-c"), 1)
	})
}

// A shard that stands still costs a hedge, not the search.
func TestPausedLeafIsHedged(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for range 20 {
			w.ask(t.Context(), "/s/q")
		}
		w.oddFirst("s4", reply{after: 200 * ms})
		a, took := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 0)
		is.True(took < 80*ms)
		is.Equal(w.traces[20].Hedges, 1)
	})
}

// Where a hedge can't help either, the answer comes in time without the shard, and says so.
func TestPartialAnswerComesInTime(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, id := range []string{"s4-a", "s4-b", "s4-c"} {
			w.set(id, ok(time.Second))
		}
		a, took := w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, Served)
		is.Equal(a.Reason, ReasonPartial)
		is.Equal(a.Missing, 1)
		is.Equal(len(a.Signatures), shards-1)
		is.True(took <= 140*ms)
		bad := w.traces[0].Bad
		is.Equal(len(bad), 1)
		is.Equal(bad[0].Service, "s4")
		is.True(strings.HasPrefix(bad[0].Leaf.Name, "s4-"))
		is.Equal(bad[0].What, "no answer yet")
		is.True(!slices.ContainsFunc(a.Signatures, func(s string) bool { return strings.Contains(s, "s4") }))
	})
}

// Two of ten shards gone is too few, which is known as soon as their leaves have failed.
func TestTooFewShardsFailsAtOnce(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, s := range []string{"s4", "s5"} {
			for _, r := range []string{"-a", "-b", "-c"} {
				w.set(s+r, fail(leafcall.ConnectionLost))
			}
		}
		a, took := w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, Unknown) // parts of it have run
		is.True(took < 10*ms)
	})
}

func TestSearchWithoutLeavesIsRefusedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		delete(w.view.Leaves, "s4")
		a, _ := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 1) // one may be missing
		delete(w.view.Leaves, "s5")
		before := len(w.asked)
		a, took := w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, NotRun)
		is.Equal(a.Reason, ReasonNoLeaf)
		is.True(a.RetryAfter > 0)
		is.Equal(took, time.Duration(0))
		is.Equal(len(w.asked), before)
	})
}

// While no leaf of too many shards gives a sign of life, as in a zone that is cut off from those of others,
// searches are refused at once, as not run and with a time to come back, instead of waiting until their time is
// over; now and then one tries, so that the end of it is found.
func TestSearchOfMuteShardsIsRefusedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		mute := func(shards ...string) {
			for _, s := range shards {
				for _, r := range []string{"-a", "-b", "-c"} {
					w.set(s+r, ok(time.Hour))
				}
			}
		}
		mute("s4")
		for range 20 {
			a, _ := w.ask(t.Context(), "/s/q")
			is.Equal(a.Outcome, Served) // one may be missing
		}
		mute("s4", "s5")
		var tried, refused atomic.Int64
		for begun := time.Now(); time.Since(begun) < 6*time.Second; time.Sleep(20 * ms) {
			go func() {
				a, took := w.ask(t.Context(), "/s/q")
				if a.Outcome != NotRun {
					tried.Add(1)
					return
				}
				refused.Add(1)
				is.Equal(a.Reason, ReasonMuteLeaves)
				is.True(a.RetryAfter > 0)
				is.Equal(took, time.Duration(0))
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
		is.Equal(a.Missing, 0) // well again
	})
}

// A refused part goes to another leaf at once, and a failure of a leaf is no part.
func TestRefusedAndFailedPartsAreRepeated(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.set("s1-a", refuses())
		w.set("s2-a", always(reply{after: ms, status: 500}))
		w.set("s3-a", fail(leafcall.InvalidAnswer))
		a, took := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 0)
		is.True(!slices.ContainsFunc(a.Signatures, func(s string) bool { return strings.HasPrefix(s, "bad") }))
		is.True(took < 20*ms)
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
		is.Equal(a.Outcome, LeafFailure) // the leaf's own word is passed on
		is.Equal(a.Leaf.Status, 500)
		is.Equal(w.callsTo("x-a", "x-b", "x-c"), 2)
	})
}

// What isn't idempotent is sent again only where it has surely not run.
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
				a, took := w.ask(t.Context(), "/o/1")
				is.Equal(a.Outcome, tt.outcome)
				is.Equal(w.callsTo("x-a", "x-b", "x-c"), tt.calls)
				is.True(took <= 2*time.Second)
			})
		})
	}
}

// not_run is said only where no leaf has run the request, and with a time to come back.
func TestNotRunIsTrue(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, id := range []string{"x-a", "x-b", "x-c"} {
			w.set(id, refuses())
		}
		a, took := w.ask(t.Context(), "/o/1")
		is.Equal(a.Outcome, NotRun)
		is.True(a.RetryAfter > 0)
		is.True(took < 20*ms)
		w.set("x-a", fail(leafcall.ConnectionLost))
		a, _ = w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Unknown) // refused by two, but one may have run it
		is.Equal(w.lost["x-a"], 1)
	})
}

// A call that is still in flight when the time is over may run yet.
func TestTimedOutIsNotNotRun(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for id := range w.leaves {
			w.set(id, ok(time.Hour))
		}
		a, took := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, TimedOut)
		is.True(took > 1900*ms && took < 2*time.Second)
		a, took = w.ask(t.Context(), "/s/1")
		is.Equal(a.Outcome, TimedOut)
		is.True(took < 800*ms) // the route's own timeout
	})
}

// Leaves get no more time than is left, also with the second call.
func TestTimeLeftIsPassedOn(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.set("x-a", fail(leafcall.ConnectionLost))
		w.set("x-a", always(reply{after: 300 * ms, cause: leafcall.ConnectionLost}))
		w.set("x-b", ok(10*ms))
		begun := time.Now()
		w.engine.Serve(t.Context(), &Request{ID: "r", Method: "GET", Host: "h", Path: "/i/1", Target: "/i/1", Remaining: time.Second, Arrived: begun})
		is.True(len(w.asked) >= 2)
		is.Equal(w.asked[0].Remaining, time.Second)
		for _, r := range w.asked[1:] {
			is.True(r.Remaining < time.Second)
		}
	})
}

// When the caller goes, so do its calls, and at once.
func TestCallerThatLeaves(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for id := range w.leaves {
			w.set(id, ok(time.Hour))
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*ms, cancel)
		begun := time.Now()
		a, took := w.ask(ctx, "/s/q")
		is.Equal(a.Outcome, CallerGone)
		is.Equal(took, 20*ms)
		w.engine.Wait()
		is.Equal(time.Since(begun), 20*ms)
		is.True(w.gone >= shards)
	})
}

// Calls that nobody waits for any more end within half a second.
func TestLosersEnd(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for range 10 {
			w.ask(t.Context(), "/s/q")
		}
		w.oddFirst("s4", reply{after: time.Hour})
		_, took := w.ask(t.Context(), "/s/q")
		begun := time.Now()
		w.engine.Wait()
		is.True(took < 100*ms)
		is.Equal(time.Since(begun), linger)
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

// What one part of a split has no room for is refused, not moved to the other.
func TestSplitPartWithoutRoom(t *testing.T) {
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
		is.Equal(a.Outcome, NotRun) // never "no route" while none is known
		is.Equal(a.Reason, ReasonNoConfig)
	})
}

func TestCrashingRequestIsBlocked(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.block = true
		a, _ := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, NotRun)
		is.Equal(a.Reason, ReasonCrashing)
		is.Equal(len(w.asked), 0)
	})
}

// A leaf whose address another one has is left out at once, also by requests after it.
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

// A leaf that leaves while a request waits gets nothing of it.
func TestLeafThatLeavesMeanwhile(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.set("x-a", always(reply{after: 100 * ms, cause: leafcall.ConnectionLost}))
		w.set("x-b", always(reply{after: 100 * ms, cause: leafcall.ConnectionLost}))
		time.AfterFunc(50*ms, func() {
			left := *w.view
			left.Leaves = map[string][]catalog.Leaf{"x": {w.view.Leaves["x"][0], w.view.Leaves["x"][2]}}
			w.mu.Lock()
			defer w.mu.Unlock()
			w.view = &left
		})
		a, _ := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Served)
		is.Equal(w.callsTo("x-b"), 0)
	})
}

// Leaves whose entries lapsed are asked only where there is no other.
func TestLapsedLeavesAreTheLastResort(t *testing.T) {
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

// While all connections to a shard's leaves are in use its part waits for one.
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
		a, took := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 0)
		is.True(took >= 40*ms && took < 50*ms)
		is.Equal(w.traces[0].Repeats, 0)
	})
}

func TestGreatest(t *testing.T) {
	is := is.New(t)
	pad := func(s string) string { return s + strings.Repeat(".", recordBytes-len(s)) }
	bodies := [][]byte{[]byte(pad("b") + pad("a") + "rest"), []byte(pad("c") + pad("b")), nil}
	is.Equal(string(greatest(bodies, 3)), pad("c")+pad("b")+pad("b"))
	is.Equal(string(greatest(bodies, 9)), pad("c")+pad("b")+pad("b")+pad("a"))
	is.Equal(len(greatest(nil, 3)), 0)
}

func TestDigestNamesWhatIsRepeated(t *testing.T) {
	is := is.New(t)
	one := &Request{ID: "1", Method: "GET", Host: "h", Target: "/a", Body: []byte("x")}
	again := *one
	again.ID, again.Header = "2", http.Header{"X": {"1"}}
	is.Equal(digestOf(one), digestOf(&again))
	other := *one
	other.Body = []byte("y")
	is.True(digestOf(one) != digestOf(&other))
}
