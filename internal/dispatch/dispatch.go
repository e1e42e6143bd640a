// Package dispatch serves callers' requests from the leaves. It selects the route and sends a single request to
// one leaf, or a search to one leaf of each shard. It repeats and hedges idempotent requests within the retry
// budgets. An answer states what it covers, and a refusal states whether the request has run.
package dispatch

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/crashguard"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/overload"
	"github.com/burdockplank/burdockplank/internal/replica"
	"github.com/burdockplank/burdockplank/internal/retrybudget"
)

// Step is the name of this package in errors and logs.
const Step = "dispatch"

// Request is one attempt of a caller, independent of the wire format.
type Request struct {
	// ID identifies the attempt.
	ID string
	// Method, Host and Path select the route. Target is the path and query as received.
	Method, Host, Path, Target string
	// Header holds the headers that are passed on to the leaf.
	Header http.Header
	Body   []byte
	// Remaining is how long the caller waits, counted from Arrived; 0 if the caller did not say.
	Remaining time.Duration
	Arrived   time.Time
	// NewConnection is set for the first request of a connection, which took longer to arrive.
	NewConnection bool
	// RoundTrip is the network round trip to the caller, measured on its connection; 0 if unknown.
	RoundTrip time.Duration
	// Lag is the recent scheduling lag of the VM that received the request from the caller; 0 if it was this VM.
	Lag time.Duration
	// From is the address of the VM that received the request from the caller and handed it to this one; empty if
	// this VM received it.
	From string
	// CallerLeft reports whether the caller has closed its connection, by asking the connection; nil if that is unknown.
	CallerLeft func() bool
	// Caller is the IP address of the caller; empty if unknown.
	Caller string
	// Admitted is set if this VM has already admitted the request by its processor.
	Admitted bool
	// Declined says why the larger VMs that were offered the search did not take it; empty if none was offered it.
	Declined string
}

// Server serves requests.
type Server interface {
	Serve(ctx context.Context, r *Request) *Answer
}

// Outcome says how a request ended.
type Outcome string

// Outcomes of a request.
const (
	// Served: the answer of a leaf is passed on, or the merged answer of a search.
	Served Outcome = "served"
	// LeafFailure: the leaf's own failure response is passed on.
	LeafFailure Outcome = "leaf_failure"
	// NotRun: no leaf has run the request, and none will.
	NotRun Outcome = "not_run"
	// Unknown: the request may have run, and there is no answer.
	Unknown Outcome = "unknown"
	// TimedOut: the request may have run, and its deadline has passed.
	TimedOut Outcome = "timed_out"
	// NoRoute: the configuration has no route for the request.
	NoRoute Outcome = "no_route"
	// CallerGone: the caller left before the answer.
	CallerGone Outcome = "caller_gone"
)

// Reason says why a request was not served, or not completely.
type Reason string

// Reasons that accompany an outcome.
const (
	ReasonNone     Reason = ""
	ReasonNoConfig Reason = "no_configuration"
	ReasonNoRoute  Reason = "no_route"
	// ReasonNoLeaf: no leaf is known, or no known leaf accepted a connection.
	ReasonNoLeaf Reason = "no_leaf"
	// ReasonEvacuated: no leaf is left beside those whose availability zone is evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonColdLeaves: all leaves are cold and have got as many requests as they tolerate.
	ReasonColdLeaves Reason = "cold_leaves"
	// ReasonUnresponsiveLeaves: too many shards have no leaf that has responded for a while.
	ReasonUnresponsiveLeaves Reason = "mute_leaves"
	ReasonRefused            Reason = "refused_by_leaves"
	// ReasonNoBudget: leaves refused or lost the request, and the budget allows no extra call in time.
	ReasonNoBudget Reason = "no_budget"
	// ReasonBusyLeaves: the queues at the leaves are too long for an answer in time.
	ReasonBusyLeaves Reason = "busy_leaves"
	// ReasonBusyGatherers: no VM that makes the calls of searches has room for the search.
	ReasonBusyGatherers Reason = "busy_gatherers"
	// ReasonBusyProcessor: the request would wait too long for the processor of this VM.
	ReasonBusyProcessor Reason = "busy_processor"
	// ReasonCallerShare: the caller has used its equal share of what its priority gets.
	ReasonCallerShare    Reason = "caller_share"
	ReasonTooFewShards   Reason = "too_few_shards"
	ReasonDeadline       Reason = "deadline"
	ReasonConnectionLost Reason = "connection_lost"
	// ReasonInvalidAnswer: a leaf's answer arrived with wrong bytes.
	ReasonInvalidAnswer Reason = "invalid_answer"
	ReasonCrashedLeaves Reason = "crashed_leaves"
	ReasonCallerGone    Reason = "caller_gone"
	// ReasonGathererLost: the VM that was to answer a search for this one was lost.
	ReasonGathererLost Reason = "gatherer_lost"
	// ReasonPartial: served without some of the shards.
	ReasonPartial Reason = "partial"
)

