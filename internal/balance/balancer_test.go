package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
)

// harness is a Balancer with a manual clock and a seeded random source.
type harness struct {
	*Balancer
	now time.Time
}

func newHarness(leaves ...string) *harness {
	random := rand.New(rand.NewPCG(1, 2))
	h := &harness{now: start}
	h.Balancer = New(func() time.Time { return h.now }, random.Float64)
	for _, id := range leaves {
		h.SetCapacity(id, 4, 1)
		h.SetIncarnation(id, 1)
	}
	return h
}

// run sends n calls to the leaf, one after another, which end after the given time with the result.
func (h *harness) run(leaf string, n int, elapsed time.Duration, r Result) {
	for range n {
		c, ok := h.Pick([]string{leaf})
		if !ok {
			return
		}
		h.now = h.now.Add(elapsed)
		c.Done(r)
	}
}

// shares picks n times among the leaves, ends each call immediately with a neutral result, and returns
// how often each leaf was picked.
func (h *harness) shares(n int, leaves ...string) map[string]int {
	m := make(map[string]int)
	for range n {
		c, ok := h.Pick(leaves)
		if ok {
			m[c.Leaf()]++
			c.Done(ResultNeutral)
		}
	}
	return m
}

func TestPickTakesTheCheaperOfTwo(t *testing.T) {
	load := func(u float64) *pb.LeafLoad { return &pb.LeafLoad{Utilisation: u} }
	for _, tt := range []struct {
		name string
		do   func(h *harness)
		// minPicks and maxPicks bound the picks of leaf a among 1000 of a and b.
		minPicks, maxPicks int
	}{
		{"equal leaves share the calls", func(*harness) {}, 400, 600},
		{"fewer calls in flight", func(h *harness) { _, _ = h.Pick([]string{"b"}) }, 1000, 1000},
		{"lower latency", func(h *harness) { h.run("a", 1, 3*ms, ResultOK); h.run("b", 1, 60*ms, ResultOK) }, 1000, 1000},
		{"a fast error doesn't attract calls", func(h *harness) {
			h.run("b", 1, 3*ms, ResultOK)
			h.run("a", 1, ms, ResultError)
		}, 0, 0},
		{"a fast shed doesn't attract calls", func(h *harness) {
			h.run("b", 1, 3*ms, ResultOK)
			h.run("a", 1, ms, ResultShed)
		}, 0, 0},
		{"a call given up late counts as slow", func(h *harness) {
			h.run("b", 1, 3*ms, ResultOK)
			h.run("a", 1, 51*ms, ResultCancelled)
		}, 0, 0},
		{"a long call in flight counts as slow before it ends", func(h *harness) {
			h.run("a", 1, 3*ms, ResultOK)
			h.run("b", 1, 30*ms, ResultOK)
			_, _ = h.Pick([]string{"a"})
			h.now = h.now.Add(16 * ms)
		}, 0, 0},
		{"slightly costlier than one at its limit", func(h *harness) {
			h.run("a", 1, 5*ms, ResultOK)
			h.run("b", 1, 9*ms, ResultOK)
			for range 4 {
				_, _ = h.Pick([]string{"a"})
			}
		}, 0, 0},
		{"a report decides between equal leaves", func(h *harness) { h.Report("a", load(0)); h.Report("b", load(1)) }, 1000, 1000},
		{"a report alone doesn't exclude", func(h *harness) {
			h.run("b", 1, 4*ms, ResultOK)
			h.now = start
			h.run("a", 1, 2*ms, ResultOK)
			h.Report("a", load(100))
			h.Report("b", load(-100))
		}, 1000, 1000},
		{"an old report is ignored", func(h *harness) {
			h.Report("b", load(0))
			h.now = h.now.Add(time.Minute)
			h.Report("a", load(0.49))
		}, 1000, 1000},
		{"a slow leaf is tried again", func(h *harness) {
			h.run("a", 1, 60*ms, ResultOK)
			h.now = h.now.Add(4 * time.Second)
			h.run("b", 1, 3*ms, ResultOK)
		}, 1000, 1000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness("a", "b")
			tt.do(h)
			got := h.shares(1000, "a", "b")["a"]
			is.True(got >= tt.minPicks && got <= tt.maxPicks)
		})
	}
}

