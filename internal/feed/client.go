package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// FreshFor is how long after the sync last confirmed the view new work is accepted.
	FreshFor = 2 * time.Second
	// monitorPeriod is the interval at which a stream is checked for silence and for a pause of the
	// process.
	monitorPeriod = 100 * time.Millisecond
	// reconnectMin and reconnectMax bound the random delay before the next stream.
	reconnectMin = 20 * time.Millisecond
	reconnectMax = 250 * time.Millisecond
)

// Config identifies the process that the feed serves and the address of its sync.
type Config struct {
	VM, Zone    string
	Role        pb.ProcessRole
	Incarnation uint64
	// Sync is the HOST:PORT of the sync on the same VM.
	Sync   string
	Client *http.Client
	// Pause detects pauses of this process. If it is nil, Fresh ignores pauses.
	Pause *process.PauseDetector
	// BootTime is process.BootTime if it is nil.
	BootTime func() time.Duration
	// Bundles holds the bundle in force. It is made by bundle.NewFollowerStore for this feed only.
	Bundles  *bundle.Store
	Log      *zap.Logger
	Registry prometheus.Registerer
}

// Manager is the client of the sync. It watches the view and reports what the process observed. It
// implements Source and Reporter.
type Manager struct {
	cfg     Config
	service burdockv1connect.FeedServiceClient
	metrics *clientMetrics
	reports *reportQueue

	mu sync.Mutex
	// view is the current view. changed is closed when its lists or bundle change. streamStarted is
	// when the stream that delivered view was requested. All are guarded by mu.
	view          *View
	changed       chan struct{}
	streamStarted time.Time
}

var (
	_ Source   = (*Manager)(nil)
	_ Reporter = (*Manager)(nil)
)

// withoutCompression saves CPU time: the sync is on the same VM.
var withoutCompression = connect.WithAcceptCompression("gzip", nil, nil)

// New returns a manager with an empty view. Run fills the view.
func New(cfg Config) *Manager {
	if cfg.BootTime == nil {
		cfg.BootTime = process.BootTime
	}
	return &Manager{
		cfg:     cfg,
		service: burdockv1connect.NewFeedServiceClient(cfg.Client, "http://"+cfg.Sync, withoutCompression),
		metrics: newClientMetrics(cfg.Registry),
		reports: newReportQueue(),
		view:    &View{VM: cfg.VM, Zone: cfg.Zone},
		changed: make(chan struct{}),
	}
}

// Current implements Source.
func (m *Manager) Current() *View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// Changed implements Source.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Fresh implements Source. It is false if the sync has not confirmed the view within FreshFor, and
// after a pause of the process until a view arrives on a stream that was requested after the pause.
func (m *Manager) Fresh() bool {
	now := time.Now()
	m.mu.Lock()
	heard, started := m.view.Heard, m.streamStarted
	m.mu.Unlock()
	if heard.IsZero() || now.Sub(heard) > FreshFor {
		return false
	}
	return !m.pausedSince(started, now)
}

// FreshSince implements Source.
func (m *Manager) FreshSince(t time.Time) bool { return m.Fresh() && !m.pausedSince(t, time.Now()) }

// pausedSince reports whether a pause of the process ended after t.
func (m *Manager) pausedSince(t, now time.Time) bool {
	return m.cfg.Pause != nil && m.cfg.Pause.LastPause(now).After(t)
}

// Run watches the view and sends reports until ctx ends. Reports queued before then are still sent.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { m.runReports(ctx) })
	wg.Go(func() { m.runWatch(ctx) })
	wg.Wait()
	return nil
}

// runWatch keeps one stream open and reopens it until ctx ends.
func (m *Manager) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		m.metrics.streamEnds.WithLabelValues(endReason(err)).Inc()
		m.cfg.Log.Debug("feed stream ended", zap.Error(err))
		if !wait.For(ctx, reconnectMin+rand.N(reconnectMax-reconnectMin)) {
			return
		}
	}
}

// errPaused and errSilent are the reasons for which this side ends a stream.
var (
	errPaused = errors.New("process was paused")
	errSilent = errors.New("sync is silent")
)

// watchOnce opens one stream and reads it until it ends.
func (m *Manager) watchOnce(ctx context.Context) error {
	started := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	heard := newSharedTime(started)
	go m.monitorStream(ctx, cancel, started, heard)
	stream, err := m.service.Watch(ctx, m.watchRequest())
	if err != nil {
		return eris.Wrap(cancelCause(ctx, err), "feed: watch")
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		now := time.Now()
		if m.pausedSince(started, now) {
			return errPaused
		}
		heard.set(now)
		m.apply(stream.Msg(), started, now)
	}
	return eris.Wrap(cancelCause(ctx, stream.Err()), "feed: receive")
}

// monitorStream ends a stream that is silent or that was requested before a pause, because the
// messages buffered in it predate the pause.
func (m *Manager) monitorStream(ctx context.Context, cancel context.CancelCauseFunc, started time.Time, heard *sharedTime) {
	t := time.NewTicker(monitorPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		switch {
		case m.pausedSince(started, now):
			cancel(errPaused)
		case now.Sub(heard.get()) > FreshFor:
			cancel(errSilent)
		}
	}
}

func (m *Manager) watchRequest() *pb.WatchRequest {
	req := &pb.WatchRequest{Process: m.process()}
	if b := m.Current().Bundle; b != nil {
		req.BundleVersion, req.BundleDigest = b.Version, b.Digest[:]
	}
	return req
}

// process returns the current description of this process.
func (m *Manager) process() *pb.Process {
	p := &pb.Process{Role: m.cfg.Role, Incarnation: m.cfg.Incarnation, State: m.reports.currentState()}
	if b := m.Current().Bundle; b != nil {
		p.BundleVersion = b.Version
	}
	return p
}

// cancelCause returns why this side cancelled ctx, or err if it did not.
func cancelCause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil && !errors.Is(c, context.Canceled) {
		return c
	}
	return err
}

// endReason returns the metric label for the end of a stream.
func endReason(err error) string {
	switch {
	case err == nil:
		return "closed"
	case errors.Is(err, errPaused):
		return "paused"
	case errors.Is(err, errSilent):
		return "silent"
	}
	return connect.CodeOf(err).String()
}

// sharedTime is a time shared by the reader and the monitor of a stream.
type sharedTime struct {
	mu sync.Mutex
	// t is guarded by mu.
	t time.Time
}

func newSharedTime(t time.Time) *sharedTime { return &sharedTime{t: t} }

func (s *sharedTime) set(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t = t
}

func (s *sharedTime) get() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.t
}
