// Package leafpool keeps this VM's connections to the leaves. Each VM has few connections to a leaf, so that all
// VMs together stay below the leaf's limit. Connections are opened before the first call, since a new one occupies
// a slot of the leaf for some milliseconds.
package leafpool

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/leafcall"
)

const (
	// dialTimeout bounds opening a connection. A round trip takes milliseconds, a VM that has used up its CPU quota
	// pauses for a tenth of a second, and a lost packet is retransmitted only after a second. A connection that is
	// not open by then will not open soon.
	dialTimeout = 250 * time.Millisecond
	// resetBackoff is how long no connection is opened to a leaf after it reset a new one: it is at its limit and
	// would reset further ones as well.
	resetBackoff = 300 * time.Millisecond
)

// Step names this component in errors.
const Step = "leafpool"

// Errors of a call that finds no connection.
var (
	errUnknownLeaf      = errors.New("leaf is unknown")
	errNoFreeConnection = errors.New("this VM's connection quota or its descriptors are used up, or the leaf has just reset a new connection")
)

// Pool holds the connections to the leaves. It is safe for concurrent use.
type Pool struct {
	dialer  leafcall.Dialer
	zone    string
	metrics *metrics
	// started is when the pool was created, at the start of the process. startupStagger is the fraction of the VMs
	// that open more connections before this one does; it is drawn at random.
	started        time.Time
	startupStagger float64

	mu sync.Mutex
	// The fields below are guarded by mu.
	leaves map[catalog.LeafID]*leafConns
	share  func(service string) Share
	limits map[string]int
	// open is the number of connections to all leaves, maxOpen returns how many there may be; 0 for no limit.
	open    int
	maxOpen func() int
	// anyCall is set once this VM has made a call to any leaf.
	anyCall bool
}

// leafConns is a leaf with its connections.
type leafConns struct {
	// address of the leaf. A leaf that appears at another address gets a leafConns of its own.
	address string
	leaf    catalog.Leaf
	idle    []idleConn
	// open counts all connections, including those in use and those being opened.
	open int
	// failedAt is when a connection last could not be opened, or ended right after it was opened in advance.
	// resetAt is when the leaf last reset a new connection during a call.
	failedAt, resetAt time.Time
	// probeEndedAt is when the connection of a probe last ended right after it was opened.
	probeEndedAt time.Time
	gone         bool
	// endedUnused is set when a connection ended without having carried a call, and cleared by the next call.
	endedUnused bool
}

// idleConn is a connection that has been idle since the given time. used is set if it has carried a call.
type idleConn struct {
	leafcall.Conn
	since time.Time
	used  bool
}

type metrics struct {
	opened *prometheus.CounterVec
	open   prometheus.Gauge
}

// New returns a pool without connections for a VM in the zone. maxOpen returns how many connections the process has
// descriptors for; 0 for no limit.
func New(d leafcall.Dialer, zone string, maxOpen func() int, reg prometheus.Registerer) *Pool {
	m := &metrics{
		opened: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_leaf_connections_opened_total", Help: "Connections to leaves by how opening them ended.",
		}, []string{"result"}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{Name: "burdock_leaf_connections", Help: "Open connections to leaves."}),
	}
	reg.MustRegister(m.opened, m.open)
	return &Pool{
		dialer: d, zone: zone, maxOpen: maxOpen, metrics: m, started: time.Now(), startupStagger: rand.Float64(),
		leaves: make(map[catalog.LeafID]*leafConns), limits: make(map[string]int), share: func(string) Share { return Share{VMs: 1} },
	}
}

// SetLeaves sets the leaves that may be called, the connection limit of each service, and this VM's share.
// Connections to other leaves are closed once they are idle.
func (p *Pool) SetLeaves(leaves []catalog.Leaf, limits map[string]int, share func(service string) Share) {
	p.mu.Lock()
	var drop []idleConn
	known := make(map[catalog.LeafID]bool, len(leaves))
	p.limits, p.share = limits, share
	for _, l := range leaves {
		known[l.ID] = true
		e := p.leaves[l.ID]
		if e != nil && e.address == l.Address {
			e.leaf, e.gone = l, false
			continue
		}
		if e != nil {
			drop = append(drop, p.retire(e)...)
		}
		p.leaves[l.ID] = &leafConns{address: l.Address, leaf: l}
	}
	for id, e := range p.leaves {
		if known[id] {
			continue
		}
		drop = append(drop, p.retire(e)...)
		if e.open == 0 {
			delete(p.leaves, id)
		}
	}
	p.mu.Unlock()
	p.closeAll(drop)
}

// retire removes and returns the idle connections of a leaf that is no longer called. Those in use are closed when
// they are released. The caller must hold the pool's mu.
func (p *Pool) retire(e *leafConns) []idleConn {
	idle := e.idle
	e.gone, e.idle = true, nil
	p.addOpen(e, -len(idle))
	return idle
}

