package gather

import "github.com/prometheus/client_golang/prometheus"

// Metrics of the gather duty.
type Metrics struct {
	refused *prometheus.CounterVec
}

// NewMetrics registers the metrics of the gather duty.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{refused: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "burdock_gather_refused_total", Help: "Requests that ended with an error, by outcome and reason.",
	}, []string{"outcome", "reason"})}
	reg.MustRegister(m.refused)
	return m
}
