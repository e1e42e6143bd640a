package search

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// Metrics holds the metrics of searches.
type Metrics struct {
	searches   *prometheus.CounterVec
	seconds    *prometheus.HistogramVec
	coverage   *prometheus.HistogramVec
	calls      *prometheus.CounterVec
	failures   *prometheus.CounterVec
	hedges     *prometheus.CounterVec
	retries    *prometheus.CounterVec
	reruns     *prometheus.CounterVec
	late       *prometheus.CounterVec
	mismatches *prometheus.CounterVec
	statuses   *prometheus.CounterVec
}

// NewMetrics registers the metrics of searches with reg. It panics if one is registered already.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		reg.MustRegister(c)
		return c
	}
	histogram := func(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
		reg.MustRegister(h)
		return h
	}
	return &Metrics{
		searches: counter("burdock_gather_searches_total", "Searches ended, by outcome and reason.", "service", "kind", "outcome", "reason"),
		seconds: histogram("burdock_gather_search_seconds", "Time of searches in the gather.",
			prometheus.ExponentialBuckets(0.001, 1.6, 20), "service", "kind", "outcome"),
		coverage: histogram("burdock_gather_coverage", "Covered share of the documents of answered searches.",
			[]float64{0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1}, "service", "kind"),
		calls:      counter("burdock_gather_leaf_calls_total", "Search calls sent to leaves, hedges and retries included.", "service"),
		failures:   counter("burdock_gather_leaf_failures_total", "Search calls to leaves without an answer to merge, by cause.", "service", "cause"),
		hedges:     counter("burdock_gather_hedges_total", "Hedges sent, and those that the budget refused.", "service", "kind", "result"),
		retries:    counter("burdock_gather_retries_total", "Retries sent, and those refused.", "service", "kind", "result"),
		reruns:     counter("burdock_gather_reruns_total", "Searches run again because a leaf had dropped their snapshot.", "service", "kind"),
		late:       counter("burdock_gather_late_answers_total", "Answers of leaves dropped because their search had ended.", "service", "kind"),
		mismatches: counter("burdock_gather_mismatches_total", "Answers of leaves dropped because they differ from the question, by field.", "service", "field"),
		statuses:   counter("burdock_gather_standings_total", "Runs of searches by what is known of their text.", "service", "standing"),
	}
}

// recordSearch counts a search that ended with the answer a or with err.
func (m *Metrics) recordSearch(q *query, a *pb.SearchResponse, err error) {
	o := a.GetOutcome()
	if e, ok := outcome.As(err); ok {
		o = e.Proto("")
	}
	kind := outcome.KindName(o.GetKind())
	m.searches.WithLabelValues(q.service.Name, q.kind.Name, kind, outcome.ReasonName(o.GetReason())).Inc()
	m.seconds.WithLabelValues(q.service.Name, q.kind.Name, kind).Observe(time.Since(q.started).Seconds())
	if a != nil {
		m.coverage.WithLabelValues(q.service.Name, q.kind.Name).Observe(coveredShare(a.GetCoverage()))
	}
}
