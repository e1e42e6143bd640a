package search

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// silence simulates leaves whose connections go silent at its start. Calls in flight then are ended as silent after a
// while. Later calls use new connections and are answered.
type silence struct {
	started atomic.Bool
	// start is closed when started is set, end when the silent connections are closed.
	start, end chan struct{}
}

func (s *silence) answer(ctx context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	if s.started.Load() {
		return answerAfter(serviceTime)(ctx, req)
	}
	select {
	case <-time.After(serviceTime):
		return goodAnswer(req), nil
	case <-s.start:
	}
	select {
	case <-s.end:
		return nil, &upstream.CallError{Wrote: true, ConnectionSilent: true, Err: errLost}
	case <-ctx.Done():
		return nil, &upstream.CallError{Wrote: true, Err: ctx.Err()}
	}
}

// TestSilentConnectionsAreNoLoad guards against refusals for load while connections are silent. A few callers send
// searches all the time while all connections of a gather to its leaves go silent, at once or later, until they are
// closed. The slots that silent calls hold until then say nothing about the capacity of the leaves, so no search is
// refused for load, whether the gather has all slots of the leaves or a third.
func TestSilentConnectionsAreNoLoad(t *testing.T) {
	for _, tt := range []struct{ callers, slots int }{
		{2, 3}, {9, 3}, {10, 3}, {12, 3}, {2, 1}, {3, 1}, {4, 1}, {5, 1}, {6, 1},
	} {
		for _, after := range []time.Duration{4 * time.Millisecond, 500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d callers, %d slots a leaf, after %s", tt.callers, tt.slots, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { goSilent(t, tt.callers, tt.slots, after, 700*time.Millisecond) })
			})
		}
	}
}

// goSilent runs callers without pause before, during and after the silence, and fails if any search ends in an error.
func goSilent(t *testing.T, callers, slots int, after, silent time.Duration) {
	const timeout = 2 * time.Second
	is := is.New(t)
	service, fleet := groups(2)
	service.Kinds["dawn"].Weight, service.Kinds["claim"].Weight = 10, 2
	service.Kinds["dawn"].Timeout, service.Kinds["claim"].Timeout = timeout, timeout
	r := newRig("az-a", service, fleet, anywhere)
	r.replicas.slots = slots
	s := &silence{start: make(chan struct{}), end: make(chan struct{})}
	for _, l := range fleet.leaves {
		l.answer = s.answer
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var refused atomic.Int32
	for i := range callers {
		kind := []string{"claim", "claim", "dawn"}[i%3]
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, err := r.search("r", kind, "q", timeout); err != nil {
					t.Logf("%s: %v", kind, err)
					refused.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(after)
	s.started.Store(true)
	close(s.start)
	time.AfterFunc(silent, func() { close(s.end) })
	time.Sleep(1500 * time.Millisecond)
	cancel()
	wg.Wait()
	r.engine.Wait()
	is.Equal(refused.Load(), int32(0))
}

// replaced simulates a leaf whose connection is found silent and takes a while to be replaced: calls before the discovery
// end then, and calls until the new connection is open wait for it in vain.
func replaced(begun time.Time, found, open time.Duration) func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	const connWait = 100 * time.Millisecond // as the pool of connections waits
	return func(ctx context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
		switch since := time.Since(begun); {
		case since < found:
			time.Sleep(found - since)
			return nil, &upstream.CallError{Wrote: true, ConnectionSilent: true, Err: errLost}
		case since+connWait < open:
			time.Sleep(connWait)
			return nil, &upstream.CallError{Err: errRefused}
		case since < open:
			time.Sleep(open - since)
		}
		return answerAfter(serviceTime)(ctx, req)
	}
}

// A search whose calls went into silent connections was answered without a shard after a third of its time, since all
// replicas had been tried while their connections were replaced.
func TestSearchWaitsForConnectionsThatAreReplaced(t *testing.T) {
	for _, open := range []time.Duration{550 * time.Millisecond, 680 * time.Millisecond, 780 * time.Millisecond} {
		t.Run(open.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const timeout = 2 * time.Second
				service, fleet := groups(2)
				service.Kinds["claim"].Timeout = timeout
				r := newRig("az-a", service, fleet, anywhere)
				begun := time.Now()
				for _, l := range fleet.leaves {
					l.answer = replaced(begun, 500*time.Millisecond, open)
				}
				res, err := r.search("r", "claim", "q", timeout)
				is.NoErr(err)
				is.Equal(res.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
				is.True(time.Since(begun) < open+200*time.Millisecond)
			})
		})
	}
}

// A search that came while the silent connections of all replicas were being replaced was answered without a shard: only
// calls of the shard itself that had gone into a silent connection made it wait.
func TestSearchThatComesWhileConnectionsAreReplacedWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(2)
		r := newRig("az-a", service, fleet, anywhere)
		begun := time.Now()
		const open = 380 * time.Millisecond
		for _, l := range fleet.leaves {
			l.answer = replaced(begun, 0, open)
		}
		res, err := r.search("r", "claim", "q", time.Second)
		is.NoErr(err)
		is.Equal(res.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
		is.True(time.Since(begun) < open+200*time.Millisecond)
	})
}
