package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/membudget"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

const (
	// connBytes is what a connection takes, requestBytes what a request takes beside its body: stacks, buffers and the
	// state of its stream.
	connBytes    = 16 << 10
	requestBytes = 24 << 10
	// ownMemoryBytes is what the process needs beside callers, garbage included. It is added to the soft limit of the Go runtime.
	ownMemoryBytes = 64 << 20
	// noMemoryRetryAfter is after how long a caller may come back that was refused for want of memory.
	noMemoryRetryAfter = time.Second
	// lowMemoryLogInterval is the least time between two lines on refusals for want of memory.
	lowMemoryLogInterval = 10 * time.Second
)

// requestMemory is what the process holds of a request.
type requestMemory struct {
	holder *membudget.Holder

	mu sync.Mutex
	// ended is set at the end of the request; guarded by mu.
	ended bool
}

// newRequestMemory returns the memory of a request that holds nothing yet. While its body is waited for it may be evicted, which
// ends the wait.
func (m *Manager) newRequestMemory(w http.ResponseWriter) *requestMemory {
	r := &requestMemory{}
	rc := http.NewResponseController(w)
	r.holder = m.memory.Hold(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.ended {
			_ = rc.SetReadDeadline(time.Unix(1, 0)) // on a connection without deadlines, the body's timeout ends the wait
		}
	})
	return r
}

func (r *requestMemory) release() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.holder.Release()
}

// refuseForMemory returns the outcome of a request for which there is no memory.
func (m *Manager) refuseForMemory() *outcome.Error {
	m.logLowMemory()
	return outcome.NotRun(pb.Reason_REASON_OVERLOAD, checkRequestStep, "callers use all the memory that requests may take").WithRetryAfter(noMemoryRetryAfter)
}

// memoryGauge returns the metric of what requests hold.
func memoryGauge(b *membudget.Budget) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "burdock_entry_memory_bytes", Help: "Bytes that requests of callers take, of half of entry.memory_bytes.",
	}, func() float64 { return float64(b.Usage().Used) })
}

// logLowMemory logs that requests are refused for want of memory, unless it has done so within lowMemoryLogInterval.
func (m *Manager) logLowMemory() {
	now, last := m.now().UnixNano(), m.lowMemoryLogged.Load()
	if last != 0 && now-last < int64(lowMemoryLogInterval) || !m.lowMemoryLogged.CompareAndSwap(last, now) {
		return
	}
	u := m.memory.Usage()
	m.log.Warn("callers use all the memory that requests may take; refusing some",
		zap.Int64("held", u.Used), zap.Int64("max", u.Limit), zap.Int64("evicted", u.Evicted), zap.Int64("refused", u.Refused))
}
