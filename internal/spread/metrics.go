package spread

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	packets     *prometheus.CounterVec
	fetches     *prometheus.CounterVec
	exchanges   *prometheus.CounterVec
	sections    prometheus.Counter
	pushes      prometheus.Counter
	suspicions  prometheus.Counter
	refutations prometheus.Counter
	gone        prometheus.Counter
	pauses      prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		packets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_spread_packets_total", Help: "UDP packets between syncs."}, []string{"outcome"}),
		fetches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_spread_fetches_total", Help: "Fetches of bundles and lists from peers."}, []string{"kind", "outcome"}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_spread_exchanges_total", Help: "Exchanges of all membership and evidence with a peer."}, []string{"outcome"}),
		sections:    counter("burdock_spread_sections_total", "Sections fetched from peers."),
		pushes:      counter("burdock_spread_pushes_total", "Rounds in which news was pushed at once."),
		suspicions:  counter("burdock_spread_suspicions_total", "VMs that this VM was the first to suspect."),
		refutations: counter("burdock_spread_refutations_total", "Records of itself that this VM refuted by a higher heartbeat."),
		gone:        counter("burdock_spread_gone_total", "VMs judged gone."),
		pauses:      counter("burdock_spread_pauses_total", "Pauses of the process."),
	}
	if reg != nil {
		reg.MustRegister(m.packets, m.fetches, m.exchanges, m.sections, m.pushes, m.suspicions, m.refutations, m.gone, m.pauses)
	}
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}
