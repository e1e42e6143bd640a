// Package leaf is a stand-in for an upstream. It answers searches over synthetic documents and executes
// orders. Slots, queue and connections are bounded. A control listener sets faults and serves the log
// of what the leaf ran.
package leaf

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/standin/control"
	"github.com/burdockplank/burdockplank/internal/standin/listener"
)

// CrashFunc crashes the leaf at a marked request. It runs on the goroutine of that request.
type CrashFunc func(l *Leaf)

// Leaf owns the listeners, the calls and the logs of one upstream. It is safe for concurrent use.
type Leaf struct {
	settings Settings
	log      *zap.Logger
	crash    CrashFunc

	slots   *slots
	journal *journal
	report  *loadReport
	random  *random

	listener *listener.Listener
	server   *listener.Server
	control  net.Listener

	mu sync.Mutex
	// The fields below are guarded by mu. instance is the present incarnation and started the time when
	// it began; crashed is true from a crash until the restart after it.
	instance  uint64
	started   time.Time
	crashed   bool
	faults    Faults
	snapshots []uint64
	// shards maps index versions to their shards where these differ from the settings.
	shards map[uint64][]uint32
	// previousAnswer is the newest answer to a search; the fault MixedShare returns it to a later one.
	previousAnswer *pb.LeafSearchResponse
}

// New opens both listeners of a leaf. Run serves them. The caller has checked the settings.
func New(s Settings, log *zap.Logger, crash CrashFunc) (*Leaf, error) {
	l, err := newLeaf(s, log, crash)
	if err != nil {
		return nil, err
	}
	l.listener, err = listener.Listen(s.Listen, listener.Options{Limit: s.Connections, Delay: s.ConnectDelay.D()})
	if err != nil {
		return nil, err
	}
	l.control, err = net.Listen("tcp", s.Control)
	if err != nil {
		_ = l.listener.Close()
		return nil, eris.Wrap(err, "standin.leaf: control listener")
	}
	l.server = listener.NewServer(l.listener, l.handler())
	return l, nil
}

// newLeaf returns a leaf without listeners.
func newLeaf(s Settings, log *zap.Logger, crash CrashFunc) (*Leaf, error) {
	j, err := newJournal(s.SearchLog, s.LogFile)
	if err != nil {
		return nil, err
	}
	seed := s.Seed
	if seed == 0 {
		seed = xxhash.Sum64String(s.ID)
	}
	return &Leaf{
		settings: s, log: log.With(zap.String("leaf", s.ID)), crash: crash,
		slots: newSlots(s.Slots, *s.Queue), journal: j,
		report: newLoadReport(s.ReportLag.D(), s.Slots), random: newRandom(seed),
		instance: process.NewIncarnation(), started: time.Now(), snapshots: slices.Clone(s.Snapshots),
		shards: make(map[uint64][]uint32), faults: Faults{CrashMark: s.CrashMark},
	}, nil
}

// handler serves LeafService. While the leaf drains, every answer has the header Connection: close,
// which HTTP/2 sends as GOAWAY.
func (l *Leaf) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(burdockv1connect.NewLeafServiceHandler(l))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.Faults().Drain {
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(w, r)
	})
}

// Addr returns the address of LeafService.
func (l *Leaf) Addr() string { return l.listener.Addr().String() }

// ControlAddr returns the address of the control listener.
func (l *Leaf) ControlAddr() string { return l.control.Addr().String() }

// Run serves both listeners until ctx ends, then closes all connections.
func (l *Leaf) Run(ctx context.Context) error {
	defer l.journal.close()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return control.Serve(ctx, l.control, l.controlHandler()) })
	g.Go(func() error { return l.server.Run(ctx) })
	return g.Wait()
}

// Drain refuses new calls, sends GOAWAY and waits until the calls in flight have ended or ctx ends.
func (l *Leaf) Drain(ctx context.Context) {
	l.mu.Lock()
	l.faults.Drain = true
	l.mu.Unlock()
	if err := l.server.Drain(ctx); err != nil {
		l.log.Warn("drain ended before all calls in flight had finished", zap.Error(err))
	}
}

// Faults returns the faults in force.
func (l *Leaf) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the faults. It returns an error if the listener can't be opened or closed for them.
func (l *Leaf) SetFaults(f Faults) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.faults
	l.faults = f
	if old.leavingOrDown() && !f.leavingOrDown() {
		l.renewIncarnation()
		if len(old.DrainTo) > 0 {
			l.listener.ResetConns() // a connection never outlives its incarnation
		}
	}
	if f.Drain && !old.Drain {
		l.journal.drainNotified("", time.Now())
		l.server.GoAway()
	}
	err := l.updateListener()
	if f.Down {
		l.listener.ResetConns()
	}
	return err
}

// updateListener closes the listening socket while a crash or a fault refuses new connections, and opens
// it otherwise. The caller holds l.mu.
func (l *Leaf) updateListener() error {
	return l.listener.SetDown(l.crashed || l.faults.Down || l.faults.RefuseConnections)
}

// renewIncarnation begins a new incarnation and a cold start. The caller holds l.mu.
func (l *Leaf) renewIncarnation() {
	l.instance, l.started = process.NewIncarnation(), time.Now()
}

// incarnation returns the present incarnation.
func (l *Leaf) incarnation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instance
}

// uptime returns how long the present incarnation has run at a time.
func (l *Leaf) uptime(at time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return at.Sub(l.started)
}

// Snapshots returns the index versions that the leaf has.
func (l *Leaf) Snapshots() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.snapshots)
}

// SetSnapshots replaces the index versions that the leaf has. Searches that have started go on.
func (l *Leaf) SetSnapshots(versions []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = slices.Clone(versions)
}

func (l *Leaf) holdsSnapshot(version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.snapshots, version)
}

// SetShards replaces the shards that the leaf has of one index version.
func (l *Leaf) SetShards(version uint64, shards []uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shards[version] = slices.Clone(shards)
}

func (l *Leaf) holdsShard(version uint64, shard uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, ok := l.shards[version]
	if !ok {
		held = l.settings.Shards
	}
	return slices.Contains(held, shard)
}

// serviceTime draws the service time of one call.
func (l *Leaf) serviceTime(f *Faults) time.Duration {
	l.mu.Lock()
	age := time.Since(l.started)
	l.mu.Unlock()
	return serviceTime(&l.settings, f, age, l.random)
}

// Log returns the logs and counts.
func (l *Leaf) Log() Log {
	log := l.journal.snapshot()
	log.Leaf, log.Incarnation = l.settings.ID, l.incarnation()
	conns := l.listener.Stats()
	log.Counts.ConnectionsNow, log.Counts.ConnectionsMax = conns.Now, conns.Max
	log.Counts.ConnectionsRefused = conns.Refused
	log.Counts.InFlightMax, log.Counts.QueuedMax = l.slots.maxCounts()
	return log
}

// ClearLog empties the logs and counts.
func (l *Leaf) ClearLog() {
	l.journal.clear()
	l.listener.ResetStats()
	l.slots.resetMax()
}
