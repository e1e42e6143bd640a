package search

import (
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quarantine"
)

// maxErrorsPerLeaf is how many calls of a first run one leaf may answer with an error. No other leaf replaces it: if each
// gather replaced those that fail at it, the fleet would call more than three.
const maxErrorsPerLeaf = 2

// firstRun is the first run of a request that no leaf has answered yet. It calls one leaf at a time, chosen by rank
// among a few, until one answers.
type firstRun struct {
	r       *run
	ranking ranking
	// primaries are the leaves chosen by rank alone, whatever their state. Beside a call in flight, or for a suspect, no
	// other leaf may be called. So the whole fleet calls no other leaf while the request may crash it, even if the
	// gathers see different leaves.
	primaries []ranked
	// called holds the leaves called. silent holds those whose connection then went silent; they are called once more.
	called, silent map[string]bool
	// errors counts the calls that each leaf answered with an error. That shows nothing about the request.
	errors map[string]int
	// exclusive is true for a suspect: it runs beside no other unproven request at a leaf and is not hedged.
	exclusive bool
	// requestAnswered is true if a leaf has answered this very request here before. Such a request does not crash each
	// leaf that runs it. It is therefore not bound to the primaries and skips leaves that were lost recently.
	// textAnswered is true if a leaf has answered the text, possibly for another number of hits.
	requestAnswered, textAnswered bool
	inFlight                      int
	hedgeAt                       time.Time
	// lastFailure is the failure of the latest failed call, peer its leaf.
	lastFailure failure
	peer        string
}

func newFirstRun(r *run, exclusive bool) *firstRun {
	f := &firstRun{
		r: r, exclusive: exclusive, ranking: newRanking(r), called: make(map[string]bool), silent: make(map[string]bool), errors: make(map[string]int),
	}
	f.requestAnswered, f.textAnswered = r.e.guard.Answered(r.key)
	f.primaries = f.ranking.primaries()
	return f
}

// advance calls the next leaf if one is due, and refuses the request if none remains.
func (f *firstRun) advance() {
	if f.inFlight > 0 && (f.exclusive || time.Now().Before(f.hedgeAt)) {
		return
	}
	if !f.mayAdvance() {
		f.hedgeAt = time.Now().Add(hedgePollInterval)
		return
	}
	callable, waitFor := f.partition(f.candidates())
	if f.tryLaunch(callable) {
		return
	}
	f.r.setBlocked(f.inFlight == 0 && len(callable) == 0 && len(waitFor) > 0)
	for _, l := range callable {
		waitFor = append(waitFor, l.leaf)
	}
	if f.inFlight > 0 {
		f.hedgeAt = time.Now().Add(f.r.q.replicas.HedgeAfter(f.primaryLeaves()))
		return
	}
	if len(waitFor) == 0 || !f.r.awaitSlot(waitFor) {
		f.refuse(len(waitFor) > 0)
	}
}

// mayAdvance checks the status of the request again. Since the last check, other searches with the same text may have
// proven it, made it a suspect or put it in quarantine.
func (f *firstRun) mayAdvance() bool {
	switch status, after := f.r.e.guard.Status(f.r.key); status {
	case quarantine.Quarantined:
		f.r.refusal = quarantineRefusal(after).WithPeer(f.peer)
		return false
	case quarantine.Proven:
		f.r.startFanOut()
		return false
	case quarantine.Doubted:
		f.r.setBlocked(f.inFlight == 0)
		if f.inFlight == 0 && !f.r.awaitSlot(f.primaryLeaves()) {
			f.refuse(true)
		}
		return false
	case quarantine.Suspect:
		f.exclusive = true
		return f.inFlight == 0
	}
	return true
}

