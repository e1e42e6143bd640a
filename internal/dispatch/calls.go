package dispatch

import (
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// candidates returns the leaves of the group that may get the request yet, by what is known now, not
// when the request came: those that are ready, or where there is none those whose entry lapsed a
// moment ago.
func (r *run) candidates(g *group) []catalog.Leaf {
	view := r.e.directory.Current()
	for _, list := range [][]catalog.Leaf{view.Leaves[g.service], view.Expired[g.service]} {
		out := make([]catalog.Leaf, 0, len(list))
		for _, l := range list {
			if !slices.Contains(g.tried, l.ID) && !r.e.moved.has(l) {
				out = append(out, l)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// free keeps, in place, the leaves to which a connection is free.
func (r *run) free(from []catalog.Leaf) []catalog.Leaf {
	return slices.DeleteFunc(from, func(l catalog.Leaf) bool {
		free, _ := r.e.leaves.Free(l.ID)
		return !free
	})
}

// launch sends a call of the group to the best of the leaves; without any it stays pending.
func (r *run) launch(i int, from []catalog.Leaf) {
	g := &r.groups[i]
	if len(from) == 0 {
		g.pending = true
		return
	}
	now := time.Now()
	chosen, call := r.e.table.Choose(now, r.route.Name, r.guess, r.candidatesOf(from))
	leaf := from[chosen]
	g.tried, g.last = append(g.tried, leaf.ID), leaf.ID
	g.pending = false
	g.runs++
	g.inFlight++
	r.trace.Calls++
	if !g.hedged {
		g.begun, g.expected = now, call.Expected()
	}
	r.e.flights.Add(1)
	go r.call(i, leaf, call)
}

func (r *run) candidatesOf(from []catalog.Leaf) []replica.Candidate {
	out := make([]replica.Candidate, 0, len(from))
	for _, l := range from {
		_, open := r.e.leaves.Free(l.ID)
		out = append(out, replica.Candidate{ID: l.ID, Slots: l.Slots, Cold: l.Warmup > 0, Near: l.Zone == r.e.zone, Open: open})
	}
	return out
}

// call makes one call and hands its end to the run, if that still goes on.
func (r *run) call(i int, leaf catalog.Leaf, call *replica.Call) {
	defer r.e.flights.Done()
	resp, err := r.e.leaves.Do(r.ctx, leaf.ID, &leafcall.Request{
		ID: r.req.ID, Method: r.req.Method, Target: r.req.Target, Host: r.req.Host, Header: r.req.Header, Body: r.req.Body,
		Remaining: time.Until(r.deadline) + answerMargin, Leaf: leaf.ID.Name,
	})
	r.learn(leaf, call, resp, err)
	select {
	case r.events <- event{group: i, leaf: leaf.ID, call: call, took: call.Took(time.Now()), resp: resp, err: err}:
	case <-r.over:
		r.learnLate(i, resp)
	}
}
