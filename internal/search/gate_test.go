package search

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// TestLimiterOrder checks which searches start, wait and are refused at a limit of 2, with heavier kinds first.
func TestLimiterOrder(t *testing.T) {
	is := is.New(t)
	l := newLimiter(2, time.Second)
	now := time.Unix(0, 0)
	start := func(weight int) *queueEntry {
		p, ok := l.admit(weight, time.Second)
		is.Equal(p == nil, ok) // either started or queued
		return p
	}
	refused := func(weight int) bool {
		p, ok := l.admit(weight, time.Second)
		return p == nil && !ok
	}
	is.True(start(1) == nil)
	is.True(start(1) == nil)
	light, heavy := start(1), start(5)
	is.True(refused(1)) // the queue is as long as the limit
	heavier := start(10)
	is.Equal(<-light.decision, false) // displaced by a heavier search
	l.leave(now, time.Millisecond, 0)
	is.Equal(<-heavier.decision, true)
	l.leave(now, time.Millisecond, 0)
	is.Equal(<-heavy.decision, true)
	last := start(1)
	l.leave(now, time.Millisecond, 0)
	is.Equal(l.withdraw(last), true) // it had been admitted already
	is.Equal(l.running, 2)
	again := start(1)
	is.Equal(l.withdraw(again), false)
	is.Equal(len(l.queue), 0)
}

// TestLimiterAdapts checks how a window of searches changes a limit of 10.
func TestLimiterAdapts(t *testing.T) {
	for name, tt := range map[string]struct {
		running         int
		elapsed, waited time.Duration
		want            float64
	}{
		"the limit was reached, no waiting":        {running: 10, elapsed: 30 * time.Millisecond, want: 11},
		"the limit was not reached":                {running: 5, elapsed: 30 * time.Millisecond, want: 10},
		"slow, but no waiting, as with stragglers": {running: 10, elapsed: time.Second, want: 11},
		"waiting for half of the other time":       {running: 10, elapsed: 30 * time.Millisecond, waited: 10 * time.Millisecond, want: 11},
		"waiting for more than half of it":         {running: 10, elapsed: 30 * time.Millisecond, waited: 11 * time.Millisecond, want: 8.5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLimiter(10, time.Second)
			now := time.Unix(0, 0)
			for range tt.running {
				l.admit(1, time.Second)
			}
			for i := range minWindowSearches {
				now = now.Add(minWindow / (minWindowSearches - 1))
				if i == minWindowSearches-1 {
					now = now.Add(time.Millisecond)
				}
				l.leave(now, tt.elapsed, tt.waited)
				l.admit(1, time.Second)
			}
			is.Equal(l.limit, tt.want)
		})
	}
}

// TestLimiterQueueCapacity checks how many searches may wait after a window in which 8 searches ended in 112 ms.
func TestLimiterQueueCapacity(t *testing.T) {
	for name, tt := range map[string]struct {
		running int
		longest time.Duration
		want    int
	}{
		"the limit was reached":       {10, 50 * time.Millisecond, 3},
		"at least one":                {10, time.Millisecond, 1},
		"at most the limit":           {10, time.Second, 11},
		"the limit was not reached":   {5, 50 * time.Millisecond, 10},
		"at least one without a wait": {10, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLimiter(10, tt.longest)
			now := time.Unix(0, 0)
			for range tt.running {
				l.admit(1, time.Second)
			}
			for range minWindowSearches {
				l.leave(now, time.Millisecond, 0)
				l.admit(1, time.Second)
				now = now.Add(16 * time.Millisecond)
			}
			is.Equal(l.queueCapacity(l.maxWait), tt.want)
		})
	}
}

func TestNeededShards(t *testing.T) {
	for _, tt := range []struct {
		p       policy
		n, want int
	}{
		{policy{partial: bundle.PartialLatency, earlyCoverage: 0.9}, 10, 9},
		{policy{partial: bundle.PartialLatency, earlyCoverage: 0.9}, 1, 1},
		{policy{partial: bundle.PartialLatency}, 10, 10},
		{policy{partial: bundle.PartialCoverage, earlyCoverage: 0.9}, 10, 10},
	} {
		is := is.New(t)
		is.Equal(tt.p.needed(tt.n), tt.want)
	}
}

// TestSearchesBeyondTheLimitAreRefusedNotRun sends more searches at once than the limiter admits while no leaf answers.
// Searches that do not fit in the queue are refused immediately, the queued ones after their wait. None of these
// reaches a leaf. A kind that prefers coverage waits for a fixed share of its time.
func TestSearchesBeyondTheLimitAreRefusedNotRun(t *testing.T) {
	const margin = time.Second / marginDivisor
	for kind, wait := range map[string]time.Duration{
		"dawn":  DefaultSettings().QueueWait.D(),
		"claim": (time.Second - margin) / queueWaitDivisor,
	} {
		t.Run(kind, func(t *testing.T) { refusedBeyondTheLimit(t, kind, wait) })
	}
}

