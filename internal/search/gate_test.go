package search

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// TestGateOrder shows who starts, waits and is refused at a gate for two searches with one running
// of each weight in turn.
func TestGateOrder(t *testing.T) {
	is := is.New(t)
	g := newGate(2, time.Second)
	now := time.Unix(0, 0)
	start := func(weight int) *place {
		p, ok := g.arrive(weight, time.Second)
		is.Equal(p == nil, ok) // in at once, or a place
		return p
	}
	refused := func(weight int) bool {
		p, ok := g.arrive(weight, time.Second)
		return p == nil && !ok
	}
	is.True(start(1) == nil)
	is.True(start(1) == nil)
	light, heavy := start(1), start(5)
	is.True(refused(1)) // the queue is as long as the limit
	heavier := start(10)
	is.Equal(<-light.turn, false) // a heavier one took its place
	g.leave(now, time.Millisecond, 0)
	is.Equal(<-heavier.turn, true)
	g.leave(now, time.Millisecond, 0)
	is.Equal(<-heavy.turn, true)
	last := start(1)
	g.leave(now, time.Millisecond, 0)
	is.Equal(g.withdraw(last), true) // its turn had come
	is.Equal(g.running, 2)
	again := start(1)
	is.Equal(g.withdraw(again), false)
	is.Equal(len(g.queue), 0)
}

// TestGateLimit shows what a window of searches does to a limit of 10.
func TestGateLimit(t *testing.T) {
	for name, tt := range map[string]struct {
		running      int
		took, waited time.Duration
		want         float64
	}{
		"the limit was reached, no waiting":      {running: 10, took: 30 * time.Millisecond, want: 11},
		"the limit was not reached":              {running: 5, took: 30 * time.Millisecond, want: 10},
		"slow, but no waiting, as at stragglers": {running: 10, took: time.Second, want: 11},
		"half the time besides is tolerated":     {running: 10, took: 30 * time.Millisecond, waited: 10 * time.Millisecond, want: 11},
		"more than that isn't":                   {running: 10, took: 30 * time.Millisecond, waited: 11 * time.Millisecond, want: 8.5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGate(10, time.Second)
			now := time.Unix(0, 0)
			for range tt.running {
				g.arrive(1, time.Second)
			}
			for i := range gateSamples {
				now = now.Add(gateWindow / (gateSamples - 1))
				if i == gateSamples-1 {
					now = now.Add(time.Millisecond)
				}
				g.leave(now, tt.took, tt.waited)
				g.arrive(1, time.Second)
			}
			is.Equal(g.limit, tt.want)
		})
	}
}

// TestGateRoom shows how many may wait after a window in which 8 searches ended in 112 ms.
func TestGateRoom(t *testing.T) {
	for name, tt := range map[string]struct {
		running int
		longest time.Duration
		want    int
	}{
		"the limit was reached":    {10, 50 * time.Millisecond, 3},
		"one at least":             {10, time.Millisecond, 1},
		"the limit at most":        {10, time.Second, 11},
		"the limit wasn't reached": {5, 50 * time.Millisecond, 10},
		"one even without a wait":  {10, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGate(10, tt.longest)
			now := time.Unix(0, 0)
			for range tt.running {
				g.arrive(1, time.Second)
			}
			for range gateSamples {
				g.leave(now, time.Millisecond, 0)
				g.arrive(1, time.Second)
				now = now.Add(16 * time.Millisecond)
			}
			is.Equal(g.room(g.longest), tt.want)
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

// TestSearchesBeyondTheGateAreRefusedNotRun sends more searches at once than the gate lets in while
// no leaf answers: what finds no place is refused at once, the rest after its wait, and reaches no
// leaf. A kind that weighs coverage most waits for a part of its time.
func TestSearchesBeyondTheGateAreRefusedNotRun(t *testing.T) {
	const margin = time.Second / marginShare
	for kind, wait := range map[string]time.Duration{
		"dawn":  DefaultSettings().QueueWait.D(),
		"claim": (time.Second - margin) / patienceShare,
	} {
		t.Run(kind, func(t *testing.T) { refusedBeyondTheGate(t, kind, wait) })
	}
}

func refusedBeyondTheGate(t *testing.T, kind string, wait time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(1) // of 9 slots
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

// TestSearchesThatWaitForHeldLeavesAreNoLoad guards against searches that are refused as too many while the leaves are
// idle: first-seen texts wait until leaves that were lost just now may be asked, and known ones run meanwhile.
func TestSearchesThatWaitForHeldLeavesAreNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(1)
		r := newRig("az-a", service, fleet, nil)
		fleet.restart = 50 * time.Millisecond
		_, err := r.ask("first", "claim", "known", time.Second)
		is.NoErr(err)
		for leaf := range service.Leaves {
			s, _ := fleet.State(leaf)
			fleet.crash(leaf, s.Incarnation, "another")
		}
		r.guard.Refresh()
		time.Sleep(2 * fleet.restart)
		r.guard.Refresh()
		var wg sync.WaitGroup
		for i := range 3 * leastSlots(service) {
			wg.Go(func() {
				begun := time.Now()
				_, err := r.ask("waits", "claim", fmt.Sprint("new ", i), 4*time.Second)
				is.NoErr(err)
				is.True(time.Since(begun) >= time.Second)
			})
			time.Sleep(time.Millisecond)
		}
		for range 100 {
			_, err := r.ask("runs", "claim", "known", time.Second)
			is.NoErr(err)
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
	})
}
