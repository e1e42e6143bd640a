package platform

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// readKind is a value of the metric label kind.
type readKind string

const (
	readKey   readKind = "key"
	watchKey  readKind = "key_watch"
	readList  readKind = "list"
	watchList readKind = "list_watch"
)

type metrics struct {
	reads *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{reads: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "burdock_platform_reads_total",
		Help: "Reads of the platform; a long poll counts once.",
	}, []string{"kind", "outcome"})}
	if reg != nil {
		reg.MustRegister(m.reads)
	}
	return m
}

func (m *metrics) count(kind readKind, v Value, err error) {
	outcome := "unchanged"
	switch {
	case errors.Is(err, ErrNotFound):
		outcome = "not_found"
	case err != nil:
		outcome = "failed"
	case v.Changed:
		outcome = "value"
	}
	m.reads.WithLabelValues(string(kind), outcome).Inc()
}
