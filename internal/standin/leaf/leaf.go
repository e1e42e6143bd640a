// Package leaf is a stand-in for an upstream: it answers searches over made-up documents and
// executes orders, and shows over a control listener what it ran. Slots, queue and connections are
// bounded; faults are set over the control listener.
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

// CrashFunc is what a leaf does at a marked request. It runs on the goroutine of that request.
type CrashFunc func(l *Leaf)

// Leaf owns the listeners, the work and the logs of one upstream.
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
	// The fields below are guarded by mu. instance names the present start of the leaf, started is
	// its time; crashed is true from a crash until the restart after it.
	instance  uint64
	started   time.Time
	crashed   bool
	faults    Faults
	snapshots []uint64
	// shards holds the shards of index versions that are partitioned otherwise than the settings say.
	shards map[uint64][]uint32
	// previousAnswer is the newest answer to a search.
	previousAnswer *pb.LeafSearchResponse
}

// New opens both listeners of a leaf; Run serves them. The settings have been checked.
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

// handler serves LeafService; while the leaf drains, every answer says that the connection closes,
// which is a GOAWAY on HTTP/2.
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

// Run serves until ctx ends.
func (l *Leaf) Run(ctx context.Context) error {
	defer l.journal.close()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return control.Serve(ctx, l.control, l.controlHandler()) })
	g.Go(func() error { return l.server.Run(ctx) })
	return g.Wait()
}

// Drain refuses new work, says GOAWAY and waits until the work in flight has ended or ctx ends.
func (l *Leaf) Drain(ctx context.Context) {
	l.mu.Lock()
	l.faults.Drain = true
	l.mu.Unlock()
	if err := l.server.Drain(ctx); err != nil {
		l.log.Warn("drain ended early", zap.Error(err))
	}
}

// Faults returns the faults in force.
func (l *Leaf) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the faults.
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

// updateListener refuses new connections where a fault or a crash says so. l.mu is held.
func (l *Leaf) updateListener() error {
	return l.listener.SetDown(l.crashed || l.faults.Down || l.faults.RefuseConnections)
}

// renewIncarnation begins a new incarnation and a cold start. l.mu is held.
func (l *Leaf) renewIncarnation() {
	l.instance, l.started = process.NewIncarnation(), time.Now()
}

// incarnation returns the number of the present start.
func (l *Leaf) incarnation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instance
}

// Snapshots returns the index versions held.
func (l *Leaf) Snapshots() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.snapshots)
}

// SetSnapshots replaces the index versions held. Searches that started go on.
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

// SetShards replaces the shards held of one index version.
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

// serviceTime draws the time of work on one call.
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
