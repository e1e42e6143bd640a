package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/replica"
)

const (
	// answerMargin is how long before a request's time is over its final answer is made.
	answerMargin = 25 * time.Millisecond
	// linger is how long calls that nobody waits for go on after the answer: closing their connections
	// would cost new ones, and their ends tell how slow the leaf is. A leaf may be at work no longer
	// than half a second after the caller has gone.
	linger = 300 * time.Millisecond
	// poll is how often a shard that waits for a connection or the budget tries again.
	poll = 4 * time.Millisecond
	// refusedMost bounds how often one shard of a request is sent on after leaves refused it. A refusal
	// has not run, so it doesn't count toward the route's attempts, but it counts toward the budget.
	refusedMost = 3
	// shortMost is how many shards too few a search may have and still be repeated for before others. Where leaves
	// refuse every other call each shard takes two repeats; what a search that lacks more needs saves several others.
	shortMost = 2
	// guessPart is the part of the target that a call is guessed to take before any was measured.
	guessPart = 0.25
	// Times to come back after, by what has to change: leaves that refuse are less busy some tenths of a second
	// later; a leaf that crashed is back after some seconds.
	retryRefused  = 60 * time.Millisecond
	retryNoLeaf   = 250 * time.Millisecond
	retryCrashing = 10 * time.Second
	// retryMuteMost bounds the time told for mute shards: their return is found within half a second, and a
	// person at a counter tries again by then anyway.
	retryMuteMost = 5 * time.Second
)

// comeBack spreads the return of callers that were refused together over as long again.
func comeBack(d time.Duration) time.Duration { return d + rand.N(d) }

// run is one request being served. All fields but answered belong to the goroutine of serve; calls hand it their
// ends over events.
type run struct {
	e      *Engine
	req    *Request
	route  *catalog.Route
	view   *directory.View
	digest uint64
	trace  *Trace
	caller context.Context
	// ctx is of the calls, which may outlive the answer by linger. It ends with the caller's time.
	ctx    context.Context
	cancel context.CancelFunc

	// soft is when a search that covers enough shards is answered without the others.
	soft time.Time
	// deadline is when the final answer is made.
	deadline time.Time
	guess    time.Duration
	// usual is what calls of the route take, by the time of the latest event; needed is how many groups have to be
	// served. Both are asked for each group at each event, 20,000 times in a search of 135 shards.
	usual  time.Duration
	needed int
	groups []group
	// sizes of the parts that are in, by which this request's calls are judged.
	sizes  sizes
	events chan event
	over   chan struct{}
	// done and dead count the groups.
	done, dead int
	// ran is true where a leaf may have run the request; answered is set, by the calls, once one has answered it.
	ran      bool
	answered atomic.Bool
	// failure is the last failure that a leaf answered with.
	failure *leafcall.Response
	reason  Reason
}

// group is one service of the request: a shard of a search, or the service of a single request.
type group struct {
	service string
	// tried leaves get the request no second time; last is the latest of them.
	tried []catalog.LeafID
	last  catalog.LeafID
	// runs counts calls that may have run, refusals those that did not.
	runs, refusals int
	inFlight       int
	// pending is true while a first call waits for a connection, or a repeat for the budget.
	pending bool
	hedged  bool
	// begun is when the latest call that is no hedge was sent, expected how long it was expected to take, retryAt
	// when a hedge that had no connection or budget is tried again.
	begun    time.Time
	expected time.Duration
	retryAt  time.Time
	// denied is true once the budget refused an extra call, other than one that could wait.
	denied bool
	part   *leafcall.Response
	dead   bool
	// late is set once the part was late with all that the search needs in, noted once what became of it is.
	late, noted bool
}

// event is the end of a call.
type event struct {
	group int
	leaf  catalog.LeafID
	call  *replica.Call
	// took is for how long it went on.
	took time.Duration
	resp *leafcall.Response
	err  error
}

