// Package callerconn bounds the connections of callers: how long they may be idle or take for the head of a request, by the
// configuration in force, how many there may be, by the descriptors of the process, and what they make the process hold, by
// a budget of memory.
package callerconn

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/membudget"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// defaultIdleTimeout and defaultHeaderTimeout apply where the configuration sets no limit.
	defaultIdleTimeout   = 75 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	// refreshInterval is how often the limits are asked for.
	refreshInterval = 500 * time.Millisecond
	// keptFraction is the fraction of the most connections up to which they are kept after an answer. The rest is for those with
	// a request. No idle connection is closed to make way for others, as its caller may be about to use it again.
	keptFraction = 0.75
	// refusalFraction is the number of connections above the limit, as a fraction of it, whose request is read and refused.
	refusalFraction = 1. / 16
	// clearedFraction is the fraction of the kept connections below which they count as kept again, in the log.
	clearedFraction = 0.9
)

// The ways in which a connection above the limit is rejected, in metrics.
const (
	rejectedAnswered = "answered"
	rejectedClosed   = "closed"
)

// Config holds what a Manager needs.
type Config struct {
	// Limits returns the limits of the configuration in force.
	Limits func() catalog.Limits
	// MaxConns returns how many connections of callers the process has room for; 0 for no limit.
	MaxConns func() int
	// Memory bounds what requests and answers take beyond what is included in a connection; nil for no limit.
	Memory *membudget.Budget
	// Refused is called with the reason of each request that is refused before the server has read its head; nil if nobody asks.
	Refused  func(reason string)
	Log      *zap.Logger
	Registry prometheus.Registerer
}

// Manager tracks the connections of an http.Server, which accepts them from Listener, has ConnState as its hook, and
// sets no read timeouts of its own. It is safe for concurrent use.
type Manager struct {
	config   Config
	rejected *prometheus.CounterVec
	// idleTimeout and headerTimeout are the limits in use in nanoseconds, maxConns is the newest answer of Config.MaxConns.
	idleTimeout, headerTimeout, maxConns atomic.Int64
	// maxHeadBytes is the longest head that the configuration allows.
	maxHeadBytes atomic.Int64
	// open is the number of connections, peak its highest value since the last refresh.
	open, peak atomic.Int64

	mu sync.Mutex
	// The fields below are guarded by mu.
	conns        map[*conn]struct{}
	idle, header timeLimit
	// nearLimit is set while connections are closed after an answer, in the log.
	nearLimit bool
	// memoryEnds is how many requests had ended for want of memory at the last refresh, and lowMemory is set while they do, in the log.
	memoryEnds int64
	lowMemory  bool
}

// New returns a manager without connections.
func New(c Config) *Manager {
	m := &Manager{config: c, conns: make(map[*conn]struct{}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_caller_connections_rejected_total", Help: "Connections of callers above the limit, by how they were rejected.",
		}, []string{"how"}),
	}
	gauge := func(name, help string, value func() int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value()) })
	}
	c.Registry.MustRegister(m.rejected,
		gauge("burdock_caller_connections", "Open connections of callers.", func() int { return m.counts().Open }),
		gauge("burdock_caller_connections_idle", "Connections of callers without a request.", func() int { return m.counts().Idle }),
		gauge("burdock_caller_connections_max", "Connections of callers that the process has descriptors for; 0 for no limit.", func() int { return m.counts().MaxConns }))
	if c.Memory != nil {
		m.registerMemory(gauge)
	}
	m.refresh(time.Now())
	return m
}

// Run keeps to the limits of the configuration as they change until ctx ends. It returns nil.
func (m *Manager) Run(ctx context.Context) error {
	for wait.For(ctx, refreshInterval) {
		m.refresh(time.Now())
		m.closeStalledWrites(time.Now())
	}
	return nil
}

// refresh asks for the limits. One that has changed counts for the connections that are idle already, too.
func (m *Manager) refresh(now time.Time) {
	limits, maxConns := m.config.Limits(), m.config.MaxConns()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxConns.Store(int64(maxConns))
	m.maxHeadBytes.Store(m.currentMaxHeadBytes())
	m.header.set(limits.HeaderTimeout, now)
	m.idle.set(limits.IdleTimeout, now)
	m.headerTimeout.Store(int64(cmp.Or(m.header.inUse(now), defaultHeaderTimeout)))
	idle := cmp.Or(m.idle.inUse(now), defaultIdleTimeout)
	if before := m.idleTimeout.Swap(int64(idle)); int64(idle) != before {
		for c := range m.conns {
			c.setIdleTimeout(idle)
		}
	}
	if m.NearLimit() {
		for c := range m.conns {
			c.limitFirstWait(time.Duration(m.headerTimeout.Load()))
		}
	}
	m.logNearLimit()
	m.logLowMemory()
}

