package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// warm lets the table learn that calls take 10 ms and gives the budget a record of searches.
func (w *world) warm(t *testing.T) {
	for range 50 {
		w.ask(t.Context(), "/s/q")
	}
}

// An expensive search is slow at all leaves alike. Another leaf would take as long, and its hedges would be
// missing from the budget of searches that meet a pause.
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

// A paused leaf is detected by comparison with the parts received for the same search: early if the search is
// little work, later if it is much. The hedge is sent at 1.7 times the time of the other calls and takes as long
// as they did.
func TestPauseIsDetectedWithinTheSearch(t *testing.T) {
	for name, tt := range map[string]struct{ work, within time.Duration }{
		"little work": {6 * ms, 17 * ms}, "typical work": {10 * ms, 28 * ms}, "much work": {20 * ms, 56 * ms},
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

// A VM that was scheduled late reads the received answers before it hedges. At that moment all calls of a search
// look late, and hedging them all would delay it further.
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
		r.runDue(time.Now(), 0) // too early: answers received meanwhile are not read yet
		is.Equal(trace.Hedges, 0)
		time.Sleep(retryPoll)
		r.runDue(time.Now(), 0)
		is.True(trace.Hedges > 0) // the leaves are late, not this VM
	})
}
