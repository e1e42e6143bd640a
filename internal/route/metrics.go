package route

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of routing, labelled by service, and all but the mismatches by result.
type metrics struct {
	reroutes   *prometheus.CounterVec
	mismatches *prometheus.CounterVec
	resolved   *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		reroutes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_entry_reroutes_total",
			Help: "Requests sent once more because a gather surely did not take them or its connection ended before the answer, or not sent for want of budget.",
		}, []string{"service", "result"}),
		mismatches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_entry_answer_mismatches_total",
			Help: "Answers of gathers that belonged to another request and were dropped.",
		}, []string{"service"}),
		resolved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_entry_tickets_resolved_total",
			Help: "Tickets whose gather could not be asked, by what their peers said.",
		}, []string{"service", "result"}),
	}
	reg.MustRegister(m.reroutes, m.mismatches, m.resolved)
	return m
}
