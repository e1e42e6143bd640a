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
	// lateCallGrace is how long calls that nobody waits for go on after the answer: closing their connections
	// would cost new ones, and their ends tell how slow the leaf is. A leaf may be at work no longer
	// than half a second after the caller has gone.
	lateCallGrace = 300 * time.Millisecond
	// retryPoll is how often a shard that waits for a connection or the budget tries again.
	retryPoll = 4 * time.Millisecond
	// maxRefusals bounds how often one shard of a request is sent on after leaves refused it. A refusal
	// has not run, so it doesn't count toward the route's attempts, but it counts toward the budget.
	maxRefusals = 3
	// maxShortfall is how many shards too few a search may have and still be repeated for before others. Where leaves
	// refuse every other call each shard takes two repeats; what a search that lacks more needs saves several others.
	maxShortfall = 2
	// estimateFraction is the part of the target that a call is guessed to take before any was measured.
	estimateFraction = 0.25
	// Times to come back after, by what has to change: leaves that refuse are less busy some tenths of a second
	// later; a leaf that crashed is back after some seconds.
	retryRefused  = 60 * time.Millisecond
	retryNoLeaf   = 250 * time.Millisecond
	retryCrashing = 10 * time.Second
	// maxRetryDelay bounds the time told for mute shards: their return is found within half a second, and a
	// person at a counter tries again by then anyway.
	maxRetryDelay = 5 * time.Second
)

// withJitter spreads the return of callers that were refused together over as long again.
func withJitter(d time.Duration) time.Duration { return d + rand.N(d) }

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

	// softDeadline is when a search that covers enough shards is answered without the others.
	softDeadline time.Time
	// deadline is when the final answer is made.
	deadline time.Time
	estimate time.Duration
	// typical is what calls of the route take, by the time of the latest event; needed is how many groups have to be
	// served. Both are asked for each group at each event, 20,000 times in a search of 135 shards.
	typical time.Duration
	needed  int
	groups  []group
	// ratios of the parts that are in, by which this request's calls are judged.
	ratios callRatios
	events chan event
	ended  chan struct{}
	// answeredGroups and dead count the groups.
	answeredGroups, failedGroups int
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
	tried    []catalog.LeafID
	lastLeaf catalog.LeafID
	// runs counts calls that may have run, refusals those that did not.
	runs, refusals int
	inFlight       int
	// pending is true while a first call waits for a connection, or a repeat for the budget.
	pending bool
	hedged  bool
	// sentAt is when the latest call that is no hedge was sent, expected how long it was expected to take, retryAt
	// when a hedge that had no connection or budget is tried again.
	sentAt       time.Time
	expectedTime time.Duration
	retryAt      time.Time
	// denied is true once the budget refused an extra call, other than one that could wait.
	denied bool
	part   *leafcall.Response
	failed bool
	// late is set once the part was late with all that the search needs in, noted once what became of it is.
	late, recorded bool
}

// event is the end of a call.
type event struct {
	group int
	leaf  catalog.LeafID
	call  *replica.Call
	// elapsed is for how long it went on.
	elapsed time.Duration
	resp    *leafcall.Response
	err     error
}

func newRun(caller context.Context, e *Engine, req *Request, route *catalog.Route, view *directory.View, digest uint64, trace *Trace) *run {
	r := &run{
		e: e, req: req, route: route, view: view, digest: digest, trace: trace, caller: caller,
		events: make(chan event), ended: make(chan struct{}),
		estimate: time.Duration(float64(route.Target) * estimateFraction),
	}
	remaining := route.Waits(req.Remaining)
	r.deadline = req.Arrived.Add(remaining - min(answerMargin, remaining/4))
	r.ctx, r.cancel = context.WithDeadline(context.WithoutCancel(caller), r.deadline.Add(answerMargin))
	r.softDeadline = req.Arrived.Add(route.Target - e.transitTime(req, route.Target))
	if r.softDeadline.After(r.deadline) {
		r.softDeadline = r.deadline
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
		r.needed = route.Needed()
	}
	r.refreshTypical()
	return r
}

// refreshTypical notes what calls of the route take by now.
func (r *run) refreshTypical() { r.typical = r.e.table.Usual(r.route.Name, r.estimate) }

