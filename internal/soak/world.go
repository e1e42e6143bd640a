package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockplank/burdockplank/internal/deployment"
	"github.com/burdockplank/burdockplank/internal/relay"
	"github.com/burdockplank/burdockplank/internal/standin/hosted"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// entryPort is the port of the relay's listeners in front of the store and the leaves, and of the leaves.
	entryPort = 7000
	// replicas is the number of replicas of each shard and of each other service. They are spread over the zones.
	replicas = 3
	// leafConnections is the connection limit of a leaf. host is the Host header of the callers' requests.
	leafConnections = 60
	host            = "h"
	// singleServices is the number of services for single requests. Each configuration version routes them to the
	// next one.
	singleServices = 5
	// minShardShare is the minimum share of its shards that a search must cover.
	minShardShare = 0.5
)

// testbed is the environment of the program: store, leaves, links, VMs and their balancer.
type testbed struct {
	o          Options
	dir        string
	store      *hosted.Store
	placements []*placement
	started    startedLeaves
	relay      *relay.Relay
	// trap listens at an address that only foreign entries name.
	trap *hosted.Leaf
	vms  []*vm
	// burstCallers counts the callers that bursts have added.
	burstCallers atomic.Int64
	// calls are those of all callers.
	calls callRecorder

	// restoring serializes the store's returns from a copy.
	restoring sync.Mutex

	mu sync.Mutex
	// The fields below are guarded by mu: the relay rules in force, and the operator's actions.
	rules   []relay.Rule
	configs []Config
	drains  []Drain
	// evacuating holds the zones that are evacuated now.
	evacuating  map[string]bool
	evacuations []Evacuation
	colds       []Cold
	ends        []End
	// reassigned holds the services that lost a placement to another service.
	reassigned map[string]bool
	// crashTexts holds the requests that crash leaves, by target, and leafEnds the leaves that they ended.
	crashTexts map[string]crashText
	leafEnds   []LeafEnd
	// errs lists the faults that could not be injected.
	errs []string
}

// address returns a loopback address of the run's own range 127.NET.
func (tb *testbed) address(part, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", tb.o.Net, part, host)
}

// hostPort joins an IP address and a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// shardSet returns the first or the second of the two shard sets that a reshard alternates between.
func shardSet(second bool) []string {
	if second {
		return []string{"b0", "b1", "b2", "b3", "b4"}
	}
	return []string{"a0", "a1", "a2", "a3"}
}

// services returns all services, shards included.
func services() []string {
	out := append(shardSet(false), shardSet(true)...)
	for i := range singleServices {
		out = append(out, singleService(i))
	}
	return append(out, orderService)
}

// singleService returns the name of the i-th service for single requests, modulo their number.
func singleService(i int) string { return fmt.Sprintf("v%d", i%singleServices) }

// zone returns the name of the i-th availability zone.
func zone(i int) string { return fmt.Sprintf("az-%d", i+1) }

// newTestbed starts the store and the leaves, sets up the relay and publishes the first configuration. No VM is started.
func newTestbed(o Options, dir string) (*testbed, error) {
	tb := &testbed{o: o, dir: dir, store: hosted.NewStore(), reassigned: make(map[string]bool), evacuating: make(map[string]bool), crashTexts: make(map[string]crashText)}
	forwards := []relay.Forward{{Listen: hostPort(tb.address(3, 1), entryPort), Target: tb.store.Address(), Networks: []relay.Network{relay.TCP}}}
	number := 1
	for _, service := range services() {
		for i := range replicas {
			p := &placement{listen: hostPort(tb.address(4, number), entryPort), entry: hostPort(tb.address(2, number), entryPort), zone: zone(i % o.Size.Zones), crash: tb.crash}
			number++
			if _, err := p.startLeaf(&tb.started, service); err != nil {
				return nil, err
			}
			tb.placements = append(tb.placements, p)
			forwards = append(forwards, relay.Forward{Listen: p.entry, Target: p.listen, Networks: []relay.Network{relay.TCP}})
			tb.writeEntry(p, "ready")
		}
	}
	var err error
	if tb.trap, err = hosted.NewLeafAt(hostPort(tb.address(5, 1), entryPort), "trap", leafSlots, func(int, *http.Request) hosted.Reply { return hosted.Reply{} }); err != nil {
		return nil, err
	}
	if tb.relay, err = relay.New(relay.Settings{Control: tb.address(3, 1) + ":0", Forwards: forwards}); err != nil {
		return nil, err
	}
	tb.publishConfig(false)
	return tb, tb.addVMs()
}

func (tb *testbed) addVMs() error {
	var seeds []string
	for i := range tb.o.Size.VMs {
		seeds = append(seeds, hostPort(tb.address(1, i+1), controlPort))
	}
	for i := range tb.o.Size.VMs {
		v, err := newVM(i, tb.o.Program, tb.dir, &deployment.Settings{
			VMName: fmt.Sprintf("vm-%d", i), Zone: zone(i % tb.o.Size.Zones), IP: tb.address(1, i+1), Seeds: seeds,
			StoreAddress: hostPort(tb.address(3, 1), entryPort), Millicores: tb.millicores(i), Regions: tb.regions(), Warmup: warmupLimit,
		})
		if err != nil {
			return err
		}
		tb.vms = append(tb.vms, v)
	}
	return nil
}

// regions returns the region of each availability zone, one for all.
func (tb *testbed) regions() map[string]string {
	out := make(map[string]string)
	for i := range tb.o.Size.Zones {
		out[zone(i)] = "region"
	}
	return out
}

