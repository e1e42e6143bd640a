package callerconn

import (
	"bytes"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/membudget"
)

const (
	// ConnBytes is what a connection takes: its buffers, the stacks of its goroutines, and includedBytes.
	ConnBytes = 28 << 10
	// includedBytes is what a request may take without a place in the budget. Ordinary requests take less.
	includedBytes = 12 << 10
	// headerFieldBytes is what a header takes beside its text.
	headerFieldBytes = 256
	// bodyCopies is how often a byte of a body is held while its buffer grows: the new buffer is twice as large as the old one, which
	// is still there.
	bodyCopies = 3
	// chargeStep is the unit in which memory is taken from the budget.
	chargeStep = 8 << 10
)

// requestSize is what has come of a request.
type requestSize struct {
	headBytes, headLines, bodyBytes int64
}

func (s *requestSize) addHead(b []byte) {
	s.headBytes += int64(len(b))
	s.headLines += int64(bytes.Count(b, []byte{'\n'}))
}

// addBody adds bytes of the body, its framing included: that outweighs the data where chunks are small, and takes the process as
// long as data.
func (s *requestSize) addBody(b []byte) { s.bodyBytes += int64(len(b)) }

// memory returns about how many bytes the process holds of the request.
func (s *requestSize) memory() int64 {
	return s.headBytes + s.headLines*headerFieldBytes + s.bodyBytes*bodyCopies
}

// charge makes the request hold the bytes beyond includedBytes, of which the caller has just sent n. It reports whether there is
// memory for them.
func (c *conn) charge(total, n int64) bool {
	if c.manager.config.Memory == nil {
		return true
	}
	c.mu.Lock()
	if c.holder == nil {
		c.holder = c.manager.config.Memory.Hold(c.evict)
	}
	h, more := c.holder, total-c.charged
	if more > 0 {
		more = (more + chargeStep - 1) / chargeStep * chargeStep
		c.charged += more
	}
	c.mu.Unlock()
	h.Progress(n)
	return more <= 0 || h.Grow(more)
}

// releaseMemory gives back the memory of the request that has ended.
func (c *conn) releaseMemory() {
	c.mu.Lock()
	h := c.holder
	c.holder, c.charged, c.received = nil, 0, requestSize{}
	c.mu.Unlock()
	c.noMemory.Store(false)
	if h != nil {
		h.Release()
	}
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// evict ends the wait for the rest of a request, whose memory is given to others.
func (c *conn) evict() {
	c.noMemory.Store(true)
	_ = c.TCPConn.SetReadDeadline(longAgo)
}

// registerMemory registers the metrics of the budget.
func (m *Manager) registerMemory(gauge func(name, help string, value func() int) prometheus.Collector) {
	usage := m.config.Memory.Usage
	total := func(name, help string, value func(u membudget.Usage) int64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value(usage())) })
	}
	m.config.Registry.MustRegister(
		gauge("burdock_caller_memory_bytes", "Bytes that requests and answers of callers take beyond what is included in a connection.", func() int { return int(usage().Used) }),
		gauge("burdock_caller_memory_max_bytes", "The most that these may take.", func() int { return int(usage().Limit) }),
		total("burdock_caller_memory_evicted_total", "Requests and answers that were ended to give their memory to others.", func(u membudget.Usage) int64 { return u.Evicted }),
		total("burdock_caller_memory_refused_total", "Requests that got no memory.", func(u membudget.Usage) int64 { return u.Refused }))
}

// logLowMemory logs when requests begin to end for want of memory and when they no longer do. The caller must hold mu.
func (m *Manager) logLowMemory() {
	if m.config.Memory == nil {
		return
	}
	u := m.config.Memory.Usage()
	ends := u.Evicted + u.Refused
	low := ends > m.memoryEnds
	fields := []zap.Field{zap.Int64("held", u.Used), zap.Int64("max", u.Limit), zap.Int64("evicted", u.Evicted), zap.Int64("refused", u.Refused)}
	switch {
	case low && !m.lowMemory:
		m.config.Log.Warn("callers use all the memory that requests may take; refusing and closing some", fields...)
	case !low && m.lowMemory:
		m.config.Log.Info("requests of callers have memory again", fields...)
	}
	m.memoryEnds, m.lowMemory = ends, low
}
