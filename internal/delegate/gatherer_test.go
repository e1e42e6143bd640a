package delegate

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/overload"
)

// stubEngine gives every request the same answer after a delay.
type stubEngine struct {
	view   *directory.View
	delay  time.Duration
	answer *dispatch.Answer

	mu sync.Mutex
	// received holds the requests. It is guarded by mu.
	received []*dispatch.Request
}

func (e *stubEngine) Current() *directory.View { return e.view }

func (e *stubEngine) Serve(_ context.Context, r *dispatch.Request) *dispatch.Answer {
	e.mu.Lock()
	e.received = append(e.received, r)
	e.mu.Unlock()
	time.Sleep(e.delay)
	return e.answer
}

func request(now time.Time) *dispatch.Request {
	return &dispatch.Request{
		ID: "r", Method: "GET", Host: "h", Path: "/s/1", Target: "/s/1?q", Header: map[string][]string{"A": {"1"}}, Body: []byte("b"),
		Remaining: 800 * ms, Arrived: now.Add(-5 * ms), NewConnection: true,
	}
}

// The gatherer receives the caller's request unchanged, with the time elapsed since its arrival, and its answer
// is returned unchanged.
func TestSearchRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &stubEngine{view: testView(4), answer: &dispatch.Answer{
			Outcome: dispatch.Served, Reason: dispatch.ReasonPartial, Signatures: []string{"a", "b"}, Missing: 2, Records: []byte("records"),
			RetryAfter: 70 * ms,
		}}
		g := NewGatherer(e, e, openGate(), func() bool { return false })
		now := time.Now()
		msg := g.Search(t.Context(), encodeSearch("w1", request(now), 4, now))
		want := request(now)
		want.From, want.Admitted = "w1", true
		is.Equal(e.received[0], want)
		is.Equal(decodeAnswer(msg), e.answer)
		is.Equal(msg.GetVersion(), uint64(4))
	})
}

func TestGathererDeclines(t *testing.T) {
	for name, tt := range map[string]struct {
		view       *directory.View
		path       string
		minVersion uint64
		want       string
	}{
		"no configuration":    {&directory.View{}, "/s/1", 0, notTakenConfig},
		"older configuration": {testView(3), "/s/1", 4, notTakenConfig},
		"no route":            {testView(4), "/nowhere", 4, notTakenRoute},
		"a single request":    {testView(4), "/x/1", 4, notTakenRoute},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &stubEngine{view: tt.view}
			req := request(time.Now())
			req.Target = tt.path
			msg := NewGatherer(e, e, openGate(), func() bool { return false }).Search(t.Context(), encodeSearch("w1", req, tt.minVersion, time.Now()))
			is.Equal(msg.GetNotTaken(), tt.want)
			is.Equal(len(e.received), 0)
		})
	}
}

// A configuration change may turn a search into a single request on its way. The request may have run then, so
// the outcome reported is unknown.
func TestSingleRequestAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	e := &stubEngine{view: testView(4), answer: &dispatch.Answer{Outcome: dispatch.Served, Leaf: &leafcall.Response{Status: 200}}}
	msg := NewGatherer(e, e, openGate(), func() bool { return false }).Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now()))
	is.Equal(decodeAnswer(msg).Outcome, dispatch.Unknown)
}

// Close declines further searches and waits for those in flight.
func TestCloseDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leaving := false
		e := &stubEngine{view: testView(4), delay: 100 * ms, answer: &dispatch.Answer{Outcome: dispatch.Served}}
		g := NewGatherer(e, e, openGate(), func() bool { return leaving })
		go g.Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now()))
		synctest.Wait()
		leaving = true
		start := time.Now()
		g.Close(t.Context())
		is.Equal(time.Since(start), 100*ms)
		msg := g.Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now()))
		is.Equal(msg.GetNotTaken(), notTakenLeaving)
		is.True(msg.GetLoad().GetLeaving())
		g.Close(t.Context()) // returns at once: none is in flight
	})
}

// Searches above maxSearches are declined at once.
func TestGathererAtCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &stubEngine{view: testView(4), delay: 100 * ms, answer: &dispatch.Answer{Outcome: dispatch.Served}}
		g := NewGatherer(e, e, openGate(), func() bool { return false })
		for range maxSearches {
			go g.Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now()))
		}
		synctest.Wait()
		is.Equal(g.Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now())).GetNotTaken(), notTakenBusy)
		time.Sleep(100 * ms)
		synctest.Wait()
		is.Equal(g.Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now())).GetNotTaken(), "")
	})
}

// On an idle processor timers fire on time and the lag is 0.
func TestLagOfIdleProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &stubEngine{view: &directory.View{Config: catalog.New(1, nil, nil, catalog.Limits{})}}
		g := NewGatherer(e, e, openGate(), func() bool { return false })
		g.SetPlan(Plan{IsGatherer: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.NoErr(g.Run(ctx))
		is.Equal(g.Ping().GetLagUs(), int64(0))
	})
}

// openGate returns a gate that is turned off.
func openGate() *overload.Gate {
	return overload.New(overload.Settings{}, func() time.Duration { return 0 }, func() float64 { return 0 })
}
