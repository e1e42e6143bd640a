package balance

import "github.com/prometheus/client_golang/prometheus"

var (
	picksDesc = prometheus.NewDesc("burdock_balance_picks_total",
		"Calls placed on a replica (sent), or not as all replicas were at their limit (at_limit).",
		[]string{"service", "result"}, nil)
	extrasDesc = prometheus.NewDesc("burdock_balance_extra_calls_total",
		"Decisions on hedges and retries: granted, over_budget, overloaded.",
		[]string{"service", "sort", "result"}, nil)
	limitDesc = prometheus.NewDesc("burdock_balance_limit",
		"Calls in flight that the limits allow, summed over the leaves.", []string{"service"}, nil)
	inFlightDesc = prometheus.NewDesc("burdock_balance_in_flight",
		"Calls in flight, summed over the leaves.", []string{"service"}, nil)
)

// Collector exports the balancers of a process as metrics, labelled by service.
type Collector struct {
	// Balancers returns the Replicas by service. Those of the baseline policy export nothing.
	Balancers func() map[string]Replicas
}

// Describe implements prometheus.Collector.
func (c Collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- picksDesc
	ch <- extrasDesc
	ch <- limitDesc
	ch <- inFlightDesc
}

// Collect implements prometheus.Collector.
func (c Collector) Collect(ch chan<- prometheus.Metric) {
	for service, r := range c.Balancers() {
		if b, ok := r.(*Balancer); ok {
			collect(ch, service, b.Snapshot())
		}
	}
}

func collect(ch chan<- prometheus.Metric, service string, s Snapshot) {
	count := func(d *prometheus.Desc, n uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), append([]string{service}, labels...)...)
	}
	count(picksDesc, s.Counts.Picks, "sent")
	count(picksDesc, s.Counts.AtLimit, "at_limit")
	extra := func(sort string, n ExtraCount) {
		count(extrasDesc, n.Granted, sort, "granted")
		count(extrasDesc, n.OverBudget, sort, "over_budget")
		count(extrasDesc, n.Overloaded, sort, "overloaded")
	}
	extra("hedge", s.Counts.Hedges)
	extra("retry", s.Counts.Retries)
	limit, inFlight := 0, 0
	for _, l := range s.Leaves {
		limit += l.Limit
		inFlight += l.InFlight
	}
	ch <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(limit), service)
	ch <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(inFlight), service)
}
