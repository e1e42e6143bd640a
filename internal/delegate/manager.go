package delegate

import (
	"context"
	"math/rand/v2"
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

// maxBodyBytes is the longest body of a search that is handed over. A message is held by both VMs, and the one that takes it has no
// budget for what callers of others send.
const maxBodyBytes = 16 << 10

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
	// Random returns a number in [0,1); rand.Float64 if nil.
	Random func() float64
	// Lag returns how late this VM is with its work.
	Lag      func() time.Duration
	Log      *zap.Logger
	Registry prometheus.Registerer
}

// Manager answers callers' requests, and hands searches over where the plan says so. It is safe for concurrent
// use.
type Manager struct {
	cfg            Config
	random         func() float64
	handoversEnded *prometheus.CounterVec
	// newestServedVersion is the newest version of the configuration that served a search of this VM.
	newestServedVersion atomic.Uint64
	// wake makes Run check the gatherers at once after one was lost.
	wake chan struct{}

	mu sync.Mutex
	// targets holds the gatherers that searches may go to. It is guarded by mu.
	targets []*target
	// offeredFull holds, by priority, when a search was last offered to a full gatherer. It is guarded by mu.
	offeredFull [maxLimits]time.Time
	// otherLoads holds reports of gatherers that are not in the plan by address, for use when they enter it. It is guarded by mu.
	otherLoads map[string]report
}

// inFlightSearch is a search in flight at a gatherer.
type inFlightSearch struct{ cancel context.CancelFunc }

// New returns a manager that hands nothing over until SetPlan is called.
func New(cfg Config) *Manager {
	ended := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "burdock_handed_over_total", Help: "Searches offered to a stronger VM, by their end.",
	}, []string{"end"})
	cfg.Registry.MustRegister(ended)
	m := &Manager{
		cfg: cfg, random: cfg.Random, handoversEnded: ended,
		wake: make(chan struct{}, 1), otherLoads: make(map[string]report),
	}
	if m.random == nil {
		m.random = rand.Float64
	}
	return m
}

// SetPlan replaces the plan. Searches in flight at gatherers that are no longer in the plan continue.
func (m *Manager) SetPlan(p Plan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := make([]*target, 0, len(p.ZoneGatherers)+len(p.OtherZoneGatherers))
	for i, address := range slices.Concat(p.ZoneGatherers, p.OtherZoneGatherers) {
		t := findTarget(m.targets, address)
		known := t != nil
		if !known {
			t = m.newTarget(address)
		}
		t.otherZone = i >= len(p.ZoneGatherers)
		if !known {
			m.logTarget(t, &p)
		}
		targets = append(targets, t)
	}
	for _, t := range m.targets {
		if findTarget(targets, t.address) == nil {
			m.cfg.Log.Info("searches no longer go to a VM", zap.String("peer", t.address), zap.Int("gatherers", p.GathererCount))
		}
	}
	m.targets = targets
}

// newTarget returns a gatherer to which nothing was sent yet, with the load that other VMs told. Requires mu.
func (m *Manager) newTarget(address string) *target {
	t := &target{address: address, client: m.cfg.Dial(address), inFlight: make(map[*inFlightSearch]struct{})}
	if r, ok := m.otherLoads[address]; ok {
		t.record(r)
		delete(m.otherLoads, address)
	}
	return t
}

// Serve implements dispatch.Server.
func (m *Manager) Serve(ctx context.Context, req *dispatch.Request) *dispatch.Answer {
	config := m.cfg.Directory.Current().Config
	if config == nil {
		return m.cfg.Local.Serve(ctx, req)
	}
	route := dispatch.Match(config, req)
	if route == nil || !route.Search() || len(req.Body) > maxBodyBytes {
		return m.cfg.Local.Serve(ctx, req)
	}
	req.Lag = m.cfg.Lag()
	if a := m.offer(ctx, &offering{req: req, route: route, version: config.Version}); a != nil {
		return a
	}
	req.Lag = 0 // the lag concerns only searches that are handed over
	return m.cfg.Local.Serve(ctx, req)
}

