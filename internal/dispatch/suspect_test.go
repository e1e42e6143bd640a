package dispatch

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/crashguard"
	"github.com/burdockplank/burdockplank/internal/leafcall"
)

// While a search waits until it is known which leaves have ended, each shard asked the crash guard every few milliseconds.
func TestWaitingSearchIsJudgedOnceForAllShards(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.suspect, w.suspicion = true, crashguard.Suspicion{Undecided: true}
		a, elapsed := w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, NotRun)
		is.True(elapsed > 100*ms)
		is.True(w.judged <= int(2*elapsed/retryPoll))
	})
}

// Copies of a crashing request that run at once at several VMs ended a leaf each. A suspect goes to the same leaf from all
// VMs, and to none at which it was in flight when that ended.
func TestSuspectGoesToOneLeafFromAllVMs(t *testing.T) {
	is := is.New(t)
	chosen := make(map[catalog.LeafID]int)
	for i := range 9 {
		play(t, func(t *testing.T, w *world) {
			w.suspect = true
			leaves := w.view.Leaves["x"] // each VM prefers another one
			w.view.Leaves["x"] = slices.Concat(leaves[i%len(leaves):], leaves[:i%len(leaves)])
			w.ask(t.Context(), "/i/crash")
			for _, l := range w.view.Leaves["x"] {
				chosen[l.ID] += w.callsTo(l.ID.String())
			}
		})
	}
	first := catalog.LeafID{}
	for id, n := range chosen {
		if n > 0 {
			is.Equal(n, 9)
			first = id
		}
	}
	play(t, func(t *testing.T, w *world) {
		w.suspect = true
		w.suspicion.Ended = []catalog.LeafID{first}
		a, _ := w.ask(t.Context(), "/i/crash")
		is.Equal(a.Outcome, Served)
		is.Equal(w.callsTo(first.String()), 0)
	})
}

// A suspect search ended a leaf of each shard. It runs on one shard until a leaf has outlived it.
func TestSuspectSearchRunsOnOneShardFirst(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.suspect = true
		w.startAll(always(reply{after: 10 * ms, cause: leafcall.ConnectionLost}))
		a, _ := w.ask(t.Context(), "/s/crash")
		is.True(a.Outcome != Served)
		is.True(w.shardsCalled() <= 2) // with the next shard, once the first has no attempt left
	})
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.suspect = true
		a, elapsed := w.ask(t.Context(), "/s/q")
		is.Equal(a.Outcome, Served)
		is.Equal(a.Missing, 0)
		is.True(elapsed >= 20*ms && elapsed < 30*ms)
	})
}

// startAll gives all leaves of the shards the behaviour.
func (w *world) startAll(b behaviour) {
	for _, s := range shardNames(shards) {
		for _, r := range []string{"-a", "-b", "-c"} {
			w.set(s+r, b)
		}
	}
}

// shardsCalled returns how many shards got calls.
func (w *world) shardsCalled() int {
	n := 0
	for _, s := range shardNames(shards) {
		if w.callsTo(s+"-a", s+"-b", s+"-c") > 0 {
			n++
		}
	}
	return n
}

// A call that waited for a connection was sent after the request had been blocked.
func TestWaitingCallOfABlockedRequestIsNotSent(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, id := range []string{"x-a", "x-b", "x-c"} {
			w.full[id] = true
		}
		time.AfterFunc(30*ms, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.blocked, w.suspect = true, true
			w.full = make(map[string]bool)
		})
		a, elapsed := w.ask(t.Context(), "/o/crash")
		is.Equal(a.Outcome, NotRun)
		is.Equal(a.Reason, ReasonCrashedLeaves)
		is.True(a.RetryAfter >= retryCrashing)
		is.True(elapsed < 50*ms)
		is.Equal(len(w.requests), 0)
	})
}

// A repeat was sent after the request had been blocked.
func TestRepeatOfABlockedRequestIsNotSent(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, id := range []string{"x-a", "x-b", "x-c"} {
			w.set(id, always(reply{after: 20 * ms, cause: leafcall.ConnectionLost}))
		}
		time.AfterFunc(10*ms, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.blocked, w.suspect = true, true
		})
		a, _ := w.ask(t.Context(), "/i/crash")
		is.Equal(a.Outcome, Unknown) // it has run once
		is.Equal(w.callsTo("x-a", "x-b", "x-c"), 1)
	})
}

// While it is not known whether leaves have ended, a suspect waits, and is served once they turn out to live.
func TestUndecidedSuspectWaits(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.suspect, w.suspicion.Undecided = true, true
		time.AfterFunc(50*ms, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.suspect, w.suspicion.Undecided = false, false
		})
		a, elapsed := w.ask(t.Context(), "/o/1")
		is.Equal(a.Outcome, Served)
		is.True(elapsed >= 60*ms && elapsed < 80*ms)
	})
}

// Answers that do not show that the leaf has run the request cleared it: a leaf that fails part of its requests, a refusal.
func TestWhatClearsARequest(t *testing.T) {
	for name, tt := range map[string]struct {
		reply  reply
		clears bool
	}{
		"success":              {reply{after: ms}, true},
		"failure of a request": {reply{after: ms, status: http.StatusNotFound}, true},
		"failure of the leaf":  {reply{after: ms, status: http.StatusInternalServerError}, false},
		"refusal":              {reply{after: ms, refuse: true}, false},
		"another leaf":         {reply{after: ms, moved: true}, false},
		"connection lost":      {reply{after: ms, cause: leafcall.ConnectionLost}, false},
		"half an answer":       {reply{after: ms, cause: leafcall.InvalidAnswer}, false},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				for _, id := range []string{"x-a", "x-b", "x-c"} {
					w.set(id, always(tt.reply))
				}
				w.ask(t.Context(), "/o/1")
				is.Equal(w.cleared > 0, tt.clears)
				lost := tt.reply.cause != ""
				is.Equal(len(w.lost) > 0, lost)
			})
		})
	}
}

func TestHostWithPortIsTheSameRequest(t *testing.T) {
	one := &Request{Method: "GET", Host: "h", Target: "/a"}
	other := &Request{Method: "GET", Host: "h:80", Target: "/a"}
	is.New(t).Equal(digestOf(one), digestOf(other))
}