func newRun(caller context.Context, e *Engine, req *Request, route *catalog.Route, view *directory.View, digest uint64, trace *Trace) *run {
	r := &run{
		e: e, req: req, route: route, view: view, digest: digest, trace: trace, caller: caller,
		events: make(chan event), over: make(chan struct{}),
		guess: time.Duration(float64(route.Target) * guessPart),
	}
	left := route.EffectiveTimeout(req.Remaining)
	r.deadline = req.Arrived.Add(left - min(answerMargin, left/4))
	r.ctx, r.cancel = context.WithDeadline(context.WithoutCancel(caller), r.deadline.Add(answerMargin))
	r.soft = req.Arrived.Add(route.Target - e.wayBack(req, route.Target))
	if r.soft.After(r.deadline) {
		r.soft = r.deadline
	}
	services := route.Shards
	if !route.Search() {
		services = []string{e.splits.choose(route)}
	}
	for _, s := range services {
		r.groups = append(r.groups, group{service: s})
	}
	r.needed = 1
	if route.Search() {
		r.needed = route.RequiredShards()
	}
	r.look()
	return r
}

// look notes what calls of the route take by now.
func (r *run) look() { r.usual = r.e.table.Usual(r.route.Name, r.guess) }

// serve runs the request to its answer.
func (r *run) serve() *Answer {
	defer r.finish()
	for i := range r.groups {
		r.e.budgets.Request(r.groups[i].service)
	}
	if a := r.hopeless(); a != nil {
		return a
	}
	if a := r.overloaded(); a != nil {
		return a
	}
	began := time.Now()
	for i := range r.groups {
		if !r.groups[i].dead {
			r.send(i)
		}
	}
	sending := time.Since(began) // nothing is read meanwhile
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.look()
		if a := r.settled(time.Now()); a != nil {
			return a
		}
		asked := time.Now()
		wait := r.untilDue(asked)
		timer.Reset(wait)
		select {
		case ev := <-r.events:
			r.take(ev)
		case <-timer.C:
			now := time.Now()
			late := now.Sub(asked) - wait
			r.e.lag.observe(late)
			r.tick(now, late+sending)
			sending = 0
		case <-r.caller.Done():
			r.cancel()
			return r.answer(&Answer{Outcome: CallerGone, Reason: ReasonCallerGone})
		}
	}
}

// finish lets the calls that are left end by themselves for a while.
func (r *run) finish() {
	close(r.over)
	left := 0
	for i := range r.groups {
		left += r.groups[i].inFlight
	}
	if left == 0 {
		r.cancel()
		return
	}
	time.AfterFunc(linger, r.cancel)
}

// settled returns the answer once nothing better is to be waited for.
func (r *run) settled(now time.Time) *Answer {
	if !r.route.Search() {
		return r.settledSingle(now)
	}
	open := len(r.groups) - r.done - r.dead
	switch {
	case r.done == len(r.groups), r.mayAnswer() && (open == 0 || r.enough(now)):
		return r.merged()
	case r.done+open < r.needed:
		return r.failed(ReasonFewShards)
	case !now.Before(r.deadline):
		return r.failed(ReasonDeadline)
	case r.waitsForMute(now):
		return r.failed(ReasonMuteLeaves)
	}
	return nil
}

func (r *run) settledSingle(now time.Time) *Answer {
	g := &r.groups[0]
	switch {
	case g.part != nil:
		outcome := Served
		if !g.part.Success() {
			outcome = LeafFailure
		}
		return r.answer(&Answer{Outcome: outcome, Leaf: g.part})
	case g.dead && g.inFlight == 0:
		return r.failed(r.reason)
	case !now.Before(r.deadline):
		return r.failed(ReasonDeadline)
	}
	return nil
}

// failed is the final answer of a request that can't be served: not run where that is certain.
func (r *run) failed(why Reason) *Answer {
	r.noteOpen()
	for i := range r.groups {
		r.ran = r.ran || r.groups[i].inFlight > 0
	}
	if r.reason != ReasonNone && why == ReasonFewShards {
		why = r.reason
	}
	switch {
	case !r.ran:
		after := retryRefused
		if why == ReasonNoLeaf {
			after = retryNoLeaf
		}
		return r.answer(&Answer{Outcome: NotRun, Reason: why, RetryAfter: comeBack(after)})
	case r.failure != nil && !r.route.Search():
		return r.answer(&Answer{Outcome: LeafFailure, Reason: why, Leaf: r.failure})
	case why == ReasonDeadline:
		return r.answer(&Answer{Outcome: TimedOut, Reason: why})
	}
	return r.answer(&Answer{Outcome: Unknown, Reason: why})
}

func (r *run) answer(a *Answer) *Answer {
	a.Route = r.route
	return a
}

// kill ends a group without a part.
func (r *run) kill(g *group, why Reason) {
	if g.dead {
		return
	}
	g.dead, g.pending = true, false
	r.dead++
	if r.reason == ReasonNone {
		r.reason = why
	}
}
