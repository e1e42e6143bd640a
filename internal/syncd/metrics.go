package syncd

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/membership"
)

// metrics collects the metrics of the sync from its state at each scrape.
type metrics struct {
	m        *Manager
	members  *prometheus.Desc
	age      *prometheus.Desc
	list     *prometheus.Desc
	reading  *prometheus.Desc
	evidence *prometheus.Desc
}

func newMetrics(m *Manager, reg prometheus.Registerer) *metrics {
	c := &metrics{
		m:        m,
		members:  prometheus.NewDesc("burdock_sync_vms", "VMs by the state that holds for them.", []string{"state"}, nil),
		age:      prometheus.NewDesc("burdock_sync_platform_age_seconds", "Time since any VM heard of reached the platform; -1 for never.", nil, nil),
		list:     prometheus.NewDesc("burdock_sync_list_revision", "Revision of the platform's list.", nil, nil),
		reading:  prometheus.NewDesc("burdock_sync_reading", "1 while this VM reads the platform.", nil, nil),
		evidence: prometheus.NewDesc("burdock_sync_evidence", "Evidence held, by kind.", []string{"kind"}, nil),
	}
	if reg != nil {
		reg.MustRegister(c)
	}
	return c
}

// Describe implements prometheus.Collector.
func (c *metrics) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c *metrics) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counts := make(map[pb.VmState]int)
	for _, vm := range c.m.members.View() {
		counts[vm.GetState()]++
	}
	for _, s := range membership.States {
		gauge(c.members, float64(counts[s]), membership.StateName(s))
	}
	gauge(c.age, c.m.platformAgeSeconds(time.Now()))
	var revision uint64
	if l := c.m.content.List(); l != nil {
		revision = l.Revision
	}
	gauge(c.list, float64(revision))
	reading := 0.0
	if c.m.reader.isActive() {
		reading = 1
	}
	gauge(c.reading, reading)
	departures, crashes := c.m.evidence.Len()
	gauge(c.evidence, float64(departures), "departure")
	gauge(c.evidence, float64(crashes), "crash")
}

// enumName returns the short lower-case name of an enum value.
func enumName(s, prefix string) string { return strings.ToLower(strings.TrimPrefix(s, prefix)) }
