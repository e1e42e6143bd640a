package gather

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/urfave/negroni/v3"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/rpc"
	"github.com/burdockplank/burdockplank/internal/version"
)

// maxMessageBytes bounds one message from another process. The largest is a handover of many
// records.
const maxMessageBytes = 16 << 20

// OrderManager keeps the tickets and runs the orders; *order.Manager implements it.
type OrderManager interface {
	Orders
	// Drain stops minting tickets, waits for running orders, and hands the records to other
	// gathers.
	Drain(ctx context.Context)
}

// Upstreams reports when a connection to each leaf was first attempted; *upstream.Pool implements
// it.
type Upstreams interface {
	// Initialized returns a channel that is closed once a connection to each leaf was opened or
	// failed to open.
	Initialized() <-chan struct{}
}

// Manager owns the listener for entries and other gathers, and the drain of the process.
type Manager struct {
	settings *Settings
	log      *zap.Logger
	source   feed.Source
	reporter feed.Reporter
	admitter *Admitter
	orders   OrderManager
	leaves   Upstreams
	server   *http.Server
	// listening is true once requests are accepted; draining is true from the signal on.
	listening, draining atomic.Bool
	// stateMu keeps the states reported to the other VMs in order.
	stateMu sync.Mutex
}

// NewManager returns a manager that does not listen yet.
func NewManager(s *Settings, log *zap.Logger, reg prometheus.Registerer, source feed.Source, reporter feed.Reporter, searcher Searcher, keeper OrderManager, peers burdockv1connect.TicketPeerServiceHandler, leaves Upstreams) *Manager {
	m := &Manager{
		settings: s, log: log, source: source, reporter: reporter, orders: keeper, leaves: leaves,
		admitter: NewAdmitter(source, s.Gather.BundleWait.D()),
	}
	m.server = rpc.NewServer(m.handler(NewService(m.admitter, searcher, keeper, NewMetrics(reg)), peers))
	return m
}

func (m *Manager) handler(s *Service, peers burdockv1connect.TicketPeerServiceHandler) http.Handler {
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(maxMessageBytes)
	mux.Handle(burdockv1connect.NewGatherServiceHandler(s, limit))
	mux.Handle(burdockv1connect.NewTicketPeerServiceHandler(peers, limit))
	n := negroni.New(negroni.NewRecovery())
	n.UseHandler(mux)
	return n
}

// Run serves entries and other gathers until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", m.settings.ListenAddress())
	if err != nil {
		return eris.Wrap(err, "gather: listen")
	}
	return m.serve(ctx, l)
}

func (m *Manager) serve(ctx context.Context, l net.Listener) error {
	m.listening.Store(true)
	announced, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { m.announce(announced) })
	defer wg.Wait()
	defer cancel()
	m.log.Info("listening for entries", zap.String("address", l.Addr().String()))
	stopped := context.AfterFunc(ctx, func() { _ = m.server.Close() })
	defer stopped()
	if err := m.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "gather: serve")
	}
	<-ctx.Done()
	return nil
}

// announce reports to the other VMs that the process accepts work, once it has tried to connect to
// its leaves: an earlier search would find no leaf connected.
func (m *Manager) announce(ctx context.Context) {
	if !wait(ctx, m.leaves.Initialized()) {
		return
	}
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	if !m.draining.Load() {
		m.reporter.SetState(pb.ProcessState_PROCESS_STATE_READY)
	}
}

// Drain ends the process's work in order. It refuses new work at once, notifies the other VMs,
// waits for running work, and hands over the tickets' records. It keeps listening for the notice
// period, so that an entry that has not yet learned of the drain gets an answer rather than a
// refused connection.
func (m *Manager) Drain(ctx context.Context) {
	m.stateMu.Lock()
	m.draining.Store(true)
	m.reporter.SetState(pb.ProcessState_PROCESS_STATE_DRAINING)
	m.stateMu.Unlock()
	m.admitter.Close()
	notice := time.NewTimer(m.settings.Drain.Notice.D())
	defer notice.Stop()
	m.orders.Drain(ctx)
	if !wait(ctx, m.admitter.Idle()) {
		m.log.Warn("running work did not end within the limit")
	}
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	if err := m.server.Shutdown(ctx); err != nil {
		m.log.Warn("connections did not close within the limit", zap.Error(err))
	}
	m.reporter.SetState(pb.ProcessState_PROCESS_STATE_GONE)
}

// wait returns true when done is closed, false when ctx ends first.
func wait(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Ready reports whether the process accepts new work, and why not.
func (m *Manager) Ready() (bool, string) {
	switch {
	case m.draining.Load():
		return false, "draining"
	case !m.listening.Load():
		return false, "not listening yet"
	case m.source.Current().Bundle == nil:
		return false, "no bundle in force"
	case !m.source.Fresh():
		return false, "no fresh news of the fleet"
	case !m.leavesInitialized():
		return false, "leaves not tried yet"
	}
	return true, ""
}

func (m *Manager) leavesInitialized() bool {
	select {
	case <-m.leaves.Initialized():
		return true
	default:
		return false
	}
}

// state is what the operator dump shows of this duty.
type state struct {
	Ready         bool   `json:"ready"`
	Why           string `json:"why,omitempty"`
	Draining      bool   `json:"draining"`
	Running       int    `json:"running"`
	BundleVersion uint64 `json:"bundle_version"`
	// ViewAge is the time since the last message from the sync process, "never" before the first
	// one.
	ViewAge string `json:"view_age"`
}

// Dump implements operator.Dumper.
func (m *Manager) Dump() any {
	v := m.source.Current()
	s := state{ViewAge: v.Age(time.Now())}
	s.Ready, s.Why = m.Ready()
	s.Draining, s.Running = m.admitter.state()
	if v.Bundle != nil {
		s.BundleVersion = v.Bundle.Version
	}
	return s
}

// Info adds the gather's own fields to the process information.
func (m *Manager) Info(i process.Info) process.Info {
	v := m.source.Current()
	i.VM, i.Zone, i.Role, i.Version = m.settings.VM.ID, m.settings.VM.Zone, "gather", version.Version
	i.State = process.StateStarting
	if ready, _ := m.Ready(); ready {
		i.State = process.StateReady
	}
	if m.draining.Load() {
		i.State = process.StateDraining
	}
	return v.Describe(i, time.Now())
}
