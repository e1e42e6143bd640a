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
	// bodyCopies is how often a byte of a body is held: the buffer of a body that arrives is up to twice as large as what has come,
	// and another VM gets a copy.
	bodyCopies = 3
	// chargeStep is the unit in which memory is taken from the budget.
	chargeStep = 8 << 10
	// headSlack is how much more than a head may be read with it: the server reads by its buffer, and a body may follow.
	headSlack = 4 << 10
	// defaultMaxHeadBytes bounds a head where the configuration sets no limit.
	defaultMaxHeadBytes = 1 << 20
	// writePieceBytes is how much of an answer is written at a time, and writeTimeout how long the caller may take for it.
	writePieceBytes = 64 << 10
	writeTimeout    = 30 * time.Second
	// refusalTimeout bounds writing the answer to a head that is refused.
	refusalTimeout = 10 * time.Millisecond
)

// headStatus says whether a request may go on after some more bytes of it.
type headStatus int

const (
	statusOK headStatus = iota
	statusHeadTooLong
	statusNoMemory
)

// headAnswers are the answers to requests that are refused before the server has read their head.
var headAnswers = map[headStatus]string{
	statusHeadTooLong: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	statusNoMemory:    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
}

// refusalReasons are the reasons of these refusals, in metrics.
var refusalReasons = map[headStatus]string{statusHeadTooLong: "head too long", statusNoMemory: "no memory"}

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

// headTooLong reports whether a head of n bytes is longer than the configuration in force allows.
func (m *Manager) headTooLong(n int64) bool {
	if n <= m.maxHeadBytes.Load()+headSlack {
		return false
	}
	m.maxHeadBytes.Store(m.currentMaxHeadBytes()) // a new limit may be in force
	return n > m.maxHeadBytes.Load()+headSlack
}

func (m *Manager) currentMaxHeadBytes() int64 {
	if n := m.config.Limits().MaxHeaderBytes; n > 0 {
		return int64(n)
	}
	return defaultMaxHeadBytes
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

// abort closes the connection and drops what the caller has not taken.
func (c *conn) abort() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Write implements net.Conn. A long answer takes memory until the caller has taken it.
func (c *conn) Write(p []byte) (int, error) {
	c.writeSince.Store(time.Now().UnixNano())
	defer c.writeSince.Store(0)
	if len(p) <= includedBytes || c.manager.config.Memory == nil {
		return c.TCPConn.Write(p)
	}
	h := c.manager.config.Memory.Hold(c.abort)
	defer h.Release()
	h.Add(int64(len(p)))
	written := 0
	for written < len(p) {
		n, err := c.TCPConn.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		if err != nil {
			return written, err
		}
		h.Progress(int64(n))
		c.writeSince.Store(time.Now().UnixNano())
	}
	return written, nil
}

// closeStalledWrites closes the connections whose caller has taken nothing for writeTimeout.
func (m *Manager) closeStalledWrites(now time.Time) {
	for _, c := range m.all() {
		if since := c.writeSince.Load(); since != 0 && now.UnixNano()-since > int64(writeTimeout) {
			c.abort()
		}
	}
}

func (m *Manager) all() []*conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*conn, 0, len(m.conns))
	for c := range m.conns {
		out = append(out, c)
	}
	return out
}

// countRefusal counts a request that is refused before the server has read its head.
func (m *Manager) countRefusal(s headStatus) {
	if m.config.Refused != nil {
		m.config.Refused(refusalReasons[s])
	}
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