// handOver sends the search to the gatherer and returns the answer. It returns a nil answer and the reason where the
// gatherer has certainly not run any of the search. A search that may have run is not sent again: its calls would come
// on top of those that each shard may get within one attempt.
func (m *Manager) handOver(ctx context.Context, t *target, o *offering) (*dispatch.Answer, *declined) {
	callCtx, f := m.beginSearch(ctx, t, o.req.Arrived.Add(o.timeout()))
	defer m.endSearch(t, f)
	pingTimer := time.AfterFunc(firstPingDelay, func() { m.pingWhileInFlight(callCtx, t) })
	defer pingTimer.Stop()
	var sent atomic.Bool
	connected := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	traced := httptrace.WithClientTrace(callCtx, connected)
	minVersion := max(o.version, m.newestServedVersion.Load())
	msg, err := t.client.Search(traced, encodeSearch(m.cfg.Self, o.req, minVersion, time.Now()))
	if err != nil {
		a := m.handleError(ctx, callCtx, t, err, sent.Load())
		if a == nil {
			return nil, &declined{notTaken: notTakenNoConnection}
		}
		return m.ended(o, a, &dispatch.Trace{Gatherer: t.address}), nil
	}
	m.recordLoad(t, msg.GetLoad())
	if notTaken := msg.GetNotTaken(); notTaken != "" {
		m.handoversEnded.WithLabelValues(endOfDecline(notTaken)).Inc()
		return nil, &declined{notTaken, dispatch.Reason(msg.GetReason()), toldWait(msg.GetRetryAfterUs())}
	}
	m.handoversEnded.WithLabelValues(m.endOfAnswer(t)).Inc()
	m.recordVersion(t, msg.GetVersion())
	return m.ended(o, decodeAnswer(msg), &dispatch.Trace{Version: msg.GetVersion(), Gatherer: t.address}), nil
}

// endOfDecline returns the end that is counted for a search that a gatherer declined.
func endOfDecline(notTaken string) string {
	if notTaken == notTakenBusy {
		return "busy"
	}
	return "not_taken"
}

// endOfAnswer returns the end that is counted for a search that the gatherer answered.
func (m *Manager) endOfAnswer(t *target) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.otherZone {
		return "other_zone"
	}
	return "answered"
}

// beginSearch records a search in flight and returns its context, which ends at the deadline. The gatherer
// answers slightly before that, whatever its leaves do.
func (m *Manager) beginSearch(ctx context.Context, t *target, deadline time.Time) (context.Context, *inFlightSearch) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	f := &inFlightSearch{cancel}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.inFlight[f] = struct{}{}
	t.noteSent(time.Now())
	return ctx, f
}

// endSearch releases the context of the search and removes it from those in flight.
func (m *Manager) endSearch(t *target, f *inFlightSearch) {
	f.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(t.inFlight, f)
}

// handleError handles a search that the gatherer did not answer, whose call had the context callCtx. It returns the
// caller's answer, or nil where the search was not sent and may be offered again.
func (m *Manager) handleError(ctx, callCtx context.Context, t *target, err error, sent bool) *dispatch.Answer {
	if ctx.Err() != nil {
		m.handoversEnded.WithLabelValues("caller_gone").Inc()
		return &dispatch.Answer{Outcome: dispatch.CallerGone, Reason: dispatch.ReasonCallerGone}
	}
	timedOut := callCtx.Err() == context.DeadlineExceeded
	behind := timedOut && m.mayBeBehind(t)
	switch {
	case timedOut && !sent, behind: // a ping decides
		m.requestCheck(t)
	default:
		m.handleLoss(t, err)
	}
	switch {
	case !sent:
		m.handoversEnded.WithLabelValues("not_sent").Inc()
		return nil
	case behind:
		m.handoversEnded.WithLabelValues("timed_out").Inc()
		return &dispatch.Answer{Outcome: dispatch.TimedOut, Reason: dispatch.ReasonDeadline}
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
	now := time.Now()
	out := make(map[string]gathererState, len(m.targets))
	for _, t := range m.targets {
		out[t.address] = t.dump(now)
	}
	return out
}

// gathererState is the state of a gatherer in the dump.
type gathererState struct {
	Lost      bool  `json:"lost"`
	Leaving   bool  `json:"leaving"`
	OtherZone bool  `json:"other_zone"`
	LagUs     int64 `json:"lag_us"`
	InFlight  int   `json:"searches_in_flight"`
	// WaitUs is the wait in the newest report, ExpectedWaitUs the one of a search that is sent now.
	WaitUs         int64   `json:"wait_us"`
	ExpectedWaitUs int64   `json:"expected_wait_us"`
	LimitsUs       []int64 `json:"wait_limits_us"`
	// ReportAgeMs is the age of the newest report; negative if there was none.
	ReportAgeMs int64 `json:"report_age_ms"`
	// ToldBy is who told the report: the gatherer itself or another VM.
	ToldBy string `json:"told_by"`
}

func (t *target) dump(now time.Time) gathererState {
	r := &t.report
	out := gathererState{
		Lost: t.lost, Leaving: r.leaving, OtherZone: t.otherZone, LagUs: r.lag.Microseconds(), InFlight: len(t.inFlight),
		WaitUs: r.wait.Microseconds(), ExpectedWaitUs: r.expectedWait(t.sent, now).Microseconds(),
	}
	for _, limit := range r.limits {
		out.LimitsUs = append(out.LimitsUs, limit.Microseconds())
	}
	switch {
	case r.at.IsZero():
		out.ReportAgeMs = -1
		return out
	case r.passedOn:
		out.ToldBy = "another VM"
	default:
		out.ToldBy = "gatherer"
	}
	out.ReportAgeMs = r.age(now).Milliseconds()
	return out
}
