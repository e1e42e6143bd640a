package delegate

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// quietAfter is how long a search may be with a gatherer until that is asked whether it runs. Half of the
	// searches are answered by then or soon after; pings of all would double the messages.
	quietAfter = 40 * time.Millisecond
	// pingTimeout is how long a gatherer may take to say that it runs. The way there and back takes 0.2 ms in a
	// zone; a gatherer that takes longer than this serves nobody in time.
	pingTimeout = 100 * time.Millisecond
	// pingPeriod is the time between two pings while a search goes on.
	pingPeriod = 150 * time.Millisecond
	// lostPeriod is the time between two pings of a gatherer that is lost.
	lostPeriod = 250 * time.Millisecond
	// triesMost bounds the gatherers that one search is offered to.
	triesMost = 2
)

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
	plan := make([]*target, 0, len(p.To))
	for _, address := range p.To {
		t := targetAt(m.plan, address)
		if t == nil {
			t = &target{address: address, client: m.cfg.Dial(address), flights: make(map[*flight]struct{})}
			m.cfg.Log.Info("searches may go to a stronger VM", zap.String("peer", address), zap.Int("gatherers", p.Gatherers))
		}
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
		a, version, why := m.handOver(ctx, t, req, least, route.Waits(req.Remaining))
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

// watch pings the gatherer until the search is over.
func (m *Manager) watch(ctx context.Context, t *target) {
	for ctx.Err() == nil {
		m.ping(ctx, t)
		wait.For(ctx, pingPeriod)
	}
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

// lose gives a gatherer no more searches until it answers a ping, and ends those that it has: a caller that
// hears at once may still be served in time by another VM.
func (m *Manager) lose(t *target, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.lost {
		return
	}
	t.lost = true
	m.cfg.Log.Warn("stronger VM lost", zap.String("peer", t.address), zap.Int("searches", len(t.flights)), zap.Error(err))
	for f := range t.flights {
		f.cancel()
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// ping asks a gatherer that has been quiet whether it runs, and loses it where it doesn't say so.
func (m *Manager) ping(ctx context.Context, t *target) {
	pong, err := m.pingOnce(ctx, t)
	switch {
	case err == nil:
		m.noteLoad(t, pong)
	case ctx.Err() == nil: // the search still waits
		m.lose(t, err)
	}
}

func (m *Manager) pingOnce(ctx context.Context, t *target) (*pb.FleetPong, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return t.client.Ping(ctx, &pb.FleetPing{})
}

func (m *Manager) noteLoad(t *target, load *pb.FleetPong) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.note(microseconds(load.GetLagUs()), load.GetLeaving(), time.Now())
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

// Run pings gatherers that are lost or about to end until they answer, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for {
		unusable := m.unusable()
		for _, t := range unusable {
			m.revive(ctx, t)
		}
		if len(unusable) > 0 {
			if !wait.For(ctx, lostPeriod) {
				return nil
			}
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		case <-time.After(lostPeriod):
		}
	}
}

func (m *Manager) unusable() []*target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*target
	for _, t := range m.plan {
		if t.lost || t.leaving {
			out = append(out, t)
		}
	}
	return out
}

func (m *Manager) revive(ctx context.Context, t *target) {
	pong, err := m.pingOnce(ctx, t)
	if err != nil {
		return
	}
	m.noteLoad(t, pong)
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.lost {
		m.cfg.Log.Info("stronger VM regained", zap.String("peer", t.address), zap.Duration("lag", t.lag))
	}
	t.lost = false
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
