package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/retrybudget"
)

// Repeats of refused calls count toward the budget: without budget nothing is repeated and the answer is partial.
func TestBudgetBoundsRepeats(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for w.budgets.Take("s1", retrybudget.Needed) { //nolint:revive // spends the budget
		}
		w.set("s1-a", refuses())
		w.set("s1-b", refuses())
		w.set("s1-c", refuses())
		a, _ := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 1)
		is.Equal(w.callsTo("s1-a", "s1-b", "s1-c"), 1)
		is.Equal(w.traces[0].Denied, 1)
	})
}

// A single request that leaves refused, and for which no extra call will be available in time, is refused
// immediately, because another VM may still serve it in time. A request for which an extra call becomes available
// soon waits for it.
func TestSingleRequestWithoutBudgetIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/i/q", "/o/q"} {
		play(t, func(t *testing.T, w *world) {
			is := is.New(t)
			for w.budgets.Take("x", retrybudget.Needed) { //nolint:revive // spends the budget
			}
			for _, leaf := range []string{"x-a", "x-b", "x-c"} {
				w.set(leaf, refuses())
			}
			a, elapsed := w.ask(t.Context(), path)
			is.Equal(a.Outcome, NotRun)
			is.Equal(a.Reason, ReasonNoBudget)
			is.True(a.RetryAfter > 0)
			is.True(elapsed < 10*ms)
		})
	}
}

func TestSingleRequestWaitsForBudget(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		time.Sleep(20 * time.Second)                  // past the first window
		for w.budgets.Take("x", retrybudget.Needed) { //nolint:revive // spends the budget
		}
		time.Sleep(10 * time.Second) // the next span begins in 100 ms
		w.oddFirst("x", reply{after: ms, refuse: true})
		a, elapsed := w.ask(t.Context(), "/i/q")
		is.Equal(a.Outcome, Served)
		is.True(elapsed > 50*ms && elapsed < 150*ms)
	})
}

// When refusals are widespread the budget goes to the repeats that decide the outcome: a search that covers enough
// shards does without, and a search that lacks two too many gets exactly those two.
func TestScarceRepeatsGoToDecidingSearches(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for i := range shards {
			for w.budgets.Take(fmt.Sprintf("s%d", i), retrybudget.Optional) { //nolint:revive // leaves the other half
			}
		}
		refusal := reply{after: ms, refuse: true}
		w.oddFirst("s1", refusal)
		a, _ := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 1)
		is.Equal(w.traces[0].Repeats, 0)

		w.oddFirst("s1", refusal)
		w.oddFirst("s2", refusal)
		w.oddFirst("s3", refusal)
		a, elapsed := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 1)
		is.True(elapsed <= 140*ms)
		is.Equal(w.traces[1].Repeats, 2)
	})
}
