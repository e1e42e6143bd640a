package upstream

import (
	"context"
	"errors"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// The results of calls as metric labels. Status polls use resultOK and resultError only. The label of a
// refused call is "refused_" and the reason, as in refused_shed.
const (
	resultOK = "ok"
	// resultNotSent is a call that got no connection, or failed before any of it was written for a reason
	// that has no label of its own.
	resultNotSent = "not_sent"
	// resultSilent is a call on a connection that was found silent.
	resultSilent = "silent"
	// resultLost is a call on a connection that the leaf ended without a GOAWAY.
	resultLost      = "lost"
	resultTimeout   = "timeout"
	resultCancelled = "cancelled"
	resultError     = "error"
)

// metrics holds the pool's metrics by service. None is labelled by leaf.
type metrics struct {
	calls *prometheus.CounterVec
	// openAttempts counts refused and failed attempts to open a connection, too.
	openAttempts *prometheus.CounterVec
	closed       *prometheus.CounterVec
	pings        *prometheus.CounterVec
	statusPolls  *prometheus.CounterVec
	departures   *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "burdock", Subsystem: "upstream", Name: name, Help: help,
		}, append([]string{"service"}, labels...))
	}
	m := &metrics{
		calls:        counter("calls_total", "Calls to leaves by method and result.", "method", "result"),
		openAttempts: counter("connections_opened_total", "Tries to open a connection by result: opened, refused, failed.", "result"),
		closed:       counter("connections_closed_total", "Connections taken out of use by reason: silent, lost, goaway, retired, closed.", "reason"),
		pings:        counter("pings_total", "Pings of quiet connections by result: alive, no_answer.", "result"),
		statusPolls:  counter("status_polls_total", "Questions for a leaf's status by result: ok, error.", "result"),
		departures:   counter("departures_total", "Leaf incarnations first seen leaving by this process, by evidence.", "evidence"),
	}
	if reg != nil {
		reg.MustRegister(m.calls, m.openAttempts, m.closed, m.pings, m.statusPolls, m.departures)
	}
	return m
}

func (m *metrics) countCall(service, method, result string) {
	m.calls.WithLabelValues(service, method, result).Inc()
}

func (m *metrics) countPing(service string, alive bool) {
	result := "no_answer"
	if alive {
		result = "alive"
	}
	m.pings.WithLabelValues(service, result).Inc()
}

func (m *metrics) countStatusPoll(service string, err error) {
	result := resultOK
	if err != nil {
		result = resultError
	}
	m.statusPolls.WithLabelValues(service, result).Inc()
}

// resultOf returns the label for a failed call.
func resultOf(e *CallError) string {
	switch {
	case e.Refusal != pb.LeafRefusalReason_LEAF_REFUSAL_REASON_UNSPECIFIED:
		return "refused_" + strings.ToLower(strings.TrimPrefix(e.Refusal.String(), "LEAF_REFUSAL_REASON_"))
	case e.ConnectionSilent:
		return resultSilent
	case e.ConnectionLost:
		return resultLost
	case errors.Is(e.Err, context.DeadlineExceeded):
		return resultTimeout
	case errors.Is(e.Err, context.Canceled):
		return resultCancelled
	case !e.Wrote:
		return resultNotSent
	}
	return resultError
}

// evidenceName returns the name of a kind of evidence in metrics, log lines and dumps: that of s without
// its prefix, in lower case.
func evidenceName(s pb.DepartureSource) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "DEPARTURE_SOURCE_"))
}
