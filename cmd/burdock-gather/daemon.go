package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/gather"
	"github.com/burdockplank/burdockplank/internal/logging"
	"github.com/burdockplank/burdockplank/internal/operator"
	"github.com/burdockplank/burdockplank/internal/order"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/quarantine"
	"github.com/burdockplank/burdockplank/internal/rpc"
	"github.com/burdockplank/burdockplank/internal/search"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

const (
	program = "burdock-gather"
	// The process counts as paused if a tick arrives later than expected by more than
	// pauseThreshold.
	pauseTick      = 50 * time.Millisecond
	pauseThreshold = feed.MaxSendDelay
)

// incarnation identifies this start of the process.
type incarnation uint64

func newIncarnation() incarnation { return incarnation(process.NewIncarnation()) }

func newLog(s *gather.Settings) (*zap.Logger, error) { return logging.New(program, s.VM.ID, s.Log) }

func newPause() *process.PauseDetector { return process.NewPauseDetector(pauseTick, pauseThreshold) }

func newClient(s *gather.Settings) *http.Client { return rpc.NewClient(s.VM.Bind) }

func newFeed(s *gather.Settings, inc incarnation, c *http.Client, p *process.PauseDetector, bundles *bundle.Store, log *zap.Logger, reg prometheus.Registerer) *feed.Manager {
	return feed.New(feed.Config{
		VM: s.VM.ID, Zone: s.VM.Zone, Role: pb.ProcessRole_PROCESS_ROLE_GATHER, Incarnation: uint64(inc),
		Sync: s.SyncAddress(), Client: c, Pause: p, Bundles: bundles, Log: log, Registry: reg,
	})
}

func newPool(s *gather.Settings, source feed.Source, reporter feed.Reporter, log *zap.Logger, reg prometheus.Registerer) *upstream.Pool {
	return upstream.NewPool(upstream.Config{VM: s.VM.ID, Bind: s.VM.Bind}, source, reporter, log, reg)
}

func newBalancers(s *gather.Settings, pool *upstream.Pool, reg prometheus.Registerer) *gather.Balancers {
	b := gather.NewBalancers(s.Balance, time.Now, rand.Float64, pool.State)
	reg.MustRegister(balance.Collector{Balancers: b.All})
	return b
}

func newQuarantine(s *gather.Settings, reporter feed.Reporter, pool *upstream.Pool, reg prometheus.Registerer) *quarantine.Registry {
	return quarantine.New(s.Quarantine, reporter, pool.State, time.Now, quarantine.NewMetrics(reg))
}

func newEngine(s *gather.Settings, source feed.Source, pool *upstream.Pool, b *gather.Balancers, guard *quarantine.Registry, log *zap.Logger, reg prometheus.Registerer) *search.Engine {
	return search.New(s.Search, source, pool, pool, b, guard, log, search.NewMetrics(reg))
}

func newOrderManager(s *gather.Settings, inc incarnation, source feed.Source, pool *upstream.Pool, guard *quarantine.Registry, b *gather.Balancers, c *http.Client, p *process.PauseDetector, log *zap.Logger, reg prometheus.Registerer) *order.Manager {
	return order.New(order.Options{
		Config: order.DefaultConfig(), VM: s.VM.ID, Incarnation: uint64(inc), Source: source,
		Replicas: b.For, Leaves: quarantine.NewOrderCaller(pool, guard), Peers: order.NewHTTPPeers(c), Pauses: p,
		Registry: reg, Log: log, Now: time.Now, Random: rand.Float64,
	})
}

func newPeerHandler(m *order.Manager) burdockv1connect.TicketPeerServiceHandler { return m.Handler() }

// daemon is the process with all its duties.
type daemon struct {
	settings    *gather.Settings
	log         *zap.Logger
	registry    *prometheus.Registry
	incarnation incarnation
	pause       *process.PauseDetector
	bundles     *bundle.Store
	feed        *feed.Manager
	pool        *upstream.Pool
	balancers   *gather.Balancers
	quarantine  *quarantine.Registry
	orders      *order.Manager
	gather      *gather.Manager
}

// Run runs the duties until a signal arrives. They end in reverse order, so that the connections to
// the leaves close after the last request has ended.
func (d *daemon) Run(ctx context.Context) error {
	defer func() { _ = d.log.Sync() }()
	r := process.Runner{
		Log: d.log, DrainLimit: d.settings.Drain.Limit.D(), Drain: d.gather.Drain,
		Duties: []process.Duty{
			{Name: "operator", Run: d.serveOperators},
			{Name: "pause", Run: d.pause.Run},
			{Name: "feed", Run: d.feed.Run},
			{Name: "upstream", Run: d.pool.Run},
			{Name: "balancers", Run: func(ctx context.Context) error { return d.balancers.Run(ctx, d.feed) }},
			{Name: "quarantine", Run: func(ctx context.Context) error { return d.quarantine.Run(ctx, d.feed) }},
			{Name: "order", Run: d.orders.Run},
			{Name: "gather", Run: d.gather.Run},
		},
	}
	return r.Run(ctx)
}

// serveOperators serves probes, metrics and the operator dump until ctx ends.
func (d *daemon) serveOperators(ctx context.Context) error {
	return operator.Serve(ctx, d.settings.Operator.Listen, operator.Handler(d.registry, d.dumps(), d.gather.Ready))
}

// dumps returns the dumps of all duties.
func (d *daemon) dumps() *operator.Dumps {
	dumps := operator.NewDumps()
	dumps.Add(process.InfoDuty, operator.DumpFunc(func() any { return d.info() }))
	dumps.Add("bundle", d.bundles)
	dumps.Add("gather", d.gather)
	dumps.Add("upstream", d.pool)
	dumps.Add("balance", d.balancers)
	dumps.Add("quarantine", d.quarantine)
	dumps.Add("order", d.orders)
	return dumps
}

// info returns the process information.
func (d *daemon) info() process.Info {
	return d.gather.Info(process.Info{Program: program, Incarnation: uint64(d.incarnation)})
}