// candidates returns the leaves that the first run may use, those of the local zone first. These are the primaries. The
// next in rank replace them only if all are out of use for long: gathers do not notice the return of a leaf at the same
// moment, and while some call the leaf and others its substitute, the fleet calls a leaf more. There are no substitutes
// beside a call in flight, nor for a leaf that crashed with the request. A suspect whose text no leaf has answered is
// bound to the primaries: a leaf that is crashing at this moment may look out of use.
func (f *firstRun) candidates() []ranked {
	localZone := f.r.e.source.Current().Zone
	if f.requestAnswered {
		if available := f.available(); len(available) > 0 {
			return localFirst(available, localZone)
		}
	}
	crashed := f.r.e.guard.CrashedLeaves(f.r.key.Digest)
	absent := func(l string) bool { return f.status(l) == quarantine.LeafUnavailable && !slices.Contains(crashed, l) }
	leaves := slices.Clone(f.primaries)
	if f.inFlight == 0 && (f.textAnswered || !f.exclusive) && all(f.primaries, absent) {
		leaves = f.ranking.withSubstitutes(absent)
	}
	if f.exclusive {
		return localFirst(f.withoutCrashed(leaves, crashed), localZone)
	}
	if len(leaves) == 0 {
		leaves = f.ranking.fallback(localZone, absent)
	}
	return localFirst(leaves, localZone)
}

// available returns the primaries with each one that was called or cannot be called now replaced by the next in rank.
// It returns none beside a call in flight.
func (f *firstRun) available() []ranked {
	if f.inFlight > 0 {
		return nil
	}
	return f.ranking.withSubstitutes(func(l string) bool { return f.called[l] || f.status(l) != quarantine.LeafEligible })
}

// withoutCrashed removes the leaves that crashed with the request in flight, unless all primaries did.
func (f *firstRun) withoutCrashed(leaves []ranked, crashed []string) []ranked {
	hasCrashed := func(p ranked) bool { return slices.Contains(crashed, p.leaf) }
	if !slices.ContainsFunc(f.primaries, func(p ranked) bool { return !hasCrashed(p) }) {
		return leaves
	}
	return slices.DeleteFunc(slices.Clone(leaves), hasCrashed)
}

// status returns whether the first run may use a leaf. It checks whether the leaf is usable before it asks the guard:
// if the leaf crashes between the two checks, the guard reports it as lost and no other leaf replaces it. In the
// opposite order such a leaf counted as out of use, and the next in rank was called, and crashed, instead.
func (f *firstRun) status(leaf string) quarantine.Eligibility {
	usable := f.r.fleet.usable(leaf, f.r.plan.snapshot.Version)
	p := f.r.e.guard.Eligibility(leaf, f.r.key.Digest)
	switch {
	case p == quarantine.LeafEligible && !usable:
		return quarantine.LeafUnavailable
	case p == quarantine.LeafUnavailable && f.exclusive && f.r.e.guard.WithheldFor(leaf, f.r.key.Digest) > 0:
		return quarantine.LeafWithheld // no other leaf may replace it, so the run waits for it
	}
	return p
}

// partition returns the leaves that may be called now, and those to wait for: the withheld ones that are released before
// the deadline and, for a suspect, which gets no substitutes, the lost ones that may return.
// Beside a call in flight, a leaf of another shard is one that the query needs anyway. One of the same shard is an
// extra call, which the hedge budget has to allow, and is considered only if there is no other.
func (f *firstRun) partition(candidates []ranked) (callable []ranked, waitFor []string) {
	var extra []ranked
	for _, l := range candidates {
		status := f.status(l.leaf)
		switch {
		case f.called[l.leaf]:
		case status == quarantine.LeafUnavailable:
			if f.exclusive && f.r.e.guard.MayReturn(l.leaf) {
				waitFor = append(waitFor, l.leaf)
			}
		case status == quarantine.LeafWithheld:
			if time.Until(f.r.q.deadline) > f.r.e.guard.WithheldFor(l.leaf, f.r.key.Digest) {
				waitFor = append(waitFor, l.leaf)
			}
		case f.r.shards[l.shard].inFlight > 0:
			extra = append(extra, l)
		default:
			callable = append(callable, l)
		}
	}
	if len(callable) == 0 && len(extra) > 0 && f.r.q.replicas.AllowHedge(f.r.q.kind.HedgeBudget) {
		return extra, waitFor
	}
	return callable, waitFor
}

