package dispatch

import (
	"maps"
	"testing"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/leafcall"
)

// start makes leaf i-1, started at the given time and at its own address, the only leaf of service x.
func (w *world) start(born int64, b behaviour) {
	id := catalog.LeafID{Name: "i-1", StartMillis: born}
	w.mu.Lock()
	defer w.mu.Unlock()
	leaves := maps.Clone(w.view.Leaves)
	leaves["x"] = []catalog.Leaf{{ID: id, Service: "x", Address: id.String(), Slots: 3, Zone: "z"}}
	w.view = &directory.View{Config: w.view.Config, Leaves: leaves, Revision: w.view.Revision + 1}
	w.leaves[id.String()] = b
}

// startAgain lets the first call end with the cause; at that moment the leaf restarts under the same id.
func (w *world) startAgain(cause leafcall.Cause, then behaviour) {
	w.start(1, func(int) reply {
		go w.start(2, then)
		return reply{after: ms, cause: cause}
	})
}

// A leaf that restarts during a request is another leaf. An idempotent request may go to it, within its attempts.
// A request that may have run on the earlier incarnation is not sent again, and one that was certainly not sent
// is.
func TestLeafRestartsDuringRequest(t *testing.T) {
	for name, tt := range map[string]struct {
		path    string
		cause   leafcall.Cause
		then    behaviour
		outcome Outcome
		calls   int
	}{
		"idempotent, lost":          {"/i/1", leafcall.ConnectionLost, ok(ms), Served, 1},
		"idempotent, lost twice":    {"/i/1", leafcall.ConnectionLost, fail(leafcall.ConnectionLost), Unknown, 1},
		"may have run":              {"/o/1", leafcall.ConnectionLost, ok(ms), Unknown, 0},
		"surely not sent":           {"/o/1", leafcall.NoConnection, ok(ms), Served, 1},
		"may have run by a timeout": {"/o/1", leafcall.TimedOut, ok(ms), Unknown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				w.startAgain(tt.cause, tt.then)
				a, _ := w.ask(t.Context(), tt.path)
				is.Equal(a.Outcome, tt.outcome)
				is.Equal(w.callsTo("i-1@2"), tt.calls)
			})
		})
	}
}

// A leaf whose address belongs to another leaf is left out, and is used again as soon as it has restarted.
func TestMovedLeafReturnsAfterRestart(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.start(1, always(reply{after: ms, moved: true}))
		a, _ := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, NotRun)
		w.start(2, ok(ms))
		a, _ = w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Served)
	})
}

// The history of an unresponsive leaf does not apply to its next incarnation.
func TestUnresponsiveLeafIsCalledAfterRestart(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.start(1, fail(leafcall.Abandoned))
		for range 5 {
			w.ask(t.Context(), "/i/1")
		}
		w.start(2, ok(ms))
		a, elapsed := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Served)
		is.True(elapsed < 10*ms)
	})
}

// A search that some of its leaves have answered may crash others: their losses were not recorded, so that it ended leaves
// for as long as it came. One is recorded for each attempt, as leaves of many shards may end together.
func TestConnectionLostAfterPartIsRecorded(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, s := range []string{"s4", "s5", "s6"} {
			for _, r := range []string{"-a", "-b", "-c"} {
				w.set(s+r, always(reply{after: 15 * ms, cause: leafcall.ConnectionLost}))
			}
		}
		w.ask(t.Context(), "/s/q") // the others answer in 10 ms
		is.Equal(len(w.lost), 1)
		for _, s := range []string{"s4", "s5", "s6"} {
			for _, r := range []string{"-a", "-b", "-c"} {
				w.set(s+r, always(reply{after: ms, cause: leafcall.ConnectionLost}))
			}
		}
		w.ask(t.Context(), "/s/q")
		is.True(len(w.lost) >= 3) // no leaf has answered yet
	})
}
