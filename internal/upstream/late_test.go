package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
)

// arrivals is a fake leaf's check of when calls arrive, with delays on the way to and from the leaf.
type arrivals struct {
	mu sync.Mutex
	// All below is guarded by mu. started is when the incarnation began. delays holds how long calls
	// are on their way, by request id; statusDelay is how long a status request is, both ways.
	started     time.Time
	delays      map[string]time.Duration
	statusDelay time.Duration
	// starts holds when calls were started, by request id.
	starts map[string]time.Time
}

func newArrivals(age time.Duration) *arrivals {
	return &arrivals{started: time.Now().Add(-age), delays: make(map[string]time.Duration), starts: make(map[string]time.Time)}
}

// arrive delays a call and then refuses or starts it.
func (a *arrivals) arrive(id string, by *durationpb.Duration, incarnation uint64) error {
	a.mu.Lock()
	delay := a.delays[id]
	a.mu.Unlock()
	time.Sleep(delay)
	a.mu.Lock()
	defer a.mu.Unlock()
	if by != nil && time.Since(a.started) > by.AsDuration() {
		return refusal(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE, incarnation)
	}
	a.starts[id] = time.Now()
	return nil
}

// readUptime reads the uptime between the two halves of the delay of status requests.
func (a *arrivals) readUptime() *durationpb.Duration {
	a.mu.Lock()
	delay := a.statusDelay
	a.mu.Unlock()
	time.Sleep(delay / 2)
	uptime := durationpb.New(time.Since(a.started))
	time.Sleep(delay - delay/2)
	return uptime
}

func (a *arrivals) delay(id string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delays[id] = d
}

func (a *arrivals) delayStatus(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.statusDelay = d
}

func (a *arrivals) startOf(id string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.starts[id]
	return t, ok
}

// frozenCall is a call whose sender is frozen, or whose message is held up, after the decision.
type frozenCall struct {
	order bool
	// beforeSend is between the decision and the connection, onTheWay between that and the leaf.
	beforeSend, onTheWay time.Duration
}

// drawDelay draws no delay, one around the limit, or one of up to 5 s.
func drawDelay(r *rand.Rand) time.Duration {
	switch r.IntN(3) {
	case 0:
		return 0
	case 1:
		return feed.MaxSendDelay - 20*time.Millisecond + time.Duration(r.Int64N(int64(40*time.Millisecond)))
	}
	return time.Duration(r.Int64N(int64(5 * time.Second)))
}

// send makes the call and returns when it was decided on, and its error.
func (c frozenCall) send(ctx context.Context, p *Pool, id string) (time.Time, error) {
	decided := time.Now()
	time.Sleep(c.beforeSend)
	ctx = WithDecisionTime(ctx, decided)
	var err error
	if c.order {
		_, err = p.Execute(ctx, testLeaf, &pb.LeafExecuteRequest{RequestId: id})
	} else {
		_, err = p.Search(ctx, testLeaf, &pb.LeafSearchRequest{RequestId: id})
	}
	return decided, err
}

// TestNoCallStartsLongAfterItsDecision guards against calls by a view that no longer holds: a process
// that is frozen between its check of the view and the write to the connection sends the call when it
// wakes. Calls are delayed at both sides of the connection for drawn times, the leaf's status answers
// are slow, and the leaf restarts. No leaf starts a call later than MaxSendDelay after the decision,
// and one that comes in good time is answered.
func TestNoCallStartsLongAfterItsDecision(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFrozenCalls(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func playFrozenCalls(t *testing.T, r *rand.Rand) {
	is := is.New(t)
	f := newFakeLeaf(t)
	a := newArrivals(time.Duration(r.Int64N(int64(time.Hour))))
	f.arrivals.Store(a)
	statusDelay := time.Duration(r.Int64N(int64(200 * time.Millisecond)))
	a.delayStatus(statusDelay)
	p, _ := startPool(t, f.dial)
	time.Sleep(time.Second) // the connections are open
	for i := range 20 {
		if r.IntN(8) == 0 {
			f.crash()
			f.refuse.Store(false)
			a = newArrivals(0)
			a.delayStatus(statusDelay)
			f.arrivals.Store(a)
			f.start(t, uint64(i+2))
			time.Sleep(5 * time.Second) // longer than the backoff
		}
		c := frozenCall{order: r.IntN(3) == 0, beforeSend: drawDelay(r), onTheWay: drawDelay(r)}
		id := fmt.Sprint("r", i)
		a.delay(id, c.onTheWay)
		decided, err := c.send(t.Context(), p, id)
		started, ran := a.startOf(id)
		is.True(!ran || started.Sub(decided) <= feed.MaxSendDelay)
		is.Equal(ran, err == nil)
		is.True(ran || asCallError(err).TooLate())
		is.True(ran || asCallError(err).NotStarted())
		inTime := c.beforeSend+c.onTheWay+statusDelay < feed.MaxSendDelay
		is.True(ran || !inTime)
		time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
	}
	a.delayStatus(0)
	time.Sleep(time.Second) // the status requests under way have ended
}

// TestAnswerMayStemFromACallSentAfterAPause guards against hits of an outdated index version from a
// leaf that does not check when calls arrive: the call may have been sent after the pause.
func TestAnswerMayStemFromACallSentAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, source := startPool(t, f.dial)
		waitForConnections()
		f.setAnswer(func(context.Context) error {
			source.stale.Store(true)
			return nil
		})
		_, err := frozenCall{}.send(t.Context(), p, "r1")
		is.True(errors.Is(err, ErrStale))
		is.True(asCallError(err).Wrote)
		f.arrivals.Store(newArrivals(time.Hour))
		time.Sleep(2 * pollInterval)
		_, err = frozenCall{}.send(t.Context(), p, "r2")
		is.NoErr(err) // the leaf has judged it
	})
}

// TestLeafClockIsReadAgainAfterARefusal guards against a leaf that refuses all calls until its next status request is
// due: this VM was suspended with its clock, so that it takes the leaf's uptime for less than it is.
func TestLeafClockIsReadAgainAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		f.arrivals.Store(newArrivals(time.Hour))
		p, _ := startPool(t, f.dial)
		waitForConnections()
		_, err := frozenCall{}.send(t.Context(), p, "before")
		is.NoErr(err)
		f.arrivals.Store(newArrivals(2 * time.Hour)) // the leaf's clock ran on
		_, err = frozenCall{}.send(t.Context(), p, "first after")
		is.True(asCallError(err).TooLate())
		synctest.Wait()
		_, err = frozenCall{}.send(t.Context(), p, "second after")
		is.NoErr(err)
	})
}

// TestCallWithoutADecisionTimeHasNoLimit guards against refusals of calls for which no limit was asked.
func TestCallWithoutADecisionTimeHasNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		f.arrivals.Store(newArrivals(time.Hour))
		p, _ := startPool(t, f.dial)
		waitForConnections()
		_, err := search(t.Context(), p)
		is.NoErr(err)
	})
}
