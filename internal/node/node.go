// Package node implements the single process of a VM on the users' platform. It builds the duties, runs them,
// and stops them in order.
package node

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/callerconn"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/crashguard"
	"github.com/burdockplank/burdockplank/internal/decision"
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/deployment"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/fleetload"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/leafpool"
	"github.com/burdockplank/burdockplank/internal/logging"
	"github.com/burdockplank/burdockplank/internal/membudget"
	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/notify"
	"github.com/burdockplank/burdockplank/internal/operator"
	"github.com/burdockplank/burdockplank/internal/overload"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/replica"
	"github.com/burdockplank/burdockplank/internal/retrybudget"
	"github.com/burdockplank/burdockplank/internal/roster"
	"github.com/burdockplank/burdockplank/internal/rpc"
	"github.com/burdockplank/burdockplank/internal/storeread"
	"github.com/burdockplank/burdockplank/internal/wait"
	"github.com/burdockplank/burdockplank/internal/warmup"
)

const (
	// Name is the name of the program in logs.
	Name = "burdock-node"
	// balancerLag is how long the balancer may continue to send new connections after this VM reports that it
	// is not ready: two checks, a second apart, with a margin.
	balancerLag = 2800 * time.Millisecond
	// exitMargin is the part of the grace period that is kept for the exit of the process itself.
	exitMargin = 400 * time.Millisecond
	// fleetPollInterval is how often the number of VMs is checked.
	fleetPollInterval = 500 * time.Millisecond
	// maxRetryAfter bounds the delay after which a refused caller is asked to retry.
	maxRetryAfter = 5 * time.Second
	// logFlushTimeout bounds writing the remaining log lines at the exit.
	logFlushTimeout = 200 * time.Millisecond
)

// Platform holds the components that the platform's adapter provides.
type Platform struct {
	Store   storeread.Store
	Decoder directory.Decoder
	Dialer  leafcall.Dialer
	// NewCallerHandler returns the handler for callers, NewReadinessHandler the one for the balancer.
	NewCallerHandler    func(s dispatch.Server, limits func() catalog.Limits, routed func(*dispatch.Request) bool, leaving func() bool, refused func(reason string)) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
	ConnContext         func(ctx context.Context, c net.Conn) context.Context
	// SetAnswerMemory bounds the bytes of answers of leaves that are held while they are read.
	SetAnswerMemory func(bytes int64)
	// ReloadSettings reads the settings again, which may have changed.
	ReloadSettings func() (*deployment.Settings, error)
}

// MetricsAddress is the address (IP:PORT) that serves the metrics and the dump of the state.
type MetricsAddress string

// Daemon is the process of a VM.
type Daemon struct {
	settings       *deployment.Settings
	platform       Platform
	metricsAddress MetricsAddress
	log            *zap.Logger
	sink           *logging.Async
	registry       *prometheus.Registry

	mirror           *mirror.Mirror
	directoryUpdated *notify.Notifier
	directory        *directory.Directory
	peers            *peers.Manager
	reader           *storeread.Reader
	pool             *leafpool.Pool
	table            *replica.Table
	budgets          *retrybudget.Budgets
	guard            *crashguard.Guard
	coldLeaves       *warmup.Allowance
	recorder         *decision.Recorder
	gate             *overload.Gate
	engine           *dispatch.Engine
	delegate         *delegate.Manager
	gatherer         *delegate.Gatherer
	loads            *fleetload.Manager
	refusals         *prometheus.CounterVec
	callers          *callerconn.Manager
	callerMemory     *membudget.Budget
	// memoryBytes and fileDescriptors are those of the newest settings.
	memoryBytes, fileDescriptors atomic.Int64
	server                       *http.Server
	leaving                      atomic.Bool
	isGatherer                   atomic.Bool
	seeds                        atomic.Pointer[[]string]
	// fleetSize and roster are used only by the goroutine of follow.
	fleetSize fleetSize
	roster    *roster.Roster
}

