package quarantine

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of the quarantine.
type Metrics struct {
	evidence *prometheus.CounterVec
	crashes  prometheus.Counter
	cleared  prometheus.Counter
	suspects *prometheus.GaugeVec
	proven   prometheus.Gauge
}

// NewMetrics creates the metrics and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		evidence: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_quarantine_evidence_total", Help: "Pieces of crash evidence taken in, by where they arose.",
		}, []string{"from"}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_quarantine_crashes_total", Help: "Upstream crashes seen with an unproven request in flight.",
		}),
		cleared: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_quarantine_cleared_total", Help: "Lost connections after which the upstream had lived on.",
		}),
		suspects: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "burdock_quarantine_requests", Help: "Requests with crash evidence, by standing.",
		}, []string{"standing"}),
		proven: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "burdock_quarantine_proven", Help: "Requests remembered as answered.",
		}),
	}
	reg.MustRegister(m.evidence, m.crashes, m.cleared, m.suspects, m.proven)
	return m
}

// updateGauges sets the gauges from the current suspects and proven requests. Requires mu.
func (r *Registry) updateGauges(now time.Time) {
	counts := make(map[Status]int)
	for _, s := range r.suspects {
		counts[r.statusOf(s, now)]++
	}
	for _, st := range []Status{Suspect, Doubted, Quarantined} {
		r.metrics.suspects.WithLabelValues(st.String()).Set(float64(counts[st]))
	}
	r.metrics.proven.Set(float64(r.proven.len()))
}
