package search

import (
	"context"
	"errors"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// callResult describes how one call to a leaf ended.
type callResult struct {
	shard  int
	leaf   string
	answer *pb.LeafSearchResponse
	// failure is valid only if answer is nil.
	failure failure
	// survived is true if the leaf certainly ran the query text without crashing.
	survived bool
	// wrote is true if a byte of the request may have reached the leaf.
	wrote bool
	// firstRun is true for a call of the first run.
	firstRun bool
}

// launch sends a call for shard i. For a call of the first run, guardLeaf is the leaf at which the guard admitted the
// call. It is empty for other calls.
func (r *run) launch(i int, call balance.Call, guardLeaf string) {
	s := &r.shards[i]
	s.inFlight++
	s.attempts++
	s.peer = call.Leaf()
	s.attempted = append(s.attempted, call.Leaf())
	s.hedgeAt = time.Now().Add(r.hedgeDelay(s, call))
	r.inFlight++
	if r.firstSent.IsZero() {
		r.firstSent = time.Now().Add(-r.blockedTime)
	}
	r.e.metrics.calls.WithLabelValues(r.q.service.Name).Inc()
	r.e.calls.Add(1)
	if s.cancel == nil {
		s.ctx, s.cancel = context.WithCancel(r.ctx)
	}
	go r.call(s.ctx, i, s.request, call, guardLeaf)
}

// hedgeDelay returns how long the call may run before it is hedged. A call to a suspect leaf only probes it, so its
// delay is shorter.
func (r *run) hedgeDelay(s *shard, call balance.Call) time.Duration {
	d := r.q.replicas.HedgeAfter(s.replicas)
	if call.Suspect() {
		return d / balance.SuspectHedgeDivisor
	}
	return d
}

// call calls a leaf and passes the result to the run's goroutine. If the run has ended, it drops the result.
func (r *run) call(ctx context.Context, i int, req *pb.LeafSearchRequest, call balance.Call, guardLeaf string) {
	defer r.e.calls.Done()
	leaf := call.Leaf()
	answer, err := r.send(ctx, leaf, req)
	res := r.evaluate(ctx, req, leaf, answer, err)
	res.shard, res.firstRun = i, guardLeaf != ""
	balanceResult := balance.ResultOK
	if res.answer == nil {
		balanceResult = failures[res.failure].result
	} else {
		r.q.replicas.Report(leaf, answer.GetLoad())
	}
	call.Done(balanceResult)
	r.reportToGuard(res, err, guardLeaf)
	r.q.state.slots.slotFreed(leaf)
	select {
	case r.results <- res:
	case <-r.done:
		if res.answer != nil {
			r.e.metrics.late.WithLabelValues(r.q.service.Name, r.q.kind.Name).Inc()
		}
	}
}

// send makes the call unless the process may have been paused since the search was planned or has no fresh view.
// Leaves, snapshots and callers may have changed meanwhile. The process may also be paused after the check and send the
// call when it resumes: the leaf refuses a call that arrives too long after the time of the check.
func (r *run) send(ctx context.Context, leaf string, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	decided := time.Now()
	if !r.e.source.FreshSince(r.q.plannedAt) {
		return nil, &upstream.CallError{Leaf: leaf, Err: upstream.ErrStale}
	}
	return r.e.caller.Search(upstream.WithDecisionTime(ctx, decided), leaf, req)
}

// evaluate turns the end of a call into a callResult. An answer counts only if it matches its request.
func (r *run) evaluate(ctx context.Context, req *pb.LeafSearchRequest, leaf string, answer *pb.LeafSearchResponse, err error) callResult {
	if err != nil {
		f := classify(ctx, err)
		var ce *upstream.CallError
		wrote := !errors.As(err, &ce) || ce.Wrote
		return callResult{leaf: leaf, failure: f, wrote: wrote}
	}
	if m := checkAnswer(req, r.q.digest, answer); m != MismatchNone {
		r.e.metrics.mismatches.WithLabelValues(r.q.service.Name, string(m)).Inc()
		ran := answer.GetRequestId() == req.GetRequestId() && answer.GetQueryDigest() == r.q.digest
		return callResult{leaf: leaf, failure: failMismatch, wrote: true, survived: ran}
	}
	return callResult{leaf: leaf, answer: answer, wrote: true, survived: true}
}

// reportToGuard reports to the guard what the call shows about the leaf and the request. For a call of the first run it
// also ends the admission of the call at guardLeaf.
func (r *run) reportToGuard(res callResult, err error, guardLeaf string) {
	alone := false
	if guardLeaf != "" {
		alone = r.e.guard.Release(guardLeaf)
	}
	if res.answer != nil || err == nil {
		return
	}
	var ce *upstream.CallError
	incarnation := uint64(0)
	if errors.As(err, &ce) {
		incarnation = ce.Incarnation
	}
	guard, proven := r.e.guard, r.proven.Load()
	switch {
	case res.failure == failLost && proven:
		guard.RecordProvenLoss(r.key)
		guard.RecordConnectionLoss(res.leaf, incarnation)
	case res.failure == failLost:
		guard.RecordUnprovenLoss(r.key.Digest, res.leaf, incarnation, alone)
		r.e.log.lost(r.key, res.leaf, incarnation, alone)
	case (res.failure == failDeadline || res.failure == failCancelled) && !proven && res.wrote:
		guard.RecordAbandoned(r.key.Digest, res.leaf, incarnation)
	}
}

// handleResult processes the end of a call.
func (r *run) handleResult(res callResult) {
	s := &r.shards[res.shard]
	s.inFlight--
	r.inFlight--
	r.sent = r.sent || res.wrote
	if res.answer != nil {
		r.handleAnswer(res)
		return
	}
	r.e.metrics.failures.WithLabelValues(r.q.service.Name, failures[res.failure].name).Inc()
	r.handleFailure(res)
}

// handleAnswer records the first answer of a shard and cancels the other calls of the shard. The first answer of the
// run starts the calls to all shards.
func (r *run) handleAnswer(res callResult) {
	if s := &r.shards[res.shard]; s.answer == nil {
		s.answer = res.answer
		r.markSettled(s)
		r.coveredShards++
		r.coveredDocuments += s.documents
		s.cancel() // cancels the slower call of a hedge
		r.lastAnswer = time.Now()
	}
	r.startFanOut()
}

// handleFailure processes a call that ended without an answer to merge.
func (r *run) handleFailure(res callResult) {
	if res.failure == failSnapshotGone && r.handleSnapshotGone(res.leaf) {
		return
	}
	if s := &r.shards[res.shard]; !s.settled {
		r.shardFailed(s, res)
	}
	if r.firstRun != nil && res.firstRun {
		r.firstRun.callFailed(res)
	}
}

// shardFailed records the failed call of a shard and reacts to it.
func (r *run) shardFailed(s *shard, res callResult) {
	s.failure, s.reason = res.failure, failures[res.failure].reason
	switch res.failure {
	case failShed:
		s.sheds++
	case failLost:
		s.losses++
		r.losses++
	case failNotSent:
		s.unsent++
	}
	if res.survived && !r.proven.Load() {
		s.parked = true
		r.startFanOut() // also reacts to the failures of parked shards
		return
	}
	r.resolveFailure(res.shard)
}

// handleSnapshotGone records that a leaf no longer holds the snapshot. It returns true if the query has to run again,
// with the plan in rerunPlan.
func (r *run) handleSnapshotGone(leaf string) bool {
	r.e.recordMissingSnapshot(leaf, r.plan.snapshot.Version)
	now := time.Now()
	if !mayRerun(r.reruns, r.q.deadline.Sub(now), r.q.state.typical.get(), now.Sub(r.started)) {
		return false
	}
	p := choosePlan(r.q.service, r.fleet)
	if p == nil || p.snapshot.Version == r.plan.snapshot.Version {
		return false
	}
	r.rerunPlan = p
	return true
}

// resolveFailure applies the rule for the latest failed call of shard i.
func (r *run) resolveFailure(i int) {
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
		inFlight: s.inFlight, attempts: s.attempts, sheds: s.sheds, losses: s.losses, unsent: s.unsent, hedged: s.hedged,
		untried: len(r.usableReplicas(s, false)), usable: len(r.usableReplicas(s, true)),
		mayCallMore: r.mayCallMore(),
	}
}