func TestResultsThatGiveNoLatency(t *testing.T) {
	for _, tt := range []struct {
		name     string
		elapsed  time.Duration
		end      Result
		observed bool
	}{
		{"given up early", ms, ResultCancelled, false},
		{"given up late", 100 * ms, ResultCancelled, true},
		{"neutral", 600 * ms, ResultNeutral, false},
		{"too short a deadline", ms, ResultTimeout, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness("a")
			h.run("a", 1, 3*ms, ResultOK)
			h.now = start.Add(time.Second)
			before := h.Snapshot().Leaves[0]
			h.now = h.now.Add(-tt.elapsed)
			h.run("a", 1, tt.elapsed, tt.end)
			is.Equal(h.Snapshot().Leaves[0] != before, tt.observed)
		})
	}
}

func TestStragglerThatAlwaysLosesIsTriedRarely(t *testing.T) {
	is := is.New(t)
	h := newHarness("a", "b", "c")
	picks := 0
	for range 20 * 100 { // 20 s, one call every 10 ms
		c, ok := h.Pick([]string{"a", "b", "c"})
		is.True(ok)
		if c.Leaf() == "a" { // loses to its hedge and is given up after 10 ms
			picks++
			h.now = h.now.Add(10 * ms)
			c.Done(ResultCancelled)
			continue
		}
		h.now = h.now.Add(3 * ms)
		c.Done(ResultOK)
		h.now = h.now.Add(7 * ms)
	}
	is.True(picks < 20) // fewer than 1 in 100 calls, but still tried
	is.True(picks > 3)
}

func TestPickRefusesWhereAllAreAtTheirLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness("a", "b")
	for range 8 {
		_, ok := h.Pick([]string{"a", "b"})
		is.True(ok)
	}
	_, ok := h.Pick([]string{"a", "b"})
	is.True(!ok)
	_, ok = h.Pick(nil)
	is.True(!ok)
	is.Equal(h.HedgeAfter([]string{"a", "b"}), NoHedge) // no hedge to such a group
}

func TestColdLeafStartsSlowly(t *testing.T) {
	is := is.New(t)
	h := newHarness("a", "b")
	h.SetIncarnation("a", 2)
	is.True(h.shares(1000, "a", "b")["a"] < 150)
	is.Equal(h.Snapshot().Leaves[0].Limit, 1)
	is.Equal(h.shares(10, "a")["a"], 10) // the only candidate still serves
	h.now = h.now.Add(slowStartTime)
	is.True(h.shares(1000, "a", "b")["a"] > 400)
	h.SetIncarnation("a", 2) // unchanged incarnation
	is.True(h.shares(1000, "a", "b")["a"] > 400)
}

func TestResultFromEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHarness("a")
	c, _ := h.Pick([]string{"a"})
	h.SetIncarnation("a", 2)
	h.now = h.now.Add(time.Second)
	c.Done(ResultTimeout)
	c.Done(ResultOK) // only the first result counts
	l := h.Snapshot().Leaves[0]
	is.Equal(l.InFlight, 0)
	is.Equal(l.Latency, "0s")
}

func TestHedgeDelayOfAGroup(t *testing.T) {
	is := is.New(t)
	h := newHarness("a", "b", "c")
	group := []string{"a", "b", "c"}
	is.Equal(h.HedgeAfter(group), defaultHedgeDelay)
	h.run("a", 100, 4*ms, ResultOK)
	h.run("b", 100, 4*ms, ResultOK)
	h.run("c", 100, 80*ms, ResultOK)
	d := h.HedgeAfter(group)
	is.True(d > 10*ms && d < 14*ms) // one straggler doesn't delay the hedges
	h.run("b", 1000, 80*ms, ResultOK)
	d = h.HedgeAfter(group)
	is.True(d > 100*ms) // a slow group isn't hedged without benefit
}

