package feed

import "github.com/prometheus/client_golang/prometheus"

// clientMetrics counts the traffic with the sync of the VM.
type clientMetrics struct {
	views      *prometheus.CounterVec
	streamEnds *prometheus.CounterVec
	reports    *prometheus.CounterVec
	dropped    prometheus.Counter
}

func newClientMetrics(reg prometheus.Registerer) *clientMetrics {
	m := &clientMetrics{
		views: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_feed_views_total", Help: "Views received from the sync of the VM."}, []string{"kind"}),
		streamEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_feed_stream_ends_total", Help: "Ends of the stream from the sync of the VM."}, []string{"reason"}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_feed_reports_total", Help: "Reports to the sync of the VM."}, []string{"outcome"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_feed_reports_dropped_total", Help: "Evidence dropped while the sync could not be reached."}),
	}
	reg.MustRegister(m.views, m.streamEnds, m.reports, m.dropped)
	return m
}
