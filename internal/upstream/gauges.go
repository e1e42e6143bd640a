package upstream

import "github.com/prometheus/client_golang/prometheus"

var (
	connectionsDesc = prometheus.NewDesc("burdock_upstream_connections",
		"Open connections to leaves.", []string{"service"}, nil)
	leavesDesc = prometheus.NewDesc("burdock_upstream_leaves",
		"Leaves by state: connected, unconnected, leaving.", []string{"service", "state"}, nil)
)

// gauges counts the connections and leaves of a pool when metrics are collected.
type gauges struct{ pool *Pool }

// leafKey is the label pair of the leaves gauge.
type leafKey struct{ service, state string }

// Describe implements prometheus.Collector.
func (g gauges) Describe(ch chan<- *prometheus.Desc) {
	ch <- connectionsDesc
	ch <- leavesDesc
}

// Collect implements prometheus.Collector.
func (g gauges) Collect(ch chan<- prometheus.Metric) {
	leaves, conns := make(map[leafKey]int), make(map[string]int)
	for _, l := range g.pool.all() {
		leaves[leafKey{l.service, stateName(l.state())}]++
		l.mu.Lock()
		conns[l.service] += l.openConns()
		l.mu.Unlock()
	}
	for k, n := range leaves {
		ch <- prometheus.MustNewConstMetric(leavesDesc, prometheus.GaugeValue, float64(n), k.service, k.state)
	}
	for s, n := range conns {
		ch <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(n), s)
	}
}

// stateName returns the metric label of a leaf's state.
func stateName(s State) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Connected:
		return "connected"
	}
	return "unconnected"
}
