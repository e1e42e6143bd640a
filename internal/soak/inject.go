package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/burdockplank/burdockplank/internal/relay"
	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/standin/hosted"
	"github.com/burdockplank/burdockplank/internal/wait"
)

// linkDelay is the delay that a delayed link adds in each direction.
const linkDelay = 30 * time.Millisecond

// runPlan injects the events at their times and returns once the last one has ended.
func (tb *testbed) runPlan(ctx context.Context, plan []Event) {
	start := time.Now()
	var open sync.WaitGroup
	for _, e := range plan {
		open.Go(func() {
			if wait.For(ctx, time.Until(start.Add(e.At))) {
				tb.inject(ctx, e)
			}
		})
	}
	open.Wait()
}

// inject injects one event and returns at its end.
func (tb *testbed) inject(ctx context.Context, e Event) {
	switch e.Fault {
	case LeafSlow, LeafHang, LeafRefuse, LeafErrors, LeafLoseAnswers, LeafGarble, LeafExtraAnswers, LeafUnsigned, LeafEndless:
		for _, p := range sample(tb.placements, e) {
			p.setFault(leafFault{fault: e.Fault, until: time.Now().Add(e.For), share: 0.1 + e.Share})
		}
		wait.For(ctx, e.For)
	case LeafRefuseAll:
		for _, p := range tb.placementsOf(tb.shardInForce(e)) {
			p.setFault(leafFault{fault: LeafRefuse, until: time.Now().Add(e.For + minRefuseAllTime), share: refuseAllShare, pinned: true})
		}
		wait.For(ctx, e.For+minRefuseAllTime)
	case LeafCrash, LeafDrain, LeafAddressReuse:
		tb.replace(ctx, sample(tb.placements, e), e)
	case LeafRestart, LeafSwap:
		tb.restartLeaves(ctx, sample(tb.placements, e), e)
	case StoreForeign:
		tb.writeForeign(e)
	case StoreBusy, StoreSilent, StoreSlow, StoreLoseAnswers, StoreCompact:
		tb.disturbStore(ctx, e)
	case StoreRestore:
		tb.restoreStore(ctx, e)
	case LinkStoreCut, LinkLeafCut, LinkLeafSilent, LinkLeafDelay, LinkConnsSilent:
		tb.disturbLinks(ctx, sample(tb.vms, e), e)
	case VMFreeze, VMKill, VMTerminate, VMReload, VMRolling, VMKillAll:
		tb.disturbVMs(ctx, e)
	case ZoneEvacuate:
		tb.evacuate(ctx, zone(int(e.Pick%uint64(tb.o.Size.Zones))), e.For)
	case LeafCrashingText:
		tb.sendCrashing(ctx, &tb.calls, e)
	case CallerBurst:
		tb.burst(ctx, e)
	case ConfigChange, ConfigReshard:
		tb.publishConfig(e.Fault == ConfigReshard)
	}
}

const (
	// refuseAllShare is the share of requests that all leaves of a shard refuse during LeafRefuseAll, which lasts
	// at least minRefuseAllTime. Each refused request may be retried twice, so only the retry budget limits the
	// extra calls to the leaves.
	refuseAllShare   = 0.9
	minRefuseAllTime = 2 * time.Second
)

// shardInForce draws one of the shards that searches currently use.
func (tb *testbed) shardInForce(e Event) string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return sample(tb.configs[len(tb.configs)-1].Shards, e)[0]
}

// sample draws half the event's share of all, at least one, in an order that e.Pick determines.
func sample[T any](all []T, e Event) []T {
	rng := rand.New(rand.NewPCG(e.Pick, 1))
	out := slices.Clone(all)
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:max(1, int(e.Share*float64(len(out))/2))]
}

