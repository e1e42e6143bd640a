// Package node is the one process of a VM on the users' platform: it builds the duties, runs them, and
// ends them in order.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/urfave/negroni/v3"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/crashguard"
	"github.com/burdockplank/burdockplank/internal/decision"
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/deployment"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/leafpool"
	"github.com/burdockplank/burdockplank/internal/logging"
	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/notify"
	"github.com/burdockplank/burdockplank/internal/operator"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/replica"
	"github.com/burdockplank/burdockplank/internal/retrybudget"
	"github.com/burdockplank/burdockplank/internal/rpc"
	"github.com/burdockplank/burdockplank/internal/storeread"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// Name of the program in logs.
	Name = "burdock-node"
	// memoryTargetRatio is the part of the memory limit that the runtime's collector aims to stay within; the
	// rest is for bytes in sockets.
	memoryTargetRatio = 0.6
	// balancerLag is how long the balancer may go on sending new connections after this VM says that it
	// isn't ready: two checks, a second apart, and some.
	balancerLag = 2800 * time.Millisecond
	// exitMargin is kept of the grace period for the end of the process itself.
	exitMargin = 400 * time.Millisecond
	// fleetPollInterval is how often the number of VMs is looked at.
	fleetPollInterval = 500 * time.Millisecond
	// callerIdleTimeout is how long a caller's idle connection is kept where the configuration asks for less or
	// nothing: longer than callers reuse them, so that no request crosses the close.
	callerIdleTimeout = 75 * time.Second
	// headerReadTimeout bounds how long the head of a request may take.
	headerReadTimeout = 10 * time.Second
	// logFlushTimeout bounds writing the last lines.
	logFlushTimeout = 200 * time.Millisecond
)

// Platform is what the platform's adapter brings.
type Platform struct {
	Store   storeread.Store
	Decoder directory.Decoder
	Dialer  leafcall.Dialer
	// NewCallerHandler builds the handler for callers, Ready the one for the balancer.
	NewCallerHandler    func(s dispatch.Server, limits func() catalog.Limits, leaving func() bool, refused func(reason string)) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
	ConnContext         func(ctx context.Context, c net.Conn) context.Context
	// ReloadSeeds reads the seeds anew, which may have changed.
	ReloadSeeds func() ([]string, error)
}

// MetricsAddress is where metrics and the dump of the state are served.
type MetricsAddress string

// Daemon is the process.
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
	recorder         *decision.Recorder
	engine           *dispatch.Engine
	delegate         *delegate.Manager
	gatherer         *delegate.Gatherer
	refusals         *prometheus.CounterVec
	server           *http.Server
	leaving          atomic.Bool
	seeds            atomic.Pointer[[]string]
	// fleetSize belongs to follow.
	fleetSize fleetSize
}

// New builds the duties; nothing runs yet.
func New(s *deployment.Settings, p Platform, metricsAddress MetricsAddress, log *zap.Logger, sink *logging.Async, logLimits decision.Limits, reg *prometheus.Registry) *Daemon {
	changed, updated := notify.New(), notify.New()
	d := &Daemon{
		settings: s, platform: p, metricsAddress: metricsAddress, log: log, sink: sink, registry: reg,
		mirror: mirror.New(changed), directoryUpdated: updated,
		table: replica.New(), budgets: retrybudget.New(s.RetryBudget, time.Now), fleetSize: fleetSize{startedAt: time.Now()},
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_requests_refused_total", Help: "Requests refused at the callers' edge by reason.",
		}, []string{"reason"}),
	}
	reg.MustRegister(d.refusals)
	d.seeds.Store(&s.Seeds)
	d.directory = directory.New(d.mirror, changed, updated, p.Decoder, log, reg)
	d.peers = peers.New(peers.Config{
		Self: s.PeersAddress, Zone: s.Zone, Millicores: s.Millicores, Incarnation: uint64(time.Now().UnixNano()),
		Seeds: func() []string { return *d.seeds.Load() }, Mirror: d.mirror, Evidence: d.table, Changed: changed,
		Dial: dialPeers(s.IP), Log: log, Registry: reg,
	})
	d.reader = storeread.New(p.Store, d.mirror, d.peers, s.PeersAddress, s.Zone, slices.Contains(s.Seeds, s.PeersAddress), s.ConfigApplyBound, log, reg)
	d.pool = leafpool.New(p.Dialer, s.Zone, reg)
	d.recorder = decision.New(log, sink, logLimits, reg)
	guard := crashguard.New(d.peers, time.Now, log)
	d.engine = dispatch.New(s.Zone, d.directory, d.pool, d.table, d.budgets, guard, d.recorder)
	d.delegate = delegate.New(delegate.Config{
		Self: s.PeersAddress, Local: d.engine, Directory: d.directory, Observer: d.recorder, Dial: dialGatherers(s.IP), OnNewerConfig: d.peers.Fetch, Lag: d.engine.Lag,
		Log: log, Registry: reg,
	})
	d.gatherer = delegate.NewGatherer(d.engine, d.directory, d.leaving.Load)
	d.server = d.newCallerServer()
	reg.MustRegister(newStateMetrics(d))
	return d
}