func TestNoExtraCallsIntoOverload(t *testing.T) {
	is := is.New(t)
	h := newHarness("a", "b")
	for range 200 {
		h.run("b", 1, ms, ResultOK)
	}
	is.True(!h.AllowRetry(0.1)) // creates the bucket
	h.run("b", 20, ms, ResultOK)
	h.run("a", 1, ms, ResultShed)
	is.Equal(h.HedgeAfter([]string{"a"}), NoHedge) // a group that shed recently
	is.True(h.HedgeAfter([]string{"a", "b"}) != NoHedge)
	is.True(h.AllowRetry(0.1)) // one shed call in hundreds is no overload of the service
	for range 200 {
		h.run("b", 1, ms, ResultOK)
		h.run("a", 1, ms, ResultShed)
	}
	is.True(!h.AllowRetry(0.1))
	is.True(!h.AllowHedge(0.05))
	is.True(h.Snapshot().Shedding)
	h.now = h.now.Add(5 * time.Second)
	h.run("b", 20, ms, ResultOK)
	is.True(h.AllowRetry(0.1)) // the overload ends with its cause
}

func TestInFlightMatchesOpenCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness("a", "b", "c")
		var open []Call
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * ms)
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[i].Done(Result(rapid.IntRange(int(ResultOK), int(ResultNeutral)).Draw(t, "result")))
				open[i].Done(ResultOK)
				open = append(open[:i], open[i+1:]...)
				continue
			}
			if c, ok := h.Pick([]string{"a", "b", "c"}); ok {
				open = append(open, c)
			}
		}
		n := 0
		for _, l := range h.Snapshot().Leaves {
			n += l.InFlight
			if l.Limit < 1 || l.Limit > 8 {
				t.Fatalf("limit %d of 4 slots", l.Limit)
			}
		}
		if n != len(open) {
			t.Fatalf("%d in flight, %d open", n, len(open))
		}
	})
}

func TestBaselineIsRandom(t *testing.T) {
	is := is.New(t)
	next := 0.0
	b := Settings{Policy: PolicyBaseline}.New(time.Now, func() float64 { return next })
	for _, tt := range []struct {
		random float64
		leaf   string
	}{{0, "a"}, {0.4, "b"}, {0.99, "c"}} {
		next = tt.random
		c, ok := b.Pick([]string{"a", "b", "c"})
		is.True(ok)
		is.Equal(c.Leaf(), tt.leaf)
		c.Done(ResultError)
	}
	is.Equal(b.HedgeAfter([]string{"a"}), NoHedge)
	is.True(!b.AllowHedge(1))
	is.True(!b.AllowRetry(1))
}

func TestPickRefusesAStragglerWhileACheaperLeafIsAtItsLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness("a", "b")
	h.run("a", 1, 5*ms, ResultOK)
	h.run("b", 1, 100*ms, ResultOK)
	var last Call
	for range 4 {
		last, _ = h.Pick([]string{"a"})
	}
	_, ok := h.Pick([]string{"a", "b"})
	is.True(!ok)
	last.Done(ResultNeutral)
	c, ok := h.Pick([]string{"a", "b"})
	is.True(ok)
	is.Equal(c.Leaf(), "a")
}

// TestALeafThatStaysLateIsTriedLessOften guards against frequent calls to a leaf that stays slow. Each call
// to it is given up late, and the next one is sent as soon as it is picked over a leaf with a latency of
// 3 ms. The times between the calls must grow, up to a bound.
func TestALeafThatStaysLateIsTriedLessOften(t *testing.T) {
	is := is.New(t)
	h := newHarness("a", "b")
	var gaps []time.Duration
	for range 8 {
		h.run("b", 30, 3*ms, ResultOK)
		waitStart := h.now
		var c Call
		for {
			h.run("b", 1, 3*ms, ResultOK)
			got, ok := h.Pick([]string{"a", "b"})
			is.True(ok)
			if got.Leaf() == "a" {
				c = got
				break
			}
			got.Done(ResultNeutral)
		}
		gaps = append(gaps, h.now.Sub(waitStart))
		is.Equal(c.Suspect(), len(gaps) > 1)
		h.now = h.now.Add(60 * ms)
		c.Done(ResultCancelled)
	}
	is.True(gaps[1] > time.Second)
	is.True(gaps[4] > gaps[1])
	is.True(gaps[7] > 4*time.Second && gaps[7] < 10*time.Second)
	c, _ := h.Pick([]string{"a"})
	c.Done(ResultOK)
	is.True(!h.suspect("a")) // an answer clears it
}

func (h *harness) suspect(leaf string) bool {
	c, _ := h.Pick([]string{leaf})
	defer c.Done(ResultNeutral)
	return c.Suspect()
}
