package search

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quarantine"
)

// maxFirst is how many leaves in the whole fleet may be asked first for one request, and so the
// most that it can crash: every gather ranks the leaves alike.
const maxFirst = 3

// trial is the first run of a request that no leaf has answered yet: one leaf at a time, chosen by
// rank among few, until one answers.
type trial struct {
	r *run
	// steps are the leaves in the order in which they are asked.
	steps []firstStep
	// solo is true for a suspect: it runs beside no other unproven request and isn't hedged.
	solo    bool
	active  int
	hedgeAt time.Time
	// last is the end of the latest call that failed.
	last failure
	peer string
}

// firstStep is one leaf that may be asked first, with a shard that it holds.
type firstStep struct {
	leaf  string
	shard int
	// used is true once it was asked; silent where its connection went silent then, after which it
	// is asked once more.
	used, silent bool
}

func newTrial(r *run, solo bool) *trial {
	return &trial{r: r, solo: solo, steps: firstSteps(r)}
}

// firstSteps ranks the leaves of the snapshot, takes the best of each availability zone, and finds
// a shard for each.
func firstSteps(r *run) []firstStep {
	version := r.plan.snapshot.Version
	shardOf := make(map[string]int)
	byZone := make(map[string][]string)
	for i := range r.shards {
		for _, l := range r.shards[i].listed {
			if _, seen := shardOf[l]; seen {
				continue
			}
			shardOf[l] = i
			if leaf := r.q.service.Leaves[l]; leaf != nil {
				byZone[leaf.Zone] = append(byZone[leaf.Zone], l)
			}
		}
	}
	place := func(leaf string) quarantine.Place {
		p := r.e.guard.Place(leaf, r.key.Digest)
		if p == quarantine.PlaceFree && !r.fleet.usable(leaf, version) {
			return quarantine.PlaceAbsent
		}
		return p
	}
	k := ranking{digest: r.key.Digest, byZone: byZone, shardOf: shardOf, place: place}
	var steps []firstStep
	for _, l := range k.first(r.e.source.Current().Zone) {
		steps = append(steps, firstStep{leaf: l, shard: shardOf[l]})
	}
	return steps
}

// ranking says which leaves may be asked first for a request.
type ranking struct {
	digest uint64
	// byZone holds the leaves of each availability zone, shardOf a shard that each has.
	byZone  map[string][]string
	shardOf map[string]int
	place   func(leaf string) quarantine.Place
}

// places gives maxFirst places, zone by zone, to the leaf that ranks highest among those of shards
// without a place, so that a crashing request can't end a whole group; among all where each shard
// has one. Every gather gives the same places.
func (k ranking) places() []string {
	zones := slices.SortedFunc(maps.Keys(k.byZone), k.byRank)
	left := make(map[string][]string, len(zones))
	for z, leaves := range k.byZone {
		sorted := slices.SortedFunc(slices.Values(leaves), k.byRank)
		left[z] = slices.DeleteFunc(sorted, func(l string) bool { return k.place(l) == quarantine.PlaceAbsent })
	}
	var places []string
	taken := make(map[int]bool)
	for more := true; more; {
		more = false
		for _, z := range zones {
			if len(left[z]) == 0 || len(places) == maxFirst {
				continue
			}
			i := max(0, slices.IndexFunc(left[z], func(l string) bool { return !taken[k.shardOf[l]] }))
			l := left[z][i]
			left[z] = slices.Delete(left[z], i, i+1)
			places = append(places, l)
			taken[k.shardOf[l]] = true
			more = true
		}
	}
	return places
}

// first returns the leaves with a place that may be asked now, those of the own availability zone
// in front.
func (k ranking) first(own string) []string {
	var near, far []string
	for _, l := range k.places() {
		switch {
		case k.place(l) != quarantine.PlaceFree:
		case slices.Contains(k.byZone[own], l):
			near = append(near, l)
		default:
			far = append(far, l)
		}
	}
	return append(near, far...)
}