// serve runs the request to its answer.
func (r *run) serve() *Answer {
	defer r.finish()
	for i := range r.groups {
		r.e.budgets.Request(r.groups[i].service)
	}
	if a := r.refuseUnreachable(); a != nil {
		return a
	}
	if a := r.refuseOverload(); a != nil {
		return a
	}
	sendStart := time.Now()
	for i := range r.groups {
		if !r.groups[i].failed {
			r.send(i)
		}
	}
	sending := time.Since(sendStart) // nothing is read meanwhile
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.refreshTypical()
		if a := r.finalAnswer(time.Now()); a != nil {
			return a
		}
		waitStart := time.Now()
		wait := r.untilDue(waitStart)
		timer.Reset(wait)
		select {
		case ev := <-r.events:
			r.handle(ev)
		case <-timer.C:
			now := time.Now()
			late := now.Sub(waitStart) - wait
			r.e.lag.observe(late)
			r.runDue(now, late+sending)
			sending = 0
		case <-r.caller.Done():
			r.cancel()
			return r.answer(&Answer{Outcome: CallerGone, Reason: ReasonCallerGone})
		}
	}
}

// finish lets the calls that are left end by themselves for a while.
func (r *run) finish() {
	close(r.ended)
	inFlight := 0
	for i := range r.groups {
		inFlight += r.groups[i].inFlight
	}
	if inFlight == 0 {
		r.cancel()
		return
	}
	time.AfterFunc(lateCallGrace, r.cancel)
}

// finalAnswer returns the answer once nothing better is to be waited for.
func (r *run) finalAnswer(now time.Time) *Answer {
	if !r.route.Search() {
		return r.finalSingleAnswer(now)
	}
	open := len(r.groups) - r.answeredGroups - r.failedGroups
	switch {
	case r.answeredGroups == len(r.groups), r.coversEnough() && (open == 0 || r.stopWaiting(now)):
		return r.mergedAnswer()
	case r.answeredGroups+open < r.needed:
		return r.failedAnswer(ReasonTooFewShards)
	case !now.Before(r.deadline):
		return r.failedAnswer(ReasonDeadline)
	case r.waitsForUnresponsive(now):
		return r.failedAnswer(ReasonUnresponsiveLeaves)
	}
	return nil
}

func (r *run) finalSingleAnswer(now time.Time) *Answer {
	g := &r.groups[0]
	switch {
	case g.part != nil:
		outcome := Served
		if !g.part.Success() {
			outcome = LeafFailure
		}
		return r.answer(&Answer{Outcome: outcome, Leaf: g.part})
	case g.failed && g.inFlight == 0:
		return r.failedAnswer(r.reason)
	case !now.Before(r.deadline):
		return r.failedAnswer(ReasonDeadline)
	}
	return nil
}

// failedAnswer is the final answer of a request that can't be served: not run where that is certain.
func (r *run) failedAnswer(reason Reason) *Answer {
	r.noteOpenGroups()
	for i := range r.groups {
		r.ran = r.ran || r.groups[i].inFlight > 0
	}
	if r.reason != ReasonNone && reason == ReasonTooFewShards {
		reason = r.reason
	}
	switch {
	case !r.ran:
		after := retryRefused
		if reason == ReasonNoLeaf {
			after = retryNoLeaf
		}
		return r.answer(&Answer{Outcome: NotRun, Reason: reason, RetryAfter: withJitter(after)})
	case r.failure != nil && !r.route.Search():
		return r.answer(&Answer{Outcome: LeafFailure, Reason: reason, Leaf: r.failure})
	case reason == ReasonDeadline:
		return r.answer(&Answer{Outcome: TimedOut, Reason: reason})
	}
	return r.answer(&Answer{Outcome: Unknown, Reason: reason})
}

func (r *run) answer(a *Answer) *Answer {
	a.Route = r.route
	return a
}

// failGroup ends a group without a part.
func (r *run) failGroup(g *group, reason Reason) {
	if g.failed {
		return
	}
	g.failed, g.pending = true, false
	r.failedGroups++
	if r.reason == ReasonNone {
		r.reason = reason
	}
}