// logNearLimit logs when connections begin to be closed after an answer and when they are kept again. The caller must hold mu.
func (m *Manager) logNearLimit() {
	peak := m.peak.Swap(m.open.Load())
	kept := float64(m.maxKept())
	fields := []zap.Field{zap.Int64("open", peak), zap.Int64("max", m.maxConns.Load())}
	switch {
	case !m.nearLimit && kept > 0 && float64(peak) > kept:
		m.nearLimit = true
		m.config.Log.Warn("many connections of callers; closing them after each answer", fields...)
	case m.nearLimit && float64(peak) <= clearedFraction*kept:
		m.nearLimit = false
		m.config.Log.Info("connections of callers are kept again", fields...)
	}
}

// maxKept returns the number of connections up to which they are kept after an answer; 0 for no limit.
func (m *Manager) maxKept() int64 { return int64(keptFraction * float64(m.maxConns.Load())) }

// NearLimit reports whether connections are to be closed after their next answer, as there are nearly as many as there may be.
func (m *Manager) NearLimit() bool {
	kept := m.maxKept()
	return kept > 0 && m.open.Load() > kept
}

// Open returns the number of open connections.
func (m *Manager) Open() int { return int(m.open.Load()) }

// Listener returns a listener whose connections the manager tracks. It closes those that are far above the limit.
func (m *Manager) Listener(l *net.TCPListener) net.Listener { return &listener{l, m} }

type listener struct {
	*net.TCPListener
	m *Manager
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c, ok := l.m.add(tcp); ok {
			return c, nil
		}
		_ = tcp.Close()
	}
}

// add tracks a new connection, unless it is too far above the limit even to refuse its request.
func (m *Manager) add(tcp *net.TCPConn) (*conn, bool) {
	open, limit := m.open.Add(1), m.maxConns.Load()
	if peak := m.peak.Load(); open > peak {
		m.peak.CompareAndSwap(peak, open)
	}
	c := &conn{TCPConn: tcp, manager: m, refused: limit > 0 && open > limit}
	if c.refused && float64(open) > (1+refusalFraction)*float64(limit) {
		m.open.Add(-1)
		m.rejected.WithLabelValues(rejectedClosed).Inc()
		return nil, false
	}
	if c.refused {
		m.rejected.WithLabelValues(rejectedAnswered).Inc()
	}
	c.await(time.Duration(m.idleTimeout.Load()))
	if m.NearLimit() {
		c.limitFirstWait(time.Duration(m.headerTimeout.Load()))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[c] = struct{}{}
	return c, true
}

// remove forgets a closed connection.
func (m *Manager) remove(c *conn) {
	m.open.Add(-1)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// ConnState records the state of a connection. It is the http.Server's ConnState.
func (m *Manager) ConnState(c net.Conn, state http.ConnState) {
	k, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		k.activate()
	case http.StateIdle:
		k.await(time.Duration(m.idleTimeout.Load()))
	}
}

// counts are the numbers of connections.
type counts struct {
	// Open counts all connections, Idle those that wait for a request.
	Open int `json:"open"`
	Idle int `json:"idle"`
	// Kept is how many are kept after an answer, MaxConns how many there may be; 0 for no limit.
	Kept     int `json:"kept_after_answer"`
	MaxConns int `json:"max"`
	// Memory is what requests and answers take beyond what is included in a connection; nil where it is not bounded.
	Memory *membudget.Usage `json:"memory,omitempty"`
}

func (m *Manager) counts() counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := counts{Open: len(m.conns), Kept: int(m.maxKept()), MaxConns: int(m.maxConns.Load())}
	for c := range m.conns {
		if c.isIdle() {
			n.Idle++
		}
	}
	if m.config.Memory != nil {
		usage := m.config.Memory.Usage()
		n.Memory = &usage
	}
	return n
}

// Dump returns the numbers of connections.
func (m *Manager) Dump() any { return m.counts() }
