// Package decision records what became of requests: one log line for each that was refused, failed,
// partial, late, repeated or hedged, as far as a bounded volume allows, and counters for all.
package decision

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/burdockplank/burdockplank/internal/dispatch"
)

const (
	// failedRate and failedBurst bound the lines of requests without a whole answer in time, by second;
	// helpedRate and helpedBurst those of requests that hedges or repeats helped. A line is about 400
	// bytes and takes 10 microseconds of a core.
	failedRate, failedBurst = 60, 300
	helpedRate, helpedBurst = 10, 50
	// reportPeriod is how often a line tells of lines that were left out.
	reportPeriod = 5 * time.Second
)

// Sink tells of lines that its buffer dropped.
type Sink interface{ Dropped() uint64 }

// Recorder implements dispatch.Observer. It is safe for concurrent use.
type Recorder struct {
	log     *zap.Logger
	sink    Sink
	failed  *rate.Limiter
	helped  *rate.Limiter
	leftOut atomic.Uint64

	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	calls    *prometheus.CounterVec
	dropped  prometheus.CounterFunc
}

// New returns a recorder.
func New(log *zap.Logger, sink Sink, reg prometheus.Registerer) *Recorder {
	r := &Recorder{
		log: log, sink: sink, failed: rate.NewLimiter(failedRate, failedBurst), helped: rate.NewLimiter(helpedRate, helpedBurst),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_requests_total", Help: "Requests by route, outcome and reason.",
		}, []string{"route", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "burdock_request_seconds", Help: "Time from a request's arrival to its answer.",
			Buckets: []float64{0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.16, 0.3, 0.6, 1.2, 2.5, 5},
		}, []string{"route"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_leaf_calls_total", Help: "Calls to leaves by route and sort.",
		}, []string{"route", "sort"}),
	}
	r.dropped = prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "burdock_log_lines_dropped_total", Help: "Log lines that the volume limit left out or that found the buffer full.",
	}, func() float64 { return float64(r.leftOut.Load() + sink.Dropped()) })
	reg.MustRegister(r.requests, r.latency, r.calls, r.dropped)
	return r
}

// Ended implements dispatch.Observer.
func (r *Recorder) Ended(req *dispatch.Request, a *dispatch.Answer, t *dispatch.Trace) {
	took := time.Since(req.Arrived)
	route := "none"
	if a.Route != nil {
		route = a.Route.Name
	}
	r.requests.WithLabelValues(route, string(a.Outcome), string(a.Reason)).Inc()
	r.latency.WithLabelValues(route).Observe(took.Seconds())
	r.calls.WithLabelValues(route, "first").Add(float64(t.Calls - t.Hedges - t.Repeats))
	r.calls.WithLabelValues(route, "hedge").Add(float64(t.Hedges))
	r.calls.WithLabelValues(route, "repeat").Add(float64(t.Repeats))
	limit := r.limiter(a, t, took)
	if limit == nil {
		return
	}
	if !limit.Allow() {
		r.leftOut.Add(1)
		return
	}
	r.write(req, a, t, took, route)
}

// limiter returns the limit that the request's line falls under, nil where it is only counted.
func (r *Recorder) limiter(a *dispatch.Answer, t *dispatch.Trace, took time.Duration) *rate.Limiter {
	late := a.Route != nil && took > a.Route.Target
	switch {
	case a.Outcome != dispatch.Served || a.Missing > 0 || late:
		return r.failed
	case t.Hedges+t.Repeats > 0:
		return r.helped
	}
	return nil
}

func (r *Recorder) write(req *dispatch.Request, a *dispatch.Answer, t *dispatch.Trace, took time.Duration, route string) {
	r.log.Info("request",
		zap.String("id", req.ID), zap.String("route", route), zap.String("outcome", string(a.Outcome)), zap.String("reason", string(a.Reason)),
		zap.Duration("took", took), zap.Duration("remaining", req.Remaining),
		zap.Uint64("config_version", t.Version), zap.Uint64("store_revision", t.Revision),
		zap.Int("calls", t.Calls), zap.Int("hedges", t.Hedges), zap.Int("repeats", t.Repeats),
		zap.Int("refusals", t.Refusals), zap.Int("failures", t.Failures), zap.Int("denied", t.Denied), zap.Int("missing", a.Missing),
		zap.String("last_leaf", t.LastLeaf), zap.String("last_error", t.LastError), zap.Duration("retry_after", a.RetryAfter))
}

// Run tells of lines left out, until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	t := time.NewTicker(reportPeriod)
	defer t.Stop()
	var told uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if n := r.leftOut.Load() + r.sink.Dropped(); n > told {
			r.log.Warn("log lines left out", zap.Uint64("lines", n-told), zap.Duration("within", reportPeriod))
			told = n
		}
	}
}