func refusedBeyondTheLimit(t *testing.T, kind string, wait time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(1) // 9 slots
		r := newRig("az-a", service, fleet, anywhere)
		for _, l := range fleet.leaves {
			l.answer = stall
		}
		start := time.Now()
		type end struct {
			err error
			at  time.Duration
		}
		ends := make(chan end)
		const sent = 30
		for range sent {
			go func() {
				_, err := r.engine.Search(context.Background(), &pb.Identity{RequestId: "r"}, &pb.SearchRequest{Service: "teachers", Kind: kind, Query: "q"})
				ends <- end{err, time.Since(start)}
			}()
		}
		at := make(map[time.Duration]int)
		for range sent {
			e := <-ends
			if o, ok := outcome.As(e.err); ok && o.Reason == pb.Reason_REASON_OVERLOAD {
				is.Equal(o.Kind, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
				is.True(o.RetryAfter > 0)
				at[e.at]++
			}
		}
		is.Equal(at, map[time.Duration]int{0: 12, wait: 9})
		r.engine.Wait()
	})
}

// TestSearchesThatWaitForHeldLeavesAreNoLoad guards against refusals for load while the leaves are idle: new texts wait
// until recently lost leaves may be called again, and known texts run meanwhile.
func TestSearchesThatWaitForHeldLeavesAreNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(1)
		r := newRig("az-a", service, fleet, nil)
		fleet.restart = 50 * time.Millisecond
		_, err := r.search("first", "claim", "known", time.Second)
		is.NoErr(err)
		for leaf := range service.Leaves {
			s, _ := fleet.State(leaf)
			fleet.crash(leaf, s.Incarnation, "another")
		}
		r.guard.Refresh()
		time.Sleep(2 * fleet.restart)
		r.guard.Refresh()
		var wg sync.WaitGroup
		for i := range 3 * minGroupSlots(service) {
			wg.Go(func() {
				start := time.Now()
				_, err := r.search("waits", "claim", fmt.Sprint("new ", i), 4*time.Second)
				is.NoErr(err)
				is.True(time.Since(start) >= time.Second)
			})
			time.Sleep(time.Millisecond)
		}
		for range 100 {
			_, err := r.search("runs", "claim", "known", time.Second)
			is.NoErr(err)
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
	})
}

// A refusal for load says what it went by: in a failed scenario its text told a gather under load from one whose
// connections went silent before its first search ended.
func TestRefusalSaysWhatItWentBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(2, 50*time.Millisecond)
		is.True(l.enter(t.Context(), 1, 0))
		is.True(l.enter(t.Context(), 1, 0))
		is.True(!l.enter(t.Context(), 1, 0))
		is.Equal(l.describe(time.Now()), "2 running of 2, 0 waiting, none ended for 50ms, none ever but in a standstill")
		l = newLimiter(2, 50*time.Millisecond)
		is.True(l.enter(t.Context(), 1, 0))
		time.Sleep(10 * time.Millisecond)
		l.leave(time.Now(), 10*time.Millisecond, 0)
		time.Sleep(time.Second)
		is.Equal(l.describe(time.Now()), "0 running of 2, 0 waiting, none ended for 1s, the shortest took 10ms")
	})
}

// fakeConnections are all silent or all alive.
type fakeConnections struct {
	silent bool
	probes atomic.Int64
}

func (c *fakeConnections) Probe(string)       { c.probes.Add(1) }
func (c *fakeConnections) Silent(string) bool { return c.silent }

// TestSilentConnectionsBeforeTheFirstEnd guards against refusals for load of searches that come while all connections
// are silent, at a gather of which no search has ended yet. Leaves that are busy are told by their answers to pings.
func TestSilentConnectionsBeforeTheFirstEnd(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "busy": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := newLimiter(3, 50*time.Millisecond)
				connections := &fakeConnections{silent: silent}
				l.connections = connections
				for range 3 {
					is.True(l.enter(t.Context(), 1, 0))
				}
				is.Equal(connections.probes.Load(), int64(0))
				is.Equal(l.enter(t.Context(), 1, 0), silent)
				is.Equal(connections.probes.Load(), int64(1))
				for range 5 {
					_ = l.enter(t.Context(), 1, 0)
				}
				is.True(!l.enter(t.Context(), 1, 0)) // no more than twice the limit
			})
		})
	}
}