// mayCallMore reports whether the request may be sent to further leaves: either a leaf has answered it, or the
// settings let it run anywhere and no connection was lost with it.
func (r *run) mayCallMore() bool { return r.proven.Load() || r.fanOut && r.losses == 0 }

// retry calls another replica of shard i. The shard is missing if the retry budget refuses. An unbudgeted retry draws
// on what the budget has, but is sent even if the budget is empty. A retry waits for a slot, except after a refusal for
// load.
func (r *run) retry(i int, next step) {
	s := &r.shards[i]
	s.anyReplica = next == stepRetryAnyReplica
	candidates := r.candidates(s)
	granted := len(candidates) > 0 && r.q.replicas.AllowRetry(r.q.kind.RetryBudget)
	if next == stepRetry && !granted {
		r.e.metrics.retries.WithLabelValues(r.q.service.Name, r.q.kind.Name, "refused").Inc()
		r.settle(i, s.reason, "")
		return
	}
	r.e.metrics.retries.WithLabelValues(r.q.service.Name, r.q.kind.Name, "sent").Inc()
	if s.failure == failShed {
		r.startWithoutWait(i, candidates)
		return
	}
	r.start(i)
}

// tick sends the hedges that are due and looks for free slots again.
func (r *run) tick() {
	now := time.Now()
	for i := range r.shards {
		if s := &r.shards[i]; !s.settled && s.inFlight == 1 && !s.hedged && r.mayCallMore() && !now.Before(s.hedgeAt) {
			r.hedge(i, now)
		}
	}
	r.startWaiting()
}

