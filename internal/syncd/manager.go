package syncd

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/content"
	"github.com/burdockplank/burdockplank/internal/evidence"
	"github.com/burdockplank/burdockplank/internal/membership"
	"github.com/burdockplank/burdockplank/internal/notify"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/spread"
)

const (
	// pauseCheckPeriod is the interval of the checks for pauses. A check later than pauseTolerance
	// counts as a pause.
	pauseCheckPeriod = 100 * time.Millisecond
	pauseTolerance   = 900 * time.Millisecond
	// upkeepPeriod is the interval at which the states of the VM's processes are checked.
	upkeepPeriod = 250 * time.Millisecond
)

// Config holds the dependencies of a sync.
type Config struct {
	Settings    *Settings
	Incarnation uint64
	Platform    Platform
	Transport   spread.Transport
	Dial        spread.Dial
	// WrapBundles, if set, wraps the store of bundles. Tests use it to make the check of a bundle
	// take time.
	WrapBundles func(content.Bundles) content.Bundles
	// BootTime is process.BootTime if it is nil.
	BootTime func() time.Duration
	Log      *zap.Logger
	Registry prometheus.Registerer
}

// Manager runs the components of a sync.
type Manager struct {
	cfg       Config
	pause     *process.PauseDetector
	changed   *notify.Notifier
	bundles   *bundle.Store
	content   *content.Store
	members   *membership.Table
	evidence  *evidence.Set
	spread    *spread.Manager
	processes *processes
	reader    *reader
	views     *viewCache
	metrics   *metrics
	started   time.Time

	pauseMu sync.Mutex
	// handledPause is the end of the most recent pause that was handled; guarded by pauseMu.
	handledPause time.Time

	mu sync.Mutex
	// draining is true from SIGTERM on; guarded by mu.
	draining bool
	// catchUpDue holds a value while a catch-up is due.
	catchUpDue chan struct{}
}

// New returns a sync that has not caught up yet.
func New(cfg Config) *Manager {
	if cfg.BootTime == nil {
		cfg.BootTime = process.BootTime
	}
	s, now := cfg.Settings, time.Now()
	m := &Manager{
		cfg: cfg, changed: notify.New(), evidence: evidence.New(), processes: newProcesses(),
		pause: process.NewPauseDetector(pauseCheckPeriod, pauseTolerance), started: now, catchUpDue: make(chan struct{}, 1),
	}
	trust := s.Trust.Trust()
	m.bundles = bundle.NewStore(trust, cfg.Registry)
	m.content = content.New(cfg.wrapBundles(m.bundles), trust, m.changed)
	m.members = membership.New(&pb.Vm{
		Id: s.VM.ID, Zone: s.VM.Zone, Address: s.VM.Advertised(), SyncPort: uint32(s.Sync.Port),
		Incarnation: cfg.Incarnation,
	}, now)
	m.spread = spread.New(spread.Config{
		Fleet: s.Sync.Fleet, Self: s.VM.ID, Zone: s.VM.Zone, Seeds: s.Sync.Seeds,
		Members: m.members, Evidence: m.evidence, Content: m.content,
		Transport: cfg.Transport, Dial: cfg.Dial, CheckPause: m.checkPause, Changed: m.changed,
		Log: cfg.Log, Registry: cfg.Registry,
	})
	m.reader = newReader(m)
	m.views = newViewCache(m)
	m.metrics = newMetrics(m, cfg.Registry)
	return m
}

// wrapBundles returns the store of bundles, wrapped if WrapBundles is set.
func (c Config) wrapBundles(s *bundle.Store) content.Bundles {
	if c.WrapBundles == nil {
		return s
	}
	return c.WrapBundles(s)
}

// Spread returns the manager that serves the calls of other syncs.
func (m *Manager) Spread() *spread.Manager { return m.spread }

// Run runs the sync's goroutines until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	m.requestCatchUp()
	var wg sync.WaitGroup
	wg.Go(func() { _ = m.pause.Run(ctx) })
	wg.Go(func() { _ = m.spread.Run(ctx) })
	wg.Go(func() { m.runUpkeep(ctx) })
	wg.Go(func() { m.runCatchUp(ctx) })
	wg.Go(func() { m.reader.run(ctx) })
	wg.Wait()
	return nil
}

// runUpkeep periodically checks for pauses and publishes the states of the VM's processes.
func (m *Manager) runUpkeep(ctx context.Context) {
	t := time.NewTicker(upkeepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		m.checkPause(now)
		m.publishOwnState(now)
	}
}

// checkPause detects a pause of the process. It is called before anything that would expose the
// state from before the pause. A caller that arrives while another one handles the pause waits
// until that is done, because what it sends next must already count as outdated. Without the wait,
// a stream that woke at the same moment sent its view from before the pause, and the VM served it
// for feed.FreshFor.
func (m *Manager) checkPause(now time.Time) {
	ended := m.pause.LastPause(now)
	m.pauseMu.Lock()
	defer m.pauseMu.Unlock()
	if !ended.After(m.handledPause) {
		return
	}
	m.handlePause(now)
	m.handledPause = ended
}

// handlePause resets the state after a pause of the process that ended now. pauseMu must be held.
func (m *Manager) handlePause(now time.Time) {
	m.processes.restartTimers(now)
	m.spread.HandlePause(now)
	m.requestCatchUp()
	m.cfg.Log.Warn("process was paused")
}

// requestCatchUp makes a catch-up due.
func (m *Manager) requestCatchUp() {
	select {
	case m.catchUpDue <- struct{}{}:
	default:
	}
}

// publishOwnState publishes the states of the VM's processes if they changed.
func (m *Manager) publishOwnState(now time.Time) {
	m.mu.Lock()
	draining := m.draining
	m.mu.Unlock()
	list := append(m.processes.list(now), m.ownProcess(draining))
	leaves := draining && !m.processes.any(now, pb.ProcessState_PROCESS_STATE_READY)
	m.spread.SetOwnState(list, leaves, now)
}

// ownProcess returns the state of the sync itself.
func (m *Manager) ownProcess(draining bool) *pb.Process {
	p := &pb.Process{
		Role: pb.ProcessRole_PROCESS_ROLE_SYNC, Incarnation: m.cfg.Incarnation,
		State: pb.ProcessState_PROCESS_STATE_STARTING,
	}
	if b := m.content.Bundle(); b != nil {
		p.BundleVersion = b.Version
	}
	if ready, _ := m.Ready(); ready {
		p.State = pb.ProcessState_PROCESS_STATE_READY
	}
	if draining {
		p.State = pb.ProcessState_PROCESS_STATE_DRAINING
	}
	return p
}

// Ready reports whether the sync has what its VM needs, and if not, why.
func (m *Manager) Ready() (bool, string) {
	m.mu.Lock()
	draining := m.draining
	m.mu.Unlock()
	switch {
	case draining:
		return false, "draining"
	case !m.spread.CaughtUp():
		return false, "peers and platform are being asked"
	case m.content.Bundle() == nil:
		return false, "no bundle yet"
	}
	return true, ""
}
