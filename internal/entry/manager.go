package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/urfave/negroni/v3"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/admission"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/membudget"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/route"
	"github.com/burdockplank/burdockplank/internal/rpc"
	"github.com/burdockplank/burdockplank/internal/version"
)

// maxHeaderBytes bounds a request's header.
const maxHeaderBytes = 16 << 10

// minCompressBytes is the size from which answers are compressed for callers that accept
// compression.
const minCompressBytes = 4 << 10

// Manager owns the callers' listener and its goroutines.
type Manager struct {
	settings  *Settings
	log       *zap.Logger
	source    feed.Source
	reporter  feed.Reporter
	admission *admission.Controller
	router    *route.Router
	metrics   *metrics
	drainer   *drainer
	conns     *connTracker
	memory    *membudget.Budget
	// lowMemoryLogged is when refusals for want of memory were last logged, in Unix nanoseconds; 0 if never.
	lowMemoryLogged atomic.Int64
	server          *http.Server
	now             func() time.Time
	// allServicesReached is true once every service had a gather that accepts work.
	allServicesReached atomic.Bool
	// answeredVersion is the highest bundle version of the searches answered through this entry.
	answeredVersion maxObserved
}

// NewManager returns a manager that does not listen yet.
func NewManager(s *Settings, log *zap.Logger, reg prometheus.Registerer, source feed.Source, reporter feed.Reporter,
	admission *admission.Controller, router *route.Router) *Manager {
	m := &Manager{
		settings: s, log: log, source: source, reporter: reporter, admission: admission, router: router,
		metrics: newMetrics(reg), drainer: &drainer{}, now: time.Now,
	}
	m.memory = membudget.New(s.Entry.MemoryBytes/2, time.Now)
	reg.MustRegister(memoryGauge(m.memory))
	m.conns = newConnTracker(m.metrics.incompleteRequests, int(s.Entry.MemoryBytes/2/connBytes))
	m.server = rpc.NewServer(m.Handler())
	m.conns.attach(m.server)
	m.server.IdleTimeout = s.Entry.IdleTimeout.D()
	m.server.MaxHeaderBytes = maxHeaderBytes
	return m
}

// Handler returns the handler that serves callers.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(burdockv1connect.NewQueryServiceHandler(service{m},
		connect.WithReadMaxBytes(m.settings.Entry.MaxBodyBytes), connect.WithCompressMinBytes(minCompressBytes)))
	n := negroni.New(negroni.HandlerFunc(m.trackRequest), m.recovery(), negroni.HandlerFunc(m.filterRequest))
	n.UseHandler(mux)
	return n
}

// recovery answers a request whose handler panicked with a typed outcome, and logs the stack.
func (m *Manager) recovery() *negroni.Recovery {
	r := negroni.NewRecovery()
	r.LogStack = false
	r.Formatter = panicFormatter{}
	r.PanicHandlerFunc = func(p *negroni.PanicInformation) {
		m.metrics.panics.Inc()
		m.log.Error("request handler panicked", zap.Any("panic", p.RecoveredPanic), zap.ByteString("stack", p.Stack))
	}
	return r
}

// panicFormatter writes the typed outcome of a panic.
type panicFormatter struct{}

// FormatPanicError implements negroni.PanicFormatter. An order may have run before the panic.
func (panicFormatter) FormatPanicError(w http.ResponseWriter, r *http.Request, _ *negroni.PanicInformation) {
	e := outcome.Failed(pb.Reason_REASON_INTERNAL, checkRequestStep, "the entry failed on this request")
	if r.URL.Path == burdockv1connect.QueryServiceOrderProcedure {
		e.Kind = pb.OutcomeKind_OUTCOME_KIND_UNKNOWN
	}
	writeError(w, r, e)
}

// Run serves callers until ctx ends. After Drain the server is already closed.
func (m *Manager) Run(ctx context.Context) error {
	debug.SetMemoryLimit(m.settings.Entry.MemoryBytes + ownMemoryBytes)
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", m.settings.Listen())
	if err != nil {
		return eris.Wrap(err, "entry: listen for callers")
	}
	m.reporter.SetState(pb.ProcessState_PROCESS_STATE_READY)
	m.log.Info("listening for callers", zap.String("address", l.Addr().String()))
	stopped := context.AfterFunc(ctx, func() { _ = m.server.Close() })
	defer stopped()
	if err := m.server.Serve(m.conns.listener(l)); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "entry: serve callers")
	}
	<-ctx.Done()
	return nil
}

// Ready reports whether the process accepts new work, and why not.
func (m *Manager) Ready() (bool, string) {
	if m.drainer.draining() {
		return false, "draining"
	}
	v := m.source.Current()
	if e := m.checkAccepting(&call{view: v, start: m.now()}); e != nil {
		return false, outcome.ReasonName(e.Reason) + ": " + e.Message
	}
	if !m.everReachedAllServices(v) {
		return false, "no ready gather known yet for every service"
	}
	return true, ""
}

// everReachedAllServices reports whether every service has had a gather at some time. A gather
// that is lost later does not take the entry out of the load balancer's rotation: the entry answers
// with the outcome, and other services continue.
func (m *Manager) everReachedAllServices(v *feed.View) bool {
	if !m.allServicesReached.Load() && route.AllServicesReachable(v) {
		m.allServicesReached.Store(true)
	}
	return m.allServicesReached.Load()
}

// state is what the operator dump shows of this duty.
type state struct {
	Phase         string `json:"phase"`
	Ready         bool   `json:"ready"`
	Why           string `json:"why,omitempty"`
	BundleVersion uint64 `json:"bundle_version"`
	VMs           int    `json:"vms"`
	// ViewAge is the time since the last message from the sync process, "never" before the first
	// one.
	ViewAge string `json:"view_age"`
}

// Dump implements operator.Dumper.
func (m *Manager) Dump() any {
	v := m.source.Current()
	s := state{Phase: phaseNames[m.drainer.current()], VMs: len(v.VMs), ViewAge: v.Age(m.now())}
	s.Ready, s.Why = m.Ready()
	if v.Bundle != nil {
		s.BundleVersion = v.Bundle.Version
	}
	return s
}

// Info adds the entry's own fields to the process information.
func (m *Manager) Info(i process.Info) process.Info {
	v := m.source.Current()
	i.VM, i.Zone, i.Role, i.Version = m.settings.VM.ID, m.settings.VM.Zone, "entry", version.Version
	i.State = process.StateStarting
	if ready, _ := m.Ready(); ready {
		i.State = process.StateReady
	}
	if m.drainer.draining() {
		i.State = process.StateDraining
	}
	return v.Describe(i, m.now())
}
