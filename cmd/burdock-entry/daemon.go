package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/admission"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/entry"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/logging"
	"github.com/burdockplank/burdockplank/internal/operator"
	"github.com/burdockplank/burdockplank/internal/order"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/route"
	"github.com/burdockplank/burdockplank/internal/rpc"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

const (
	program = "burdock-entry"
	// The process counts as paused if a tick arrives later than expected by more than
	// pauseThreshold.
	pauseTick      = 50 * time.Millisecond
	pauseThreshold = 500 * time.Millisecond
)

// incarnation identifies this start of the process.
type incarnation uint64

func newIncarnation() incarnation { return incarnation(process.NewIncarnation()) }

func newLog(s *entry.Settings) (*zap.Logger, error) { return logging.New(program, s.VM.ID, s.Log) }

func newPause() *process.PauseDetector { return process.NewPauseDetector(pauseTick, pauseThreshold) }

func newClient(s *entry.Settings) *http.Client { return rpc.NewClient(s.VM.Bind) }

func newFeed(s *entry.Settings, inc incarnation, c *http.Client, p *process.PauseDetector, bundles *bundle.Store, log *zap.Logger, reg prometheus.Registerer) *feed.Manager {
	return feed.New(feed.Config{
		VM: s.VM.ID, Zone: s.VM.Zone, Role: pb.ProcessRole_PROCESS_ROLE_ENTRY, Incarnation: uint64(inc),
		Sync: s.SyncAddress(), Client: c, Pause: p, Bundles: bundles, Log: log, Registry: reg,
	})
}

func newRouter(s *entry.Settings, c *http.Client, source feed.Source, reg prometheus.Registerer) *route.Router {
	return route.New(reg, route.Options{
		Dial: route.NewDial(c), FreshSince: source.FreshSince, Parse: ticket.Parse,
		Resolver: order.NewResolver(order.DefaultConfig(), source, order.NewHTTPPeers(c)),
		Clock:    time.Now, Random: rand.IntN, ReplyMargin: s.Entry.ReplyMargin.D(),
	})
}

func newAdmission(s *entry.Settings, reg prometheus.Registerer) *admission.Controller {
	return admission.New(s.Admission, reg, time.Now, rand.Float64)
}

// daemon is the process with all its duties.
type daemon struct {
	settings    *entry.Settings
	log         *zap.Logger
	registry    *prometheus.Registry
	incarnation incarnation
	pause       *process.PauseDetector
	bundles     *bundle.Store
	feed        *feed.Manager
	admission   *admission.Controller
	entry       *entry.Manager
}

// Run runs the duties until a signal arrives.
func (d *daemon) Run(ctx context.Context) error {
	defer func() { _ = d.log.Sync() }()
	r := process.Runner{
		Log: d.log, DrainLimit: d.settings.Drain.Limit.D(), Drain: d.entry.Drain,
		Duties: []process.Duty{
			{Name: "operator", Run: d.serveOperators},
			{Name: "pause", Run: d.pause.Run},
			{Name: "feed", Run: d.feed.Run},
			{Name: "entry", Run: d.entry.Run},
		},
	}
	return r.Run(ctx)
}

// serveOperators serves probes, metrics and the operator dump until ctx ends.
func (d *daemon) serveOperators(ctx context.Context) error {
	return operator.Serve(ctx, d.settings.Operator.Listen, operator.Handler(d.registry, d.dumps(), d.entry.Ready))
}

// dumps returns the dumps of all duties.
func (d *daemon) dumps() *operator.Dumps {
	dumps := operator.NewDumps()
	dumps.Add(process.InfoDuty, operator.DumpFunc(func() any { return d.info() }))
	dumps.Add("bundle", d.bundles)
	dumps.Add("admission", d.admission)
	dumps.Add("entry", d.entry)
	return dumps
}

// info returns the process information.
func (d *daemon) info() process.Info {
	return d.entry.Info(process.Info{Program: program, Incarnation: uint64(d.incarnation)})
}
