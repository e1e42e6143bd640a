package storeread

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of a Reader.
type metrics struct {
	reads, overduePolls   *prometheus.CounterVec
	answersBehind         prometheus.Counter
	era, answeredRevision prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_store_reads_total", Help: "Reads of the platform's store by kind and end.",
		}, []string{"kind", "result"}),
		overduePolls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_store_overdue_polls_total", Help: "Polls repeated on another connection by the call that the store answered.",
		}, []string{"answered"}),
		answersBehind: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_store_answers_behind_total", Help: "Answers of the store whose revision is below the one that this VM knows.",
		}),
		era: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "burdock_store_answered_era", Help: "Era in the store's latest answer to this VM; 0 if it names none.",
		}),
		answeredRevision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "burdock_store_answered_revision", Help: "Revision of the store in its latest answer to this VM.",
		}),
	}
	reg.MustRegister(m.reads, m.overduePolls, m.answersBehind, m.era, m.answeredRevision)
	return m
}
