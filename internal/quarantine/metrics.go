package quarantine

import "github.com/prometheus/client_golang/prometheus"

// Metrics of the duty.
type Metrics struct {
	suspicions *prometheus.CounterVec
	crashes    prometheus.Counter
	cleared    prometheus.Counter
	suspects   *prometheus.GaugeVec
	proven     prometheus.Gauge
}

// NewMetrics registers the metrics of the duty.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		suspicions: prometheus.NewCounterVec(prometheus.CounterOpts{
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
	reg.MustRegister(m.suspicions, m.crashes, m.cleared, m.suspects, m.proven)
	return m
}

func (m *Metrics) show(suspects map[uint64]*suspect, proven int) {
	refused := 0
	for _, s := range suspects {
		if s.quarantined() {
			refused++
		}
	}
	m.suspects.WithLabelValues(Quarantined.String()).Set(float64(refused))
	m.suspects.WithLabelValues(Suspect.String()).Set(float64(len(suspects) - refused))
	m.proven.Set(float64(proven))
}