// replace ends leaves and starts others at their placements. It replaces at most one leaf per service.
func (tb *testbed) replace(ctx context.Context, placements []*placement, e Event) {
	replaced := make(map[string]bool)
	var open sync.WaitGroup
	for _, p := range placements {
		service := p.currentService()
		if replaced[service] || p.current() == nil || e.Fault == LeafAddressReuse && !tb.reserveReassignment(service) {
			continue // another replica is being replaced, or this placement is empty, or one was already reassigned
		}
		replaced[service] = true
		open.Go(func() { tb.replaceOne(ctx, p, service, e) })
	}
	open.Wait()
}

// reserveReassignment reports whether a placement of the service may be reassigned to another service, and reserves
// it if so. At most one replica of a service is reassigned, so that no service is left without a leaf.
func (tb *testbed) reserveReassignment(service string) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.reassigned[service] {
		return false
	}
	tb.reassigned[service] = true
	return true
}

// placementsOf returns the placements of a service.
func (tb *testbed) placementsOf(service string) []*placement {
	var out []*placement
	for _, p := range tb.placements {
		if p.currentService() == service {
			out = append(out, p)
		}
	}
	return out
}

func (tb *testbed) replaceOne(ctx context.Context, p *placement, service string, e Event) {
	if e.Fault == LeafDrain {
		tb.drain(ctx, p)
	}
	leaf := p.takeLeaf()
	if leaf == nil {
		return // removed by another event
	}
	leaf.Close()
	if e.Fault != LeafDrain {
		wait.For(ctx, entryTTL)
	}
	tb.store.RemoveLeaf(leaf)
	if e.Fault == LeafAddressReuse {
		service = singleService(int(e.Pick % singleServices))
		wait.For(ctx, addressReuseDelay)
	} else {
		wait.For(ctx, e.For)
	}
	next, err := p.startLeaf(&tb.started, service)
	if err != nil {
		tb.fail("%s at %s: %v", e.Fault, p.entry, err)
		return
	}
	tb.setCold(next)
	tb.writeEntry(p, "ready")
}

const (
	// entryTTL is how long the store keeps the entry of a crashed leaf. addressReuseDelay is how long an address
	// stays unused before another leaf takes it.
	entryTTL, addressReuseDelay = 800 * time.Millisecond, 2 * time.Second
)

// drain marks a placement's leaf as draining and waits until no more requests may reach it.
func (tb *testbed) drain(ctx context.Context, p *placement) {
	leaf := p.current()
	if leaf == nil {
		return
	}
	tb.writeEntry(p, "draining")
	tb.mu.Lock()
	tb.drains = append(tb.drains, Drain{Leaf: leaf.ID, Born: leaf.Born, At: time.Now()})
	tb.mu.Unlock()
	wait.For(ctx, drainBound+2*slack)
}

// disturbStore injects a store fault. All VMs count as disturbed for its duration.
func (tb *testbed) disturbStore(ctx context.Context, e Event) {
	s := Span{time.Now(), time.Now().Add(e.For), string(e.Fault)}
	for _, v := range tb.vms {
		v.addDisturbance(s)
	}
	switch e.Fault {
	case StoreBusy:
		tb.store.SetFault(hosted.Fault{Status: 503})
	case StoreSilent:
		tb.store.SetFault(hosted.Fault{Silent: true})
	case StoreSlow:
		tb.store.SetFault(hosted.Fault{Delay: 200 * time.Millisecond})
	case StoreLoseAnswers:
		tb.store.SetFault(hosted.Fault{DropConnection: true})
	default:
		tb.store.Compact()
		return
	}
	wait.For(ctx, e.For)
	tb.store.SetFault(hosted.Fault{})
}

