package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// world is a balancer with a clock that stands still and a seeded random source.
type world struct {
	*Balancer
	now time.Time
}

func newWorld(leaves ...string) *world {
	r := rand.New(rand.NewPCG(1, 2))
	w := &world{now: start}
	w.Balancer = New(func() time.Time { return w.now }, r.Float64)
	for _, id := range leaves {
		w.SetCapacity(id, 4, 1)
		w.SetIncarnation(id, 1)
	}
	return w
}

// run sends n calls, one after another, to the one leaf.
func (w *world) run(leaf string, n int, took time.Duration, r Result) {
	for range n {
		c, ok := w.Pick([]string{leaf})
		if !ok {
			return
		}
		w.now = w.now.Add(took)
		c.Done(r)
	}
}

// shares picks n times among the leaves, each call ending at once without a result, and returns
// how often each was taken.
func (w *world) shares(n int, leaves ...string) map[string]int {
	m := make(map[string]int)
	for range n {
		c, ok := w.Pick(leaves)
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
		do   func(w *world)
		// least and most picks of leaf a in 1000 among a and b.
		least, most int
	}{
		{"equals share", func(*world) {}, 400, 600},
		{"fewer calls in flight", func(w *world) { _, _ = w.Pick([]string{"b"}) }, 1000, 1000},
		{"less latency", func(w *world) { w.run("a", 1, 3*ms, ResultOK); w.run("b", 1, 60*ms, ResultOK) }, 1000, 1000},
		{"a quick error attracts nothing", func(w *world) {
			w.run("b", 1, 3*ms, ResultOK)
			w.run("a", 1, ms, ResultError)
		}, 0, 0},
		{"a quick shed attracts nothing", func(w *world) {
			w.run("b", 1, 3*ms, ResultOK)
			w.run("a", 1, ms, ResultShed)
		}, 0, 0},
		{"a call given up late counts as slow", func(w *world) {
			w.run("b", 1, 3*ms, ResultOK)
			w.run("a", 1, 51*ms, ResultCancelled)
		}, 0, 0},
		{"a call in flight for long counts as slow before it ends", func(w *world) {
			w.run("a", 1, 3*ms, ResultOK)
			w.run("b", 1, 30*ms, ResultOK)
			_, _ = w.Pick([]string{"a"})
			w.now = w.now.Add(16 * ms)
		}, 0, 0},
		{"dearer than one at its limit, but not by much", func(w *world) {
			w.run("a", 1, 5*ms, ResultOK)
			w.run("b", 1, 9*ms, ResultOK)
			for range 4 {
				_, _ = w.Pick([]string{"a"})
			}
		}, 0, 0},
		{"a report tips equals", func(w *world) { w.Report("a", load(0)); w.Report("b", load(1)) }, 1000, 1000},
		{"a report alone doesn't exclude", func(w *world) {
			w.run("b", 1, 4*ms, ResultOK)
			w.now = start
			w.run("a", 1, 2*ms, ResultOK)
			w.Report("a", load(100))
			w.Report("b", load(-100))
		}, 1000, 1000},
		{"a report that is old counts for nothing", func(w *world) {
			w.Report("b", load(0))
			w.now = w.now.Add(time.Minute)
			w.Report("a", load(0.49))
		}, 1000, 1000},
		{"a slow leaf is tried again", func(w *world) {
			w.run("a", 1, 60*ms, ResultOK)
			w.now = w.now.Add(4 * time.Second)
			w.run("b", 1, 3*ms, ResultOK)
		}, 1000, 1000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld("a", "b")
			tt.do(w)
			got := w.shares(1000, "a", "b")["a"]
			is.True(got >= tt.least && got <= tt.most)
		})
	}
}

func TestEndsThatTellNothingOfTheLatency(t *testing.T) {
	for _, tt := range []struct {
		name string
		took time.Duration
		end  Result
		told bool
	}{
		{"given up early", ms, ResultCancelled, false},
		{"given up late", 100 * ms, ResultCancelled, true},
		{"neutral", 600 * ms, ResultNeutral, false},
		{"too short a deadline", ms, ResultTimeout, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld("a")
			w.run("a", 1, 3*ms, ResultOK)
			w.now = start.Add(time.Second)
			before := w.Snapshot().Leaves[0]
			w.now = w.now.Add(-tt.took)
			w.run("a", 1, tt.took, tt.end)
			is.Equal(w.Snapshot().Leaves[0] != before, tt.told)
		})
	}
}

func TestStragglerThatAlwaysLosesIsTriedLessAndLess(t *testing.T) {
	is := is.New(t)
	w := newWorld("a", "b", "c")
	picks := 0
	for range 20 * 100 { // 20 s, a call each 10 ms
		c, ok := w.Pick([]string{"a", "b", "c"})
		is.True(ok)
		if c.Leaf() == "a" { // hedged in vain for it, and given up after 10 ms
			picks++
			w.now = w.now.Add(10 * ms)
			c.Done(ResultCancelled)
			continue
		}
		w.now = w.now.Add(3 * ms)
		c.Done(ResultOK)
		w.now = w.now.Add(7 * ms)
	}
	is.True(picks < 20) // under 1 of 100, and yet it is tried
	is.True(picks > 3)
}

func TestPickRefusesWhereAllAreAtTheirLimit(t *testing.T) {
	is := is.New(t)
	w := newWorld("a", "b")
	for range 8 {
		_, ok := w.Pick([]string{"a", "b"})
		is.True(ok)
	}
	_, ok := w.Pick([]string{"a", "b"})
	is.True(!ok)
	_, ok = w.Pick(nil)
	is.True(!ok)
	is.Equal(w.HedgeAfter([]string{"a", "b"}), NoHedge) // no hedge into such a group
}