// tryLaunch sends the next call to the callable leaf that the balancer picks, so that a slow leaf is not called first
// because of its rank. It returns false if none of the leaves can take the call now.
func (f *firstRun) tryLaunch(callable []ranked) bool {
	byLeaf := make(map[string]ranked, len(callable))
	names := make([]string, 0, len(callable))
	for _, l := range callable {
		byLeaf[l.leaf] = l
		names = append(names, l.leaf)
	}
	for len(names) > 0 {
		call, ok := f.r.q.replicas.Pick(names)
		if !ok {
			return false
		}
		leaf := call.Leaf()
		if f.r.e.guard.TryAcquire(leaf, f.exclusive) {
			f.launch(byLeaf[leaf], call)
			return true
		}
		call.Done(balance.ResultNeutral)
		names = slices.DeleteFunc(names, func(l string) bool { return l == leaf })
	}
	return false
}

// launch sends the call. The next leaf is called once this call takes longer than is typical for its group. The typical
// time of the leaf itself would say nothing if that leaf is the slow one.
func (f *firstRun) launch(l ranked, call balance.Call) {
	f.called[l.leaf] = true
	f.inFlight++
	f.r.setBlocked(false)
	f.r.e.log.placed(f, l.leaf)
	f.hedgeAt = time.Now().Add(f.r.hedgeDelay(&f.r.shards[l.shard], call))
	f.r.launch(l.shard, call, l.leaf)
}

func (f *firstRun) primaryLeaves() []string {
	list := make([]string, 0, len(f.primaries))
	for _, l := range f.primaries {
		list = append(list, l.leaf)
	}
	return list
}

// callFailed continues after a call of the first run failed.
func (f *firstRun) callFailed(res callResult) {
	f.inFlight--
	f.lastFailure, f.peer = res.failure, res.leaf
	switch {
	case res.failure == failLost:
		f.exclusive = true
	case res.failure == failErrorAnswer:
		f.errors[res.leaf]++
		if f.errors[res.leaf] < maxErrorsPerLeaf {
			delete(f.called, res.leaf)
		}
	case res.failure == failSilent && !f.silent[res.leaf]:
		f.silent[res.leaf] = true
		delete(f.called, res.leaf)
	}
	f.advance()
}

// refuse ends the run without an answer because no leaf remains for the first run. blocked is true if there are leaves
// to wait for but too many searches wait already.
func (f *firstRun) refuse(blocked bool) {
	reason, after := pb.Reason_REASON_NO_UPSTREAM, f.r.e.settings.RetryAfter.D()
	switch {
	case blocked:
		reason = pb.Reason_REASON_OVERLOAD
	case f.peer != "":
		reason = failures[f.lastFailure].reason
	case f.exclusive && !f.textAnswered:
		reason = pb.Reason_REASON_QUARANTINED
	}
	if !blocked {
		after = max(after, f.r.e.guard.WithholdPeriod())
	}
	f.r.refusal = outcome.NotRun(reason, Step, "no leaf answered the first run of the request").WithPeer(f.peer).WithRetryAfter(after)
}

// due passes the time of the next hedge to addDue.
func (f *firstRun) due(addDue func(time.Time)) {
	if f.inFlight > 0 && !f.exclusive {
		addDue(f.hedgeAt)
	}
}

// quarantineRefusal returns the refusal of a request that crashed leaves.
func quarantineRefusal(after time.Duration) *outcome.Error {
	return outcome.NotRun(pb.Reason_REASON_QUARANTINED, Step, "the request was in flight at several upstream crashes").WithRetryAfter(after)
}
