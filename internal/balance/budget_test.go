package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBudgetByShare(t *testing.T) {
	grants := func(b *budget, share float64, calls int) int {
		n := 0
		for range calls {
			b.recordCall()
			if b.take(share) {
				n++
				b.recordCall() // the extra call itself
			}
		}
		return n
	}
	is := is.New(t)
	is.Equal(grants(&budget{}, 0.05, 1000), 49) // the first request creates the bucket
	is.Equal(grants(&budget{}, 0.10, 1000), 99)
	is.Equal(grants(&budget{}, 0, 1000), 0)
}

func TestBudgetKeepsABurstOfOne(t *testing.T) {
	is := is.New(t)
	var b budget
	is.True(!b.take(0.05)) // no call was made yet
	for range 1000 {
		b.recordCall()
	}
	is.True(b.take(0.05))
	is.True(!b.take(0.05))
}

func TestSmallShareDoesNotSpendTheGreaterOne(t *testing.T) {
	is := is.New(t)
	var b budget
	is.True(!b.take(0.01))
	is.True(!b.take(0.05))
	for range 20 {
		b.recordCall()
	}
	is.True(!b.take(0.01)) // a fifth of a token
	is.True(b.take(0.05))
}

// TestNoWindowPassesTheBudget guards against bursts of extra calls beyond the budget. It requests extra
// calls at random and counts calls and extra calls in every span of up to one second that begins at an
// event.
func TestNoWindowPassesTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0.01, 0.05, 0.1}).Draw(t, "share")
		shares := []float64{share, share / 2}
		var now time.Time
		b := New(func() time.Time { return now }, func() float64 { return 0 })
		b.SetCapacity("a", 1000000, 1)
		type event struct {
			at    time.Time
			extra bool
		}
		var events []event
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "calls") {
				if _, ok := b.Pick([]string{"a"}); ok {
					events = append(events, event{now, false})
				}
			}
			for range rapid.IntRange(0, 5).Draw(t, "asks") {
				if b.AllowHedge(rapid.SampledFrom(shares).Draw(t, "of")) {
					_, _ = b.Pick([]string{"a"})
					events = append(events, event{now, true})
				}
			}
		}
		for i := range events {
			calls, extras := 0, 0
			for _, e := range events[i:] {
				if e.at.Sub(events[i].at) >= time.Second {
					break
				}
				if !e.extra {
					calls++
					continue
				}
				extras++
				if float64(extras) > share*float64(calls)+budgetBurst+1e-6 {
					t.Fatalf("%d extra calls to %d calls at a share of %v", extras, calls, share)
				}
			}
		}
	})
}