func TestColdLeafStartsSlowly(t *testing.T) {
	is := is.New(t)
	w := newWorld("a", "b")
	w.SetIncarnation("a", 2)
	is.True(w.shares(1000, "a", "b")["a"] < 150)
	is.Equal(w.Snapshot().Leaves[0].Limit, 1)
	is.Equal(w.shares(10, "a")["a"], 10) // the only one there is serves all the same
	w.now = w.now.Add(slowStart)
	is.True(w.shares(1000, "a", "b")["a"] > 400)
	w.SetIncarnation("a", 2) // no news
	is.True(w.shares(1000, "a", "b")["a"] > 400)
}

func TestEndOfACallToAnEarlierIncarnationTellsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld("a")
	c, _ := w.Pick([]string{"a"})
	w.SetIncarnation("a", 2)
	w.now = w.now.Add(time.Second)
	c.Done(ResultTimeout)
	c.Done(ResultOK) // only the first end counts
	l := w.Snapshot().Leaves[0]
	is.Equal(l.InFlight, 0)
	is.Equal(l.Latency, "0s")
}

func TestHedgeDelayOfAGroup(t *testing.T) {
	is := is.New(t)
	w := newWorld("a", "b", "c")
	group := []string{"a", "b", "c"}
	is.Equal(w.HedgeAfter(group), hedgeDefault)
	w.run("a", 100, 4*ms, ResultOK)
	w.run("b", 100, 4*ms, ResultOK)
	w.run("c", 100, 80*ms, ResultOK)
	d := w.HedgeAfter(group)
	is.True(d > 10*ms && d < 14*ms) // one straggler doesn't delay the hedges
	w.run("b", 1000, 80*ms, ResultOK)
	d = w.HedgeAfter(group)
	is.True(d > 100*ms) // a slow group isn't hedged in vain
}

func TestNoExtraCallsIntoOverload(t *testing.T) {
	is := is.New(t)
	w := newWorld("a", "b")
	for range 200 {
		w.run("b", 1, ms, ResultOK)
	}
	is.True(!w.AllowRetry(0.1)) // makes the bucket
	w.run("b", 20, ms, ResultOK)
	w.run("a", 1, ms, ResultShed)
	is.Equal(w.HedgeAfter([]string{"a"}), NoHedge) // a group that shed lately
	is.True(w.HedgeAfter([]string{"a", "b"}) != NoHedge)
	is.True(w.AllowRetry(0.1)) // one shed in hundreds is no overload of the service
	for range 200 {
		w.run("b", 1, ms, ResultOK)
		w.run("a", 1, ms, ResultShed)
	}
	is.True(!w.AllowRetry(0.1))
	is.True(!w.AllowHedge(0.05))
	is.True(w.Snapshot().Shedding)
	w.now = w.now.Add(5 * time.Second)
	w.run("b", 20, ms, ResultOK)
	is.True(w.AllowRetry(0.1)) // over as soon as its cause is
}

func TestInFlightMatchesTheCallsOpen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("a", "b", "c")
		var open []Call
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * ms)
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[i].Done(Result(rapid.IntRange(int(ResultOK), int(ResultNeutral)).Draw(t, "result")))
				open[i].Done(ResultOK)
				open = append(open[:i], open[i+1:]...)
				continue
			}
			if c, ok := w.Pick([]string{"a", "b", "c"}); ok {
				open = append(open, c)
			}
		}
		n := 0
		for _, l := range w.Snapshot().Leaves {
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

func TestBaselineDecidesNothing(t *testing.T) {
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

func TestPickWaitsForALeafAtItsLimitRatherThanTakeAStraggler(t *testing.T) {
	is := is.New(t)
	w := newWorld("a", "b")
	w.run("a", 1, 5*ms, ResultOK)
	w.run("b", 1, 100*ms, ResultOK)
	var last Call
	for range 4 {
		last, _ = w.Pick([]string{"a"})
	}
	_, ok := w.Pick([]string{"a", "b"})
	is.True(!ok)
	last.Done(ResultNeutral)
	c, ok := w.Pick([]string{"a", "b"})
	is.True(ok)
	is.Equal(c.Leaf(), "a")
}

// TestALeafThatStaysLateIsTriedLessOften lets each call to a leaf be given up late, and tries it again
// as soon as it is picked over a leaf of 3 ms.
func TestALeafThatStaysLateIsTriedLessOften(t *testing.T) {
	is := is.New(t)
	w := newWorld("a", "b")
	var gaps []time.Duration
	for range 8 {
		w.run("b", 30, 3*ms, ResultOK)
		begun := w.now
		var c Call
		for {
			w.run("b", 1, 3*ms, ResultOK)
			got, ok := w.Pick([]string{"a", "b"})
			is.True(ok)
			if got.Leaf() == "a" {
				c = got
				break
			}
			got.Done(ResultNeutral)
		}
		gaps = append(gaps, w.now.Sub(begun))
		is.Equal(c.Suspect(), len(gaps) > 1)
		w.now = w.now.Add(60 * ms)
		c.Done(ResultCancelled)
	}
	is.True(gaps[1] > time.Second)
	is.True(gaps[4] > gaps[1])
	is.True(gaps[7] > 4*time.Second && gaps[7] < 10*time.Second)
	c, _ := w.Pick([]string{"a"})
	c.Done(ResultOK)
	is.True(!w.suspect("a")) // an answer clears it
}

func (w *world) suspect(leaf string) bool {
	c, _ := w.Pick([]string{leaf})
	defer c.Done(ResultNeutral)
	return c.Suspect()
}
