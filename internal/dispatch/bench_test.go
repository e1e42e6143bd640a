package dispatch

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// processorTime is what this process has used of its processors so far.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSearch measures what deciding on one search costs the processor (cpu-us/op), without a network: its leaves answer one
// after the other, so that each answer is an event of its own.
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
