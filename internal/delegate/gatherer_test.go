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
)

// engine answers all with one answer after a while.
type engine struct {
	view   *directory.View
	after  time.Duration
	answer *dispatch.Answer

	mu sync.Mutex
	// got holds the requests; guarded by mu.
	got []*dispatch.Request
}

func (e *engine) Current() *directory.View { return e.view }

func (e *engine) Serve(_ context.Context, r *dispatch.Request) *dispatch.Answer {
	e.mu.Lock()
	e.got = append(e.got, r)
	e.mu.Unlock()
	time.Sleep(e.after)
	return e.answer
}

func request(now time.Time) *dispatch.Request {
	return &dispatch.Request{
		ID: "r", Method: "GET", Host: "h", Path: "/s/1", Target: "/s/1?q", Header: map[string][]string{"A": {"1"}}, Body: []byte("b"),
		Remaining: 800 * ms, Arrived: now.Add(-5 * ms), NewConnection: true,
	}
}

// What a gatherer is asked is what the caller asked, with the time that has passed; and the answer comes back
// as it was.
func TestRequestAndAnswerCrossUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &engine{view: viewOf(4), answer: &dispatch.Answer{
			Outcome: dispatch.Served, Reason: dispatch.ReasonPartial, Signatures: []string{"a", "b"}, Missing: 2, Records: []byte("records"),
			RetryAfter: 70 * ms,
		}}
		g := NewGatherer(e, e, func() bool { return false })
		now := time.Now()
		msg := g.Search(t.Context(), encodeSearch("w1", request(now), 4, now))
		want := request(now)
		want.From = "w1"
		is.Equal(e.got[0], want)
		is.Equal(decodeAnswer(msg), e.answer)
		is.Equal(msg.GetVersion(), uint64(4))
	})
}

func TestNotTaken(t *testing.T) {
	for name, tt := range map[string]struct {
		view  *directory.View
		path  string
		least uint64
		want  string
	}{
		"no configuration":    {&directory.View{}, "/s/1", 0, notTakenConfig},
		"older configuration": {viewOf(3), "/s/1", 4, notTakenConfig},
		"no route":            {viewOf(4), "/nowhere", 4, notTakenRoute},
		"a single request":    {viewOf(4), "/x/1", 4, notTakenRoute},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &engine{view: tt.view}
			req := request(time.Now())
			req.Target = tt.path
			msg := NewGatherer(e, e, func() bool { return false }).Search(t.Context(), encodeSearch("w1", req, tt.least, time.Now()))
			is.Equal(msg.GetNotTaken(), tt.want)
			is.Equal(len(e.got), 0)
		})
	}
}

// A search that the configuration turned into a single request meanwhile has run: nothing else is said.
func TestLeafsAnswerIsNoSearchs(t *testing.T) {
	is := is.New(t)
	e := &engine{view: viewOf(4), answer: &dispatch.Answer{Outcome: dispatch.Served, Leaf: &leafcall.Response{Status: 200}}}
	msg := NewGatherer(e, e, func() bool { return false }).Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now()))
	is.Equal(decodeAnswer(msg).Outcome, dispatch.Unknown)
}

// An end takes no more searches, and waits for those that run.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leaving := false
		e := &engine{view: viewOf(4), after: 100 * ms, answer: &dispatch.Answer{Outcome: dispatch.Served}}
		g := NewGatherer(e, e, func() bool { return leaving })
		go g.Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now()))
		synctest.Wait()
		leaving = true
		begun := time.Now()
		g.Close(t.Context())
		is.Equal(time.Since(begun), 100*ms)
		msg := g.Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now()))
		is.Equal(msg.GetNotTaken(), notTakenLeaving)
		is.True(msg.GetLoad().GetLeaving())
		g.Close(t.Context()) // nothing runs
	})
}

// A burst beyond the room of a gatherer is refused at once.
func TestRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &engine{view: viewOf(4), after: 100 * ms, answer: &dispatch.Answer{Outcome: dispatch.Served}}
		g := NewGatherer(e, e, func() bool { return false })
		for range searchesMost {
			go g.Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now()))
		}
		synctest.Wait()
		is.Equal(g.Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now())).GetNotTaken(), notTakenBusy)
		time.Sleep(100 * ms)
		synctest.Wait()
		is.Equal(g.Search(t.Context(), encodeSearch("w1", request(time.Now()), 4, time.Now())).GetNotTaken(), "")
	})
}

// The lag of an idle processor is nothing.
func TestLagOfAFreeProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &engine{view: &directory.View{Config: catalog.New(1, nil, nil, catalog.Limits{})}}
		g := NewGatherer(e, e, func() bool { return false })
		g.SetPlan(Plan{IsGatherer: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.NoErr(g.Run(ctx))
		is.Equal(g.Ping().GetLagUs(), int64(0))
	})
}
