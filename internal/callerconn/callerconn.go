// Package callerconn closes connections of callers that have been idle for longer than the configuration allows, and
// those that have been idle for longest where the process has no room for more connections.
package callerconn

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// defaultIdleTimeout is how long a connection may be idle where the configuration sets no limit.
	defaultIdleTimeout = 75 * time.Second
	// sweepInterval is how often the idle connections are checked.
	sweepInterval = 500 * time.Millisecond
)

// The reasons for which connections are closed, in metrics.
const (
	reasonIdle = "idle_timeout"
	reasonRoom = "no_room"
)

// Config holds what a Manager needs.
type Config struct {
	// IdleTimeout returns how long a connection may be idle; 0 where the configuration sets no limit.
	IdleTimeout func() time.Duration
	// MaxOpen returns how many connections may be open while some are idle; 0 for no limit. It is asked at each sweep.
	MaxOpen func() int
	// Registry registers the metrics.
	Registry prometheus.Registerer
}

// Manager tracks the connections of an http.Server, which must have neither an IdleTimeout nor a ReadTimeout. It ends
// an idle connection by its read deadline, so that a request that has been read is never cut off. It is safe for
// concurrent use.
type Manager struct {
	config Config
	closed *prometheus.CounterVec

	mu sync.Mutex
	// The fields below are guarded by mu.
	conns   map[net.Conn]*conn
	maxOpen int
	// idle holds the *conn that wait for a request, longest idle first. expired holds those of them that are to be
	// closed.
	idle, expired *list.List
}

// conn is a connection. element is its place in a list of the manager; nil while a request is read or answered.
type conn struct {
	net.Conn
	element   *list.Element
	idleSince time.Time
	expired   bool
}

// New returns a manager without connections.
func New(c Config) *Manager {
	m := &Manager{config: c, conns: make(map[net.Conn]*conn), maxOpen: c.MaxOpen(), idle: list.New(), expired: list.New(),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_caller_connections_closed_total", Help: "Idle connections of callers that this VM closed by reason.",
		}, []string{"reason"}),
	}
	c.Registry.MustRegister(m.closed,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "burdock_caller_connections", Help: "Open connections of callers."}, func() float64 {
			return float64(m.counts().Open)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "burdock_caller_connections_idle", Help: "Connections of callers without a request."}, func() float64 {
			return float64(m.counts().Idle)
		}))
	return m
}

// ConnState records the state of a connection. It is the http.Server's ConnState.
func (m *Manager) ConnState(c net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateNew:
		m.conns[c] = &conn{Conn: c}
		m.makeRoom()
	case http.StateActive:
		m.activate(m.conns[c])
	case http.StateIdle:
		k := m.conns[c]
		k.idleSince = time.Now()
		k.element = m.idle.PushBack(k)
		m.makeRoom()
	case http.StateClosed, http.StateHijacked:
		m.unlink(m.conns[c])
		delete(m.conns, c)
	}
}

// activate records that a request has been read. It clears the read deadline if the connection was about to be closed.
// The caller must hold mu.
func (m *Manager) activate(k *conn) {
	wasExpired := k.expired
	m.unlink(k)
	if wasExpired {
		_ = k.SetReadDeadline(time.Time{})
	}
}

// unlink removes the connection from its list. The caller must hold mu.
func (m *Manager) unlink(k *conn) {
	if k == nil || k.element == nil {
		return
	}
	if k.expired {
		m.expired.Remove(k.element)
	} else {
		m.idle.Remove(k.element)
	}
	k.element, k.expired = nil, false
}

// makeRoom expires the longest idle connection where more are open than there is room for. The caller must hold mu.
func (m *Manager) makeRoom() {
	if m.maxOpen > 0 && len(m.conns)-m.expired.Len() > m.maxOpen && m.idle.Len() > 0 {
		m.expire(m.idle.Front().Value.(*conn), reasonRoom)
	}
}

// expire ends the wait for a request. The caller must hold mu.
func (m *Manager) expire(k *conn, reason string) {
	m.unlink(k)
	k.expired = true
	k.element = m.expired.PushBack(k)
	m.closed.WithLabelValues(reason).Inc()
	endWait(k)
}

// endWait makes the server's read of the next request fail, after which the server closes the connection.
func endWait(c net.Conn) { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// Run closes connections that are idle for too long until ctx ends. It returns nil.
func (m *Manager) Run(ctx context.Context) error {
	for wait.For(ctx, sweepInterval) {
		m.sweep(time.Now())
	}
	return nil
}

// sweep expires the connections that have been idle for too long. It ends the wait again of those that are still open: the
// server sets a read deadline of its own when a connection becomes idle, which may replace one set at the same moment.
func (m *Manager) sweep(now time.Time) {
	limit := m.config.IdleTimeout()
	if limit <= 0 {
		limit = defaultIdleTimeout
	}
	maxOpen := m.config.MaxOpen()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxOpen = maxOpen
	for e := m.expired.Front(); e != nil; e = e.Next() {
		endWait(e.Value.(*conn))
	}
	for e := m.idle.Front(); e != nil && now.Sub(e.Value.(*conn).idleSince) >= limit; e = m.idle.Front() {
		m.expire(e.Value.(*conn), reasonIdle)
	}
}

// counts are the numbers of connections.
type counts struct {
	// Open counts all connections, Idle those that wait for a request.
	Open int `json:"open"`
	Idle int `json:"idle"`
	// MaxOpen is how many may be open while some are idle; 0 for no limit.
	MaxOpen int `json:"max_open"`
}

func (m *Manager) counts() counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return counts{Open: len(m.conns), Idle: m.idle.Len() + m.expired.Len(), MaxOpen: m.maxOpen}
}

// Dump returns the numbers of connections.
func (m *Manager) Dump() any { return m.counts() }
