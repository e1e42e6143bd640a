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
	// answerMargin is how long before the deadline of a request its final answer is made.
	answerMargin = 25 * time.Millisecond
	// lateCallGrace is the grace period for calls that are still in flight after the answer. Closing their
	// connections would require new ones, and their ends show how slow the leaf is. A leaf must not work for
	// longer than half a second after the caller has gone.
	lateCallGrace = 300 * time.Millisecond
	// retryPoll is how often a shard that waits for a connection or the budget tries again.
	retryPoll = 4 * time.Millisecond
	// maxRefusals bounds how often one shard of a request is repeated after leaves refused it. A refused call has
	// not run, so it does not count toward the attempts of the route, but it counts toward the budget.
	maxRefusals = 3
	// maxShortfall is the largest number of missing shards with which a search still gets repeats before others.
	// If leaves refuse every other call, each shard takes two repeats, so the repeats of a search that lacks more
	// shards would save several others.
	maxShortfall = 2
	// estimateFraction is the fraction of the target that a call is estimated to take before any was measured.
	estimateFraction = 0.25
	// Retry delays by what has to change. Leaves that refuse are less busy some tenths of a second later; a leaf
	// that crashed is back after some seconds.
	retryRefused  = 60 * time.Millisecond
	retryNoLeaf   = 250 * time.Millisecond
	retryCrashing = 10 * time.Second
	// maxRetryDelay bounds the retry delay for unresponsive shards. Their recovery is detected within half a
	// second, and a person who waits for the answer retries by then anyway.
	maxRetryDelay = 5 * time.Second
)

// withJitter adds jitter of up to d, so that callers that were refused together do not retry together.
func withJitter(d time.Duration) time.Duration { return d + rand.N(d) }

// run is one request being served. All fields but answered and lossRecorded belong to the goroutine of serve. Calls report their
// ends to it over events.
type run struct {
	e      *Engine
	req    *Request
	route  *catalog.Route
	view   *directory.View
	digest uint64
	trace  *Trace
	caller context.Context
	// ctx is the context of the calls, which may outlive the answer by lateCallGrace. It ends with the caller's
	// deadline.
	ctx    context.Context
	cancel context.CancelFunc

	// softDeadline is when a search that covers enough shards is answered without the others.
	softDeadline time.Time
	// deadline is when the final answer is made.
	deadline time.Time
	estimate time.Duration
	// typical is the typical call time of the route as of the latest event. needed is how many groups have to be
	// served. Both are cached because they are read for each group at each event, 20,000 times in a search of 135
	// shards.
	typical time.Duration
	needed  int
	groups  []group
	// ratios are those of the parts received, by which the other calls of this request are judged.
	ratios callRatios
	events chan event
	ended  chan struct{}
	// answeredGroups and failedGroups count the groups with a part and the failed ones.
	answeredGroups, failedGroups int
	// ran is true if a leaf may have run the request. answered is set by the calls once a leaf has answered it, lossRecorded
	// once they have recorded that a connection was lost.
	ran                    bool
	answered, lossRecorded atomic.Bool
	// suspect is true while the request may be crashing leaves. repeated is true once it is known to have been in flight
	// at the end of a leaf, whether a leaf has answered it since or not.
	suspect, repeated bool
	// judgement is that of the crash guard as of the latest event; nil if it was not needed since.
	judgement *judgement
	// failure is the last failure response of a leaf.
	failure *leafcall.Response
	reason  Reason
}

// group is one service of the request: a shard of a search, or the service of a single request.
type group struct {
	service string
	// tried holds the leaves that do not get the request again; lastLeaf is the latest of them.
	tried    []catalog.LeafID
	lastLeaf catalog.LeafID
	// runs counts the calls that may have run, refusals those that did not.
	runs, refusals int
	inFlight       int
	// pending is true while a first call waits for a connection, or a repeat for the budget.
	pending bool
	hedged  bool
	// sentAt is when the latest call that is not a hedge was sent, and expectedTime how long it was expected to
	// take. retryAt is when a hedge that found no connection or budget is retried.
	sentAt       time.Time
	expectedTime time.Duration
	retryAt      time.Time
	// denied is true once the budget refused an extra call that was not deferrable.
	denied bool
	part   *leafcall.Response
	failed bool
	// late is set once the part was late while the search covered enough shards without it. recorded is set once
	// the outcome of the late part is recorded.
	late, recorded bool
}

// event is the end of a call.
type event struct {
	group int
	leaf  catalog.LeafID
	call  *replica.Call
	// elapsed is how long the call took.
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
	remaining := route.EffectiveTimeout(req.Remaining)
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
		r.needed = route.RequiredShards()
	}
	r.refreshTypical()
	return r
}

// refreshTypical updates the typical call time of the route.
func (r *run) refreshTypical() { r.typical = r.e.table.TypicalTime(r.route.Name, r.estimate) }

// serve runs the request until it is answered.
func (r *run) serve() *Answer {
	defer r.finish()
	if r.caller.Err() != nil {
		return r.callerGone()
	}
	for i := range r.groups {
		r.e.budgets.Request(r.groups[i].service)
	}
	if a := r.refuseUnreachable(); a != nil {
		return a
	}
	if a := r.refuseOverload(); a != nil {
		return a
	}
	if a := r.refuseBusyProcessor(time.Now()); a != nil {
		return a
	}
	sendStart := time.Now()
	for i := range r.groups {
		if !r.groups[i].failed {
			r.send(i)
		}
	}
	sending := time.Since(sendStart) // no events are read during this time
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.refreshTypical()
		r.judgement = nil
		if a := r.finalAnswer(time.Now()); a != nil {
			return a
		}
		waitStart := time.Now()
		wait := r.untilDue(waitStart)
		timer.Reset(wait)
		select {
		case ev := <-r.events:
			if r.callerLeft() {
				return r.callerGone()
			}
			r.handle(ev)
		case <-timer.C:
			now := time.Now()
			delay := now.Sub(waitStart) - wait
			r.e.lag.observe(delay)
			if r.callerLeft() {
				return r.callerGone()
			}
			r.runDue(now, delay+sending)
			sending = 0
		case <-r.caller.Done():
			return r.callerGone()
		}
	}
}

// callerCheckLag is the scheduling lag from which the caller's connection is asked whether it has been closed: the close may
// have been waiting to be read for as long.
const callerCheckLag = 50 * time.Millisecond

// callerLeft reports whether the caller has left, before anything more is sent for it.
func (r *run) callerLeft() bool {
	if r.caller.Err() != nil {
		return true
	}
	return r.req.CallerLeft != nil && r.e.lag.now() >= callerCheckLag && r.req.CallerLeft()
}

// callerGone ends the calls and returns the outcome of a request whose caller has left.
func (r *run) callerGone() *Answer {
	r.cancel()
	return r.answer(&Answer{Outcome: CallerGone, Reason: ReasonCallerGone})
}

// finish lets the calls in flight end on their own for the grace period, then cancels them.
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

// finalAnswer returns the answer once waiting cannot improve it, and nil until then.
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

// failedAnswer returns the final answer of a request that cannot be served. It says NotRun only if that is
// certain.
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
		switch reason {
		case ReasonNoLeaf:
			after = retryNoLeaf
		case ReasonCrashedLeaves:
			after = retryCrashing
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

// failGroup marks a group as failed.
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
