package dispatch

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/leafcall"
)

// All leaves of a single request's service are beyond a partition. After a second, requests must be refused
// immediately as not run; without the check each waited half a second for connections. The first request after the
// partition must be served.
func TestSingleRequestWithoutReachableLeafIsRefusedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.warm(t)
		w.ask(t.Context(), "/i/1")
		all := []string{"x-a", "x-b", "x-c"}
		for _, id := range all {
			w.set(id, always(reply{after: 250 * ms, cause: leafcall.NoConnection}))
		}
		var delayed, refused atomic.Int64
		for start := time.Now(); time.Since(start) < 6*time.Second; time.Sleep(20 * ms) {
			go func() {
				a, elapsed := w.ask(t.Context(), "/i/1")
				is.Equal(a.Outcome, NotRun)
				if elapsed > 0 {
					delayed.Add(1)
					return
				}
				refused.Add(1)
				is.Equal(a.Reason, ReasonUnresponsiveLeaves)
				is.True(a.RetryAfter > 0)
			}()
		}
		time.Sleep(time.Second)
		is.True(refused.Load() > 2*delayed.Load())
		for _, id := range all {
			w.set(id, ok(10*ms))
		}
		time.Sleep(probePeriod)
		a, _ := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Served)
		a, _ = w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Served)
	})
}

// Two of ten shards go silent, one more than may be missing. A search that waits for them must end once its target
// has passed and their leaves have been unresponsive for long enough, not at its deadline.
func TestSearchWaitingForUnresponsiveShardsEndsAtTarget(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.warm(t)
		for _, s := range []string{"s4", "s5"} {
			for _, r := range []string{"-a", "-b", "-c"} {
				w.set(s+r, ok(time.Hour))
			}
		}
		var longest, refused atomic.Int64
		start := time.Now()
		for ; time.Since(start) < 4*time.Second; time.Sleep(20 * ms) {
			known := time.Since(start) > time.Second
			go func() {
				a, elapsed := w.ask(t.Context(), "/s/q")
				is.True(a.Outcome != Served)
				if a.Outcome == NotRun {
					refused.Add(1)
				}
				if known {
					longest.Store(max(longest.Load(), int64(elapsed)))
				}
			}()
		}
		time.Sleep(2 * time.Second)
		is.True(refused.Load() > 100)                                       // most are refused immediately
		is.True(time.Duration(longest.Load()) <= 150*ms+2*unresponsivePoll) // the probes are refused at their target
	})
}

// Shards whose leaves are only slow, by up to the pause of a leaf, are waited for beyond the target.
func TestSlowShardsAreWaitedFor(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.warm(t)
		for _, s := range []string{"s4", "s5", "s6"} {
			for _, r := range []string{"-a", "-b", "-c"} {
				w.set(s+r, ok(300*ms))
			}
		}
		for range 20 {
			a, elapsed := w.ask(t.Context(), "/s/q")
			is.Equal(a.Outcome, Served)
			is.True(elapsed > 150*ms)
		}
	})
}

// A zone is cut off in such a way that connections to the others are refused instead of going unanswered. Three of
// ten shards have all their leaves there, and one may be missing. After half a second, searches must be refused
// immediately as not run; without the check each made calls to the seven other shards and to all leaves beyond the
// partition. Half a second after its end all must be served.
func TestSearchOfShardsRefusingConnectionsIsRefusedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.warm(t)
		var beyond []string
		for _, s := range []string{"s4", "s5", "s6"} {
			beyond = append(beyond, s+"-a", s+"-b", s+"-c")
		}
		for _, id := range beyond {
			w.set(id, always(reply{after: ms, cause: leafcall.NoConnection, closed: true}))
		}
		var tried, refused atomic.Int64
		for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(20 * ms) {
			if time.Since(start) < 500*ms {
				w.ask(t.Context(), "/s/q")
				continue
			}
			a, elapsed := w.ask(t.Context(), "/s/q")
			if a.Reason != ReasonUnresponsiveLeaves || elapsed > 0 {
				tried.Add(1)
				continue
			}
			is.Equal(a.Outcome, NotRun)
			is.True(a.RetryAfter > 0)
			refused.Add(1)
		}
		is.True(tried.Load() <= 5*int64(time.Second/probePeriod)) // the probes
		is.True(refused.Load() > 5*tried.Load())
		for _, id := range beyond {
			w.set(id, ok(10*ms))
		}
		time.Sleep(probePeriod)
		a, _ := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 0)
		a, _ = w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 0)
	})
}