// millicores returns the CPU size for the settings of a VM, 0 for none.
func (tb *testbed) millicores(vm int) int {
	const smaller, larger = 200, 800
	switch {
	case tb.o.Size.LargerVMs == 0:
		return 0
	case vm < tb.o.Size.LargerVMs:
		return larger
	}
	return smaller
}

// writeEntry writes the store entry of the placement's leaf with the given state. It does nothing if there is no leaf.
func (tb *testbed) writeEntry(p *placement, state string) {
	if leaf := p.current(); leaf != nil {
		tb.store.PutLeaf(leaf, p.service, p.zone, state, p.entry)
	}
}

// publishConfig puts the next configuration version in force. Single requests go to the next service. With reshard,
// searches go to the other shard set.
func (tb *testbed) publishConfig(reshard bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	next := Config{Version: len(tb.configs) + 1, Shards: shardSet(false), Service: singleService(len(tb.configs))}
	if n := len(tb.configs); n > 0 {
		next.Shards = shardSet((tb.configs[n-1].Shards[0] == shardSet(true)[0]) != reshard)
	}
	search, single, order := route("s"), route("v"), route("o")
	search.Shards, search.TopK, search.MinShardShare = next.Shards, topRecords, minShardShare
	single.Service = next.Service
	order.Service, order.Idempotent = orderService, false
	next.At = time.Now()
	tb.configs = append(tb.configs, next)
	tb.store.Configure(hosted.Config{
		Version: next.Version, Routes: []hosted.Route{search, single, order}, Services: services(), Connections: leafConnections,
		Warmup: leafWarmup, WarmupRate: warmupRate,
	})
}

// route returns a route with the values that all routes share.
func route(name string) hosted.Route {
	return hosted.Route{
		Name: name, Host: host, Prefix: "/" + name + "/", Idempotent: true, Timeout: 1500 * time.Millisecond,
		TargetLatency: 300 * time.Millisecond, Priority: 1, MaxAttempts: 3,
	}
}

// run starts the VMs and the callers, injects the plan, waits for recovery, stops everything and returns the history.
func (tb *testbed) run(ctx context.Context, plan []Event) (*History, error) {
	relayCtx, stopRelay := context.WithCancel(context.WithoutCancel(ctx))
	var links sync.WaitGroup
	links.Go(func() { _ = tb.relay.Run(relayCtx) })
	defer links.Wait()
	defer stopRelay()
	defer tb.close()
	for _, v := range tb.vms {
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var senders sync.WaitGroup
	senders.Go(func() { tb.balance(callersCtx) })
	for i := range callers {
		c := &caller{number: i, balancer: tb, rng: rand.New(rand.NewPCG(tb.o.Seed, uint64(i)+1)), pause: callerPause}
		senders.Go(func() { c.run(callersCtx, &tb.calls) })
	}
	wait.For(ctx, startupTime)
	tb.runPlan(ctx, plan)
	calm := time.Now()
	tb.restoreAfterCalm(ctx)
	wait.For(ctx, time.Until(calm.Add(recoveryBound+recoveryCheckTime)))
	closing := time.Now()
	tb.stopAll()
	stopCallers()
	senders.Wait()
	h := tb.history(tb.calls.all())
	h.Calm, h.Closing = calm, closing
	return h, ctx.Err()
}

const (
	// startupTime is the time between the start of the VMs and the first faults. recoveryCheckTime is how long
	// requests are checked for recovery.
	startupTime, recoveryCheckTime = 3 * time.Second, 2 * time.Second
)

// balance probes the VMs for readiness until ctx ends.
func (tb *testbed) balance(ctx context.Context) {
	client := &http.Client{Timeout: probePeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	for wait.For(ctx, probePeriod) {
		var probes sync.WaitGroup
		for _, v := range tb.vms {
			probes.Go(func() { v.probe(client) })
		}
		probes.Wait()
	}
}

// stopAll terminates all VMs gracefully and concurrently, while the callers still send.
func (tb *testbed) stopAll() {
	var ended sync.WaitGroup
	for _, v := range tb.vms {
		if v.process.Running() {
			ended.Go(func() { tb.stop(v) })
		}
	}
	ended.Wait()
}

// stop terminates a VM gracefully and records how that went.
func (tb *testbed) stop(v *vm) {
	e := v.stop()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.ends = append(tb.ends, e)
}

// close kills the VMs that still run and closes the leaves and the store.
func (tb *testbed) close() {
	for _, v := range tb.vms {
		if v.process.Running() {
			_ = v.kill()
		}
	}
	for _, p := range tb.placements {
		if leaf := p.takeLeaf(); leaf != nil {
			leaf.Close()
		}
	}
	tb.trap.Close()
	tb.store.Close()
}

func (tb *testbed) history(calls []Call) *History {
	h := &History{Calls: calls, Runs: tb.started.runs(), Disturbed: make(map[int][]Span), Killed: make(map[int][]Span)}
	for _, v := range tb.vms {
		v.mu.Lock()
		h.Disturbed[v.number], h.Killed[v.number] = v.disturbed, v.killed
		v.mu.Unlock()
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	h.Configs, h.Drains, h.Ends, h.Trapped = tb.configs, tb.drains, tb.ends, tb.trapped()
	h.Evacuations, h.Colds, h.LeafEnds = tb.evacuations, tb.colds, tb.leafEnds
	return h
}
