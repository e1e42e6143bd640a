package search

import (
	"context"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quarantine"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// Step names this duty in outcomes.
const Step = "gather.search"

// Balancers gives the replica choice of a service.
type Balancers interface {
	For(service string) balance.Replicas
}

// Engine answers searches. It is safe for concurrent use.
type Engine struct {
	settings  Settings
	source    feed.Source
	caller    upstream.Caller
	balancers Balancers
	guard     *quarantine.Registry
	metrics   *Metrics
	calls     sync.WaitGroup

	mu sync.Mutex
	// services by name, and lacking, the snapshots that leaves refused; both guarded by mu.
	services map[string]*serviceState
	lacking  map[holding]time.Time
}

// serviceState is what the engine learned of one service.
type serviceState struct {
	usual   usual
	waiting *waiting
	gate    *gate
}

// holding names a snapshot at a leaf.
type holding struct {
	leaf    string
	version uint64
}

// New returns an engine that has learned nothing yet.
func New(s Settings, source feed.Source, caller upstream.Caller, b Balancers, guard *quarantine.Registry, m *Metrics) *Engine {
	return &Engine{
		settings: s, source: source, caller: caller, balancers: b, guard: guard, metrics: m,
		services: make(map[string]*serviceState), lacking: make(map[holding]time.Time),
	}
}

// question is what is fixed for one search from its arrival on.
type question struct {
	identity *pb.Identity
	bundle   *bundle.Bundle
	service  *bundle.Service
	kind     *bundle.Kind
	text     string
	digest   uint64
	topK     int
	replicas balance.Replicas
	state    *serviceState
	started  time.Time
	// planned is a time before the view was taken by which the search goes.
	planned time.Time
	// deadline is when the answer must be made, the caller's one less the margin.
	deadline time.Time
	// waited is how long the search waited for slots of leaves; set by its runs as they end.
	waited time.Duration
	// idle is how long it waited for leaves that it couldn't ask yet; set as waited is.
	idle time.Duration
}

// Search answers a search of an identified caller. An error is an *outcome.Error. The answer holds
// hits of one snapshot only, and its coverage counts only shards whose answer is merged.
func (e *Engine) Search(ctx context.Context, identity *pb.Identity, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	q, err := e.question(ctx, identity, req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	a, err := e.gated(ctx, q)
	e.metrics.ended(q, a, err)
	if err != nil {
		return nil, err
	}
	return a, nil
}

// gated answers once the gate of the service lets the search in.
func (e *Engine) gated(ctx context.Context, q *question) (*pb.SearchResponse, error) {
	if q.state.gate == nil {
		return e.answer(ctx, q)
	}
	if !q.state.gate.enter(ctx, q.kind.Weight, q.patience()) {
		return nil, outcome.NotRun(pb.Reason_REASON_OVERLOAD, Step, "too many searches run").WithRetryAfter(e.settings.RetryAfter.D())
	}
	begun := time.Now()
	defer func() {
		now := time.Now()
		q.state.gate.leave(now, now.Sub(begun)-q.idle, q.waited)
	}()
	return e.answer(ctx, q)
}

// patience is how long the search waits at the gate beyond the gate's own bound: a kind that weighs
// coverage most has a part of its time to spare when the searches that run are held up, as by
// connections gone silent. It finds no more places in the queue than run at once, so that overload
// is refused at once as before.
func (q *question) patience() time.Duration {
	if q.kind.Partial != bundle.PartialCoverage {
		return 0
	}
	return q.deadline.Sub(q.started) / patienceShare
}

// question checks a request against the bundle in force. Nothing has been sent when it refuses.
func (e *Engine) question(ctx context.Context, identity *pb.Identity, req *pb.SearchRequest) (*question, error) {
	planned := time.Now()
	b := e.source.Current().Bundle
	if b == nil {
		return nil, outcome.NotRun(pb.Reason_REASON_NO_BUNDLE, Step, "no bundle in force yet").WithRetryAfter(e.settings.RetryAfter.D())
	}
	s := b.Services[req.GetService()]
	if s == nil {
		return nil, outcome.NotRun(pb.Reason_REASON_UNKNOWN_SERVICE, Step, "no such service")
	}
	k := s.Kinds[req.GetKind()]
	if k == nil || k.Mode != bundle.ModeSearch {
		return nil, outcome.NotRun(pb.Reason_REASON_UNKNOWN_SERVICE, Step, "no such kind of search")
	}
	if !utf8.ValidString(req.GetQuery()) || req.GetTopK() < 0 {
		return nil, outcome.NotRun(pb.Reason_REASON_INVALID_REQUEST, Step, "query is not UTF-8 or top_k is negative")
	}
	if len(req.GetQuery()) > b.Limits.MaxQueryBytes || int(req.GetTopK()) > b.Limits.MaxTopK {
		return nil, outcome.NotRun(pb.Reason_REASON_TOO_LARGE, Step, "query or top_k above the limit")
	}
	q := &question{
		identity: identity, bundle: b, service: s, kind: k, text: req.GetQuery(),
		digest: xxhash.Sum64String(req.GetQuery()), topK: int(req.GetTopK()),
		replicas: e.balancers.For(s.Name), state: e.service(s), started: time.Now(), planned: planned,
	}
	if q.topK == 0 {
		q.topK = k.TopK
	}
	return q, e.setDeadline(ctx, q)
}

// setDeadline keeps a margin of the caller's time for the way back.
func (e *Engine) setDeadline(ctx context.Context, q *question) error {
	end, ok := ctx.Deadline()
	if latest := q.started.Add(q.kind.Timeout); !ok {
		end = latest
	}
	left := end.Sub(q.started)
	if left <= 0 {
		return outcome.NotRun(pb.Reason_REASON_DEADLINE, Step, "no time left")
	}
	q.deadline = end.Add(-min(max(e.settings.AnswerMargin.D(), left/marginShare), left/marginMost))
	return nil
}

func (e *Engine) service(b *bundle.Service) *serviceState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[b.Name]
	if s == nil {
		s = &serviceState{waiting: newWaiting()}
		if e.settings.Concurrency == ConcurrencyAdaptive {
			s.gate = newGate(leastSlots(b), e.settings.QueueWait.D())
		}
		e.services[b.Name] = s
	}
	return s
}

// answer runs the query, a second time where a snapshot was dropped under it.
func (e *Engine) answer(ctx context.Context, q *question) (*pb.SearchResponse, error) {
	p := choose(q.service, e.fleet())
	if p == nil {
		return nil, outcome.NotRun(pb.Reason_REASON_NO_UPSTREAM, Step, "no shard can be asked").WithRetryAfter(e.settings.RetryAfter.D())
	}
	sent := false
	for reruns := 0; ; reruns++ {
		r := newRun(ctx, e, q, p, reruns)
		if err := r.admit(); err != nil {
			return nil, refusal(err, sent)
		}
		r.loop()
		sent = sent || r.sent
		if r.again == nil {
			return r.result(sent)
		}
		e.metrics.reruns.WithLabelValues(q.service.Name, q.kind.Name).Inc()
		p = r.again
	}
}

// refusal keeps not_run for requests of which nothing was sent.
func refusal(err *outcome.Error, sent bool) error {
	if !sent {
		return err
	}
	failed := *err
	failed.Kind = pb.OutcomeKind_OUTCOME_KIND_FAILED
	return &failed
}

// fleet returns what is known of the leaves now.
func (e *Engine) fleet() fleet { return fleet{state: e.caller.State, lacks: e.lacks} }

// lacks tells whether the leaf refused the version lately.
func (e *Engine) lacks(leaf string, version uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.lacking) == 0 {
		return false
	}
	h := holding{leaf, version}
	until, ok := e.lacking[h]
	if ok && time.Now().After(until) {
		delete(e.lacking, h)
		return false
	}
	return ok
}

func (e *Engine) noteLacking(leaf string, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lacking[holding{leaf, version}] = time.Now().Add(lacksFor)
}

// Wait returns when no call to a leaf is in flight any more. No search may be started beside it.
func (e *Engine) Wait() { e.calls.Wait() }
