package directory

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of a Directory.
type metrics struct {
	ignored, restores prometheus.Counter
	carried           prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		ignored: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_leaf_entries_ignored_total", Help: "Entries of the store that look like a leaf's and name no leaf to use.",
		}),
		restores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_store_restores_total", Help: "Times that the store came back from a copy, as far as this VM has seen.",
		}),
		carried: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "burdock_store_items_carried_over", Help: "Items known from before the store came back from a copy that count in place of the store's.",
		}),
	}
	reg.MustRegister(m.ignored, m.restores, m.carried)
	return m
}