func (p *Pool) closeAll(conns []idleConn) {
	for _, c := range conns {
		p.metrics.open.Dec()
		c.Close()
	}
}

// Free reports whether a call to the leaf would get a connection, and whether that connection is already open.
func (p *Pool) Free(id catalog.LeafID) (free, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.leaves[id]
	if e == nil {
		return false, false
	}
	if len(e.idle) > 0 {
		return true, true
	}
	return p.mayOpen(e) && time.Since(e.resetAt) >= resetBackoff, false
}

// Do makes the call. Any error is a *leafcall.Error.
func (p *Pool) Do(ctx context.Context, id catalog.LeafID, r *leafcall.Request) (*leafcall.Response, error) {
	c, e, fresh, err := p.acquire(ctx, id)
	if err != nil {
		return nil, err
	}
	resp, reusable, err := c.Do(ctx, r)
	if fresh && err != nil {
		p.noteReset(e, err)
	}
	p.release(e, c, reusable && err == nil, true)
	return resp, err
}

// noteReset records that a leaf ended a new connection without an answer.
func (p *Pool) noteReset(e *leafConns, err error) {
	var failure *leafcall.Error
	if !errors.As(err, &failure) || failure.Cause != leafcall.ConnectionLost {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e.resetAt = time.Now()
}

// acquire returns an idle connection, or opens a new one and sets fresh.
func (p *Pool) acquire(ctx context.Context, id catalog.LeafID) (c leafcall.Conn, e *leafConns, fresh bool, err error) {
	p.mu.Lock()
	e = p.leaves[id]
	if e == nil {
		p.mu.Unlock()
		return nil, nil, false, &leafcall.Error{Cause: leafcall.NoConnection, Step: Step, Peer: id.String(), Err: errUnknownLeaf}
	}
	p.anyCall, e.endedUnused = true, false
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		if c.Alive() {
			p.mu.Unlock()
			return c.Conn, e, false, nil
		}
		p.addOpen(e, -1)
		p.metrics.open.Dec()
		c.Close()
	}
	if !p.mayOpen(e) || time.Since(e.resetAt) < resetBackoff {
		p.mu.Unlock()
		return nil, nil, false, &leafcall.Error{Cause: leafcall.ConnectionFull, Step: Step, Peer: id.String(), Err: errNoFreeConnection}
	}
	p.addOpen(e, 1)
	p.mu.Unlock()
	c, err = p.dial(ctx, e)
	return c, e, true, err
}

// dial opens a connection that is already counted in open.
func (p *Pool) dial(ctx context.Context, e *leafConns) (leafcall.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.dialer.Dial(ctx, e.address)
	if err == nil {
		p.metrics.opened.WithLabelValues("opened").Inc()
		p.metrics.open.Inc()
		return c, nil
	}
	p.metrics.opened.WithLabelValues("failed").Inc()
	p.mu.Lock()
	p.addOpen(e, -1)
	e.failedAt = time.Now()
	p.mu.Unlock()
	return nil, err
}

// release returns a connection to the pool, or closes it. used is set if the connection has carried a call.
func (p *Pool) release(e *leafConns, c leafcall.Conn, reusable, used bool) {
	p.mu.Lock()
	keep := reusable && !e.gone
	if keep {
		e.idle = append(e.idle, idleConn{c, time.Now(), used})
	} else {
		p.addOpen(e, -1)
	}
	if e.gone && e.open == 0 && p.leaves[e.leaf.ID] == e {
		delete(p.leaves, e.leaf.ID)
	}
	p.mu.Unlock()
	if !keep {
		p.metrics.open.Dec()
		c.Close()
	}
}

// addOpen counts n more connections to the leaf. The caller must hold mu.
func (p *Pool) addOpen(e *leafConns, n int) {
	e.open += n
	p.open += n
}

// mayOpen reports whether a connection to the leaf may be opened. The caller must hold mu.
func (p *Pool) mayOpen(e *leafConns) bool {
	limit := p.maxOpen()
	return e.open < p.maxConns(e.leaf) && (limit <= 0 || p.open < limit)
}

// Capacity returns how many connections this VM may have to all leaves together.
func (p *Pool) Capacity() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.leaves {
		n += max(e.open, p.maxConns(e.leaf))
	}
	return n
}

// Dump returns the connection counts of each leaf.
func (p *Pool) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	type leafDump struct {
		Service string `json:"service"`
		Open    int    `json:"open"`
		Idle    int    `json:"idle"`
		Max     int    `json:"most"`
	}
	out := make(map[string]leafDump, len(p.leaves))
	for id, e := range p.leaves {
		out[id.String()] = leafDump{e.leaf.Service, e.open, len(e.idle), p.maxConns(e.leaf)}
	}
	return out
}
