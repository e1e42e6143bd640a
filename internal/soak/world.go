package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/deployment"
	"github.com/burdockplank/burdockplank/internal/relay"
	"github.com/burdockplank/burdockplank/internal/standin/hosted"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// entryPort is that of the relays' listeners in front of store and leaves.
	entryPort = 7000
	// replicas of each shard and of each other service, one a zone.
	replicas = 3
	// leafConnections is how many connections a leaf takes, host what callers ask for.
	leafConnections = 60
	host            = "h"
	// singles are the services that single requests go to, in turn from version to version.
	singles = 5
	// shardsNeeded is the least share of a search's shards.
	shardsNeeded = 0.5
)

// world is everything outside the program: store, leaves, links, VMs and their balancer.
type world struct {
	o      Options
	dir    string
	store  *hosted.Store
	places []*place
	past   past
	relay  *relay.Relay
	// trap listens where only foreign entries point to.
	trap *hosted.Leaf
	vms  []*vm

	mu sync.Mutex
	// What follows is guarded by mu: rules of the links in force, and what the operator did.
	rules   []relay.Rule
	configs []Config
	drains  []Drain
	ends    []End
	// gave holds the services of which a place went to another.
	gave map[string]bool
	// errs are faults that could not be injected.
	errs []string
}

// address returns a loopback address of the run's own net.
func (w *world) address(part, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.o.Net, part, host)
}

// hostPort joins an IP number and a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// setOf are the shards of the search before or after a reshard.
func setOf(second bool) []string {
	if second {
		return []string{"b0", "b1", "b2", "b3", "b4"}
	}
	return []string{"a0", "a1", "a2", "a3"}
}

// services are all that there are.
func services() []string {
	out := append(setOf(false), setOf(true)...)
	for i := range singles {
		out = append(out, single(i))
	}
	return append(out, orderService)
}

func single(i int) string { return fmt.Sprintf("v%d", i%singles) }

// zone names an availability zone.
func zone(i int) string { return fmt.Sprintf("az-%d", i+1) }

// newWorld opens everything; no VM runs yet.
func newWorld(o Options, dir string) (*world, error) {
	w := &world{o: o, dir: dir, store: hosted.NewStore(), gave: make(map[string]bool)}
	forwards := []relay.Forward{{Listen: hostPort(w.address(3, 1), entryPort), Target: w.store.Address(), Networks: []relay.Network{relay.TCP}}}
	number := 1
	for _, service := range services() {
		for i := range replicas {
			p := &place{listen: hostPort(w.address(4, number), entryPort), entry: hostPort(w.address(2, number), entryPort), zone: zone(i % o.Size.Zones)}
			number++
			if _, err := p.open(&w.past, service); err != nil {
				return nil, err
			}
			w.places = append(w.places, p)
			forwards = append(forwards, relay.Forward{Listen: p.entry, Target: p.listen, Networks: []relay.Network{relay.TCP}})
			w.enter(p, "ready")
		}
	}
	var err error
	if w.trap, err = hosted.NewLeafAt(hostPort(w.address(5, 1), entryPort), "trap", leafSlots, func(int, *http.Request) hosted.Reply { return hosted.Reply{} }); err != nil {
		return nil, err
	}
	if w.relay, err = relay.New(relay.Settings{Control: w.address(3, 1) + ":0", Forwards: forwards}); err != nil {
		return nil, err
	}
	w.configure(false)
	return w, w.makeVMs()
}

func (w *world) makeVMs() error {
	var seeds []string
	for i := range w.o.Size.VMs {
		seeds = append(seeds, hostPort(w.address(1, i+1), controlPort))
	}
	for i := range w.o.Size.VMs {
		v, err := newVM(i, w.o.Program, w.dir, &deployment.Settings{
			VM: fmt.Sprintf("vm-%d", i), Zone: zone(i % w.o.Size.Zones), IP: w.address(1, i+1), Seeds: seeds,
			Store: hostPort(w.address(3, 1), entryPort), Millicores: w.millicores(i),
		})
		if err != nil {
			return err
		}
		w.vms = append(w.vms, v)
	}
	return nil
}

// millicores is what the VM is told of its processor.
func (w *world) millicores(vm int) int {
	const weak, strong = 200, 800
	switch {
	case w.o.Size.Strong == 0:
		return 0
	case vm < w.o.Size.Strong:
		return strong
	}
	return weak
}

