// Package decision records the outcome of requests. It writes one log line for each request that was refused,
// failed, partial, late, repeated or hedged, up to a bounded rate, and counts all requests.
package decision

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/dispatch"
)

// Limits bound the rate of request log lines. A line has 400 to 900 bytes and costs about 10 microseconds of a
// core.
type Limits struct {
	// Failed bounds the lines per second for requests without a complete answer in time, and Helped those for
	// requests served with the help of hedges or repeats.
	Failed, Helped float64
}

// DefaultLimits returns 60 and 10 lines per second: 0.1% of a core, and a hundred thousand lines in half an hour.
func DefaultLimits() Limits { return Limits{Failed: 60, Helped: 10} }

const (
	// burstSeconds is how many seconds' worth of lines may be written at once.
	burstSeconds = 5
	// reportPeriod is how often the number of omitted lines is logged.
	reportPeriod = 5 * time.Second
)

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond*burstSeconds))
}

// Sink reports the number of lines that its buffer has dropped.
type Sink interface{ Dropped() uint64 }

// Recorder implements dispatch.Observer. It is safe for concurrent use.
type Recorder struct {
	log          *zap.Logger
	sink         Sink
	failed       *rate.Limiter
	helped       *rate.Limiter
	linesLeftOut atomic.Uint64

	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	calls    *prometheus.CounterVec
	refused  *prometheus.CounterVec
	dropped  prometheus.CounterFunc
}

// New returns a Recorder that registers its metrics with reg.
func New(log *zap.Logger, sink Sink, limits Limits, reg prometheus.Registerer) *Recorder {
	r := &Recorder{
		log: log, sink: sink, failed: newLimiter(limits.Failed), helped: newLimiter(limits.Helped),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_requests_total", Help: "Requests by route, outcome and reason.",
		}, []string{"route", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "burdock_request_seconds", Help: "Time from a request's arrival to its answer, by kind: search or single.",
			Buckets: []float64{0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.16, 0.3, 0.6, 1.2, 2.5, 5},
		}, []string{"kind"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_leaf_calls_total", Help: "Calls to leaves by route and sort.",
		}, []string{"route", "sort"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_refused_total", Help: "Requests that were refused before they ran, by reason and priority of their route.",
		}, []string{"reason", "priority"}),
	}
	r.dropped = prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "burdock_log_lines_dropped_total", Help: "Log lines that the volume limit left out or that found the buffer full.",
	}, func() float64 { return float64(r.linesLeftOut.Load() + sink.Dropped()) })
	reg.MustRegister(r.requests, r.latency, r.calls, r.refused, r.dropped)
	return r
}

// Ended implements dispatch.Observer.
func (r *Recorder) Ended(req *dispatch.Request, a *dispatch.Answer, t *dispatch.Trace) {
	elapsed := time.Since(req.Arrived)
	route, kind := "none", "none"
	if a.Route != nil {
		route, kind = a.Route.Name, kindOf(a.Route)
	}
	if req.From == "" { // otherwise the VM that received the request from the caller counts it
		r.requests.WithLabelValues(route, string(a.Outcome), string(a.Reason)).Inc()
		r.latency.WithLabelValues(kind).Observe(elapsed.Seconds())
		if a.Outcome == dispatch.NotRun && a.Route != nil {
			r.refused.WithLabelValues(string(a.Reason), strconv.Itoa(dispatch.PriorityOf(a.Route))).Inc()
		}
	}
	r.calls.WithLabelValues(route, "first").Add(float64(t.Calls - t.Hedges - t.Repeats))
	r.calls.WithLabelValues(route, "hedge").Add(float64(t.Hedges))
	r.calls.WithLabelValues(route, "repeat").Add(float64(t.Repeats))
	limit := r.limitOf(a, t, elapsed)
	if limit == nil {
		return
	}
	if !limit.Allow() {
		r.linesLeftOut.Add(1)
		return
	}
	r.write(req, a, t, elapsed, route)
}

