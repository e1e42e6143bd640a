package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// latencyBuckets range from a refusal by the filter to the longest deadline, in seconds.
var latencyBuckets = []float64{.0005, .001, .002, .005, .01, .02, .035, .05, .075, .1, .15, .25, .5, 1, 2.5, 5, 10}

// noReason is the reason label of a request without an outcome reason.
const noReason = "none"

// metrics of the callers' listener.
type metrics struct {
	requests           *prometheus.CounterVec
	latency            *prometheus.HistogramVec
	inFlight           prometheus.Gauge
	panics             prometheus.Counter
	incompleteRequests prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_entry_requests_total",
			Help: "Requests of callers by how they ended.",
		}, []string{"service", "kind", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "burdock_entry_request_seconds",
			Help:    "Time from a request's header to its end.",
			Buckets: latencyBuckets,
		}, []string{"service", "kind", "outcome"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "burdock_entry_requests_in_flight",
			Help: "Requests of callers that have not ended.",
		}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_entry_panics_total",
			Help: "Requests ended by a panic of a handler.",
		}),
		incompleteRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_entry_half_requests_total",
			Help: "Connections that sent something and ended without a whole request header.",
		}),
	}
	reg.MustRegister(m.requests, m.latency, m.inFlight, m.panics, m.incompleteRequests)
	return m
}

// observe counts one request at its end.
func (m *metrics) observe(c *call, elapsed time.Duration) {
	kind, reason := outcome.KindName(c.outcome), noReason
	if c.reason != pb.Reason_REASON_UNSPECIFIED {
		reason = outcome.ReasonName(c.reason)
	}
	m.requests.WithLabelValues(c.service, c.kind, kind, reason).Inc()
	m.latency.WithLabelValues(c.service, c.kind, kind).Observe(elapsed.Seconds())
}
