package search

import (
	"context"
	"sync/atomic"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quarantine"
)

// run is one scatter of a query over the shards of one snapshot. All fields except proven are owned by the goroutine
// that runs loop. Calls pass their results to it over the channel results.
type run struct {
	e       *Engine
	q       *query
	plan    *plan
	fleet   fleet
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time
	reruns  int

	key    quarantine.Key
	shards []shard
	// firstRun is the first run of the request on one leaf, nil once the request may run anywhere.
	firstRun *firstRun
	// proven is true once a leaf has answered the request. Calls read it when they end.
	proven atomic.Bool
	// fanOut is true once all shards may be called.
	fanOut bool

	results chan callResult
	// done is closed when the run ends. Calls that end later are counted and dropped.
	done chan struct{}
	// waiter is set at the first wait for a slot.
	waiter *waiter
	// inFlight is the number of calls in flight over all shards, unsettled the number of shards that are not settled.
	inFlight, unsettled int
	// coveredShards is the number of merged shards, coveredDocuments the number of documents in them.
	coveredShards    int
	coveredDocuments uint64
	// blockedSince is when the current wait for leaves that the run is not allowed to call yet began, zero if there is
	// none. blockedTime is the total of earlier such waits.
	blockedSince time.Time
	blockedTime  time.Duration
	// losses is the number of connections lost with calls of this run.
	losses int
	// sent is true if a byte of the request may have reached a leaf.
	sent bool
	// rerunPlan is the plan of another snapshot with which the query has to run again.
	rerunPlan *plan
	// refusal ends the run without an answer.
	refusal *outcome.Error
	// early is true if the policy ended the run before its stragglers answered.
	early bool
	// firstSent is when the first call was sent, less the blocked time before it.
	firstSent time.Time
	// lastAnswer is when the latest answer was merged.
	lastAnswer time.Time
}

func newRun(ctx context.Context, e *Engine, q *query, p *plan, reruns int) *run {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{
		e: e, q: q, plan: p, fleet: e.fleet(), ctx: ctx, cancel: cancel, started: time.Now(), reruns: reruns,
		key:     quarantine.SearchKey(q.service.Name, q.text, p.snapshot.Version, q.topK),
		shards:  make([]shard, len(p.shards)),
		results: make(chan callResult), done: make(chan struct{}),
	}
	r.unsettled = len(p.shards)
	for i := range p.shards {
		r.shards[i] = shard{target: p.shards[i], request: r.leafRequest(p.shards[i].id)}
	}
	return r
}

func (r *run) leafRequest(id uint32) *pb.LeafSearchRequest {
	return &pb.LeafSearchRequest{
		RequestId: r.q.identity.GetRequestId(), Service: r.q.service.Name, Shard: id,
		Snapshot: r.plan.snapshot.Version, Query: r.q.text, TopK: int32(r.q.topK),
	}
}

// checkQuarantine refuses a quarantined request, and decides whether the request first runs on one leaf.
func (r *run) checkQuarantine() *outcome.Error {
	status, after := r.e.guard.Status(r.key)
	r.e.metrics.statuses.WithLabelValues(r.q.service.Name, status.String()).Inc()
	switch status {
	case quarantine.Quarantined:
		r.cancel()
		return quarantineRefusal(after)
	case quarantine.Proven:
		r.proven.Store(true)
		r.fanOut = true
	case quarantine.Unproven:
		r.fanOut = true
	default:
		r.firstRun = newFirstRun(r, status >= quarantine.Suspect)
	}
	return nil
}

// loop runs the query to its end.
func (r *run) loop() {
	defer r.finish()
	r.begin()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !r.ended() {
		timer.Reset(r.timerDelay())
		select {
		case res := <-r.results:
			r.handleResult(res)
		case leaf := <-r.freeSlots():
			r.handleFreeSlot(leaf)
		case <-timer.C:
			r.tick()
		case <-r.ctx.Done():
			r.settleUnfinished()
			return
		}
	}
}

