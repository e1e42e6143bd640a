package decision

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
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