// hedge sends a second call beside a slow one if the rule and the budget allow it. Otherwise it postpones the hedge.
func (r *run) hedge(i int, now time.Time) {
	s := &r.shards[i]
	s.hedgeAt = now.Add(r.q.replicas.HedgeAfter(s.replicas))
	if !mayHedge(r.facts(s)) {
		s.hedged = true
		return
	}
	candidates := r.candidates(s)
	if r.q.replicas.HedgeAfter(candidates) == balance.NoHedge { // no free slot now; a request to the budget would be wasted
		s.hedgeAt = now.Add(hedgePollInterval)
		return
	}
	if !r.q.replicas.AllowHedge(r.q.kind.HedgeBudget) {
		r.e.metrics.hedges.WithLabelValues(r.q.service.Name, r.q.kind.Name, "refused").Inc()
		s.hedgeAt = now.Add(hedgePollInterval)
		return
	}
	call, ok := r.q.replicas.Pick(candidates)
	if !ok {
		s.hedgeAt = now.Add(hedgePollInterval)
		return
	}
	s.hedged = true
	r.e.metrics.hedges.WithLabelValues(r.q.service.Name, r.q.kind.Name, "sent").Inc()
	r.launch(i, call, "")
}

// timerDelay returns the time until the next hedge, slot poll, early answer or deadline is due.
func (r *run) timerDelay() time.Duration {
	now := time.Now()
	due := r.q.deadline
	addDue := func(t time.Time) {
		if t.Before(due) {
			due = t
		}
	}
	for i := range r.shards {
		s := &r.shards[i]
		if !s.settled && s.inFlight == 1 && !s.hedged && r.mayCallMore() {
			addDue(s.hedgeAt)
		}
	}
	if r.waiter != nil {
		addDue(now.Add(slotPollInterval))
	}
	if at, allowed := r.policy().earlyAt(); allowed && now.Before(r.started.Add(at)) {
		addDue(r.started.Add(at))
	}
	if r.firstRun != nil {
		r.firstRun.due(addDue)
	}
	return due.Sub(now)
}
