package delegate

import (
	"context"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/dispatch"
)

// triesMost bounds the gatherers that one search is offered to.
const triesMost = 2

// Client is what is needed of a gatherer.
type Client interface {
	Search(ctx context.Context, req *pb.FleetSearch) (*pb.FleetSearchAnswer, error)
	Ping(ctx context.Context, req *pb.FleetPing) (*pb.FleetPong, error)
}

// Config is what the duty works on.
type Config struct {
	// Self is the address of this VM.
	Self string
	// Local answers what isn't handed over.
	Local     dispatch.Server
	Directory dispatch.Directory
	Observer  dispatch.Observer
	Dial      func(address string) Client
	// Behind is told that the VM at the address has a newer configuration.
	Behind func(address string)
	// Lag tells by how much this VM is late with its work.
	Lag      func() time.Duration
	Log      *zap.Logger
	Registry prometheus.Registerer
}

// Manager answers callers' requests, and hands searches over where the plan says so. It is safe for
// concurrent use.
type Manager struct {
	cfg   Config
	ended *prometheus.CounterVec
	// newest is the newest version of the configuration by which a search of this VM was served.
	newest atomic.Uint64
	// wake tells Run of a gatherer that was lost.
	wake chan struct{}

	mu sync.Mutex
	// plan holds the gatherers that searches may go to; guarded by mu.
	plan []*target
}

// flight is a search in flight at a gatherer.
type flight struct{ cancel context.CancelFunc }

// New returns a manager that hands nothing over until it has a plan.
func New(cfg Config) *Manager {
	ended := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "burdock_handed_over_total", Help: "Searches offered to a stronger VM of the zone, by their end.",
	}, []string{"end"})
	cfg.Registry.MustRegister(ended)
	return &Manager{cfg: cfg, ended: ended, wake: make(chan struct{}, 1)}
}

// SetPlan takes a new plan. Searches in flight at gatherers that left it go on.
func (m *Manager) SetPlan(p Plan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	plan := make([]*target, 0, len(p.To)+len(p.Else))
	for i, address := range slices.Concat(p.To, p.Else) {
		t := targetAt(m.plan, address)
		if t == nil {
			t = &target{address: address, client: m.cfg.Dial(address), flights: make(map[*flight]struct{})}
			m.cfg.Log.Info("searches may go to a stronger VM", zap.String("peer", address), zap.Bool("last", i >= len(p.To)), zap.Int("gatherers", p.Gatherers))
		}
		t.last = i >= len(p.To)
		plan = append(plan, t)
	}
	for _, t := range m.plan {
		if targetAt(plan, t.address) == nil {
			m.cfg.Log.Info("searches no longer go to a VM", zap.String("peer", t.address), zap.Int("gatherers", p.Gatherers))
		}
	}
	m.plan = plan
}

// Serve implements dispatch.Server.
func (m *Manager) Serve(ctx context.Context, req *dispatch.Request) *dispatch.Answer {
	config := m.cfg.Directory.Current().Config
	if config == nil {
		return m.cfg.Local.Serve(ctx, req)
	}
	route := dispatch.Match(config, req)
	if route == nil || !route.Search() {
		return m.cfg.Local.Serve(ctx, req)
	}
	least := max(config.Version, m.newest.Load())
	req.Lag = m.cfg.Lag()
	var tried *target
	for range triesMost {
		t := m.choose(tried)
		if t == nil {
			break
		}
		tried = t
		a, version, why := m.handOver(ctx, t, req, least, route.EffectiveTimeout(req.Remaining))
		if a != nil {
			a.Route = route
			m.cfg.Observer.Ended(req, a, &dispatch.Trace{Version: version, Gatherer: t.address})
			return a
		}
		req.Declined += t.address + ": " + why + ";"
	}
	req.Lag = 0 // it is served here
	return m.cfg.Local.Serve(ctx, req)
}

// choose returns the gatherer that is asked next, other than the one that didn't take the search.
func (m *Manager) choose(except *target) *target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return best(m.plan, except, time.Now())
}

// handOver lets the gatherer answer the search, and returns by which configuration it did; nil and why where it
// surely has not run any of it. A search that may have run is not sent again: its calls would come on top of
// those that each shard may get of one attempt.
func (m *Manager) handOver(ctx context.Context, t *target, req *dispatch.Request, least uint64, waits time.Duration) (*dispatch.Answer, uint64, string) {
	callCtx, f := m.begin(ctx, t, req.Arrived.Add(waits))
	defer m.end(t, f)
	quiet := time.AfterFunc(quietAfter, func() { m.watch(callCtx, t) })
	defer quiet.Stop()
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	msg, err := t.client.Search(traced, encodeSearch(m.cfg.Self, req, least, time.Now()))
	if err != nil {
		return m.failed(ctx, t, err, sent.Load()), 0, "no connection"
	}
	m.noteLoad(t, msg.GetLoad())
	if why := msg.GetNotTaken(); why != "" {
		m.ended.WithLabelValues("not_taken").Inc()
		return nil, 0, why
	}
	m.ended.WithLabelValues("answered").Inc()
	m.noteVersion(t, msg.GetVersion())
	return decodeAnswer(msg), msg.GetVersion(), ""
}

// begin notes a search in flight and returns its context, which ends at the deadline: the gatherer answers a
// little sooner, whatever its leaves do.
func (m *Manager) begin(ctx context.Context, t *target, deadline time.Time) (context.Context, *flight) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	f := &flight{cancel}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.flights[f] = struct{}{}
	return ctx, f
}

func (m *Manager) end(t *target, f *flight) {
	f.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(t.flights, f)
}

// failed is the end of a search that the gatherer didn't answer.
func (m *Manager) failed(ctx context.Context, t *target, err error, sent bool) *dispatch.Answer {
	if ctx.Err() != nil {
		m.ended.WithLabelValues("caller_gone").Inc()
		return &dispatch.Answer{Outcome: dispatch.CallerGone, Reason: dispatch.ReasonCallerGone}
	}
	m.lose(t, err)
	if !sent {
		m.ended.WithLabelValues("not_sent").Inc()
		return nil
	}
	m.ended.WithLabelValues("lost").Inc()
	return &dispatch.Answer{Outcome: dispatch.Unknown, Reason: dispatch.ReasonGathererLost}
}

// noteVersion remembers by which configuration a search was served: none of this VM's is served by an older
// one from then on.
func (m *Manager) noteVersion(t *target, version uint64) {
	for old := m.newest.Load(); version > old && !m.newest.CompareAndSwap(old, version); {
		old = m.newest.Load()
	}
	if c := m.cfg.Directory.Current().Config; c == nil || c.Version < version {
		m.cfg.Behind(t.address)
	}
}

// Dump shows the gatherers of the plan.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	type shown struct {
		Lost    bool  `json:"lost"`
		Leaving bool  `json:"leaving"`
		LagUs   int64 `json:"lag_us"`
		Flights int   `json:"searches_in_flight"`
	}
	out := make(map[string]shown, len(m.plan))
	for _, t := range m.plan {
		out[t.address] = shown{t.lost, t.leaving, t.lag.Microseconds(), len(t.flights)}
	}
	return out
}