// finish cancels the calls that are still in flight. Their results are dropped.
func (r *run) finish() {
	close(r.done)
	r.cancel()
	r.stopWaiting()
	r.setBlocked(false)
	r.q.blockedTime += r.blockedTime
	r.q.slotWait += r.slotWait()
	r.sent = r.sent || r.inFlight > 0
	if !r.lastAnswer.IsZero() && r.rerunPlan == nil {
		r.q.state.typical.add(r.lastAnswer.Sub(r.started))
	}
}

// begin settles the shards without a usable replica and starts the first calls.
func (r *run) begin() {
	for i := range r.shards {
		if len(r.shards[i].replicas) == 0 {
			r.settle(i, pb.Reason_REASON_NO_UPSTREAM, r.shards[i].firstListed())
		}
	}
	if r.fanOut {
		r.startAll()
		return
	}
	r.firstRun.advance()
}

// startAll calls each shard that was not called yet, and retries those that are parked.
func (r *run) startAll() {
	for i := range r.shards {
		s := &r.shards[i]
		switch {
		case s.settled || s.inFlight > 0 || s.awaitingSlot:
		case s.parked:
			s.parked = false
			r.resolveFailure(i)
		default:
			r.start(i)
		}
	}
}

// startFanOut lets the request run on all shards because a leaf has answered it.
func (r *run) startFanOut() {
	if r.proven.Swap(true) {
		return
	}
	r.e.guard.RecordAnswer(r.key)
	r.setBlocked(false)
	r.firstRun = nil
	r.fanOut = true
	r.startAll()
}

// settle ends a shard without an answer.
func (r *run) settle(i int, reason pb.Reason, peer string) {
	s := &r.shards[i]
	s.reason = reason
	r.markSettled(s)
	if peer != "" {
		s.peer = peer
	}
}

// markSettled marks a shard as settled.
func (r *run) markSettled(s *shard) {
	if !s.settled {
		r.unsettled--
	}
	s.settled, s.awaitingSlot, s.parked = true, false, false
}

// ended reports whether the run has nothing left to wait for.
func (r *run) ended() bool {
	if r.refusal != nil || r.rerunPlan != nil {
		return true
	}
	if r.unsettled == 0 || r.stuck() {
		return true
	}
	r.early = r.policy().early(time.Since(r.started), r.coveredShare())
	return r.early
}

// coveredShare returns the share of the data covered so far, 0 to 1.
func (r *run) coveredShare() float64 {
	return coveredFraction(r.coveredDocuments, r.plan.documents, r.coveredShards, len(r.shards))
}

// stuck reports whether only parked shards remain unsettled and no call is in flight whose answer could restart them.
func (r *run) stuck() bool {
	if r.inFlight > 0 || r.firstRun != nil {
		return false
	}
	for i := range r.shards {
		if s := &r.shards[i]; !s.settled && !s.parked {
			return false
		}
	}
	return true
}

func (r *run) policy() policy {
	k := r.q.kind
	return policy{partial: k.Partial, earlyCoverage: k.EarlyCoverage, earlyAfter: k.EarlyAfter, typical: r.q.state.typical.get()}
}

// settleUnfinished settles the remaining shards when the deadline has passed or the caller has gone.
func (r *run) settleUnfinished() {
	reason := pb.Reason_REASON_DEADLINE
	if r.ctx.Err() == context.Canceled {
		reason = pb.Reason_REASON_CANCELLED
	}
	for i := range r.shards {
		s := &r.shards[i]
		switch {
		case s.settled:
		case s.awaitingSlot, r.firstRun != nil && r.firstRun.inFlight == 0:
			r.settle(i, pb.Reason_REASON_OVERLOAD, "")
		case s.parked:
			r.settle(i, s.reason, "")
		default:
			r.settle(i, reason, "")
		}
	}
}

// shardResults returns the results of the shards.
func (r *run) shardResults() []shardResult {
	results := make([]shardResult, len(r.shards))
	for i := range r.shards {
		s := &r.shards[i]
		reason := s.reason
		if reason == pb.Reason_REASON_UNSPECIFIED {
			reason = pb.Reason_REASON_DEADLINE
		}
		results[i] = shardResult{id: s.id, documents: s.documents, answer: s.answer, reason: reason, peer: s.peer}
	}
	return results
}
