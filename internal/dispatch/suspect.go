package dispatch

import (
	"cmp"
	"slices"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/crashguard"
	"github.com/burdockplank/burdockplank/internal/rendezvous"
)

// usable returns the leaves among the candidates that may get the group's call now. It fails the group if the request
// is blocked, also for calls that waited meanwhile. All VMs send a suspect request to the same leaf, so that copies of it
// that run at once end one leaf. A suspect search runs on one shard, beside no other, until a leaf has outlived it.
func (r *run) usable(i int, candidates []catalog.Leaf) []catalog.Leaf {
	g := &r.groups[i]
	r.suspect = false
	if r.answered.Load() {
		return r.withFreeConnection(candidates)
	}
	j := r.judge()
	if !j.suspect {
		return r.withFreeConnection(candidates)
	}
	if j.blocked {
		r.failGroup(g, ReasonCrashedLeaves)
		return nil
	}
	r.repeated = true
	suspicion := j.suspicion
	if suspicion.Outlived {
		return r.withFreeConnection(candidates)
	}
	r.suspect = true
	if suspicion.Undecided || r.othersInFlight(i) {
		return nil
	}
	candidates = slices.DeleteFunc(candidates, func(l catalog.Leaf) bool { return slices.Contains(suspicion.Ended, l.ID) })
	if len(candidates) == 0 {
		r.failGroup(g, ReasonNoLeaf)
		return nil
	}
	first := slices.MaxFunc(candidates, r.compareRank)
	return r.withFreeConnection([]catalog.Leaf{first})
}

// judgement is what the crash guard says of a request.
type judgement struct {
	suspicion        crashguard.Suspicion
	suspect, blocked bool
}

// judge returns the judgement of the request, which is made once for all groups that are due at the same event.
func (r *run) judge() *judgement {
	if r.judgement != nil {
		return r.judgement
	}
	j := new(judgement)
	j.suspicion, j.suspect = r.e.crashes.Suspect(r.digest)
	j.blocked = j.suspect && r.e.crashes.Blocked(r.digest)
	r.judgement = j
	return j
}

// othersInFlight reports whether another group has a call in flight, whose end may show what the request does.
func (r *run) othersInFlight(i int) bool {
	for j := range r.groups {
		if j != i && r.groups[j].inFlight > 0 {
			return true
		}
	}
	return false
}

// compareRank compares the ranks of two leaves for the request.
func (r *run) compareRank(a, b catalog.Leaf) int {
	return cmp.Compare(rendezvous.Rank(r.digest, a.ID.String()), rendezvous.Rank(r.digest, b.ID.String()))
}
