package bundle

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of a store.
type metrics struct {
	version          prometheus.Gauge
	applied          prometheus.Counter
	refused          *prometheus.CounterVec
	races            prometheus.Counter
	parentMismatches prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "burdock_bundle_version", Help: "Version of the bundle in force, 0 for none.",
		}),
		applied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_bundle_applied_total", Help: "Bundles put in force.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_bundle_refused_total", Help: "Bundles refused, by reason.",
		}, []string{"reason"}),
		races: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_bundle_races_total", Help: "Verified bundles that share their version with another one.",
		}),
		parentMismatches: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_bundle_parent_mismatch_total",
			Help: "Bundles put in force whose parent is not the bundle of the version before.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.version, m.applied, m.refused, m.races, m.parentMismatches)
	}
	return m
}