// New builds the duties and starts none of them.
func New(s *deployment.Settings, p Platform, metricsAddress MetricsAddress, log *zap.Logger, sink *logging.Async, logLimits decision.Limits, reg *prometheus.Registry) *Daemon {
	changed, updated := notify.New(), notify.New()
	d := &Daemon{
		settings: s, platform: p, metricsAddress: metricsAddress, log: log, sink: sink, registry: reg,
		mirror: mirror.New(changed), directoryUpdated: updated,
		table: replica.New(), budgets: retrybudget.New(s.RetryBudget, time.Now), fleetSize: fleetSize{startedAt: time.Now()}, roster: roster.New(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_requests_refused_total", Help: "Requests refused at the callers' edge by reason.",
		}, []string{"reason"}),
	}
	reg.MustRegister(d.refusals)
	d.seeds.Store(&s.Seeds)
	d.directory = directory.New(d.mirror, changed, updated, p.Decoder, s.DrainTimeout, log, reg)
	d.peers = peers.New(peers.Config{
		Self: s.PeersAddress, Zone: s.Zone, Millicores: s.Millicores, Incarnation: uint64(time.Now().UnixNano()),
		Seeds: func() []string { return *d.seeds.Load() }, Mirror: d.mirror, Evidence: d.table, Changed: changed,
		Dial: dialPeers(s.IP), Log: log, Registry: reg,
	})
	d.reader = storeread.New(p.Store, d.mirror, d.peers, storeread.Config{
		Self: s.PeersAddress, Zone: s.Zone, Seed: slices.Contains(s.Seeds, s.PeersAddress), NeedsHistory: d.boundsColdLeaves,
		Bound: s.ChangeBound(), HeartbeatInterval: s.HeartbeatInterval,
	}, log, reg)
	d.pool = leafpool.New(p.Dialer, s.Zone, d.maxLeafConns, reg)
	d.recorder = decision.New(log, sink, logLimits, reg)
	d.guard = crashguard.New(d.peers, time.Now, log, reg)
	d.coldLeaves = warmup.New(s.PeersAddress, s.Zone, slices.Collect(maps.Keys(s.Regions)), s.Warmup, time.Now, reg)
	at := dispatch.Location{Zone: s.Zone, Regions: s.Regions}
	d.gate = overload.New(overload.Settings{Cores: float64(s.Millicores) / 1000, MaxRetryAfter: maxRetryAfter}, processorTime, rand.Float64)
	d.engine = dispatch.New(at, d.directory, d.pool, d.table, d.budgets, d.guard, d.coldLeaves, d.gate, d.recorder)
	d.delegate = delegate.New(delegate.Config{
		Self: s.PeersAddress, Local: d.engine, Directory: d.directory, Observer: d.recorder, Dial: dialGatherers(s.IP), OnNewerConfig: d.peers.Fetch, Lag: d.engine.Lag, Gate: d.gate,
		Log: log, Registry: reg,
	})
	d.gatherer = delegate.NewGatherer(d.engine, d.directory, d.gate, d.leaving.Load)
	d.loads = fleetload.New(fleetload.Config{
		Self: s.PeersAddress, Zone: s.Zone, Gateways: d.peers.Gateways, Leaves: d.table, Gatherers: d.delegate, Own: d.gathererLoad,
		Service: (&singleServices{directory: d.directory}).of, Dial: dialLoads(s.IP), Random: rand.Float64, Registry: reg,
	})
	d.memoryBytes.Store(s.MemoryBytes)
	d.fileDescriptors.Store(int64(s.FileDescriptors))
	d.callerMemory = membudget.New(fractionOf(s.MemoryBytes, requestMemoryFraction), time.Now)
	d.callers = callerconn.New(callerconn.Config{
		Limits: d.limits, MaxConns: d.maxCallerConns, Memory: d.callerMemory, Refused: d.countRefusal, Log: log, Registry: reg,
	})
	d.server = d.newCallerServer()
	reg.MustRegister(newStateMetrics(d))
	return d
}

// boundsColdLeaves reports whether the configuration among the items names what a cold leaf tolerates.
func (d *Daemon) boundsColdLeaves(items []mirror.Item) bool {
	for _, it := range items {
		c, ok, err := d.platform.Decoder.Config(it.Key, it.Value)
		if ok && err == nil && c.BoundsColdLeaves() {
			return true
		}
	}
	return false
}

