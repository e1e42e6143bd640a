package dispatch

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/retrybudget"
)

// handle processes the end of a call.
func (r *run) handle(ev event) {
	g := &r.groups[ev.group]
	g.inFlight--
	if ev.err != nil {
		r.handleError(ev, g)
		return
	}
	resp := ev.resp
	switch {
	case resp.NotRun:
		r.noteBadCall(ev, "refused")
		r.trace.Refusals++
		g.runs--
		g.refusals++
		r.repeat(ev.group, ReasonRefused)
	case resp.Invalid():
		r.noteBadCall(ev, "invalid answer: "+http.StatusText(resp.Status))
		r.trace.Failures++
		r.ran = true
		r.repeat(ev.group, ReasonInvalidAnswer)
	case !resp.Success():
		r.noteBadCall(ev, http.StatusText(resp.Status))
		r.trace.Failures++
		r.ran = true
		r.handleFailure(ev, g)
	default:
		r.ran = true
		r.handlePart(ev, g)
	}
}

// noteBadCall adds a bad call to the trace of the request.
func (r *run) noteBadCall(ev event, problem string) {
	r.trace.addBadCall(BadCall{Service: r.groups[ev.group].service, Leaf: ev.leaf, Problem: problem, After: time.Since(r.req.Arrived)})
}

// noteOpenGroups adds the groups without a part that the answer no longer waits for to the trace.
func (r *run) noteOpenGroups() {
	after := time.Since(r.req.Arrived)
	for i := range r.groups {
		g := &r.groups[i]
		if g.part != nil || g.failed {
			continue
		}
		problem := "no answer yet"
		switch {
		case g.inFlight == 0 && g.denied:
			problem = "no budget for a repeat"
		case g.inFlight == 0:
			problem = "no connection free"
		}
		r.trace.addBadCall(BadCall{Service: g.service, Leaf: g.lastLeaf, Problem: problem, After: after})
	}
}

// handlePart stores a successful response. A second success of the same group is dropped.
func (r *run) handlePart(ev event, g *group) {
	r.recordLatePart(g, true, time.Now())
	if g.part != nil {
		return
	}
	r.ratios.add(ev.elapsed, ev.call.Expected())
	g.part, g.pending = ev.resp, false
	r.answeredGroups++
	if g.failed {
		g.failed = false
		r.failedGroups--
	}
}

// handleFailure handles a failure response of a leaf, which counts as run.
func (r *run) handleFailure(ev event, g *group) {
	r.failure = ev.resp
	if !r.route.Idempotent {
		g.part = ev.resp // not idempotent: there will be no other answer
		return
	}
	if !r.route.Search() && ev.resp.Status < http.StatusInternalServerError {
		g.part = ev.resp // another leaf would answer the same
		return
	}
	r.repeat(ev.group, ReasonConnectionLost)
}

// handleError handles a call that ended without an answer.
func (r *run) handleError(ev event, g *group) {
	var e *leafcall.Error
	if !errors.As(ev.err, &e) || e.Sent {
		r.noteBadCall(ev, ev.err.Error())
		r.trace.Failures++
		r.ran = true
		r.repeat(ev.group, ReasonConnectionLost)
		return
	}
	g.runs--
	if e.Cause == leafcall.ConnectionFull {
		g.tried = slices.DeleteFunc(g.tried, func(id catalog.LeafID) bool { return id == ev.leaf })
	} else {
		r.noteBadCall(ev, string(e.Cause))
	}
	r.send(ev.group)
}

// send sends the first call of a group, or replaces a call that reached no leaf. The replacement takes nothing
// from the budget.
func (r *run) send(i int) {
	g := &r.groups[i]
	if g.part != nil || g.inFlight > 0 {
		return
	}
	candidates := r.candidates(g)
	if len(candidates) == 0 {
		r.failGroup(g, ReasonNoLeaf)
		return
	}
	r.launch(i, r.usable(i, candidates))
}

