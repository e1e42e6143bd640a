package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/rpc"
)

const (
	// maintainInterval is the time between two maintenance passes over the connections when no
	// event triggers one earlier.
	maintainInterval = 50 * time.Millisecond
	// maxResponseBytes bounds a leaf's response message.
	maxResponseBytes = 4 << 20
)

// Config describes the pool's own VM.
type Config struct {
	// VM is the id of the pool's own VM.
	VM string
	// Bind is the source IP address of connections.
	Bind string
}

// Pool owns the connections of one gather to the leaves of the services that it serves. It is
// safe for concurrent use.
type Pool struct {
	cfg       Config
	source    feed.Source
	reporter  feed.Reporter
	log       *zap.Logger
	metrics   *metrics
	transport h2Transport
	dial      func(ctx context.Context, address string) (net.Conn, error)
	epoch     time.Time

	// ctx ends when the pool closes; goroutines counts the pool's goroutines.
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// closed forbids new goroutines; guarded by spawnMu.
	closed  bool
	spawnMu sync.Mutex
	wake    chan struct{}
	// initialized is closed by the pool's loop after a connection to each leaf of the first bundle
	// was attempted.
	initialized chan struct{}

	mu sync.RWMutex
	// hasBundle is true after the first view with a bundle; guarded by mu.
	hasBundle bool
	// leaves by id; guarded by mu.
	leaves map[string]*leaf
	// removed holds leaves that left the plan and still have calls in flight; guarded by mu.
	removed []*leaf
}

var _ Caller = (*Pool)(nil)

// NewPool returns a pool without leaves; Run and ApplyView add them. reg may be nil.
func NewPool(cfg Config, source feed.Source, reporter feed.Reporter, log *zap.Logger, reg prometheus.Registerer) *Pool {
	d := rpc.Dialer(cfg.Bind)
	p := &Pool{
		cfg: cfg, source: source, reporter: reporter, log: log,
		metrics:   newMetrics(reg),
		transport: newH2Transport(),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		},
		epoch:       time.Now(),
		wake:        make(chan struct{}, 1),
		initialized: make(chan struct{}),
		leaves:      make(map[string]*leaf),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if reg != nil {
		reg.MustRegister(gauges{p})
	}
	return p
}

// Run applies the views of the source and maintains the connections until ctx ends. It then closes
// the pool.
func (p *Pool) Run(ctx context.Context) error {
	defer p.Close()
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for {
		changed := p.source.Changed()
		p.ApplyView(p.source.Current())
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
				waiting = false
			case <-p.wake:
				p.maintain(time.Now())
			case <-tick.C:
				p.maintain(time.Now())
			}
		}
	}
}

// maintain maintains the connections of all leaves and drops removed leaves without open
// connections. Only the pool's loop calls it.
func (p *Pool) maintain(now time.Time) {
	ended := make(map[*leaf]bool)
	for _, l := range p.all() {
		if !l.maintain(now) {
			ended[l] = true
		}
	}
	p.checkInitialized()
	if len(ended) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removed = slices.DeleteFunc(p.removed, func(l *leaf) bool { return ended[l] })
}

// Initialized returns a channel that is closed after a bundle arrived and a connection to every
// leaf that this VM serves was opened or failed to open. It stays closed when leaves are added
// later.
func (p *Pool) Initialized() <-chan struct{} { return p.initialized }

// checkInitialized closes the initialized channel once its condition holds. Only the pool's loop
// calls it.
func (p *Pool) checkInitialized() {
	p.mu.RLock()
	viewed := p.hasBundle
	p.mu.RUnlock()
	if p.isInitialized() || !viewed {
		return
	}
	for _, l := range p.all() {
		if !l.wasAttempted() {
			return
		}
	}
	close(p.initialized)
}

func (p *Pool) isInitialized() bool {
	select {
	case <-p.initialized:
		return true
	default:
		return false
	}
}

// Close stops the pool. It closes the connections and interrupts calls in flight.
func (p *Pool) Close() {
	p.cancel()
	p.spawnMu.Lock()
	p.closed = true
	p.spawnMu.Unlock()
	p.goroutines.Wait()
	for _, l := range p.all() {
		l.closeAll()
	}
}

// wakeLoop triggers a maintenance pass without waiting for the next tick. It does not block.
func (p *Pool) wakeLoop() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// spawn runs f in a goroutine of the pool, unless the pool is closing.
func (p *Pool) spawn(f func()) {
	p.spawnMu.Lock()
	defer p.spawnMu.Unlock()
	if !p.closed {
		p.goroutines.Go(f)
	}
}

// all returns every leaf, including removed leaves with calls in flight.
func (p *Pool) all() []*leaf {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := append([]*leaf(nil), p.removed...)
	for _, l := range p.leaves {
		all = append(all, l)
	}
	return all
}

// leaf returns the leaf with the id, or nil.
func (p *Pool) leaf(id string) *leaf {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.leaves[id]
}

// State implements Caller.
func (p *Pool) State(id string) (State, bool) {
	l := p.leaf(id)
	if l == nil {
		return State{}, false
	}
	return l.state(), true
}

// newClient returns the client of a leaf. Each call uses the connection in its context. Responses
// are not compressed: on a network within a region, compression costs more processor time than it
// saves.
func newClient(address string) burdockv1connect.LeafServiceClient {
	return burdockv1connect.NewLeafServiceClient(exchangeClient{}, "http://"+address,
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxResponseBytes))
}
