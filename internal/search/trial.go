package search

import (
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quarantine"
)

// trial is the first run of a request that no leaf has answered yet: one leaf at a time, chosen by
// rank among few, until one answers.
type trial struct {
	r       *run
	ranking ranking
	// fixed are the places by rank alone, whatever state the leaves are in. Only they may be asked
	// beside a call in flight or by a suspect, so that the whole fleet asks no other leaf while the
	// request may crash it, even where the gathers see different leaves.
	fixed []ranked
	// used are the leaves asked; silent those whose connection went silent then, after which they
	// are asked once more.
	used, silent map[string]bool
	// solo is true for a suspect: it runs beside no other unproven request and isn't hedged.
	solo bool
	// answered is true where a leaf has answered the very request here before. It doesn't crash each leaf that
	// runs it, so that it isn't bound to places: it passes over leaves that were lost just now. known is true where
	// one has answered the text, for another number of hits maybe.
	answered, known bool
	active          int
	hedgeAt         time.Time
	// last is the end of the latest call that failed, peer its leaf.
	last failure
	peer string
}

func newTrial(r *run, solo bool) *trial {
	t := &trial{
		r: r, solo: solo, ranking: newRanking(r), used: make(map[string]bool), silent: make(map[string]bool),
	}
	t.answered, t.known = r.e.guard.Answered(r.key)
	t.fixed = t.ranking.fixed()
	return t
}

// advance asks the next leaf where it is time to, and ends the run where none is left.
func (t *trial) advance() {
	if t.active > 0 && (t.solo || time.Now().Before(t.hedgeAt)) || !t.allowed() {
		return
	}
	open, waitFor := t.sort(t.candidates())
	if t.ask(open) {
		return
	}
	t.r.idle(t.active == 0 && len(open) == 0 && len(waitFor) > 0)
	for _, l := range open {
		waitFor = append(waitFor, l.leaf)
	}
	if t.active > 0 {
		t.hedgeAt = time.Now().Add(t.r.q.replicas.HedgeAfter(t.leaves()))
		return
	}
	if len(waitFor) == 0 || !t.r.wait(waitFor) {
		t.fail(len(waitFor) > 0)
	}
}

