package dispatch

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
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
			leaves := make(map[string][]catalog.Leaf)
			var names []string
			for i := range shards {
				s := fmt.Sprintf("s%d", i)
				names = append(names, s)
				for _, r := range []string{"-a", "-b", "-c"} {
					leaves[s] = append(leaves[s], catalog.Leaf{ID: catalog.LeafID{Name: s + r}, Service: s, Slots: 4, Zone: "z"})
					w.set(s+r, ok(time.Duration(i)*50*time.Microsecond))
				}
			}
			route := &catalog.Route{
				Name: "s", Host: "h", Prefix: "/s/", Idempotent: true, Timeout: 800 * ms, Target: 150 * ms, MaxAttempts: 2,
				Shards: names, TopK: 3, MinShare: 0.95,
			}
			w.view = &directory.View{Config: catalog.New(3, []*catalog.Route{route}, nil, catalog.Limits{}), Leaves: leaves}
			begun := processorTime(b)
			for b.Loop() {
				if a, _ := w.ask(b.Context(), "/s/q"); a.Outcome != Served {
					b.Fatal(a)
				}
				w.asked, w.traces = nil, nil
			}
			b.ReportMetric(float64((processorTime(b)-begun).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
