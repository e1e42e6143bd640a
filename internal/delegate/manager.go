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

// maxOffers bounds the gatherers that one search is offered to.
const maxOffers = 2

// Client calls a gatherer.
type Client interface {
	Search(ctx context.Context, req *pb.FleetSearch) (*pb.FleetSearchAnswer, error)
	Ping(ctx context.Context, req *pb.FleetPing) (*pb.FleetPong, error)
}

// Config holds the settings and dependencies of a Manager.
type Config struct {
	// Self is the address of this VM.
	Self string
	// Local answers the requests that are not handed over.
	Local     dispatch.Server
	Directory dispatch.Directory
	Observer  dispatch.Observer
	Dial      func(address string) Client
	// OnNewerConfig is called with the address of a VM that has a newer configuration.
	OnNewerConfig func(address string)
	// Gate admits the searches that are handed over by the processor of this VM.
	Gate dispatch.Gate
	// Lag returns how late this VM is with its work.
	Lag      func() time.Duration
	Log      *zap.Logger
	Registry prometheus.Registerer
}

// Manager answers callers' requests, and hands searches over where the plan says so. It is safe for concurrent
// use.
type Manager struct {
	cfg            Config
	handoversEnded *prometheus.CounterVec
	// newestServedVersion is the newest version of the configuration that served a search of this VM.
	newestServedVersion atomic.Uint64
	// wake makes Run check the gatherers at once after one was lost.
	wake chan struct{}

	mu sync.Mutex
	// targets holds the gatherers that searches may go to. It is guarded by mu.
	targets []*target
}

// inFlightSearch is a search in flight at a gatherer.
type inFlightSearch struct{ cancel context.CancelFunc }

// New returns a manager that hands nothing over until SetPlan is called.
func New(cfg Config) *Manager {
	ended := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "burdock_handed_over_total", Help: "Searches offered to a stronger VM of the zone, by their end.",
	}, []string{"end"})
	cfg.Registry.MustRegister(ended)
	return &Manager{cfg: cfg, handoversEnded: ended, wake: make(chan struct{}, 1)}
}

// SetPlan replaces the plan. Searches in flight at gatherers that are no longer in the plan continue.
func (m *Manager) SetPlan(p Plan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := make([]*target, 0, len(p.ZoneGatherers)+len(p.OtherZoneGatherers))
	for i, address := range slices.Concat(p.ZoneGatherers, p.OtherZoneGatherers) {
		t := findTarget(m.targets, address)
		if t == nil {
			t = &target{address: address, client: m.cfg.Dial(address), inFlight: make(map[*inFlightSearch]struct{})}
			m.cfg.Log.Info("searches may go to a stronger VM", zap.String("peer", address), zap.Bool("last", i >= len(p.ZoneGatherers)), zap.Int("gatherers", p.GathererCount))
		}
		t.fallback = i >= len(p.ZoneGatherers)
		targets = append(targets, t)
	}
	for _, t := range m.targets {
		if findTarget(targets, t.address) == nil {
			m.cfg.Log.Info("searches no longer go to a VM", zap.String("peer", t.address), zap.Int("gatherers", p.GathererCount))
		}
	}
	m.targets = targets
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
	minVersion := max(config.Version, m.newestServedVersion.Load())
	req.Lag = m.cfg.Lag()
	var tried *target
	for range maxOffers {
		t := m.chooseTarget(tried)
		if t == nil {
			break
		}
		tried = t
		a, version, reason := m.handOver(ctx, t, req, minVersion, route.EffectiveTimeout(req.Remaining))
		if a != nil {
			a.Route = route
			m.cfg.Observer.Ended(req, a, &dispatch.Trace{Version: version, Gatherer: t.address})
			return a
		}
		req.Declined += t.address + ": " + reason + ";"
	}
	req.Lag = 0 // the lag concerns only searches that are handed over
	return m.cfg.Local.Serve(ctx, req)
}