func (d *Daemon) newCallerServer() *http.Server {
	edge := d.platform.NewCallerHandler(d.delegate, d.limits, d.leaving.Load, func(reason string) { d.refusals.WithLabelValues(reason).Inc() })
	n := negroni.New()
	n.UseHandler(edge)
	return &http.Server{Handler: n, ReadHeaderTimeout: headerReadTimeout, IdleTimeout: callerIdleTimeout, ConnContext: d.platform.ConnContext}
}

// limits of the configuration in force; none before the first.
func (d *Daemon) limits() catalog.Limits {
	if c := d.directory.Current().Config; c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// ready tells whether the balancer may send new connections.
func (d *Daemon) ready() bool {
	v := d.directory.Current()
	return !d.leaving.Load() && v.Config != nil && len(v.Leaves) > 0
}

// Run runs the process until it is stopped.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(float64(d.settings.MemoryBytes) * memoryTargetRatio))
	defer d.sink.Close(logFlushTimeout)
	callers, err := net.Listen("tcp", d.settings.CallersAddress)
	if err != nil {
		return eris.Wrap(err, "node: listen for callers")
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
			{Name: "follow", Run: d.follow},
			{Name: "delegate", Run: d.delegate.Run},
			{Name: "gatherer", Run: d.gatherer.Run},
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
	dumps.Add("connections", d.pool)
	dumps.Add("budgets", operator.DumpFunc(func() any { return d.budgets.Left() }))
	return operator.Handler(d.registry, dumps, func() (bool, string) { return d.ready(), "no configuration, no leaves or leaving" })
}

func (d *Daemon) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(burdockv1connect.NewFleetServiceHandler(fleetService{d.peers, d.gatherer}, fleetHandlerOptions()...))
	return mux
}

// serve returns a duty that serves h at the address for other programs of the deployment.
func (d *Daemon) serve(address string, h http.Handler) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "node: listen at %s", address)
		}
		return serveUntil(ctx, rpc.NewServer(h), l)
	}
}

// serveUntil serves until ctx ends or the server is shut down. The end of ctx cuts off what still runs:
// an orderly stop has shut the server down before.
func serveUntil(ctx context.Context, server *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "node: serve at %s", l.Addr())
	}
	return nil
}

// drain goes on serving while the balancer notices that this VM leaves, then ends what runs.
func (d *Daemon) drain(ctx context.Context) {
	d.leaving.Store(true)
	d.peers.Leave()
	wait.For(ctx, balancerLag)
	d.gatherer.Close(ctx)
	if err := d.server.Shutdown(ctx); err != nil {
		d.log.Warn("requests were cut off by the end of the process", zap.Error(err))
		_ = d.server.Close()
	}
}

// follow passes changes of the directory and the fleet on to the pool and the budgets.
func (d *Daemon) follow(ctx context.Context) error {
	t := time.NewTicker(fleetPollInterval)
	defer t.Stop()
	for {
		next := d.directoryUpdated.Changed()
		vms := d.applyPlan()
		d.table.Forget(time.Now())
		if vms == 1 {
			d.reloadSeeds() // the seeds may have changed without a signal
		}
		select {
		case <-ctx.Done():
			return nil
		case <-next:
		case <-t.C:
		}
	}
}

// reloadOnSignal reads the settings anew at each SIGHUP until ctx ends. Requests go on meanwhile: only
// the seeds may change in a running process.
func (d *Daemon) reloadOnSignal(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			d.log.Info("settings reloaded", zap.Bool("taken", d.reloadSeeds()))
		}
	}
}

// reloadSeeds takes new seeds from the settings and tells whether it could; the last ones stay otherwise.
func (d *Daemon) reloadSeeds() bool {
	seeds, err := d.platform.ReloadSeeds()
	if err != nil {
		d.log.Warn("settings not reloaded", zap.Error(err))
		return false
	}
	d.seeds.Store(&seeds)
	return true
}
