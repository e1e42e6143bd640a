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

// take goes on after a call has ended.
func (r *run) take(ev event) {
	g := &r.groups[ev.group]
	g.inFlight--
	if ev.err != nil {
		r.takeError(ev, g)
		return
	}
	resp := ev.resp
	switch {
	case resp.NotRun:
		r.note(ev, "refused")
		r.trace.Refusals++
		g.runs--
		g.refusals++
		r.repeat(ev.group, ReasonRefused)
	case !resp.Success():
		r.note(ev, http.StatusText(resp.Status))
		r.trace.Failures++
		r.ran = true
		r.takeFailure(ev, g)
	default:
		r.ran = true
		r.takePart(ev, g)
	}
}

// note keeps a bad call for the record of the request.
func (r *run) note(ev event, what string) {
	r.trace.bad(BadCall{Service: r.groups[ev.group].service, Leaf: ev.leaf, What: what, After: time.Since(r.req.Arrived)})
}

// noteOpen keeps the groups that the answer doesn't wait for any longer.
func (r *run) noteOpen() {
	after := time.Since(r.req.Arrived)
	for i := range r.groups {
		g := &r.groups[i]
		if g.part != nil || g.dead {
			continue
		}
		what := "no answer yet"
		switch {
		case g.inFlight == 0 && g.denied:
			what = "no budget for a repeat"
		case g.inFlight == 0:
			what = "no connection free"
		}
		r.trace.bad(BadCall{Service: g.service, Leaf: g.last, What: what, After: after})
	}
}

// takePart keeps a success; a second one of the same group is dropped.
func (r *run) takePart(ev event, g *group) {
	r.noteLate(g, true, time.Now())
	if g.part != nil {
		return
	}
	r.sizes.add(ev.took, ev.call.Expected())
	g.part, g.pending = ev.resp, false
	r.done++
	if g.dead {
		g.dead = false
		r.dead--
	}
}

// takeFailure handles a leaf's own failure, which counts as run.
func (r *run) takeFailure(ev event, g *group) {
	r.failure = ev.resp
	if !r.route.Idempotent {
		g.part = ev.resp // the one answer that there will be
		return
	}
	if !r.route.Search() && ev.resp.Status < http.StatusInternalServerError {
		g.part = ev.resp // another leaf would say the same
		return
	}
	r.repeat(ev.group, ReasonLost)
}

// takeError handles a call without an answer.
func (r *run) takeError(ev event, g *group) {
	var e *leafcall.Error
	if !errors.As(ev.err, &e) || e.Sent {
		r.note(ev, ev.err.Error())
		r.trace.Failures++
		r.ran = true
		r.repeat(ev.group, ReasonLost)
		return
	}
	g.runs--
	if e.Cause == leafcall.ConnectionFull {
		g.tried = slices.DeleteFunc(g.tried, func(id catalog.LeafID) bool { return id == ev.leaf })
	} else {
		r.note(ev, string(e.Cause))
	}
	r.send(ev.group)
}

// send sends the first call of a group, also in place of one that reached no leaf, which takes nothing
// from the budget.
func (r *run) send(i int) {
	g := &r.groups[i]
	if g.part != nil || g.inFlight > 0 {
		return
	}
	from := r.candidates(g)
	if len(from) == 0 {
		r.kill(g, ReasonNoLeaf)
		return
	}
	r.launch(i, r.free(from))
}

// repeat sends a group's call to another leaf where the request, its attempts and the budget allow it.
func (r *run) repeat(i int, why Reason) {
	g := &r.groups[i]
	if g.part != nil || g.inFlight > 0 {
		return
	}
	if !r.mayRepeat(g) || len(r.candidates(g)) == 0 {
		r.kill(g, why)
		return
	}
	r.tryRepeat(i)
}

// mayRepeat tells whether another leaf may get the request: one that isn't idempotent only where it has
// surely not run anywhere.
func (r *run) mayRepeat(g *group) bool {
	if !r.route.Idempotent && g.runs > 0 {
		return false
	}
	return g.runs < r.route.MaxAttempts && g.refusals < refusedMost
}

// tryRepeat sends the repeat, or leaves it pending until there is a connection and budget for it.
func (r *run) tryRepeat(i int) {
	g := &r.groups[i]
	from := r.free(r.candidates(g))
	if len(from) == 0 {
		g.pending = true
		return
	}
	now := time.Now()
	g.pending = true
	urgency := r.repeatUrgency(now)
	switch {
	case r.takeExtra(g, urgency):
		r.trace.Repeats++
		r.launch(i, from)
	case !r.route.Search() && !r.e.budgets.Comes(g.service, urgency, r.soft.Sub(now)):
		r.kill(g, ReasonNoBudget)
	}
}

// takeExtra takes an extra call of the group from its service's budget.
func (r *run) takeExtra(g *group, u retrybudget.Urgency) bool {
	if r.e.budgets.Take(g.service, u) {
		return true
	}
	if u != retrybudget.Waiting && !g.denied {
		g.denied = true
		r.trace.Denied++
	}
	return false
}

// repeatUrgency says how much depends on one repeat more. A search that covers enough shards can do
// without it, and one that lacks many more or is late leaves the budget to those that it can still save:
// with repeats for every refused call, five refusing shards of 36 left half of the searches one short.
func (r *run) repeatUrgency(now time.Time) retrybudget.Urgency {
	if !r.route.Search() {
		return retrybudget.Needed
	}
	short := r.lacking(now) - (len(r.groups) - r.needed)
	if short <= 0 || short > shortMost || !now.Before(r.soft) {
		return retrybudget.Optional
	}
	return retrybudget.Needed
}

// lacking counts the groups without a part and without a call that is likely to bring one in time.
func (r *run) lacking(now time.Time) int {
	n := 0
	for i := range r.groups {
		g := &r.groups[i]
		if g.part == nil && (g.dead || g.pending || !g.hedged && !now.Before(r.lateAt(g))) {
			n++
		}
	}
	return n
}

// tick does what is due: calls that wait, and hedges, unless it comes late itself.
func (r *run) tick(now time.Time, late time.Duration) {
	for i := range r.groups {
		g := &r.groups[i]
		switch {
		case g.part != nil || g.dead:
		case g.pending && g.refusals+g.runs > 0:
			r.tryRepeat(i)
		case g.pending:
			r.send(i)
		case !r.mayHedge(g) || now.Before(r.hedgeDue(g)):
		case late > stoodStill:
			g.retryAt = now.Add(poll)
		default:
			r.hedge(i, now)
		}
	}
}

// untilDue returns how long nothing is due.
func (r *run) untilDue(now time.Time) time.Duration {
	due := r.deadline
	switch {
	case !r.route.Search():
	case now.Before(r.soft):
		due = r.soft
	case r.done < r.needed:
		due = earlier(due, now.Add(settlePoll))
	}
	for i := range r.groups {
		g := &r.groups[i]
		switch {
		case g.part != nil || g.dead:
		case g.pending:
			due = earlier(due, now.Add(poll))
		case r.mayHedge(g):
			due = earlier(due, r.hedgeDue(g))
		}
		if g.part == nil && !g.dead && !g.late && r.mayAnswer() {
			due = earlier(due, r.doubtAt(g))
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