// kindOf returns the kind of a route's requests. Times are recorded by kind and not by route: with a histogram per
// route, a scrape with 1,400 routes took 1.8 MB and 47 ms of a core, during which a small VM serves no requests.
func kindOf(r *catalog.Route) string {
	if r.Search() {
		return "search"
	}
	return "single"
}

// limitOf returns the rate limiter for the request's log line, or nil if the request is only counted.
func (r *Recorder) limitOf(a *dispatch.Answer, t *dispatch.Trace, elapsed time.Duration) *rate.Limiter {
	late := a.Route != nil && elapsed > a.Route.Target
	switch {
	case a.Outcome != dispatch.Served || a.Missing > 0 || late:
		return r.failed
	case t.Hedges+t.Repeats > 0:
		return r.helped
	}
	return nil
}

func (r *Recorder) write(req *dispatch.Request, a *dispatch.Answer, t *dispatch.Trace, elapsed time.Duration, route string) {
	fields := []zap.Field{
		zap.String(FieldID, req.ID), zap.String("route", route), zap.String(FieldOutcome, string(a.Outcome)), zap.String(FieldReason, string(a.Reason)),
		zap.String(FieldFrom, req.From), zap.String(FieldGatherer, t.Gatherer), zap.String(FieldDeclined, req.Declined),
		zap.Duration(FieldTook, elapsed), zap.Duration(FieldTarget, targetOf(a.Route)), zap.Duration("remaining", req.Remaining),
		zap.Uint64("config_version", t.Version), zap.Uint64("store_era", t.Era), zap.Uint64("store_revision", t.Revision),
		zap.Uint64(FieldDigest, t.Digest),
		zap.Int("calls", t.Calls), zap.Int("hedges", t.Hedges), zap.Int("repeats", t.Repeats),
		zap.Int("refusals", t.Refusals), zap.Int("failures", t.Failures), zap.Int("denied", t.Denied), zap.Int("missing", a.Missing), zap.Int("given_up", t.GivenUp),
		zap.Duration("retry_after", a.RetryAfter), zap.Array(FieldBadCalls, badCalls(t.BadCalls)),
	}
	r.log.Info(MsgRequest, append(fields, admissionFields(a, t)...)...)
}

// admissionFields returns what admission went by, if it saw a queue or refused the request.
func admissionFields(a *dispatch.Answer, t *dispatch.Trace) []zap.Field {
	if a.Route == nil || t.WaitLimit <= 0 && !a.Reason.Overload() {
		return nil
	}
	return []zap.Field{
		zap.Duration(FieldWait, t.Wait), zap.Duration(FieldWaitLimit, t.WaitLimit), zap.Float64(FieldDemand, t.Demand),
		zap.Int(FieldPriority, dispatch.PriorityOf(a.Route)),
	}
}

// targetOf returns the target of a route; 0 if there is no route.
func targetOf(r *catalog.Route) time.Duration {
	if r == nil {
		return 0
	}
	return r.Target
}

// badCalls encodes bad calls as an array of objects.
type badCalls []dispatch.BadCall

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (b badCalls) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range b {
		if err := enc.AppendObject(badCall{b[i]}); err != nil {
			return err
		}
	}
	return nil
}

type badCall struct{ dispatch.BadCall }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (b badCall) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString(FieldService, b.Service)
	enc.AddString(FieldLeaf, b.Leaf.String())
	enc.AddString(FieldWhat, b.Problem)
	enc.AddDuration("after", b.After)
	return nil
}

// Run periodically logs the number of omitted lines until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	t := time.NewTicker(reportPeriod)
	defer t.Stop()
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if n := r.linesLeftOut.Load() + r.sink.Dropped(); n > reported {
			r.log.Warn(MsgLeftOut, zap.Uint64(FieldLines, n-reported), zap.Duration("within", reportPeriod))
			reported = n
		}
	}
}