// chooseTarget returns the gatherer to offer the search to next, other than except, which declined it. It
// returns nil where there is none.
func (m *Manager) chooseTarget(except *target) *target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return pickTarget(m.targets, except, time.Now())
}

// handOver sends the search to the gatherer and returns the answer with the version of the configuration that
// served it. It returns a nil answer and the reason where the gatherer has certainly not run any of the search.
// A search that may have run is not sent again: its calls would come on top of those that each shard may get
// within one attempt.
func (m *Manager) handOver(ctx context.Context, t *target, req *dispatch.Request, minVersion uint64, timeout time.Duration) (*dispatch.Answer, uint64, string) {
	callCtx, f := m.beginSearch(ctx, t, req.Arrived.Add(timeout))
	defer m.endSearch(t, f)
	pingTimer := time.AfterFunc(firstPingDelay, func() { m.pingWhileInFlight(callCtx, t) })
	defer pingTimer.Stop()
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	msg, err := t.client.Search(traced, encodeSearch(m.cfg.Self, req, minVersion, time.Now()))
	if err != nil {
		return m.handleError(ctx, t, err, sent.Load()), 0, "no connection"
	}
	m.recordLoad(t, msg.GetLoad())
	if reason := msg.GetNotTaken(); reason != "" {
		m.handoversEnded.WithLabelValues("not_taken").Inc()
		return nil, 0, reason
	}
	m.handoversEnded.WithLabelValues("answered").Inc()
	m.recordVersion(t, msg.GetVersion())
	return decodeAnswer(msg), msg.GetVersion(), ""
}

// beginSearch records a search in flight and returns its context, which ends at the deadline. The gatherer
// answers slightly before that, whatever its leaves do.
func (m *Manager) beginSearch(ctx context.Context, t *target, deadline time.Time) (context.Context, *inFlightSearch) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	f := &inFlightSearch{cancel}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.inFlight[f] = struct{}{}
	return ctx, f
}

// endSearch releases the context of the search and removes it from those in flight.
func (m *Manager) endSearch(t *target, f *inFlightSearch) {
	f.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(t.inFlight, f)
}

// handleError handles a search that the gatherer did not answer. It returns the caller's answer, or nil where
// the search was not sent and may be offered again.
func (m *Manager) handleError(ctx context.Context, t *target, err error, sent bool) *dispatch.Answer {
	if ctx.Err() != nil {
		m.handoversEnded.WithLabelValues("caller_gone").Inc()
		return &dispatch.Answer{Outcome: dispatch.CallerGone, Reason: dispatch.ReasonCallerGone}
	}
	m.handleLoss(t, err)
	if !sent {
		m.handoversEnded.WithLabelValues("not_sent").Inc()
		return nil
	}
	m.handoversEnded.WithLabelValues("lost").Inc()
	return &dispatch.Answer{Outcome: dispatch.Unknown, Reason: dispatch.ReasonGathererLost}
}

// recordVersion records which version of the configuration served a search, so that no later search of this VM
// is served by an older one. It reports the gatherer to OnNewerConfig where this VM's configuration is older.
func (m *Manager) recordVersion(t *target, version uint64) {
	for old := m.newestServedVersion.Load(); version > old && !m.newestServedVersion.CompareAndSwap(old, version); {
		old = m.newestServedVersion.Load()
	}
	if c := m.cfg.Directory.Current().Config; c == nil || c.Version < version {
		m.cfg.OnNewerConfig(t.address)
	}
}

// Dump returns the state of the gatherers of the plan by address.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	type gathererState struct {
		Lost     bool  `json:"lost"`
		Leaving  bool  `json:"leaving"`
		LagUs    int64 `json:"lag_us"`
		InFlight int   `json:"searches_in_flight"`
	}
	out := make(map[string]gathererState, len(m.targets))
	for _, t := range m.targets {
		out[t.address] = gathererState{t.lost, t.leaving, t.lag.Microseconds(), len(t.inFlight)}
	}
	return out
}
