package search

import (
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quarantine"
)

// firstRun is the first run of a request that no leaf has answered yet: one leaf at a time, chosen by
// rank among few, until one answers.
type firstRun struct {
	r       *run
	ranking ranking
	// primaries are the places by rank alone, whatever state the leaves are in. Only they may be asked
	// beside a call in flight or by a suspect, so that the whole fleet asks no other leaf while the
	// request may crash it, even where the gathers see different leaves.
	primaries []ranked
	// called are the leaves asked; silent those whose connection went silent then, after which they
	// are asked once more.
	called, silent map[string]bool
	// exclusive is true for a suspect: it runs beside no other unproven request and isn't hedged.
	exclusive bool
	// requestAnswered is true where a leaf has answered the very request here before. It doesn't crash each leaf that
	// runs it, so that it isn't bound to places: it passes over leaves that were lost just now. known is true where
	// one has answered the text, for another number of hits maybe.
	requestAnswered, textAnswered bool
	inFlight                      int
	hedgeAt                       time.Time
	// lastFailure is the end of the latest call that failed, peer its leaf.
	lastFailure failure
	peer        string
}

func newFirstRun(r *run, exclusive bool) *firstRun {
	t := &firstRun{
		r: r, exclusive: exclusive, ranking: newRanking(r), called: make(map[string]bool), silent: make(map[string]bool),
	}
	t.requestAnswered, t.textAnswered = r.e.guard.Answered(r.key)
	t.primaries = t.ranking.primaries()
	return t
}

// advance asks the next leaf where it is time to, and ends the run where none is left.
func (t *firstRun) advance() {
	if t.inFlight > 0 && (t.exclusive || time.Now().Before(t.hedgeAt)) || !t.mayAdvance() {
		return
	}
	callable, waitFor := t.partition(t.candidates())
	if t.tryLaunch(callable) {
		return
	}
	t.r.setBlocked(t.inFlight == 0 && len(callable) == 0 && len(waitFor) > 0)
	for _, l := range callable {
		waitFor = append(waitFor, l.leaf)
	}
	if t.inFlight > 0 {
		t.hedgeAt = time.Now().Add(t.r.q.replicas.HedgeAfter(t.primaryLeaves()))
		return
	}
	if len(waitFor) == 0 || !t.r.awaitSlot(waitFor) {
		t.refuse(len(waitFor) > 0)
	}
}

// mayAdvance looks at how the request stands by now: what other searches with the same text met may
// have proven it, made it a suspect or put it in quarantine since.
func (t *firstRun) mayAdvance() bool {
	switch status, after := t.r.e.guard.Standing(t.r.key); status {
	case quarantine.Quarantined:
		t.r.refusal = quarantineRefusal(after).At(t.peer)
		return false
	case quarantine.Proven:
		t.r.startFanOut()
		return false
	case quarantine.Doubted:
		t.r.setBlocked(t.inFlight == 0)
		if t.inFlight == 0 && !t.r.awaitSlot(t.primaryLeaves()) {
			t.refuse(true)
		}
		return false
	case quarantine.Suspect:
		t.exclusive = true
		return t.inFlight == 0
	}
	return true
}

// candidates returns the leaves with a place, near ones first. A leaf that is out of use for long
// leaves its place to the next in rank, but not beside a call in flight, nor where it crashed with the request. A
// suspect that no leaf has answered keeps to the fixed ones: a leaf that crashes just now may pass for out of use.
func (t *firstRun) candidates() []ranked {
	localZone := t.r.e.source.Current().Zone
	if t.requestAnswered {
		if available := t.available(); len(available) > 0 {
			return localFirst(available, localZone)
		}
	}
	crashed := t.r.e.guard.CrashedAt(t.r.key.Digest)
	absent := func(l string) bool { return t.status(l) == quarantine.PlaceAbsent && !slices.Contains(crashed, l) }
	leaves := slices.Clone(t.primaries)
	if t.inFlight == 0 && (t.textAnswered || !t.exclusive) {
		leaves = t.ranking.withSubstitutes(absent)
	}
	if t.exclusive {
		return localFirst(t.withoutCrashed(leaves, crashed), localZone)
	}
	if len(leaves) == 0 {
		leaves = t.ranking.fallback(localZone, absent)
	}
	return localFirst(leaves, localZone)
}

// available returns the leaves with a place where all that can't be asked now leave theirs to the next in rank; none
// beside a call in flight.
func (t *firstRun) available() []ranked {
	if t.inFlight > 0 {
		return nil
	}
	return t.ranking.withSubstitutes(func(l string) bool { return t.called[l] || t.status(l) != quarantine.PlaceFree })
}

