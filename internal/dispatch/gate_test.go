package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/overload"
)

// closedGate refuses every request and records what it was asked.
type closedGate struct{ asked []overload.Request }

func (g *closedGate) Admit(_ time.Time, r overload.Request) overload.Decision {
	g.asked = append(g.asked, r)
	return overload.Decision{Reason: overload.ReasonBusyProcessor, RetryAfter: time.Second}
}

// TestBusyProcessor guards against requests that a VM takes on while its processor has no time for them: they are
// refused before any call, as not run. One that the gatherer has already admitted is not asked about again.
func TestBusyProcessor(t *testing.T) {
	for path, calls := range map[string]int{"/s/1": shards, "/i/1": 1, "/o/1": 1} {
		t.Run(path, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				g := &closedGate{}
				w.engine.gate = g
				a, took := w.ask(t.Context(), path)
				is.Equal(a.Outcome, NotRun)
				is.Equal(a.Reason, ReasonBusyProcessor)
				is.Equal(a.RetryAfter, time.Second)
				is.Equal(took, time.Duration(0))
				is.Equal(len(w.calls), 0)
				is.Equal(g.asked[0].Work.Calls, calls)
				admitted := w.engine.Serve(t.Context(), &Request{
					ID: "r", Method: "GET", Host: "h", Path: path, Target: path, Remaining: time.Second, Arrived: time.Now(), Admitted: true,
				})
				is.Equal(admitted.Outcome, Served)
				is.Equal(len(g.asked), 1)
			})
		})
	}
}