// repeat sends a group's call to another leaf if the request, its attempts and the budget allow it. The group fails
// with the given reason if the request or its attempts do not allow it or no leaf remains.
func (r *run) repeat(i int, reason Reason) {
	g := &r.groups[i]
	if g.part != nil || g.inFlight > 0 {
		return
	}
	if !r.canRepeat(g) || len(r.candidates(g)) == 0 {
		r.failGroup(g, reason)
		return
	}
	r.tryRepeat(i)
}

// canRepeat reports whether another leaf may get the request. A request that is not idempotent is repeated only if
// it has certainly not run anywhere.
func (r *run) canRepeat(g *group) bool {
	if !r.route.Idempotent && g.runs > 0 {
		return false
	}
	return g.runs < r.route.MaxAttempts && g.refusals < maxRefusals
}

// tryRepeat sends the repeat, or leaves it pending until there is a free connection and budget for it.
func (r *run) tryRepeat(i int) {
	g := &r.groups[i]
	candidates := r.usable(i, r.candidates(g))
	if g.failed {
		return
	}
	if len(candidates) == 0 {
		g.pending = true
		return
	}
	now := time.Now()
	g.pending = true
	urgency := r.repeatUrgency(now)
	switch {
	case r.takeExtraCall(g, urgency):
		r.trace.Repeats++
		r.launch(i, candidates)
	case !r.route.Search() && !r.e.budgets.AvailableWithin(g.service, urgency, r.softDeadline.Sub(now)):
		r.failGroup(g, ReasonNoBudget)
	}
}

// takeExtraCall takes an extra call for the group from the budget of its service.
func (r *run) takeExtraCall(g *group, u retrybudget.Urgency) bool {
	if r.e.budgets.Take(g.service, u) {
		return true
	}
	if u != retrybudget.Deferrable && !g.denied {
		g.denied = true
		r.trace.Denied++
	}
	return false
}

// repeatUrgency returns how much depends on one more repeat. A search that already covers enough shards can do
// without it. A search that lacks many more shards, or is late, leaves the budget to searches that a repeat can
// still save: with a repeat for every refused call, five refusing shards of 36 left half of the searches one shard
// short.
func (r *run) repeatUrgency(now time.Time) retrybudget.Urgency {
	if !r.route.Search() {
		return retrybudget.Needed
	}
	shortfall := r.countLacking(now) - (len(r.groups) - r.needed)
	if shortfall <= 0 || shortfall > maxShortfall || !now.Before(r.softDeadline) {
		return retrybudget.Optional
	}
	return retrybudget.Needed
}

// countLacking counts the groups without a part and without a call that is likely to bring one in time.
func (r *run) countLacking(now time.Time) int {
	n := 0
	for i := range r.groups {
		g := &r.groups[i]
		if g.part == nil && (g.failed || g.pending || !g.hedged && !now.Before(r.lateAt(g))) {
			n++
		}
	}
	return n
}

// runDue sends the pending calls and the hedges that are due. It sends no hedges if it runs late itself.
func (r *run) runDue(now time.Time, delay time.Duration) {
	for i := range r.groups {
		g := &r.groups[i]
		switch {
		case g.part != nil || g.failed:
		case g.pending && g.refusals+g.runs > 0:
			r.tryRepeat(i)
		case g.pending:
			r.send(i)
		case !r.canHedge(g) || now.Before(r.hedgeDue(g)):
		case delay > hedgeMaxLag:
			g.retryAt = now.Add(retryPoll)
		default:
			r.hedge(i, now)
		}
	}
}

// untilDue returns the time until the next action is due.
func (r *run) untilDue(now time.Time) time.Duration {
	due := r.deadline
	switch {
	case !r.route.Search():
	case now.Before(r.softDeadline):
		due = r.softDeadline
	case r.answeredGroups < r.needed:
		due = earlier(due, now.Add(unresponsivePoll))
	}
	for i := range r.groups {
		g := &r.groups[i]
		switch {
		case g.part != nil || g.failed:
		case g.pending:
			due = earlier(due, now.Add(retryPoll))
		case r.canHedge(g):
			due = earlier(due, r.hedgeDue(g))
		}
		if g.part == nil && !g.failed && !g.late && r.coversEnough() {
			due = earlier(due, r.overdueAt(g))
		}
	}
	return max(0, due.Sub(now))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
