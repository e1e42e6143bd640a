package admission

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/outcome"
)

// waitBuckets are the histogram buckets of the time in the queue, in seconds.
var waitBuckets = []float64{.0001, .0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1}

// metrics holds the admission metrics, labelled by service, and the refusals also by kind and reason.
type metrics struct {
	refusals   *prometheus.CounterVec
	queued     *prometheus.GaugeVec
	inFlight   *prometheus.GaugeVec
	limit      *prometheus.GaugeVec
	overloaded *prometheus.GaugeVec
	waited     *prometheus.HistogramVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"service"})
	}
	m := &metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_entry_admission_refusals_total",
			Help: "Requests refused before they ran, by reason.",
		}, []string{"service", "kind", "reason"}),
		queued:     gauge("burdock_entry_admission_queued", "Requests that wait for a slot."),
		inFlight:   gauge("burdock_entry_admission_in_flight", "Requests that run."),
		limit:      gauge("burdock_entry_admission_limit", "Requests that may run at once."),
		overloaded: gauge("burdock_entry_admission_overloaded", "1 while the queue stands: newest first and short waits."),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "burdock_entry_admission_wait_seconds",
			Help:    "Time from arrival to the decision.",
			Buckets: waitBuckets,
		}, []string{"service"}),
	}
	reg.MustRegister(m.refusals, m.queued, m.inFlight, m.limit, m.overloaded, m.waited)
	return m
}

func (m *metrics) refused(r Request, e *outcome.Error) {
	m.refusals.WithLabelValues(r.Service, r.Kind.Name, outcome.ReasonName(e.Reason)).Inc()
}

// gauges holds the gauges of one service.
type gauges struct{ queued, inFlight, limit, overloaded prometheus.Gauge }

func (m *metrics) gauges(service string) gauges {
	return gauges{
		queued: m.queued.WithLabelValues(service), inFlight: m.inFlight.WithLabelValues(service),
		limit: m.limit.WithLabelValues(service), overloaded: m.overloaded.WithLabelValues(service),
	}
}

// set sets the gauges from the state of the limiter.
func (g gauges) set(l *limiter) {
	g.queued.Set(float64(l.queue.length))
	g.inFlight.Set(float64(l.inFlight))
	g.limit.Set(float64(l.limit.slots()))
	overloaded := 0.0
	if l.overloaded() {
		overloaded = 1
	}
	g.overloaded.Set(overloaded)
}
