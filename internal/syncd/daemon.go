package syncd

import (
	"context"

	"github.com/google/wire"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/logging"
	"github.com/burdockplank/burdockplank/internal/operator"
	"github.com/burdockplank/burdockplank/internal/platform"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/spread"
)

// Providers is the set of Wire providers that build a Daemon from Settings.
var Providers = wire.NewSet(
	operator.NewRegistry,
	ProvideLog,
	ProvideBytes,
	ProvideTransport,
	ProvideDial,
	ProvidePlatform,
	ProvideConfig,
	wire.Bind(new(prometheus.Registerer), new(*prometheus.Registry)),
	New,
	NewServer,
	NewDaemon,
)

// ProvideLog returns the logger of the process.
func ProvideLog(s *Settings) (*zap.Logger, error) { return logging.New(Program, s.VM.ID, s.Log) }

// ProvideBytes returns the counters of the traffic with other VMs.
func ProvideBytes(reg prometheus.Registerer) *spread.Bytes { return spread.NewBytes(reg) }

// ProvideTransport returns the UDP socket for packets between syncs.
func ProvideTransport(s *Settings, bytes *spread.Bytes) (*spread.UDP, error) {
	return spread.ListenUDP(s.Listen(), bytes)
}

// ProvideDial returns the dialer for calls to other syncs.
func ProvideDial(s *Settings, bytes *spread.Bytes) spread.Dial {
	return spread.NewDial(s.VM.Bind, bytes)
}

// ProvidePlatform returns the client of the platform.
func ProvidePlatform(s *Settings, reg prometheus.Registerer) *platform.Client {
	return platform.New(s.Platform.Address, s.VM.Bind, reg)
}

// ProvideConfig returns the configuration of the Manager.
func ProvideConfig(s *Settings, log *zap.Logger, reg prometheus.Registerer, client *platform.Client, udp *spread.UDP, dial spread.Dial) Config {
	return Config{
		Settings: s, Incarnation: process.NewIncarnation(), Platform: client, Transport: udp, Dial: dial,
		Log: log, Registry: reg,
	}
}

// Daemon is the burdock-sync process with all its parts.
type Daemon struct {
	settings *Settings
	manager  *Manager
	server   *Server
	udp      *spread.UDP
	registry *prometheus.Registry
	log      *zap.Logger
}

// NewDaemon returns a Daemon that is ready to run.
func NewDaemon(s *Settings, m *Manager, server *Server, udp *spread.UDP, reg *prometheus.Registry, log *zap.Logger) *Daemon {
	return &Daemon{settings: s, manager: m, server: server, udp: udp, registry: reg, log: log}
}

// Run runs the process until SIGTERM or a failure.
func (d *Daemon) Run(ctx context.Context) error {
	defer func() { _ = d.udp.Close() }()
	handler := operator.Handler(d.registry, d.manager.Dumps(), d.manager.Ready)
	runner := &process.Runner{
		Log: d.log, DrainLimit: d.settings.Drain.Limit.D(), Drain: d.manager.Drain,
		Duties: []process.Duty{
			{Name: "operator", Run: func(ctx context.Context) error { return operator.Serve(ctx, d.settings.Operator.Listen, handler) }},
			{Name: "server", Run: d.server.Run},
			{Name: "sync", Run: d.manager.Run},
		},
	}
	return runner.Run(ctx)
}
