package dispatch

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/overload"
)

// maxPriority is the least urgent priority. Larger values are reduced to it.
const maxPriority = 63

// PriorityOf returns the priority of the route within its bounds.
func PriorityOf(route *catalog.Route) int { return min(max(route.Priority, 0), maxPriority) }

// refuseBusyProcessor refuses a request that would wait too long for the processor of this VM, before its first call.
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
	return r.answer(&Answer{Outcome: NotRun, Reason: reason, RetryAfter: max(d.RetryAfter, retryRefused)})
}
