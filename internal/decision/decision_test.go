package decision

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/dispatch"
)

type noDrops struct{}

func (noDrops) Dropped() uint64 { return 0 }

var route = &catalog.Route{Name: "r", Target: 100 * time.Millisecond}

func TestWhichRequestsAreLogged(t *testing.T) {
	for name, tt := range map[string]struct {
		answer  dispatch.Answer
		trace   dispatch.Trace
		elapsed time.Duration
		lines   int
	}{
		"plain":        {answer: dispatch.Answer{Outcome: dispatch.Served}},
		"refused":      {answer: dispatch.Answer{Outcome: dispatch.NotRun, Reason: dispatch.ReasonNoLeaf}, lines: 1},
		"unknown":      {answer: dispatch.Answer{Outcome: dispatch.Unknown}, lines: 1},
		"partial":      {answer: dispatch.Answer{Outcome: dispatch.Served, Missing: 1}, lines: 1},
		"late":         {answer: dispatch.Answer{Outcome: dispatch.Served}, elapsed: time.Second, lines: 1},
		"hedged":       {answer: dispatch.Answer{Outcome: dispatch.Served}, trace: dispatch.Trace{Calls: 2, Hedges: 1}, lines: 1},
		"repeated":     {answer: dispatch.Answer{Outcome: dispatch.Served}, trace: dispatch.Trace{Calls: 2, Repeats: 1}, lines: 1},
		"leaf failure": {answer: dispatch.Answer{Outcome: dispatch.LeafFailure}, lines: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core, logs := observer.New(zap.InfoLevel)
			r := New(zap.New(core), noDrops{}, DefaultLimits(), prometheus.NewRegistry())
			tt.answer.Route = route
			r.Ended(&dispatch.Request{ID: "id-1", Arrived: time.Now().Add(-tt.elapsed)}, &tt.answer, &tt.trace)
			is.Equal(logs.Len(), tt.lines)
			if tt.lines > 0 {
				is.Equal(logs.All()[0].ContextMap()["id"], "id-1")
				is.Equal(logs.All()[0].ContextMap()["route"], "r")
			}
			is.Equal(testutil.ToFloat64(r.requests.WithLabelValues("r", string(tt.answer.Outcome), string(tt.answer.Reason))), 1.0)
		})
	}
}

// When many requests fail, lines beyond the limit are omitted and counted.
func TestVolumeIsBounded(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	r := New(zap.New(core), noDrops{}, DefaultLimits(), prometheus.NewRegistry())
	const requests = 5000
	for range requests {
		r.Ended(&dispatch.Request{Arrived: time.Now()}, &dispatch.Answer{Outcome: dispatch.NotRun}, &dispatch.Trace{})
	}
	is.True(logs.Len() >= int(DefaultLimits().Failed*burstSeconds) && logs.Len() < int(DefaultLimits().Failed*burstSeconds)+int(DefaultLimits().Failed))
	is.Equal(testutil.ToFloat64(r.dropped), float64(requests-logs.Len()))
	is.Equal(testutil.ToFloat64(r.requests.WithLabelValues("none", "not_run", "")), float64(requests))
}