// enter writes the entry of the place's leaf.
func (w *world) enter(p *place, state string) {
	if leaf := p.current(); leaf != nil {
		w.store.PutLeaf(leaf, p.service, p.zone, state, p.entry)
	}
}

// configure puts the next version in force: single requests go to the next service, searches to the other
// set of shards where that is asked for.
func (w *world) configure(reshard bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := Config{Version: len(w.configs) + 1, Shards: setOf(false), Service: single(len(w.configs))}
	if n := len(w.configs); n > 0 {
		next.Shards = setOf((w.configs[n-1].Shards[0] == setOf(true)[0]) != reshard)
	}
	search, single, order := route("s"), route("v"), route("o")
	search.Shards, search.TopK, search.MinShardShare = next.Shards, topRecords, shardsNeeded
	single.Service = next.Service
	order.Service, order.Idempotent = orderService, false
	next.At = time.Now()
	w.configs = append(w.configs, next)
	w.store.Configure(hosted.Config{
		Version: next.Version, Routes: []hosted.Route{search, single, order}, Services: services(), Connections: leafConnections,
	})
}

// route is what the routes have in common.
func route(name string) hosted.Route {
	return hosted.Route{
		Name: name, Host: host, Prefix: "/" + name + "/", Idempotent: true, Timeout: 1500 * time.Millisecond,
		TargetLatency: 300 * time.Millisecond, Priority: 1, MaxAttempts: 3,
	}
}

// run plays the plan and returns what was seen.
func (w *world) run(ctx context.Context, plan []Event) (*History, error) {
	relayCtx, stopRelay := context.WithCancel(context.WithoutCancel(ctx))
	var links sync.WaitGroup
	links.Go(func() { _ = w.relay.Run(relayCtx) })
	defer links.Wait()
	defer stopRelay()
	defer w.close()
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	var calls recorder
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var senders sync.WaitGroup
	senders.Go(func() { w.balance(callersCtx) })
	for i := range callers {
		c := &caller{name: i, fleet: w, rng: rand.New(rand.NewPCG(w.o.Seed, uint64(i)+1))}
		senders.Go(func() { c.run(callersCtx, &calls) })
	}
	wait.For(ctx, leadTime)
	w.play(ctx, plan)
	calm := time.Now()
	wait.For(ctx, recoveryBound+judgedTime)
	closing := time.Now()
	w.stopAll()
	stopCallers()
	senders.Wait()
	h := w.history(calls.all())
	h.Calm, h.Closing = calm, closing
	return h, ctx.Err()
}

const (
	// leadTime is what a fresh fleet has before faults begin, judgedTime how long recovery is looked at.
	leadTime, judgedTime = 3 * time.Second, 2 * time.Second
)

// balance asks the VMs for readiness until ctx ends.
func (w *world) balance(ctx context.Context) {
	client := &http.Client{Timeout: readyPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	for wait.For(ctx, readyPeriod) {
		var asked sync.WaitGroup
		for _, v := range w.vms {
			asked.Go(func() { v.ask(client) })
		}
		asked.Wait()
	}
}

// stopAll ends all VMs in order, beside the callers.
func (w *world) stopAll() {
	var ended sync.WaitGroup
	for _, v := range w.vms {
		if v.process.Running() {
			ended.Go(func() { w.stop(v) })
		}
	}
	ended.Wait()
}

// stop ends a VM in order and keeps how that went.
func (w *world) stop(v *vm) {
	e := v.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, e)
}

// close ends what still runs.
func (w *world) close() {
	for _, v := range w.vms {
		if v.process.Running() {
			_ = v.kill()
		}
	}
	for _, p := range w.places {
		if leaf := p.empty(); leaf != nil {
			leaf.Close()
		}
	}
	w.trap.Close()
	w.store.Close()
}

func (w *world) history(calls []Call) *History {
	h := &History{Calls: calls, Runs: w.past.runs(), Disturbed: make(map[int][]Span), Killed: make(map[int][]Span)}
	for _, v := range w.vms {
		v.mu.Lock()
		h.Disturbed[v.number], h.Killed[v.number] = v.disturbed, v.killed
		v.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	h.Configs, h.Drains, h.Ends, h.Trapped = w.configs, w.drains, w.ends, w.trapped()
	return h
}