// Overload reports whether the reason is a refusal by admission control.
func (r Reason) Overload() bool {
	switch r {
	case ReasonBusyLeaves, ReasonBusyGatherers, ReasonBusyProcessor, ReasonCallerShare:
		return true
	}
	return false
}

// Answer is the result returned to the caller.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	Route   *catalog.Route
	// Leaf is the leaf's response to a single request.
	Leaf *leafcall.Response
	// Signatures are those of the parts of a search, Missing counts the missing shards, and Records are the merged
	// records.
	Signatures []string
	Missing    int
	Records    []byte
	// RetryAfter is the delay after which to retry a request that was not run.
	RetryAfter time.Duration
}

// Leaves sends calls to leaves.
type Leaves interface {
	Do(ctx context.Context, id catalog.LeafID, r *leafcall.Request) (*leafcall.Response, error)
	// Free reports whether a call would find a connection, and whether that connection is already open.
	Free(id catalog.LeafID) (free, open bool)
}

// Crashes tracks the requests that crash leaves across the whole fleet.
type Crashes interface {
	// Blocked reports whether the request has crashed too many leaves.
	Blocked(digest uint64) bool
	// Suspect reports whether the request may be crashing leaves.
	Suspect(digest uint64) (s crashguard.Suspicion, suspect bool)
	// Lost records that a call ended without an answer while the leaf may have run the request.
	Lost(l crashguard.Loss)
	// Answered records that a leaf has run the request and outlived it.
	Answered(digest uint64)
	// Down records that the leaf's address refuses connections, Replaced that it belongs to another leaf.
	Down(leaf catalog.LeafID)
	Replaced(leaf catalog.LeafID)
}

// ColdLeaves bounds the requests to cold leaves.
type ColdLeaves interface {
	// Available reports whether a request may be sent to the cold leaf now; rate is what it tolerates per second.
	Available(leaf catalog.Leaf, rate float64) bool
	// Take counts a request to the cold leaf and reports whether it may be sent.
	Take(leaf catalog.Leaf, rate float64) bool
}

// Gate admits requests by the processor of this VM.
type Gate interface {
	Admit(now time.Time, r overload.Request) overload.Decision
}

// Directory returns the latest view.
type Directory interface {
	Current() *directory.View
}

// StartingDirectory is a Directory that can also wait for the first configuration.
type StartingDirectory interface {
	Directory
	// Await returns the latest view as soon as it has a configuration, or when limit has passed.
	Await(ctx context.Context, limit time.Duration) *directory.View
}

// Engine serves requests. It is safe for concurrent use.
type Engine struct {
	zone         string
	directory    StartingDirectory
	leaves       Leaves
	table        *replica.Table
	budgets      *retrybudget.Budgets
	crashes      Crashes
	coldLeaves   ColdLeaves
	gate         Gate
	regions      map[string]string
	observer     Observer
	calls        sync.WaitGroup
	movedLeaves  movedSet
	splits       splits
	probes       probes
	lateArrivals lateArrivals
	sharedShards sharedShards
	lag          lag
	// started is when the engine was created.
	started time.Time
}

// Observer receives the outcome and the trace of each request.
type Observer interface {
	Ended(r *Request, a *Answer, trace *Trace)
}