// disturbLinks sets relay rules on the links of the VMs for the duration of the event.
func (tb *testbed) disturbLinks(ctx context.Context, vms []*vm, e Event) {
	var rules []relay.Rule
	for _, v := range vms {
		v.addDisturbance(Span{time.Now(), time.Now().Add(e.For), string(e.Fault)})
		if e.Fault == LinkStoreCut {
			rules = append(rules, relay.Rule{From: v.settings.IP, To: tb.address(3, 1), Mode: relay.ModeCut})
			continue
		}
		for _, p := range sample(tb.placements, e) {
			to := p.entry[:len(p.entry)-len(fmt.Sprintf(":%d", entryPort))]
			rules = append(rules, linkRule(e.Fault, v.settings.IP, to))
		}
	}
	tb.changeRules(func(old []relay.Rule) []relay.Rule { return append(old, rules...) })
	wait.For(ctx, e.For)
	tb.changeRules(func(old []relay.Rule) []relay.Rule {
		return slices.DeleteFunc(old, func(r relay.Rule) bool { return slices.Contains(rules, r) })
	})
}

func linkRule(f Fault, from, to string) relay.Rule {
	r := relay.Rule{From: from, To: to}
	switch f {
	case LinkLeafCut:
		r.Mode = relay.ModeCut
	case LinkLeafSilent:
		r.Mode = relay.ModeSilence
	case LinkConnsSilent:
		r.Mode = relay.ModeSilenceEstablished
	default:
		r.Delay = settings.Duration(linkDelay)
	}
	return r
}

func (tb *testbed) changeRules(change func([]relay.Rule) []relay.Rule) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.rules = change(slices.Clone(tb.rules))
	tb.relay.SetRules(tb.rules)
}

// disturbVMs freezes, kills, terminates or reloads VM processes.
func (tb *testbed) disturbVMs(ctx context.Context, e Event) {
	switch e.Fault {
	case VMRolling:
		for _, v := range tb.vms {
			tb.restart(ctx, v, tb.stop)
		}
	case VMKillAll:
		var open sync.WaitGroup
		for _, v := range tb.vms {
			open.Go(func() { tb.restart(ctx, v, tb.kill) })
		}
		open.Wait()
	default:
		tb.disturbVM(ctx, sample(tb.vms, e)[0], e)
	}
}

func (tb *testbed) disturbVM(ctx context.Context, v *vm, e Event) {
	switch e.Fault {
	case VMFreeze:
		tb.freeze(ctx, v, e.For)
	case VMKill:
		tb.restart(ctx, v, tb.kill)
	case VMTerminate:
		tb.restart(ctx, v, tb.stop)
	default:
		v.addDisturbance(Span{time.Now(), time.Now(), "reload"})
		_ = v.process.Signal(syscall.SIGHUP) // it may have ended meanwhile
	}
}

// restart ends a VM with the given function and starts it again. It does nothing if another event has reserved the VM
// or its process isn't running.
func (tb *testbed) restart(ctx context.Context, v *vm, end func(*vm)) {
	if !v.reserve() {
		return
	}
	defer v.release()
	from := time.Now()
	end(v)
	wait.For(ctx, downTime)
	v.addDisturbance(Span{from, time.Now(), "restart"})
	if ctx.Err() != nil {
		return
	}
	if err := v.start(); err != nil {
		tb.fail("start of VM %d: %v", v.number, err)
	}
}

// downTime is how long a VM is down between two starts.
const downTime = 300 * time.Millisecond

func (tb *testbed) kill(v *vm) {
	if err := v.kill(); err != nil {
		tb.fail("kill of VM %d: %v", v.number, err)
	}
}

func (tb *testbed) freeze(ctx context.Context, v *vm, d time.Duration) {
	if !v.reserve() {
		return
	}
	defer v.release()
	from := time.Now()
	if err := v.process.Freeze(); err != nil {
		tb.fail("freeze of VM %d: %v", v.number, err)
		return
	}
	wait.For(ctx, d)
	v.addDisturbance(Span{from, time.Now(), freezeSpan})
	if err := v.process.Resume(); err != nil {
		tb.fail("resume of VM %d: %v", v.number, err)
	}
}

// fail records a fault that could not be injected.
func (tb *testbed) fail(format string, args ...any) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.errs = append(tb.errs, fmt.Sprintf(format, args...))
}