// withoutCrashed drops the leaves that crashed with the request in flight, unless all did that have a place by rank.
func (t *firstRun) withoutCrashed(leaves []ranked, crashed []string) []ranked {
	hasCrashed := func(p ranked) bool { return slices.Contains(crashed, p.leaf) }
	if !slices.ContainsFunc(t.primaries, func(p ranked) bool { return !hasCrashed(p) }) {
		return leaves
	}
	return slices.DeleteFunc(slices.Clone(leaves), hasCrashed)
}

// status says how a leaf stands for the first run. Whether it is of use is looked at first: a leaf that crashes
// between the two looks is found lost by the second and keeps its place, where the other way round it passed for
// out of use and the next in rank was asked, and crashed, in its stead.
func (t *firstRun) status(leaf string) quarantine.Place {
	usable := t.r.fleet.usable(leaf, t.r.plan.snapshot.Version)
	p := t.r.e.guard.Place(leaf, t.r.key.Digest)
	switch {
	case p == quarantine.PlaceFree && !usable:
		return quarantine.PlaceAbsent
	case p == quarantine.PlaceAbsent && t.exclusive && t.r.e.guard.HeldFor(leaf, t.r.key.Digest) > 0:
		return quarantine.PlaceHeld // no other may take its place, so it is waited for
	}
	return p
}

// partition returns the leaves that may be asked now, and those whose hold ends in time. Beside a call in
// flight a leaf of another shard is one that the query needs anyway; one of the same shard is an extra
// call, which the hedge budget has to allow, and is thought of only where there is no other.
func (t *firstRun) partition(candidates []ranked) (callable []ranked, withheld []string) {
	var extra []ranked
	for _, l := range candidates {
		status := t.status(l.leaf)
		switch {
		case t.called[l.leaf], status == quarantine.PlaceAbsent:
		case status == quarantine.PlaceHeld:
			if time.Until(t.r.q.deadline) > t.r.e.guard.HeldFor(l.leaf, t.r.key.Digest) {
				withheld = append(withheld, l.leaf)
			}
		case t.r.shards[l.shard].inFlight > 0:
			extra = append(extra, l)
		default:
			callable = append(callable, l)
		}
	}
	if len(callable) == 0 && len(extra) > 0 && t.r.q.replicas.AllowHedge(t.r.q.kind.HedgeBudget) {
		return extra, withheld
	}
	return callable, withheld
}

// tryLaunch sends the first call to the leaf among those open that the balancer picks, so that a slow one
// isn't asked first for its rank; false where there is no room for it now.
func (t *firstRun) tryLaunch(open []ranked) bool {
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
		if t.r.e.guard.Enter(leaf, t.exclusive) {
			t.launch(byLeaf[leaf], call)
			return true
		}
		call.Done(balance.ResultNeutral)
		names = slices.DeleteFunc(names, func(l string) bool { return l == leaf })
	}
	return false
}

// launch notes the call. The next leaf is asked once this one takes longer than its group usually
// does; its own usual time would say nothing where it is the slow one.
func (t *firstRun) launch(l ranked, call balance.Call) {
	t.called[l.leaf] = true
	t.inFlight++
	t.r.setBlocked(false)
	t.hedgeAt = time.Now().Add(t.r.hedgeDelay(&t.r.shards[l.shard], call))
	t.r.launch(l.shard, call, l.leaf)
}

func (t *firstRun) primaryLeaves() []string {
	list := make([]string, 0, len(t.primaries))
	for _, l := range t.primaries {
		list = append(list, l.leaf)
	}
	return list
}

// callFailed goes on after a call of the first run failed.
func (t *firstRun) callFailed(res callResult) {
	t.inFlight--
	t.lastFailure, t.peer = res.failure, res.leaf
	switch {
	case res.failure == failLost:
		t.exclusive = true
	case res.failure == failSilent && !t.silent[res.leaf]:
		t.silent[res.leaf] = true
		delete(t.called, res.leaf)
	}
	t.advance()
}

// refuse ends the run where no leaf is left to be asked first.
func (t *firstRun) refuse(blocked bool) {
	reason, after := pb.Reason_REASON_NO_UPSTREAM, t.r.e.settings.RetryAfter.D()
	switch {
	case blocked:
		reason = pb.Reason_REASON_OVERLOAD
	case t.peer != "":
		reason = failures[t.lastFailure].reason
	case t.exclusive && !t.textAnswered:
		reason = pb.Reason_REASON_QUARANTINED
	}
	if !blocked {
		after = max(after, t.r.e.guard.Hold())
	}
	t.r.refusal = outcome.NotRun(reason, Step, "no leaf answered the first run of the request").At(t.peer).After(after)
}

func (t *firstRun) due(addDue func(time.Time)) {
	if t.inFlight > 0 && !t.exclusive {
		addDue(t.hedgeAt)
	}
}

// quarantineRefusal is the refusal of a request that crashed leaves.
func quarantineRefusal(after time.Duration) *outcome.Error {
	return outcome.NotRun(pb.Reason_REASON_QUARANTINED, Step, "the request was in flight at several upstream crashes").After(after)
}
