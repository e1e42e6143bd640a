package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/peers"
)

// stateMetrics exports the current state of the process, read at each scrape. Its labels are bounded by the
// services that the configuration and the store name.
type stateMetrics struct {
	d *Daemon

	configVersion, storeEra, storeRevision, storeContactAge, callsInFlight *prometheus.Desc
	leaves, extraCallsRemaining                                            *prometheus.Desc
}

func newStateMetrics(d *Daemon) *stateMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	return &stateMetrics{
		d:                   d,
		configVersion:       desc("burdock_config_version", "Version of the configuration in force, 0 before the first."),
		storeEra:            desc("burdock_store_era", "Era of the store that the view is of; 0 if the store names none."),
		storeRevision:       desc("burdock_store_revision", "Revision of the store up to which the view is complete."),
		storeContactAge:     desc("burdock_store_contact_age_seconds", "Time since any VM of the zone that was heard of had an answer of the store; -1 for never."),
		callsInFlight:       desc("burdock_leaf_calls_in_flight", "Calls to leaves in flight."),
		leaves:              desc("burdock_leaves", "Leaves of a service that may take work.", "service"),
		extraCallsRemaining: desc("burdock_extra_calls_left", "Hedges and repeats that this VM may send to a service now.", "service"),
	}
}

// Describe implements prometheus.Collector.
func (m *stateMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.configVersion, m.storeEra, m.storeRevision, m.storeContactAge, m.callsInFlight, m.leaves, m.extraCallsRemaining} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (m *stateMetrics) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	view := m.d.directory.Current()
	version := 0.0
	if view.Config != nil {
		version = float64(view.Config.Version)
	}
	gauge(m.configVersion, version)
	gauge(m.storeEra, float64(view.Era))
	gauge(m.storeRevision, float64(view.Revision))
	age := -1.0
	if _, sinceContact := m.d.peers.ZoneStatus(time.Now()); sinceContact < peers.Never {
		age = sinceContact.Seconds()
	}
	gauge(m.storeContactAge, age)
	gauge(m.callsInFlight, float64(m.d.table.InFlight()))
	for service, leaves := range view.Leaves {
		gauge(m.leaves, float64(len(leaves)), service)
	}
	for service, remaining := range m.d.budgets.Remaining() {
		gauge(m.extraCallsRemaining, remaining, service)
	}
}
