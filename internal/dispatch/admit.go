package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/overload"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// admit returns the answer of a request that is refused before its first call, or nil if its calls are to be sent.
func (r *run) admit() *Answer {
	if a := r.dropEnded(time.Now()); a != nil {
		return a
	}
	if a := r.refuseUnreachable(); a != nil {
		return a
	}
	if a := r.refuseBusyProcessor(time.Now()); a != nil {
		return a
	}
	if a := r.refuseBusyLeaves(time.Now()); a != nil {
		return a
	}
	return r.dropEnded(time.Now())
}

// dropEnded returns the answer of a request whose caller is gone or whose time is over. It must be called before the
// first call only.
func (r *run) dropEnded(now time.Time) *Answer {
	switch {
	case r.caller.Err() != nil:
		return r.answer(&Answer{Outcome: CallerGone, Reason: ReasonCallerGone})
	case !now.Before(r.deadline):
		return r.answer(&Answer{Outcome: NotRun, Reason: ReasonDeadline, RetryAfter: withJitter(retryRefused)})
	}
	return nil
}

// refuseBusyProcessor refuses a request that would wait too long for the processor of this VM.
func (r *run) refuseBusyProcessor(now time.Time) *Answer {
	if r.req.Admitted {
		return nil
	}
	d := r.e.gate.Admit(now, overload.Request{
		Route: r.route.Name, Priority: r.route.Priority, Caller: r.req.Caller, Target: r.route.Target,
		Elapsed: now.Sub(r.req.Arrived), Work: overload.Work{Calls: len(r.groups)},
	})
	r.trace.Wait, r.trace.WaitLimit, r.trace.Demand = d.Wait, d.Limit, d.Demand
	if d.Admitted {
		return nil
	}
	reason := ReasonBusyProcessor
	if d.Reason == overload.ReasonCallerShare {
		reason = ReasonCallerShare
	}
	after := d.RetryAfter
	if after <= 0 {
		after = withJitter(retryRefused)
	}
	return r.answer(&Answer{Outcome: NotRun, Reason: reason, RetryAfter: after})
}

// expectedWait is the expected wait for a slot for a group's call.
type expectedWait struct {
	group int
	replica.Wait
}

// refuseBusyLeaves refuses a request immediately if it would wait too long for slots at the leaves. If a search can do
// without the shards that cannot answer in time, it leaves these out instead. Both keep work off leaves that cannot
// do it in time, so that admitted requests are in time.
func (r *run) refuseBusyLeaves(now time.Time) *Answer {
	service := r.groups[0].service
	r.usual = r.e.table.UsualTime(now, r.route.Name, service, r.estimate)
	slack := slackOf(r.route.Target, r.e.transitTime(r.req, r.route.Target), r.usual)
	limit := r.e.sharedLeaves.request(service, r.route, slack, now, rand.Float64())
	waits := r.waits(now, limit.mostUrgent)
	spare := len(r.groups) - r.needed
	if spare < len(waits) {
		longest := waits[spare]
		r.traceWait(longest, limit)
		if !r.fits(longest.Wait, limit.limit, now) {
			r.noteBusy(waits[:spare+1], limit.limit)
			after := r.e.sharedLeaves.retryAfter(service, r.route, now, longest.Expected)
			return r.answer(&Answer{Outcome: NotRun, Reason: ReasonBusyLeaves, RetryAfter: after})
		}
	}
	for _, w := range waits[:min(spare, len(waits))] {
		if r.isInTime(w.Wait, now) || !w.Full && !w.Long {
			continue // also a slow shard without a long queue, which fewer calls would not make faster
		}
		r.failGroup(&r.groups[w.group], ReasonBusyLeaves)
	}
	r.e.sharedLeaves.admitted(service, r.route, now)
	return nil
}

// waits returns the groups whose calls would wait for a slot, the longest wait first. What is unknown of the queues since
// the latest reports counts against all but the most urgent priority: a VM that took an old report for a shorter queue
// admitted them, and others then refused more urgent requests. A single request is never refused for an old report
// alone, since its leaf may have a free slot by now.
func (r *run) waits(now time.Time, mostUrgent bool) []expectedWait {
	var out []expectedWait
	for i := range r.groups {
		candidates := r.candidates(&r.groups[i])
		if len(candidates) == 0 {
			continue
		}
		w := r.waitAt(now, candidates)
		if !mostUrgent && (r.route.Search() || w.Expected > 0) {
			w.Expected = w.Longest
		}
		if w.Full || w.Expected > 0 {
			out = append(out, expectedWait{i, w})
		}
	}
	slices.SortFunc(out, compareWaits)
	return out
}

// compareWaits orders full leaves first, then the longest wait first.
func compareWaits(a, b expectedWait) int {
	switch {
	case a.Full == b.Full:
		return cmp.Compare(b.Expected, a.Expected)
	case a.Full:
		return -1
	}
	return 1
}

// waitAt returns the expected wait for a slot at the best of the leaves.
func (r *run) waitAt(now time.Time, candidates []catalog.Leaf) replica.Wait {
	return r.e.table.Wait(now, r.typical, r.replicaCandidates(candidates))
}

// fits reports whether a call with the wait is admitted.
func (r *run) fits(w replica.Wait, limit time.Duration, now time.Time) bool {
	return w.Expected <= limit && r.isInTime(w, now)
}

// isInTime reports whether a call with the wait can be answered in time. A call that finds a free slot always can.
func (r *run) isInTime(w replica.Wait, now time.Time) bool {
	if w.Full {
		return false
	}
	return w.Expected <= 0 || w.Expected+r.usual <= r.inTimeUntil().Sub(now)
}

// inTimeUntil returns when an answer has to be made to be in time.
func (r *run) inTimeUntil() time.Time {
	if r.route.Target <= 0 {
		return r.deadline
	}
	return r.softDeadline
}

// traceWait records the wait by which admission decides, unless the wait for the processor was longer.
func (r *run) traceWait(w expectedWait, limit waitLimit) {
	if !w.Full && w.Expected < r.trace.Wait {
		return
	}
	r.trace.Wait, r.trace.WaitLimit, r.trace.Demand = w.Expected, limit.limit, limit.demand
}

// noteBusy records the shards whose leaves are too busy.
func (r *run) noteBusy(waits []expectedWait, limit time.Duration) {
	for _, w := range waits {
		problem := fmt.Sprintf("expected to wait %v of %v", w.Expected, limit)
		if w.Full {
			problem = "all leaves are full"
		}
		r.trace.addBadCall(BadCall{Service: r.groups[w.group].service, Problem: problem})
	}
}
