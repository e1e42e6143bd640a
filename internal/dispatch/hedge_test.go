package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// warm lets the table learn that calls take 10 ms, and the budget that there are searches.
func (w *world) warm(t *testing.T) {
	for range 50 {
		w.ask(t.Context(), "/s/q")
	}
}

// A search that is much work is slow at all leaves alike: another leaf would take as long, and its calls would
// be missing from the budget of those that meet a pause.
func TestExpensiveSearchIsNotHedged(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.warm(t)
		for id := range w.leaves {
			w.set(id, ok(25*ms))
		}
		a, elapsed := w.ask(t.Context(), "/s/q")
		is.Equal(a.Missing, 0)
		is.Equal(elapsed, 25*ms)
		is.Equal(w.traces[len(w.traces)-1].Hedges, 0)
	})
}

// A leaf that stands still is known by the parts of the same search that are in: soon where it is little work,
// later where it is much. The hedge goes out at 1.7 times what the others took, and takes as long as they did.
func TestPauseIsDetectedWithinTheSearch(t *testing.T) {
	for name, tt := range map[string]struct{ work, within time.Duration }{
		"little work": {6 * ms, 17 * ms}, "usual work": {10 * ms, 28 * ms}, "much work": {20 * ms, 56 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				w.warm(t)
				for id := range w.leaves {
					w.set(id, ok(tt.work))
				}
				calls := 0
				for _, r := range []string{"-a", "-b", "-c"} {
					w.set("s3"+r, func(int) reply {
						calls++
						return pick(calls == 1, reply{after: 120 * ms}, reply{after: tt.work})
					})
				}
				a, elapsed := w.ask(t.Context(), "/s/q")
				is.Equal(a.Missing, 0)
				is.Equal(w.traces[len(w.traces)-1].Hedges, 1)
				is.True(elapsed <= tt.within)
			})
		})
	}
}

// A VM whose processor's turn came late reads what has come in before it hedges: all of a search's calls look late
// then, and hedges of them all would make it later still.
func TestNoHedgesAfterSchedulingLag(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.warm(t)
		for id := range w.leaves {
			w.set(id, ok(60*ms))
		}
		req := &Request{ID: "r1", Method: "GET", Host: "h", Path: "/s/q", Target: "/s/q", Remaining: 2 * time.Second, Arrived: time.Now()}
		trace := new(Trace)
		r := newRun(t.Context(), w.engine, req, Match(w.view.Config, req), w.view, 1, trace)
		defer r.finish()
		for i := range r.groups {
			r.send(i)
		}
		time.Sleep(40 * ms)
		r.runDue(time.Now(), 20*ms)
		is.Equal(trace.Hedges, 0)
		r.runDue(time.Now(), 0) // too soon: what came meanwhile isn't read yet
		is.Equal(trace.Hedges, 0)
		time.Sleep(retryPoll)
		r.runDue(time.Now(), 0)
		is.True(trace.Hedges > 0) // the leaves are late, not this VM
	})
}