func (k ranking) byRank(a, b string) int {
	if c := cmp.Compare(quarantine.Rank(k.digest, b), quarantine.Rank(k.digest, a)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// advance asks the next leaf where it is time to, and ends the run where none is left.
func (t *trial) advance() {
	now := time.Now()
	if t.active > 0 && (t.solo || now.Before(t.hedgeAt)) {
		return
	}
	if !t.allowed() {
		return
	}
	open := t.open()
	blocked := len(open) > 0
	if t.ask(open) {
		return
	}
	t.hedgeAt = now.Add(t.r.q.replicas.HedgeAfter(t.leaves()))
	if t.active == 0 && !(blocked && t.r.wait(t.leaves())) {
		t.fail(blocked)
	}
}

// allowed looks at how the request stands by now: what other searches with the same text met may
// have proven it, made it a suspect or put it in quarantine since.
func (t *trial) allowed() bool {
	switch standing, after := t.r.e.guard.Standing(t.r.key); standing {
	case quarantine.Quarantined:
		t.r.refused = outcome.NotRun(pb.Reason_REASON_QUARANTINED, Step, "the request was in flight at several upstream crashes").
			At(t.peer).After(after)
		return false
	case quarantine.Proven:
		t.r.release()
		return false
	case quarantine.Doubted:
		if t.active == 0 && !t.r.wait(t.leaves()) {
			t.fail(true)
		}
		return false
	case quarantine.Suspect:
		t.solo = true
		return t.active == 0
	}
	return true
}

// open returns the leaves that may be asked now. Beside a call in flight a step of another shard is a
// call that the query needs anyway; one of the same shard is an extra call, which the hedge budget has
// to allow, and is thought of only where there is no other.
func (t *trial) open() []string {
	var needed, extra []string
	for i := range t.steps {
		s := &t.steps[i]
		switch {
		case s.used || !t.r.fleet.usable(s.leaf, t.r.plan.snapshot.Version):
		case t.r.shards[s.shard].active == 0:
			needed = append(needed, s.leaf)
		default:
			extra = append(extra, s.leaf)
		}
	}
	if len(needed) == 0 && len(extra) > 0 && t.r.q.replicas.AllowHedge(t.r.q.kind.HedgeBudget) {
		return extra
	}
	return needed
}

// ask sends the first call to the leaf among those open that the balancer picks, so that a slow one
// isn't asked first for its rank; false where there is no room for it now.
func (t *trial) ask(open []string) bool {
	guard := t.r.e.guard
	for len(open) > 0 {
		call, ok := t.r.q.replicas.Pick(open)
		if !ok {
			return false
		}
		leaf := call.Leaf()
		if guard.Enter(leaf, t.solo) {
			t.sent(leaf, call)
			return true
		}
		call.Done(balance.ResultNeutral)
		open = slices.DeleteFunc(open, func(l string) bool { return l == leaf })
	}
	return false
}

// sent notes the call. The next leaf is asked once this one takes longer than its group usually
// does; its own usual time would say nothing where it is the slow one.
func (t *trial) sent(leaf string, call balance.Call) {
	i := slices.IndexFunc(t.steps, func(s firstStep) bool { return s.leaf == leaf })
	s := &t.steps[i]
	s.used = true
	t.active++
	t.hedgeAt = time.Now().Add(t.r.q.replicas.HedgeAfter(t.r.shards[s.shard].replicas))
	t.r.launch(s.shard, call, leaf)
}

func (t *trial) leaves() []string {
	list := make([]string, 0, len(t.steps))
	for i := range t.steps {
		list = append(list, t.steps[i].leaf)
	}
	return list
}

// failed goes on after a call of the first run failed.
func (t *trial) failed(ev event) {
	t.active--
	t.last, t.peer = ev.failure, ev.leaf
	if ev.failure == failSilent {
		t.again(ev.leaf)
	}
	if ev.failure == failLost {
		t.solo = true
	}
	t.advance()
}

// again lets a leaf whose connection went silent be asked once more.
func (t *trial) again(leaf string) {
	for i := range t.steps {
		if s := &t.steps[i]; s.leaf == leaf && !s.silent {
			s.used, s.silent = false, true
		}
	}
}

// fail ends the run where no leaf is left to be asked first.
func (t *trial) fail(blocked bool) {
	reason := pb.Reason_REASON_NO_UPSTREAM
	switch {
	case blocked:
		reason = pb.Reason_REASON_OVERLOAD
	case t.peer != "":
		reason = failures[t.last].reason
	}
	t.r.refused = outcome.NotRun(reason, Step, "no leaf answered the first run of the request").
		At(t.peer).After(t.r.e.settings.RetryAfter.D())
}

func (t *trial) due(sooner func(time.Time)) {
	if t.active > 0 && !t.solo {
		sooner(t.hedgeAt)
	}
}
