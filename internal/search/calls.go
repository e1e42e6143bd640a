package search

import (
	"context"
	"errors"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// event is the end of one call.
type event struct {
	shard  int
	leaf   string
	answer *pb.LeafSearchResponse
	// failure is set where answer is nil.
	failure failure
	// survived is true where the leaf has surely run the text and lived on.
	survived bool
	// wrote is true where a byte may have reached the leaf.
	wrote bool
	// trial is true for a call of the first run.
	trial bool
}

// launch sends a call for the shard. gate names the leaf whose gate the call has to leave.
func (r *run) launch(i int, call balance.Call, gate string) {
	s := &r.shards[i]
	s.active++
	s.tries++
	s.peer = call.Leaf()
	s.tried = append(s.tried, call.Leaf())
	s.hedgeAt = time.Now().Add(r.hedgeAfter(s, call))
	r.active++
	if r.firstSent.IsZero() {
		r.firstSent = time.Now().Add(-r.idled)
	}
	r.e.metrics.calls.WithLabelValues(r.q.service.Name).Inc()
	r.e.calls.Add(1)
	if s.cancel == nil {
		s.ctx, s.cancel = context.WithCancel(r.ctx)
	}
	go r.call(s.ctx, i, s.asked, call, gate)
}

// hedgeAfter returns how long the call may run before a hedge: less where it only tries a leaf.
func (r *run) hedgeAfter(s *shard, call balance.Call) time.Duration {
	d := r.q.replicas.HedgeAfter(s.replicas)
	if call.Suspect() {
		return d / balance.SuspectHedgeDivisor
	}
	return d
}

// call asks a leaf and hands the end to the run, or drops it where the run has ended.
func (r *run) call(ctx context.Context, i int, asked *pb.LeafSearchRequest, call balance.Call, gate string) {
	defer r.e.calls.Done()
	leaf := call.Leaf()
	got, err := r.send(ctx, leaf, asked)
	ev := r.judge(ctx, asked, leaf, got, err)
	ev.shard, ev.trial = i, gate != ""
	result := balance.ResultOK
	if ev.answer == nil {
		result = failures[ev.failure].result
	} else {
		r.q.replicas.Report(leaf, got.GetLoad())
	}
	call.Done(result)
	r.note(ev, err, gate)
	r.q.state.waiting.freed(leaf)
	select {
	case r.events <- ev:
	case <-r.over:
		if ev.answer != nil {
			r.e.metrics.late.WithLabelValues(r.q.service.Name, r.q.kind.Name).Inc()
		}
	}
}

// errStale ends a call that isn't sent.
var errStale = errors.New("no fresh news of the fleet since the search was planned")

// send makes the call, unless the process may have been paused since the search was let in: leaves, index version
// and callers may have changed meanwhile.
func (r *run) send(ctx context.Context, leaf string, asked *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	if !r.e.source.FreshSince(r.q.planned) {
		return nil, &upstream.CallError{Leaf: leaf, Err: errStale}
	}
	return r.e.caller.Search(ctx, leaf, asked)
}

// judge turns the end of a call into an event; only an answer that matches its question counts.
func (r *run) judge(ctx context.Context, asked *pb.LeafSearchRequest, leaf string, got *pb.LeafSearchResponse, err error) event {
	if err != nil {
		f := classify(ctx, err)
		var ce *upstream.CallError
		wrote := !errors.As(err, &ce) || ce.Wrote
		return event{leaf: leaf, failure: f, wrote: wrote, survived: failures[f].survived}
	}
	if m := check(asked, r.q.digest, got); m != MismatchNone {
		r.e.metrics.mismatches.WithLabelValues(r.q.service.Name, string(m)).Inc()
		ran := got.GetRequestId() == asked.GetRequestId() && got.GetQueryDigest() == r.q.digest
		return event{leaf: leaf, failure: failMismatch, wrote: true, survived: ran}
	}
	return event{leaf: leaf, answer: got, wrote: true, survived: true}
}

// note tells the guard how the leaf and the request fared, and leaves the gate.
func (r *run) note(ev event, err error, gate string) {
	alone := false
	if gate != "" {
		alone = r.e.guard.Leave(gate)
	}
	if ev.answer != nil || err == nil {
		return
	}
	var ce *upstream.CallError
	incarnation := uint64(0)
	if errors.As(err, &ce) {
		incarnation = ce.Incarnation
	}
	guard, outlived := r.e.guard, r.outlived.Load()
	switch {
	case ev.failure == failLost && outlived:
		guard.LostProven(r.key)
		guard.LostLeaf(ev.leaf, incarnation)
	case ev.failure == failLost:
		guard.LostUnproven(r.key.Digest, ev.leaf, incarnation, alone)
	case (ev.failure == failDeadline || ev.failure == failCancelled) && !outlived && ev.wrote:
		guard.Abandoned(r.key.Digest, ev.leaf, incarnation)
	}
}

// take takes in the end of a call.
func (r *run) take(ev event) {
	s := &r.shards[ev.shard]
	s.active--
	r.active--
	r.sent = r.sent || ev.wrote
	if ev.answer != nil {
		r.takeAnswer(ev)
		return
	}
	r.e.metrics.failures.WithLabelValues(r.q.service.Name, failures[ev.failure].name).Inc()
	r.takeFailure(ev)
}

func (r *run) takeAnswer(ev event) {
	if s := &r.shards[ev.shard]; s.answer == nil {
		s.answer = ev.answer
		r.close(s)
		r.covered++
		r.documents += s.documents
		s.cancel() // the loser of a hedge
		r.lastAnswer = time.Now()
	}
	r.release()
}

func (r *run) takeFailure(ev event) {
	if ev.failure == failSnapshot && r.dropped(ev.leaf) {
		return
	}
	if s := &r.shards[ev.shard]; !s.settled {
		r.failed(s, ev)
	}
	if r.trial != nil && ev.trial {
		r.trial.failed(ev)
	}
}

// failed notes the failed call of a shard and reacts to it.
func (r *run) failed(s *shard, ev event) {
	s.failure, s.reason = ev.failure, failures[ev.failure].reason
	switch ev.failure {
	case failShed:
		s.shed++
	case failLost:
		s.lost++
		r.losses++
	}
	if ev.survived && !r.outlived.Load() {
		s.parked = true
		r.release() // reacts to all that is parked
		return
	}
	r.react(ev.shard)
}

// dropped notes that a leaf has dropped the snapshot; true where the query has to run again.
func (r *run) dropped(leaf string) bool {
	r.e.noteLacking(leaf, r.plan.snapshot.Version)
	now := time.Now()
	if !mayRerun(r.reruns, r.q.deadline.Sub(now), r.q.state.usual.get(), now.Sub(r.started)) {
		return false
	}
	p := choose(r.q.service, r.fleet)
	if p == nil || p.snapshot.Version == r.plan.snapshot.Version {
		return false
	}
	r.again = p
	return true
}

// react applies the rule for the latest failed call of a shard.
func (r *run) react(i int) {
	s := &r.shards[i]
	switch next := afterFailure(s.failure, r.facts(s)); next {
	case stepWait:
	case stepGiveUp:
		r.settle(i, s.reason, "")
	case stepPark:
		s.parked = true
	default:
		r.retry(i, next)
	}
}

func (r *run) facts(s *shard) shardFacts {
	return shardFacts{
		active: s.active, tries: s.tries, sheds: s.shed, lost: s.lost, hedged: s.hedged,
		others: len(r.among(s, false)), usable: len(r.among(s, true)),
		mayAsk: r.mayAsk(),
	}
}

// mayAsk tells whether the request may go to further leaves: one has answered it, or by the
// settings it runs anywhere and no connection was lost with it.
func (r *run) mayAsk() bool { return r.outlived.Load() || r.released && r.losses == 0 }

// retry asks another replica of the shard; the shard is missing where the budget refuses. A retry
// that needs no budget takes from it what is there. It waits for a slot, but not after a refusal
// for load.
func (r *run) retry(i int, how step) {
	s := &r.shards[i]
	s.anyReplica = how == stepRetryAny
	candidates := r.candidates(s)
	granted := len(candidates) > 0 && r.q.replicas.AllowRetry(r.q.kind.RetryBudget)
	if how == stepRetry && !granted {
		r.e.metrics.retries.WithLabelValues(r.q.service.Name, r.q.kind.Name, "refused").Inc()
		r.settle(i, s.reason, "")
		return
	}
	r.e.metrics.retries.WithLabelValues(r.q.service.Name, r.q.kind.Name, "sent").Inc()
	if s.failure == failShed {
		r.startNow(i, candidates)
		return
	}
	r.start(i)
}

// tick does what is due: hedges, and another look for slots.
func (r *run) tick() {
	now := time.Now()
	for i := range r.shards {
		if s := &r.shards[i]; !s.settled && s.active == 1 && !s.hedged && r.mayAsk() && !now.Before(s.hedgeAt) {
			r.hedge(i, now)
		}
	}
	r.place()
}

// hedge sends a second call beside a slow one where rule and budget allow, or looks again later.
func (r *run) hedge(i int, now time.Time) {
	s := &r.shards[i]
	s.hedgeAt = now.Add(r.q.replicas.HedgeAfter(s.replicas))
	if !mayHedge(r.facts(s)) {
		s.hedged = true
		return
	}
	others := r.candidates(s)
	if r.q.replicas.HedgeAfter(others) == balance.NoHedge { // no room now; the budget isn't asked in vain
		s.hedgeAt = now.Add(hedgePoll)
		return
	}
	if !r.q.replicas.AllowHedge(r.q.kind.HedgeBudget) {
		r.e.metrics.hedges.WithLabelValues(r.q.service.Name, r.q.kind.Name, "refused").Inc()
		s.hedgeAt = now.Add(hedgePoll)
		return
	}
	call, ok := r.q.replicas.Pick(others)
	if !ok {
		s.hedgeAt = now.Add(hedgePoll)
		return
	}
	s.hedged = true
	r.e.metrics.hedges.WithLabelValues(r.q.service.Name, r.q.kind.Name, "sent").Inc()
	r.launch(i, call, "")
}

// untilDue returns how long nothing is due.
func (r *run) untilDue() time.Duration {
	now := time.Now()
	due := r.q.deadline
	sooner := func(t time.Time) {
		if t.Before(due) {
			due = t
		}
	}
	for i := range r.shards {
		s := &r.shards[i]
		if !s.settled && s.active == 1 && !s.hedged && r.mayAsk() {
			sooner(s.hedgeAt)
		}
	}
	if r.waiter != nil {
		sooner(now.Add(placePoll))
	}
	if at, may := r.policy().earlyAt(); may && now.Before(r.started.Add(at)) {
		sooner(r.started.Add(at))
	}
	if r.trial != nil {
		r.trial.due(sooner)
	}
	return due.Sub(now)
}