// allowed looks at how the request stands by now: what other searches with the same text met may
// have proven it, made it a suspect or put it in quarantine since.
func (t *trial) allowed() bool {
	switch standing, after := t.r.e.guard.Standing(t.r.key); standing {
	case quarantine.Quarantined:
		t.r.refused = quarantined(after).WithPeer(t.peer)
		return false
	case quarantine.Proven:
		t.r.release()
		return false
	case quarantine.Doubted:
		t.r.idle(t.active == 0)
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

// candidates returns the leaves with a place, near ones first. A leaf that is out of use for long
// leaves its place to the next in rank, but not beside a call in flight, nor where it crashed with the request. A
// suspect that no leaf has answered keeps to the fixed ones: a leaf that crashes just now may pass for out of use.
func (t *trial) candidates() []ranked {
	own := t.r.e.source.Current().Zone
	if t.answered {
		if free := t.free(); len(free) > 0 {
			return nearFirst(free, own)
		}
	}
	crashed := t.r.e.guard.CrashedAt(t.r.key.Digest)
	absent := func(l string) bool { return t.place(l) == quarantine.PlaceAbsent && !slices.Contains(crashed, l) }
	places := slices.Clone(t.fixed)
	if t.active == 0 && (t.known || !t.solo) {
		places = t.ranking.places(absent)
	}
	if t.solo {
		return nearFirst(t.unharmed(places, crashed), own)
	}
	if len(places) == 0 {
		places = t.ranking.nearest(own, absent)
	}
	return nearFirst(places, own)
}

// free returns the leaves with a place where all that can't be asked now leave theirs to the next in rank; none
// beside a call in flight.
func (t *trial) free() []ranked {
	if t.active > 0 {
		return nil
	}
	return t.ranking.places(func(l string) bool { return t.used[l] || t.place(l) != quarantine.PlaceFree })
}

// unharmed drops the leaves that crashed with the request in flight, unless all did that have a place by rank.
func (t *trial) unharmed(places []ranked, crashed []string) []ranked {
	harmed := func(p ranked) bool { return slices.Contains(crashed, p.leaf) }
	if !slices.ContainsFunc(t.fixed, func(p ranked) bool { return !harmed(p) }) {
		return places
	}
	return slices.DeleteFunc(slices.Clone(places), harmed)
}

// place says how a leaf stands for the first run. Whether it is of use is looked at first: a leaf that crashes
// between the two looks is found lost by the second and keeps its place, where the other way round it passed for
// out of use and the next in rank was asked, and crashed, in its stead.
func (t *trial) place(leaf string) quarantine.Place {
	usable := t.r.fleet.usable(leaf, t.r.plan.snapshot.Version)
	p := t.r.e.guard.Place(leaf, t.r.key.Digest)
	switch {
	case p == quarantine.PlaceFree && !usable:
		return quarantine.PlaceAbsent
	case p == quarantine.PlaceAbsent && t.solo && t.r.e.guard.HeldFor(leaf, t.r.key.Digest) > 0:
		return quarantine.PlaceHeld // no other may take its place, so it is waited for
	}
	return p
}

// sort returns the leaves that may be asked now, and those whose hold ends in time. Beside a call in
// flight a leaf of another shard is one that the query needs anyway; one of the same shard is an extra
// call, which the hedge budget has to allow, and is thought of only where there is no other.
func (t *trial) sort(candidates []ranked) (open []ranked, held []string) {
	var extra []ranked
	for _, l := range candidates {
		place := t.place(l.leaf)
		switch {
		case t.used[l.leaf], place == quarantine.PlaceAbsent:
		case place == quarantine.PlaceHeld:
			if time.Until(t.r.q.deadline) > t.r.e.guard.HeldFor(l.leaf, t.r.key.Digest) {
				held = append(held, l.leaf)
			}
		case t.r.shards[l.shard].active > 0:
			extra = append(extra, l)
		default:
			open = append(open, l)
		}
	}
	if len(open) == 0 && len(extra) > 0 && t.r.q.replicas.AllowHedge(t.r.q.kind.HedgeBudget) {
		return extra, held
	}
	return open, held
}

// ask sends the first call to the leaf among those open that the balancer picks, so that a slow one
// isn't asked first for its rank; false where there is no room for it now.
func (t *trial) ask(open []ranked) bool {
	byLeaf := make(map[string]ranked, len(open))
	names := make([]string, 0, len(open))
	for _, l := range open {
		byLeaf[l.leaf] = l
		names = append(names, l.leaf)
	}
	for len(names) > 0 {
		call, ok := t.r.q.replicas.Pick(names)
		if !ok {
			return false
		}
		leaf := call.Leaf()
		if t.r.e.guard.Enter(leaf, t.solo) {
			t.sent(byLeaf[leaf], call)
			return true
		}
		call.Done(balance.ResultNeutral)
		names = slices.DeleteFunc(names, func(l string) bool { return l == leaf })
	}
	return false
}

// sent notes the call. The next leaf is asked once this one takes longer than its group usually
// does; its own usual time would say nothing where it is the slow one.
func (t *trial) sent(l ranked, call balance.Call) {
	t.used[l.leaf] = true
	t.active++
	t.r.idle(false)
	t.hedgeAt = time.Now().Add(t.r.hedgeAfter(&t.r.shards[l.shard], call))
	t.r.launch(l.shard, call, l.leaf)
}

func (t *trial) leaves() []string {
	list := make([]string, 0, len(t.fixed))
	for _, l := range t.fixed {
		list = append(list, l.leaf)
	}
	return list
}

// failed goes on after a call of the first run failed.
func (t *trial) failed(ev event) {
	t.active--
	t.last, t.peer = ev.failure, ev.leaf
	switch {
	case ev.failure == failLost:
		t.solo = true
	case ev.failure == failSilent && !t.silent[ev.leaf]:
		t.silent[ev.leaf] = true
		delete(t.used, ev.leaf)
	}
	t.advance()
}

// fail ends the run where no leaf is left to be asked first.
func (t *trial) fail(blocked bool) {
	reason, after := pb.Reason_REASON_NO_UPSTREAM, t.r.e.settings.RetryAfter.D()
	switch {
	case blocked:
		reason = pb.Reason_REASON_OVERLOAD
	case t.peer != "":
		reason = failures[t.last].reason
	case t.solo && !t.known:
		reason = pb.Reason_REASON_QUARANTINED
	}
	if !blocked {
		after = max(after, t.r.e.guard.Hold())
	}
	t.r.refused = outcome.NotRun(reason, Step, "no leaf answered the first run of the request").WithPeer(t.peer).WithRetryAfter(after)
}

func (t *trial) due(sooner func(time.Time)) {
	if t.active > 0 && !t.solo {
		sooner(t.hedgeAt)
	}
}

// quarantined is the refusal of a request that crashed leaves.
func quarantined(after time.Duration) *outcome.Error {
	return outcome.NotRun(pb.Reason_REASON_QUARANTINED, Step, "the request was in flight at several upstream crashes").WithRetryAfter(after)
}
