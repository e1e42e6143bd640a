package dispatch

import (
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// candidates returns the leaves that can still get the group's request, according to the current view and not the
// one at the arrival of the request. These are the ready leaves or, if there are none, the leaves whose entry has
// just expired.
func (r *run) candidates(g *group) []catalog.Leaf {
	view := r.e.directory.Current()
	now := time.Now()
	for _, list := range [][]catalog.Leaf{view.Leaves[g.service], view.Expired[g.service]} {
		out := make([]catalog.Leaf, 0, len(list))
		for _, l := range list {
			if !slices.Contains(g.tried, l.ID) && !r.e.movedLeaves.has(l) && r.mayCall(l, view, now) {
				out = append(out, l)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// withFreeConnection filters the slice in place, keeping the leaves with a free connection.
func (r *run) withFreeConnection(candidates []catalog.Leaf) []catalog.Leaf {
	return slices.DeleteFunc(candidates, func(l catalog.Leaf) bool {
		free, _ := r.e.leaves.Free(l.ID)
		return !free
	})
}

// launch sends a call of the group to the best of the given leaves. If there are none, the group stays pending.
func (r *run) launch(i int, candidates []catalog.Leaf) {
	g := &r.groups[i]
	if g.failed {
		return
	}
	if len(candidates) == 0 {
		g.pending = true
		return
	}
	now := time.Now()
	chosen, call := r.e.table.Choose(now, r.route.Name, r.estimate, r.replicaCandidates(candidates))
	leaf := candidates[chosen]
	if !r.takeCold(leaf, now) {
		call.End(replica.Neutral, now)
		r.launch(i, slices.Delete(candidates, chosen, chosen+1))
		return
	}
	g.tried, g.lastLeaf = append(g.tried, leaf.ID), leaf.ID
	g.pending = false
	g.runs++
	g.inFlight++
	r.trace.Calls++
	if !g.hedged {
		g.sentAt, g.expectedTime = now, call.Expected()
	}
	r.e.calls.Add(1)
	go r.call(i, leaf, call, r.repeated)
}

func (r *run) replicaCandidates(candidates []catalog.Leaf) []replica.Candidate {
	out := make([]replica.Candidate, 0, len(candidates))
	for _, l := range candidates {
		_, open := r.e.leaves.Free(l.ID)
		out = append(out, replica.Candidate{ID: l.ID, Slots: l.Slots, WarmingUp: l.Warmup > 0, SameZone: l.Zone == r.e.zone, Connected: open})
	}
	return out
}

// call makes one call and passes its end to the run if the run has not ended yet. repeated is set if
// the request was known to have been in flight at the end of a leaf when the call was sent.
func (r *run) call(i int, leaf catalog.Leaf, call *replica.Call, repeated bool) {
	defer r.e.calls.Done()
	resp, err := r.e.leaves.Do(r.ctx, leaf.ID, &leafcall.Request{
		ID: r.req.ID, Method: r.req.Method, Target: r.req.Target, Host: r.req.Host, Header: r.req.Header, Body: r.req.Body,
		Remaining: time.Until(r.deadline) + answerMargin, Leaf: leaf.ID.Name,
	})
	r.recordCallEnd(leaf, call, repeated, resp, err)
	select {
	case r.events <- event{group: i, leaf: leaf.ID, call: call, elapsed: call.Elapsed(time.Now()), resp: resp, err: err}:
	case <-r.ended:
		r.recordUnawaitedPart(i, resp)
	}
}
