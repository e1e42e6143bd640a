package dispatch

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// An answer that no leaf gives unless its bytes were spoiled on the way is not passed on to the caller: a success without
// the leaf's signature, or a status that promises that the request has not run though the leaf does not state it. An
// idempotent request is repeated at another leaf, any other request ends with an outcome that promises nothing.
func TestInvalidAnswerIsNotPassedOn(t *testing.T) {
	for name, invalid := range map[string]reply{
		"success without a signature":     {after: ms, unsigned: true},
		"success without a body and that": {after: ms, unsigned: true, status: http.StatusNoContent},
		"promise of no run, not stated":   {after: ms, promise: true},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				w.oddFirst("x", invalid)
				a, _ := w.ask(t.Context(), "/i/1")
				is.Equal(a.Outcome, Served)
				is.Equal(w.traces[0].Repeats, 1)
				w.oddFirst("x", invalid)
				a, _ = w.ask(t.Context(), "/o/1")
				is.Equal(a.Outcome, Unknown)
				is.Equal(a.Reason, ReasonInvalidAnswer)
				is.Equal(a.Leaf, nil)
				is.Equal(w.traces[1].Calls, 1)
				w.oddFirst("s4", invalid)
				a, _ = w.ask(t.Context(), "/s/1")
				is.Equal(a.Missing, 0)
				is.Equal(len(w.lost), 0) // the leaf lives
			})
		})
	}
}

// If all leaves spoil their answers, the caller gets no failure in the name of a leaf.
func TestOnlyInvalidAnswers(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, id := range []string{"x-a", "x-b", "x-c"} {
			w.set(id, always(reply{after: ms, unsigned: true}))
		}
		a, _ := w.ask(t.Context(), "/i/1")
		is.Equal(a.Outcome, Unknown)
		is.Equal(a.Reason, ReasonInvalidAnswer)
		is.Equal(w.traces[0].Calls, 2)
		is.Equal(w.traces[0].Failures, 2)
	})
}
