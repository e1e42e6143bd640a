package decision

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/dispatch"
)

// A line lists the bad calls of a request, so that a search with a missing shard can be traced to the leaf.
func TestLineNamesBadCalls(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	r := New(zap.New(core), noDrops{}, DefaultLimits(), prometheus.NewRegistry())
	r.Ended(&dispatch.Request{ID: "id-1", Arrived: time.Now()}, &dispatch.Answer{Outcome: dispatch.Served, Missing: 1, Route: route},
		&dispatch.Trace{BadCalls: []dispatch.BadCall{{Service: "shard-4", Leaf: catalog.LeafID{Name: "i-1"}, Problem: "no answer yet", After: 140 * time.Millisecond}}})
	is.Equal(logs.All()[0].ContextMap()["bad_calls"], []any{map[string]any{
		"service": "shard-4", "leaf": "i-1", "what": "no answer yet", "after": 140 * time.Millisecond,
	}})
}

// A refusal must show the wait, its limit, the demand and the priority in its line, and be counted by reason and priority.
func TestRefusalsAreExplained(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	r := New(zap.New(core), noDrops{}, DefaultLimits(), prometheus.NewRegistry())
	busy := &catalog.Route{Name: "busy", Target: time.Second, Priority: 3}
	refusal := &dispatch.Answer{Outcome: dispatch.NotRun, Reason: dispatch.ReasonBusyLeaves, Route: busy}
	r.Ended(&dispatch.Request{Arrived: time.Now()}, refusal, &dispatch.Trace{Wait: 80 * time.Millisecond, WaitLimit: 30 * time.Millisecond, Demand: 12})
	line := logs.All()[0].ContextMap()
	is.Equal(line["wait"], 80*time.Millisecond)
	is.Equal(line["wait_limit"], 30*time.Millisecond)
	is.Equal(line["demand"], 12.0)
	is.Equal(line["priority"], int64(3))
	is.Equal(testutil.ToFloat64(r.refused.WithLabelValues("busy_leaves", "3")), 1.0)
}

// BenchmarkScrape measures one scrape of the request metrics by the number of routes in use.
func BenchmarkScrape(b *testing.B) {
	for _, routes := range []int{100, 400, 1400} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			reg := prometheus.NewRegistry()
			r := New(zap.NewNop(), noDrops{}, DefaultLimits(), reg)
			for i := range routes {
				at := &catalog.Route{Name: fmt.Sprintf("route-%d", i), Target: time.Second}
				for _, o := range []dispatch.Outcome{dispatch.Served, dispatch.TimedOut} {
					r.Ended(&dispatch.Request{Arrived: time.Now()}, &dispatch.Answer{Outcome: o, Route: at}, &dispatch.Trace{Calls: 1})
				}
			}
			handler := promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
			bytes := 0
			for b.Loop() {
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
				bytes = w.Body.Len()
			}
			b.ReportMetric(float64(bytes), "bytes/scrape")
		})
	}
}
