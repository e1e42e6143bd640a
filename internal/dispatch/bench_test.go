package dispatch

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// processorTime returns the processor time that this process has used so far.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSearch measures the processor time of the decisions for one search (cpu-us/op), without a network. Its
// leaves answer one after the other, so that each answer is a separate event.
func BenchmarkSearch(b *testing.B) {
	for _, shards := range []int{10, 36, 135} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			w := newWorld()
			names := shardNames(shards)
			w.view = wideView(names, replicasOf(names, 4, func(shard int, id string) { w.set(id, ok(time.Duration(shard)*50*time.Microsecond)) }))
			start := processorTime(b)
			for b.Loop() {
				if a, _ := w.ask(b.Context(), "/s/q"); a.Outcome != Served {
					b.Fatal(a)
				}
				w.requests, w.traces = nil, nil
			}
			b.ReportMetric(float64((processorTime(b)-start).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