// limits returns the limits of the configuration in force, or none before the first one.
func (d *Daemon) limits() catalog.Limits {
	if c := d.directory.Current().Config; c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// ready reports whether the balancer may send new connections.
func (d *Daemon) ready() bool {
	v := d.directory.Current()
	return !d.leaving.Load() && v.Config != nil && len(v.Leaves)+len(v.EvacuatedLeaves) > 0
}

// Run runs the process until it is stopped or a duty fails.
func (d *Daemon) Run(ctx context.Context) error {
	d.setMemory(d.settings.MemoryBytes)
	defer d.sink.Close(logFlushTimeout)
	callers, err := d.listenForCallers(ctx)
	if err != nil {
		return err
	}
	runner := process.Runner{
		Log: d.log, DrainLimit: d.settings.GracePeriod - exitMargin, Drain: d.drain,
		Duties: []process.Duty{
			{Name: "settings", Run: d.reloadOnSignal},
			{Name: "recorder", Run: d.recorder.Run},
			{Name: "metrics", Run: d.serve(string(d.metricsAddress), d.operatorHandler())},
			{Name: "peers' server", Run: d.serve(d.settings.PeersAddress, d.peersHandler())},
			{Name: "peers", Run: d.peers.Run},
			{Name: "store reader", Run: d.reader.Run},
			{Name: "directory", Run: d.directory.Run},
			{Name: "pool", Run: d.pool.Run},
			{Name: "crash guard", Run: func(ctx context.Context) error { return d.guard.Run(ctx, d.pool) }},
			{Name: "follow", Run: d.follow},
			{Name: "delegate", Run: d.delegate.Run},
			{Name: "gatherer", Run: d.gatherer.Run},
			{Name: "load reports", Run: d.loads.Run},
			{Name: "callers' connections", Run: d.callers.Run},
			{Name: "callers", Run: func(ctx context.Context) error { return serveUntil(ctx, d.server, callers) }},
			{Name: "readiness", Run: d.serve(d.settings.ReadinessAddress, d.platform.NewReadinessHandler(d.ready))},
		},
	}
	return runner.Run(ctx)
}

func (d *Daemon) operatorHandler() http.Handler {
	dumps := operator.NewDumps()
	dumps.Add("peers", d.peers)
	dumps.Add("gatherers", d.delegate)
	dumps.Add("load reports", d.loads)
	dumps.Add("connections", d.pool)
	dumps.Add("callers' connections", d.callers)
	dumps.Add("cold leaves", d.coldLeaves)
	dumps.Add("admission", d.gate)
	dumps.Add("crashes", d.guard)
	dumps.Add("store", operator.DumpFunc(func() any { return d.directory.StoreDump() }))
	dumps.Add("evacuations", operator.DumpFunc(func() any { return d.directory.Current().Evacuations }))
	dumps.Add("budgets", operator.DumpFunc(func() any { return d.budgets.Remaining() }))
	return operator.Handler(d.registry, dumps, func() (bool, string) { return d.ready(), "no configuration, no leaves or leaving" })
}

func (d *Daemon) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(burdockv1connect.NewFleetServiceHandler(fleetService{d.peers, d.gatherer, d.loads}, fleetHandlerOptions()...))
	return mux
}

// serve returns a duty that serves h at the address to other programs of the deployment.
func (d *Daemon) serve(address string, h http.Handler) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "node: listen at %s", address)
		}
		return serveUntil(ctx, rpc.NewServer(h), l)
	}
}

// serveUntil serves until ctx ends or the server is shut down. The end of ctx cuts off the requests in flight;
// in an orderly stop, the server has been shut down before.
func serveUntil(ctx context.Context, server *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "node: serve at %s", l.Addr())
	}
	return nil
}

// drain continues to serve until the balancer must have noticed that this VM is leaving, and then waits for the
// requests in flight.
func (d *Daemon) drain(ctx context.Context) {
	d.leaving.Store(true)
	d.peers.Leave()
	wait.For(ctx, balancerLag)
	d.gatherer.Close(ctx)
	if err := d.server.Shutdown(ctx); err != nil {
		d.log.Warn("drain ended with requests in flight; closing their connections", zap.Error(err))
		_ = d.server.Close()
	}
}

// follow applies changes of the directory and the fleet to the pool and the budgets.
func (d *Daemon) follow(ctx context.Context) error {
	t := time.NewTicker(fleetPollInterval)
	defer t.Stop()
	for {
		next := d.directoryUpdated.Changed()
		vms := d.applyPlan()
		d.table.Forget(time.Now())
		if vms == 1 {
			d.reloadSettings() // no peer is known, and the seeds may have changed without a signal
		}
		select {
		case <-ctx.Done():
			return nil
		case <-next:
		case <-t.C:
		}
	}
}

// reloadOnSignal reads the settings again at each SIGHUP until ctx ends. Requests are served meanwhile.
func (d *Daemon) reloadOnSignal(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			d.log.Info("settings reloaded", zap.Bool("taken", d.reloadSettings()))
		}
	}
}

// reloadSettings applies the settings as they are now and reports whether that succeeded. After a failure the
// previous ones stay in use.
func (d *Daemon) reloadSettings() bool {
	s, err := d.platform.ReloadSettings()
	if err != nil {
		d.log.Warn("settings not reloaded; keeping the previous ones", zap.Error(err))
		return false
	}
	d.applySettings(s)
	return true
}
