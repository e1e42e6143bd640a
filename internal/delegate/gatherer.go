package delegate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/overload"
	"github.com/burdockplank/burdockplank/internal/wait"
)

// Reasons for declining a search.
const (
	notTakenLeaving = "leaving"
	notTakenConfig  = "older configuration"
	notTakenRoute   = "no such search"
	notTakenBusy    = "busy"
	// notTakenNoConnection is not told by a gatherer: it never got the search.
	notTakenNoConnection = "no connection"
)

const (
	// maxSearches bounds the searches for other VMs in flight. Each holds about 200 KB of buffers and parts; a
	// burst of twice the typical load keeps a gatherer at 10.
	maxSearches = 96
	// lagInterval is the time between two measurements of the lag. On half a core, measuring takes 0.1% of it.
	lagInterval = 20 * time.Millisecond
	// lagWeight is the weight of a new measurement in the moving average of the lag.
	lagWeight = 0.25
	// idleInterval is the time between two measurements on a VM that is not a gatherer. Its gate has to react within
	// 200 ms.
	idleInterval = 100 * time.Millisecond
)

// Gatherer answers searches for other VMs. It is safe for concurrent use.
type Gatherer struct {
	local      dispatch.Server
	directory  dispatch.Directory
	gate       Gate
	leaving    func() bool
	isGatherer atomic.Bool
	lag        atomic.Int64

	mu sync.Mutex
	// running counts the searches in flight. closed makes admit decline further ones. drained is closed once
	// closed is set and no search is in flight. All are guarded by mu.
	running int
	closed  bool
	drained chan struct{}
}

// Gate admits searches by the processor of this VM, and says how much of it is free.
type Gate interface {
	dispatch.Gate
	ObserveLag(now time.Time, lag time.Duration)
	Room(now time.Time) overload.Room
}

// NewGatherer returns a gatherer that answers searches with local. leaving reports whether this VM is about to
// stop.
func NewGatherer(local dispatch.Server, d dispatch.Directory, gate Gate, leaving func() bool) *Gatherer {
	return &Gatherer{local: local, directory: d, gate: gate, leaving: leaving, drained: make(chan struct{})}
}

// SetPlan records whether other VMs hand searches over to this one.
func (g *Gatherer) SetPlan(p Plan) { g.isGatherer.Store(p.IsGatherer) }

// Search answers a search for another VM, or returns the reason for declining it, with this VM's load.
func (g *Gatherer) Search(ctx context.Context, msg *pb.FleetSearch) *pb.FleetSearchAnswer {
	out := g.search(ctx, msg)
	out.Load = g.Ping()
	return out
}

func (g *Gatherer) search(ctx context.Context, msg *pb.FleetSearch) *pb.FleetSearchAnswer {
	config := g.directory.Current().Config
	if config == nil || config.Version < msg.GetVersionLeast() {
		return &pb.FleetSearchAnswer{NotTaken: notTakenConfig}
	}
	now := time.Now()
	req := decodeSearch(msg, now)
	route := dispatch.Match(config, req)
	if route == nil || !route.Search() {
		return &pb.FleetSearchAnswer{NotTaken: notTakenRoute}
	}
	if reason := g.admit(); reason != "" {
		return &pb.FleetSearchAnswer{NotTaken: reason}
	}
	defer g.release()
	if d := g.gate.Admit(now, gateRequest(route, req, overload.Work{Calls: len(route.Shards)}, now)); !d.Admitted {
		return encodeDecline(d)
	}
	req.Admitted = true
	a := g.local.Serve(ctx, req)
	return encodeAnswer(a, config.Version)
}

// gateRequest returns what the gate needs to know of a search that causes the work.
func gateRequest(route *catalog.Route, req *dispatch.Request, work overload.Work, now time.Time) overload.Request {
	return overload.Request{
		Route: route.Name, Priority: route.Priority, Caller: req.Caller,
		Target: route.Target, Elapsed: now.Sub(req.Arrived), Work: work,
	}
}

// admit counts a search as in flight, or returns the reason for declining it.
func (g *Gatherer) admit() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed:
		return notTakenLeaving
	case g.running >= maxSearches:
		return notTakenBusy
	}
	g.running++
	return ""
}

// release ends a search that admit counted.
func (g *Gatherer) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.closed && g.running == 0 {
		close(g.drained)
	}
}

// Close declines further searches and waits until none is in flight or ctx ends.
func (g *Gatherer) Close(ctx context.Context) {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		if g.running == 0 {
			close(g.drained)
		}
	}
	g.mu.Unlock()
	select {
	case <-g.drained:
	case <-ctx.Done():
	}
}

// Ping returns this VM's load.
func (g *Gatherer) Ping() *pb.FleetPong {
	return encodeLoad(g.lag.Load(), g.leaving(), g.gate.Room(time.Now()))
}

// Run measures how late timers fire on this VM's processor and reports it to the gate, until ctx ends.
func (g *Gatherer) Run(ctx context.Context) error {
	for {
		tick := lagInterval
		if !g.isGatherer.Load() {
			tick = idleInterval
		}
		due := time.Now().Add(tick)
		if !wait.For(ctx, tick) {
			return nil
		}
		now := time.Now()
		late := max(0, now.Sub(due))
		g.gate.ObserveLag(now, late)
		old := float64(g.lag.Load())
		g.lag.Store(int64(old + lagWeight*(float64(late.Microseconds())-old)))
	}
}
