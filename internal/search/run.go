package search

import (
	"context"
	"sync/atomic"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quarantine"
)

// run is one scatter of a query over the shards of one snapshot. All fields but outlived belong to
// the goroutine of loop; calls hand it their ends over the channel events.
type run struct {
	e       *Engine
	q       *question
	plan    *plan
	fleet   fleet
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time
	reruns  int

	key    quarantine.Key
	shards []shard
	// trial is the first run on one leaf; nil once the request may run anywhere.
	trial *trial
	// outlived is true once a leaf has answered the request; calls read it when they end.
	outlived atomic.Bool
	// released is true once all shards may be asked.
	released bool

	events chan event
	// over is closed at the end; calls that end later are counted and dropped.
	over chan struct{}
	// waiter is set from the first wait for a slot on.
	waiter *waiter
	// active calls in flight over all shards; open shards that aren't settled.
	active, open int
	// covered counts the shards merged, documents those in them.
	covered   int
	documents uint64
	// idleSince is since when the run waits for leaves that it may not ask yet, zero while it doesn't; idled is how long
	// it did before.
	idleSince time.Time
	idled     time.Duration
	// losses counts connections lost with calls of this run.
	losses int
	// sent is true where a byte of the request may have reached a leaf.
	sent bool
	// again is the plan of another snapshot by which the query has to run again.
	again *plan
	// refused ends the run without an answer.
	refused *outcome.Error
	// early is true where the policy ended the run before its stragglers.
	early bool
	// firstSent is when the first call was sent, less what the run had been idle before.
	firstSent time.Time
	// lastAnswer is when the latest answer was merged.
	lastAnswer time.Time
}

func newRun(ctx context.Context, e *Engine, q *question, p *plan, reruns int) *run {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{
		e: e, q: q, plan: p, fleet: e.fleet(), ctx: ctx, cancel: cancel, started: time.Now(), reruns: reruns,
		key:    quarantine.SearchKey(q.service.Name, q.text, p.snapshot.Version, q.topK),
		shards: make([]shard, len(p.shards)),
		events: make(chan event), over: make(chan struct{}),
	}
	r.open = len(p.shards)
	for i := range p.shards {
		r.shards[i] = shard{target: p.shards[i], asked: r.ask(p.shards[i].id)}
	}
	return r
}

func (r *run) ask(id uint32) *pb.LeafSearchRequest {
	return &pb.LeafSearchRequest{
		RequestId: r.q.identity.GetRequestId(), Service: r.q.service.Name, Shard: id,
		Snapshot: r.plan.snapshot.Version, Query: r.q.text, TopK: int32(r.q.topK),
	}
}

// admit refuses a quarantined request, and sets whether the rest runs on one leaf first.
func (r *run) admit() *outcome.Error {
	standing, after := r.e.guard.Status(r.key)
	r.e.metrics.standings.WithLabelValues(r.q.service.Name, standing.String()).Inc()
	switch standing {
	case quarantine.Quarantined:
		r.cancel()
		return quarantined(after)
	case quarantine.Proven:
		r.outlived.Store(true)
		r.released = true
	case quarantine.Unproven:
		r.released = true
	default:
		r.trial = newTrial(r, standing >= quarantine.Suspect)
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
		timer.Reset(r.untilDue())
		select {
		case ev := <-r.events:
			r.take(ev)
		case leaf := <-r.wake():
			r.woken(leaf)
		case <-timer.C:
			r.tick()
		case <-r.ctx.Done():
			r.timeUp()
			return
		}
	}
}

// finish gives up what is still in flight. Its ends are taken by nobody.
func (r *run) finish() {
	close(r.over)
	r.cancel()
	r.stopWaiting()
	r.idle(false)
	r.q.idle += r.idled
	r.q.waited += r.waited()
	r.sent = r.sent || r.active > 0
	if !r.lastAnswer.IsZero() && r.again == nil {
		r.q.state.usual.add(r.lastAnswer.Sub(r.started))
	}
}

func (r *run) begin() {
	for i := range r.shards {
		if len(r.shards[i].replicas) == 0 {
			r.settle(i, pb.Reason_REASON_NO_UPSTREAM, r.shards[i].known())
		}
	}
	if r.released {
		r.startAll()
		return
	}
	r.trial.advance()
}

// startAll asks each shard that wasn't asked yet, and those parked once more.
func (r *run) startAll() {
	for i := range r.shards {
		s := &r.shards[i]
		switch {
		case s.settled || s.active > 0 || s.placing:
		case s.parked:
			s.parked = false
			r.react(i)
		default:
			r.start(i)
		}
	}
}

// release lets the request run on all shards, for a leaf has answered it.
func (r *run) release() {
	if r.outlived.Swap(true) {
		return
	}
	r.e.guard.RecordAnswer(r.key)
	r.idle(false)
	r.trial = nil
	r.released = true
	r.startAll()
}

// settle ends a shard without an answer.
func (r *run) settle(i int, reason pb.Reason, peer string) {
	s := &r.shards[i]
	s.reason = reason
	r.close(s)
	if peer != "" {
		s.peer = peer
	}
}

// close marks a shard as settled.
func (r *run) close(s *shard) {
	if !s.settled {
		r.open--
	}
	s.settled, s.placing, s.parked = true, false, false
}

// ended tells whether nothing more is to be waited for.
func (r *run) ended() bool {
	if r.refused != nil || r.again != nil {
		return true
	}
	if r.open == 0 || r.stuck() {
		return true
	}
	r.early = r.policy().early(time.Since(r.started), r.share())
	return r.early
}

// share is the covered share so far.
func (r *run) share() float64 {
	return shareOf(r.documents, r.plan.documents, r.covered, len(r.shards))
}

// stuck tells whether only parked shards are left, which no answer can free any more.
func (r *run) stuck() bool {
	if r.active > 0 || r.trial != nil {
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
	return policy{partial: k.Partial, earlyCoverage: k.EarlyCoverage, earlyAfter: k.EarlyAfter, usual: r.q.state.usual.get()}
}

// timeUp settles what is late when the time has run out or the caller has gone.
func (r *run) timeUp() {
	reason := pb.Reason_REASON_DEADLINE
	if r.ctx.Err() == context.Canceled {
		reason = pb.Reason_REASON_CANCELLED
	}
	for i := range r.shards {
		s := &r.shards[i]
		switch {
		case s.settled:
		case s.placing, r.trial != nil && r.trial.active == 0:
			r.settle(i, pb.Reason_REASON_OVERLOAD, "")
		case s.parked:
			r.settle(i, s.reason, "")
		default:
			r.settle(i, reason, "")
		}
	}
}

// ends shows how the shards stand.
func (r *run) ends() []shardEnd {
	ends := make([]shardEnd, len(r.shards))
	for i := range r.shards {
		s := &r.shards[i]
		reason := s.reason
		if reason == pb.Reason_REASON_UNSPECIFIED {
			reason = pb.Reason_REASON_DEADLINE
		}
		ends[i] = shardEnd{id: s.id, documents: s.documents, answer: s.answer, reason: reason, peer: s.peer}
	}
	return ends
}