// Location says where this VM is.
type Location struct {
	// Zone is the availability zone of this VM.
	Zone string
	// Regions holds the region of each availability zone.
	Regions map[string]string
}

// New returns an engine for a VM at the location.
func New(at Location, d StartingDirectory, l Leaves, t *replica.Table, b *retrybudget.Budgets, c Crashes, cold ColdLeaves, g Gate, o Observer) *Engine {
	return &Engine{
		zone: at.Zone, regions: at.Regions, directory: d, leaves: l, table: t, budgets: b, crashes: c, coldLeaves: cold, gate: g, observer: o,
		started: time.Now(),
	}
}

// Serve serves one request and reports it to the observer.
func (e *Engine) Serve(ctx context.Context, req *Request) *Answer {
	trace := &Trace{}
	a := e.serve(ctx, req, trace)
	e.observer.Ended(req, a, trace)
	return a
}

func (e *Engine) serve(ctx context.Context, req *Request, trace *Trace) *Answer {
	view := e.view(ctx, req)
	trace.Era, trace.Revision = view.Era, view.Revision
	if view.Config == nil {
		return &Answer{Outcome: NotRun, Reason: ReasonNoConfig, RetryAfter: withJitter(e.retryNoConfig())}
	}
	trace.Version = view.Config.Version
	route := Match(view.Config, req)
	if route == nil {
		return &Answer{Outcome: NoRoute, Reason: ReasonNoRoute}
	}
	digest := digestOf(req)
	trace.Digest = digest
	if e.crashes.Blocked(digest) {
		return &Answer{Outcome: NotRun, Reason: ReasonCrashedLeaves, Route: route, RetryAfter: retryCrashing}
	}
	r := newRun(ctx, e, req, route, view, digest, trace)
	return r.serve()
}

// Match returns the route of a request, or nil if there is none. A port in the host is ignored if no route names
// it.
func Match(c *catalog.Config, req *Request) *catalog.Route {
	if r := c.Match(req.Host, req.Path); r != nil {
		return r
	}
	host, _, ok := strings.Cut(req.Host, ":")
	if !ok {
		return nil
	}
	return c.Match(host, req.Path)
}

// digestOf returns a digest that a repetition of the request shares with it.
func digestOf(req *Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{req.Method, hostName(req.Host), req.Target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

// hostName returns the host without a port.
func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// Wait returns when no call to a leaf is in flight. It must not run concurrently with Serve.
func (e *Engine) Wait() { e.calls.Wait() }

// Trace records how a request was served, for the decision log.
type Trace struct {
	// Version is that of the configuration, Era and Revision those of the store by which the request was served.
	Version, Era, Revision uint64
	// Digest is what repetitions of the request share; 0 if the request has no route.
	Digest uint64
	// Gatherer is the address of the VM that made the calls; empty if this VM did.
	Gatherer string
	// Calls counts the calls sent; Hedges and Repeats are the hedges and repeats among them.
	Calls, Hedges, Repeats int
	// Refusals and Failures count those of leaves. Denied counts the extra calls that the budget refused.
	Refusals, Failures, Denied int
	// GivenUp counts the parts that were late and unlikely to arrive, so the answer did not wait for them.
	GivenUp int
	// Wait is the wait by which admission decided, and WaitLimit the longest one at which the request is admitted.
	Wait, WaitLimit time.Duration
	// Demand is the number of requests of the same priority per second that admission counted; 0 if it did not.
	Demand float64
	// BadCalls holds the first maxBadCalls calls that brought no part.
	BadCalls []BadCall
}

// maxBadCalls bounds the bad calls that the record of a request lists, which keeps a log line under a kilobyte.
const maxBadCalls = 6

// BadCall describes a call that brought no part.
type BadCall struct {
	// Service is the shard, or the service of a single request. Leaf is zero if no leaf was found.
	Service string
	Leaf    catalog.LeafID
	// Problem says what happened, and After how long after the arrival of the request.
	Problem string
	After   time.Duration
}

// addBadCall records a bad call unless maxBadCalls are recorded already.
func (t *Trace) addBadCall(b BadCall) {
	if len(t.BadCalls) < maxBadCalls {
		t.BadCalls = append(t.BadCalls, b)
	}
}
