package search

import (
	"context"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quarantine"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// Step names this step of a request in outcomes.
const Step = "gather.search"

// Balancers provides the load balancer of a service.
type Balancers interface {
	For(service string) balance.Replicas
}

// Connections tells silent connections to leaves from busy leaves.
type Connections interface {
	// Probe pings the connections to the service's leaves on which calls wait.
	Probe(service string)
	// Silent reports whether such a connection has left a ping unanswered, or one was just found silent.
	Silent(service string) bool
}

// Engine answers searches. It is safe for concurrent use.
type Engine struct {
	settings Settings
	source   feed.Source
	caller   upstream.Caller
	// connections is nil if nothing is known of the connections.
	connections Connections
	balancers   Balancers
	guard       *quarantine.Registry
	metrics     *Metrics
	log         *firstRunLog
	calls       sync.WaitGroup

	mu sync.Mutex
	// services holds the state of each service by its name, missingSnapshots until when a leaf that refused a snapshot
	// is taken to lack it. Both are guarded by mu.
	services         map[string]*serviceState
	missingSnapshots map[leafSnapshot]time.Time
}

// serviceState is what the engine has learned about one service.
type serviceState struct {
	typical typicalTime
	slots   *slotQueue
	limiter *limiter
}

// leafSnapshot identifies a snapshot at a leaf.
type leafSnapshot struct {
	leaf    string
	version uint64
}

// New returns an engine without any learned state. connections may be nil.
func New(s Settings, source feed.Source, caller upstream.Caller, connections Connections, b Balancers, guard *quarantine.Registry, log *zap.Logger, m *Metrics) *Engine {
	return &Engine{
		settings: s, source: source, caller: caller, connections: connections, balancers: b, guard: guard, metrics: m,
		log:      newFirstRunLog(log),
		services: make(map[string]*serviceState), missingSnapshots: make(map[leafSnapshot]time.Time),
	}
}

// query holds what is fixed for one search when it arrives.
type query struct {
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
	// plannedAt is a time just before the search took the view that it is planned by.
	plannedAt time.Time
	// deadline is when the answer must be ready: the caller's deadline less the margin.
	deadline time.Time
	// slotWait is how long the search waited for slots of leaves. Each run adds to it when it ends.
	slotWait time.Duration
	// blockedTime is how long the search waited for leaves that it was not allowed to call yet. Each run adds to it when
	// it ends.
	blockedTime time.Duration
}

// Search answers a search of an identified caller. An error is an *outcome.Error. The answer holds hits of one
// snapshot only, and its coverage counts only shards whose answer is merged.
func (e *Engine) Search(ctx context.Context, identity *pb.Identity, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	q, err := e.newQuery(ctx, identity, req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	a, err := e.answerWhenAdmitted(ctx, q)
	e.metrics.recordSearch(q, a, err)
	if err != nil {
		return nil, err
	}
	return a, nil
}

// answerWhenAdmitted answers the search once the concurrency limiter of the service admits it.
func (e *Engine) answerWhenAdmitted(ctx context.Context, q *query) (*pb.SearchResponse, error) {
	if q.state.limiter == nil {
		return e.answer(ctx, q)
	}
	if !q.state.limiter.enter(ctx, q.kind.Weight, q.queueWait()) {
		message := "too many searches run: " + q.state.limiter.describe(time.Now())
		return nil, outcome.NotRun(pb.Reason_REASON_OVERLOAD, Step, message).WithRetryAfter(e.settings.RetryAfter.D())
	}
	started := time.Now()
	defer func() {
		now := time.Now()
		q.state.limiter.leave(now, now.Sub(started)-q.blockedTime, q.slotWait)
	}()
	return e.answer(ctx, q)
}

// queueWait returns how long the search may wait at the limiter if that is longer than the limiter's own maximum. A
// kind that prefers coverage can spend a part of its time waiting while the running searches are delayed, for instance
// by connections that have gone silent. The queue still holds no more searches than run at once, so overload is refused
// immediately.
func (q *query) queueWait() time.Duration {
	if q.kind.Partial != bundle.PartialCoverage {
		return 0
	}
	return q.deadline.Sub(q.started) / queueWaitDivisor
}

// newQuery checks a request against the bundle in force. When it returns an error, nothing has been sent.
func (e *Engine) newQuery(ctx context.Context, identity *pb.Identity, req *pb.SearchRequest) (*query, error) {
	plannedAt := time.Now()
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
	q := &query{
		identity: identity, bundle: b, service: s, kind: k, text: req.GetQuery(),
		digest: xxhash.Sum64String(req.GetQuery()), topK: int(req.GetTopK()),
		replicas: e.balancers.For(s.Name), state: e.service(s), started: time.Now(), plannedAt: plannedAt,
	}
	if q.topK == 0 {
		q.topK = k.TopK
	}
	return q, e.setDeadline(ctx, q)
}

// setDeadline reserves a margin of the caller's time for the return of the answer.
func (e *Engine) setDeadline(ctx context.Context, q *query) error {
	end, ok := ctx.Deadline()
	if latest := q.started.Add(q.kind.Timeout); !ok {
		end = latest
	}
	remaining := end.Sub(q.started)
	if remaining <= 0 {
		return outcome.NotRun(pb.Reason_REASON_DEADLINE, Step, "no time left")
	}
	q.deadline = end.Add(-min(max(e.settings.AnswerMargin.D(), remaining/marginDivisor), remaining/marginCapDivisor))
	return nil
}

func (e *Engine) service(b *bundle.Service) *serviceState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[b.Name]
	if s == nil {
		s = &serviceState{slots: newSlotQueue()}
		if e.settings.Concurrency == ConcurrencyAdaptive {
			s.limiter = newLimiter(minGroupSlots(b), e.settings.QueueWait.D())
			s.limiter.service, s.limiter.connections = b.Name, e.connections
		}
		e.services[b.Name] = s
	}
	return s
}

// answer runs the query, and a second time if its snapshot was dropped during the first run.
func (e *Engine) answer(ctx context.Context, q *query) (*pb.SearchResponse, error) {
	p := choosePlan(q.service, e.fleet())
	if p == nil {
		return nil, outcome.NotRun(pb.Reason_REASON_NO_UPSTREAM, Step, "no shard can be asked").WithRetryAfter(e.settings.RetryAfter.D())
	}
	sent := false
	for reruns := 0; ; reruns++ {
		r := newRun(ctx, e, q, p, reruns)
		if err := r.checkQuarantine(); err != nil {
			return nil, failedIfSent(err, sent)
		}
		r.loop()
		sent = sent || r.sent
		if r.rerunPlan == nil {
			return r.response(sent)
		}
		e.metrics.reruns.WithLabelValues(q.service.Name, q.kind.Name).Inc()
		p = r.rerunPlan
	}
}

// failedIfSent returns err with not_run turned into failed if anything was sent. The kind not_run is only for requests
// of which nothing was sent.
func failedIfSent(err *outcome.Error, sent bool) error {
	if !sent {
		return err
	}
	failed := *err
	failed.Kind = pb.OutcomeKind_OUTCOME_KIND_FAILED
	return &failed
}

// fleet returns the current state of the leaves.
func (e *Engine) fleet() fleet { return fleet{state: e.caller.State, lacksSnapshot: e.lacksSnapshot} }

// lacksSnapshot reports whether the leaf refused the version within missingSnapshotTTL.
func (e *Engine) lacksSnapshot(leaf string, version uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.missingSnapshots) == 0 {
		return false
	}
	key := leafSnapshot{leaf, version}
	until, ok := e.missingSnapshots[key]
	if ok && time.Now().After(until) {
		delete(e.missingSnapshots, key)
		return false
	}
	return ok
}

func (e *Engine) recordMissingSnapshot(leaf string, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.missingSnapshots[leafSnapshot{leaf, version}] = time.Now().Add(missingSnapshotTTL)
}

// Wait returns when no call to a leaf is in flight. No search may start concurrently with it.
func (e *Engine) Wait() { e.calls.Wait() }
