package search

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
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
	stand := func(leaf string) firstStanding {
		switch {
		case r.e.guard.Held(leaf, r.key.Digest):
			return firstHeld
		case r.fleet.usable(leaf, version):
			return firstFree
		}
		return firstAbsent
	}
	var steps []firstStep
	for _, l := range rankLeaves(r.key.Digest, byZone, r.e.source.Current().Zone, stand) {
		steps = append(steps, firstStep{leaf: l, shard: shardOf[l]})
	}
	return steps
}

// firstStanding says whether a leaf may be asked first.
type firstStanding int

const (
	// firstFree: it may be asked.
	firstFree firstStanding = iota
	// firstHeld: it was lost so lately that the request may be why. It keeps its place, so that the
	// next in rank isn't crashed in its stead.
	firstHeld
	// firstAbsent: it is out of use for longer, or leaves; the next in rank takes its place.
	firstAbsent
)

// rankLeaves gives maxFirst places to the highest ranked leaves zone by zone, and returns those
// that may be asked, of the own availability zone in front. Every gather gives the same places.
func rankLeaves(digest uint64, byZone map[string][]string, own string, stand func(string) firstStanding) []string {
	byRank := func(a, b string) int {
		if c := cmp.Compare(quarantine.Rank(digest, b), quarantine.Rank(digest, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	}
	var present [][]string
	for _, z := range slices.SortedFunc(maps.Keys(byZone), byRank) {
		leaves := slices.DeleteFunc(slices.SortedFunc(slices.Values(byZone[z]), byRank), func(l string) bool { return stand(l) == firstAbsent })
		present = append(present, leaves)
	}
	var places []string
	for rank := 0; len(places) < maxFirst; rank++ {
		before := len(places)
		for _, leaves := range present {
			if rank < len(leaves) && len(places) < maxFirst {
				places = append(places, leaves[rank])
			}
		}
		if len(places) == before {
			break
		}
	}
	near := func(l string) bool { return slices.Contains(byZone[own], l) }
	places = slices.DeleteFunc(places, func(l string) bool { return stand(l) == firstHeld })
	slices.SortStableFunc(places, func(a, b string) int {
		switch {
		case near(a) && !near(b):
			return -1
		case near(b) && !near(a):
			return 1
		}
		return 0
	})
	return places
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
	blocked := false
	for i := range t.steps {
		s := &t.steps[i]
		if s.used || !t.r.fleet.usable(s.leaf, t.r.plan.snapshot.Version) || !t.affordable(s) {
			continue
		}
		if t.ask(s) {
			return
		}
		blocked = true
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
	case quarantine.Suspect:
		t.solo = true
		return t.active == 0
	}
	return true
}

// affordable tells whether asking the step costs no extra call, or the hedge budget has one: beside
// a call in flight a step of another shard is a call that the query needs anyway.
func (t *trial) affordable(s *firstStep) bool {
	return t.r.shards[s.shard].active == 0 || t.r.q.replicas.AllowHedge(t.r.q.kind.HedgeBudget)
}

// ask sends the first call to the leaf of the step; false where there is no room for it now.
func (t *trial) ask(s *firstStep) bool {
	guard := t.r.e.guard
	if !guard.Enter(s.leaf, t.solo) {
		return false
	}
	call, ok := t.r.q.replicas.Pick([]string{s.leaf})
	if !ok {
		guard.Leave(s.leaf)
		return false
	}
	s.used = true
	t.active++
	t.hedgeAt = time.Now().Add(t.r.q.replicas.HedgeAfter([]string{s.leaf}))
	t.r.launch(s.shard, call, s.leaf)
	return true
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
