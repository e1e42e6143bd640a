// Package leafpool keeps this VM's connections to the leaves: few to each, so that all VMs together
// stay below a leaf's limit, opened ahead of the first call, since a new connection holds a slot of
// the leaf for some milliseconds.
package leafpool

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/leafcall"
)

const (
	// limitUsed is the part of a leaf's connection limit that the fleet plans with; the rest is for
	// connections of VMs that were replaced and that the leaf has not dropped yet.
	limitUsed = 0.8
	// mostPerLeaf bounds the connections of one VM to a leaf: a leaf runs few requests at once, and
	// what it can't run would only wait there.
	mostPerLeaf = 4
	// dialTimeout bounds opening a connection; a round trip takes milliseconds.
	dialTimeout = 500 * time.Millisecond
	// retryDial is how long after a failed opening ahead the next one is tried.
	retryDial = time.Second
	// openPeriod is how often connections are opened ahead.
	openPeriod = 250 * time.Millisecond
	// openAtOnce bounds the connections that are opened ahead at the same time.
	openAtOnce = 8
)

// Step names this duty in errors.
const Step = "leafpool"

// Pool holds the connections. It is safe for concurrent use.
type Pool struct {
	dialer  leafcall.Dialer
	metrics *metrics

	mu sync.Mutex
	// What follows is guarded by mu.
	leaves map[string]*peer
	vms    int
	limits map[string]int
}

// peer is a leaf with its connections.
type peer struct {
	leaf catalog.Leaf
	idle []leafcall.Conn
	// open counts all connections, those in use and being opened included.
	open int
	// failedAt is when a connection last could not be opened.
	failedAt time.Time
	gone     bool
}

type metrics struct {
	opened *prometheus.CounterVec
	open   prometheus.Gauge
}

// New returns a pool without connections.
func New(d leafcall.Dialer, reg prometheus.Registerer) *Pool {
	m := &metrics{
		opened: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_leaf_connections_opened_total", Help: "Connections to leaves by how opening them ended.",
		}, []string{"result"}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{Name: "burdock_leaf_connections", Help: "Open connections to leaves."}),
	}
	reg.MustRegister(m.opened, m.open)
	return &Pool{dialer: d, metrics: m, leaves: make(map[string]*peer), vms: 1, limits: make(map[string]int)}
}

// SetLeaves tells which leaves may be called, and the connection limit of each service. Connections to
// others are closed once they are idle.
func (p *Pool) SetLeaves(leaves []catalog.Leaf, limits map[string]int, vms int) {
	p.mu.Lock()
	var drop []leafcall.Conn
	known := make(map[string]bool, len(leaves))
	p.limits, p.vms = limits, max(vms, 1)
	for _, l := range leaves {
		known[l.ID] = true
		if e := p.leaves[l.ID]; e != nil {
			e.leaf, e.gone = l, false
			continue
		}
		p.leaves[l.ID] = &peer{leaf: l}
	}
	for id, e := range p.leaves {
		if known[id] {
			continue
		}
		e.gone = true
		drop = append(drop, e.idle...)
		e.open -= len(e.idle)
		e.idle = nil
		if e.open == 0 {
			delete(p.leaves, id)
		}
	}
	p.mu.Unlock()
	closeAll(drop)
}

func closeAll(conns []leafcall.Conn) {
	for _, c := range conns {
		c.Close()
	}
}

// most is how many connections this VM may have to the leaf. Requires mu.
func (p *Pool) most(l catalog.Leaf) int {
	limit := p.limits[l.Service]
	if limit <= 0 {
		return mostPerLeaf
	}
	return min(max(1, int(float64(limit)*limitUsed)/p.vms), mostPerLeaf)
}

// Free tells whether a call to the leaf would find a connection, open or to be opened.
func (p *Pool) Free(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.leaves[id]
	return e != nil && (len(e.idle) > 0 || e.open < p.most(e.leaf))
}

// Do makes the call. An error is a *leafcall.Error.
func (p *Pool) Do(ctx context.Context, id string, r *leafcall.Request) (*leafcall.Response, error) {
	c, e, err := p.take(ctx, id)
	if err != nil {
		return nil, err
	}
	resp, reusable, err := c.Do(ctx, r)
	p.give(e, c, reusable && err == nil)
	return resp, err
}

// take returns an idle connection, or a new one.
func (p *Pool) take(ctx context.Context, id string) (leafcall.Conn, *peer, error) {
	p.mu.Lock()
	e := p.leaves[id]
	if e == nil {
		p.mu.Unlock()
		return nil, nil, &leafcall.Error{Cause: leafcall.NoConnection, Step: Step, Peer: id, Err: errors.New("leaf is not known")}
	}
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		if c.Alive() {
			p.mu.Unlock()
			return c, e, nil
		}
		e.open--
		c.Close()
	}
	if e.open >= p.most(e.leaf) {
		p.mu.Unlock()
		return nil, nil, &leafcall.Error{Cause: leafcall.ConnectionFull, Step: Step, Peer: id, Err: errors.New("at this VM's part of the limit")}
	}
	e.open++
	p.mu.Unlock()
	c, err := p.dial(ctx, e)
	return c, e, err
}

// dial opens a connection that is counted already.
func (p *Pool) dial(ctx context.Context, e *peer) (leafcall.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.dialer.Dial(ctx, e.leaf.Address)
	if err == nil {
		p.metrics.opened.WithLabelValues("opened").Inc()
		p.metrics.open.Inc()
		return c, nil
	}
	p.metrics.opened.WithLabelValues("failed").Inc()
	p.mu.Lock()
	e.open--
	e.failedAt = time.Now()
	p.mu.Unlock()
	return nil, err
}

// give takes a connection back.
func (p *Pool) give(e *peer, c leafcall.Conn, reusable bool) {
	p.mu.Lock()
	keep := reusable && !e.gone
	if keep {
		e.idle = append(e.idle, c)
	} else {
		e.open--
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

// Run opens a connection ahead to each leaf that has none, until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	t := time.NewTicker(openPeriod)
	defer t.Stop()
	slots := make(chan struct{}, openAtOnce)
	for {
		for _, e := range p.bare(time.Now()) {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
			go func() {
				defer func() { <-slots }()
				if c, err := p.dial(ctx, e); err == nil {
					p.give(e, c, true)
				}
			}()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// bare returns leaves without a connection, each counted as having one from now on.
func (p *Pool) bare(now time.Time) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer
	for _, e := range p.leaves {
		if e.open == 0 && !e.gone && now.Sub(e.failedAt) >= retryDial {
			e.open++
			out = append(out, e)
		}
	}
	return out
}

// Dump shows the connections by leaf.
func (p *Pool) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	type shown struct {
		Service string `json:"service"`
		Open    int    `json:"open"`
		Idle    int    `json:"idle"`
		Most    int    `json:"most"`
	}
	out := make(map[string]shown, len(p.leaves))
	for id, e := range p.leaves {
		out[id] = shown{e.leaf.Service, e.open, len(e.idle), p.most(e.leaf)}
	}
	return out
}
