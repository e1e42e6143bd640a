package dispatch

import (
	"maps"
	"testing"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/leafcall"
)

// start is the only leaf of service x: i-1, started at the given time, at an address of its own.
func (w *world) start(born int64, b behaviour) {
	id := catalog.LeafID{Name: "i-1", StartMillis: born}
	w.mu.Lock()
	defer w.mu.Unlock()
	leaves := maps.Clone(w.view.Leaves)
	leaves["x"] = []catalog.Leaf{{ID: id, Service: "x", Address: id.String(), Slots: 3, Zone: "z"}}
	w.view = &directory.View{Config: w.view.Config, Leaves: leaves, Revision: w.view.Revision + 1}
	w.leaves[id.String()] = b
}

// startAgain answers the first call by its cause, at which moment the leaf starts again under its id.
func (w *world) startAgain(cause leafcall.Cause, then behaviour) {
	w.start(1, func(int) reply {
		go w.start(2, then)
		return reply{after: ms, cause: cause}
	})
}

// A leaf that starts again in the middle of a request is another leaf: an idempotent request may go to it, within
// its attempts; one that may have run at the earlier start goes nowhere; one that was surely not sent goes on.
func TestLeafStartsAgainDuringARequest(t *testing.T) {
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

// A leaf whose address has another one now is left out, and is back as soon as it has started again.
func TestMovedLeafIsBackWithItsNextStart(t *testing.T) {
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

// What was learned of a mute leaf says nothing of its next start.
func TestNextStartOfAMuteLeafIsAsked(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.start(1, fail(leafcall.Abandoned))
		for range 5 {
			w.ask(t.Context(), "/i/1")
		}
		w.start(2, ok(ms))
		a, took := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Served)
		is.True(took < 10*ms)
	})
}

// A search of which a part is in has been run by a leaf that lives: the connections that it loses then count against
// nobody.
func TestLossAfterAPartIsNoSuspicion(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, s := range []string{"s4", "s5", "s6"} {
			for _, r := range []string{"-a", "-b", "-c"} {
				w.set(s+r, always(reply{after: 15 * ms, cause: leafcall.ConnectionLost}))
			}
		}
		w.ask(t.Context(), "/s/q") // the others answer in 10 ms
		is.Equal(len(w.lost), 0)
		for _, s := range []string{"s4", "s5", "s6"} {
			for _, r := range []string{"-a", "-b", "-c"} {
				w.set(s+r, always(reply{after: ms, cause: leafcall.ConnectionLost}))
			}
		}
		w.ask(t.Context(), "/s/q")
		is.True(len(w.lost) > 0) // nobody has answered yet
	})
}
