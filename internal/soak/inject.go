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

// linkDelay is what a delayed link adds each way.
const linkDelay = 30 * time.Millisecond

// play injects the events at their times and returns once the last is over.
func (w *world) play(ctx context.Context, plan []Event) {
	start := time.Now()
	var open sync.WaitGroup
	for _, e := range plan {
		open.Go(func() {
			if wait.For(ctx, time.Until(start.Add(e.At))) {
				w.inject(ctx, e)
			}
		})
	}
	open.Wait()
}

// inject plays one event to its end.
func (w *world) inject(ctx context.Context, e Event) {
	switch e.Fault {
	case LeafSlow, LeafHang, LeafRefuse, LeafErrors, LeafLose, LeafGarble, LeafExtra:
		for _, p := range some(w.places, e) {
			p.misbehave(misbehaviour{fault: e.Fault, until: time.Now().Add(e.For), share: 0.1 + e.Share})
		}
		wait.For(ctx, e.For)
	case LeafStorm:
		for _, p := range w.placesOf(w.shardInForce(e)) {
			p.misbehave(misbehaviour{fault: LeafRefuse, until: time.Now().Add(e.For + stormLeast), share: stormShare, firm: true})
		}
		wait.For(ctx, e.For+stormLeast)
	case LeafCrash, LeafDrain, LeafReuse:
		w.replace(ctx, some(w.places, e), e)
	case LeafRestart, LeafSwap:
		w.startAgain(ctx, some(w.places, e), e)
	case StoreForeign:
		w.writeForeign(e)
	case StoreBusy, StoreSilent, StoreSlow, StoreLose, StoreCompact:
		w.disturbStore(ctx, e)
	case LinkStoreCut, LinkLeafCut, LinkLeafMute, LinkLeafDelay, LinkConnsMute:
		w.disturbLinks(ctx, some(w.vms, e), e)
	case VMFreeze, VMKill, VMTerminate, VMReload, Rolling, PowerOff:
		w.disturbVMs(ctx, e)
	case ConfigChange, ConfigReshard:
		w.configure(e.Fault == ConfigReshard)
	}
}

const (
	// stormShare is the part of requests that all leaves of a shard refuse in a storm, which lasts stormLeast
	// at least: with two repeats of each the budget is all that keeps the rest from the leaves.
	stormShare = 0.9
	stormLeast = 2 * time.Second
)

// shardInForce draws one of the shards that searches go to now.
func (w *world) shardInForce(e Event) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return some(w.configs[len(w.configs)-1].Shards, e)[0]
}

// some draws the event's share of the things, one at least.
func some[T any](all []T, e Event) []T {
	rng := rand.New(rand.NewPCG(e.Pick, 1))
	out := slices.Clone(all)
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:max(1, int(e.Share*float64(len(out))/2))]
}

// replace ends leaves, one a service at a time, and puts others in their places.
func (w *world) replace(ctx context.Context, places []*place, e Event) {
	struck := make(map[string]bool)
	var open sync.WaitGroup
	for _, p := range places {
		service := p.serves()
		if struck[service] || p.current() == nil || e.Fault == LeafReuse && !w.mayGive(service) {
			continue // another replica of it goes already, or went for good
		}
		struck[service] = true
		open.Go(func() { w.replaceOne(ctx, p, service, e) })
	}
	open.Wait()
}

// mayGive tells whether a place of the service may go to another, and notes that it does: one of its replicas
// at most, so that none is left without a leaf.
func (w *world) mayGive(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gave[service] {
		return false
	}
	w.gave[service] = true
	return true
}

// placesOf returns the places of a service.
func (w *world) placesOf(service string) []*place {
	var out []*place
	for _, p := range w.places {
		if p.serves() == service {
			out = append(out, p)
		}
	}
	return out
}

func (w *world) replaceOne(ctx context.Context, p *place, service string, e Event) {
	if e.Fault == LeafDrain {
		w.drain(ctx, p)
	}
	leaf := p.empty()
	if leaf == nil {
		return // gone by another event
	}
	leaf.Close()
	if e.Fault != LeafDrain {
		wait.For(ctx, entryLapse)
	}
	w.store.RemoveLeaf(leaf)
	if e.Fault == LeafReuse {
		service = single(int(e.Pick % singles))
		wait.For(ctx, reuseAfter)
	} else {
		wait.For(ctx, e.For)
	}
	if _, err := p.open(&w.past, service); err != nil {
		w.fail("%s at %s: %v", e.Fault, p.entry, err)
		return
	}
	w.enter(p, "ready")
}

const (
	// entryLapse is how long the store keeps the entry of a leaf that crashed; reuseAfter is how long an
	// address rests before another leaf takes it.
	entryLapse, reuseAfter = 800 * time.Millisecond, 2 * time.Second
)

// drain marks a place's leaf as leaving and waits until nothing may come to it any more.
func (w *world) drain(ctx context.Context, p *place) {
	leaf := p.current()
	if leaf == nil {
		return
	}
	w.enter(p, "draining")
	w.mu.Lock()
	w.drains = append(w.drains, Drain{Leaf: leaf.ID, Born: leaf.Born, At: time.Now()})
	w.mu.Unlock()
	wait.For(ctx, drainBound+2*slack)
}

// disturbStore makes the store misbehave; all VMs are out of touch meanwhile.
func (w *world) disturbStore(ctx context.Context, e Event) {
	s := Span{time.Now(), time.Now().Add(e.For), string(e.Fault)}
	for _, v := range w.vms {
		v.disturb(s)
	}
	switch e.Fault {
	case StoreBusy:
		w.store.SetFault(hosted.Fault{Status: 503})
	case StoreSilent:
		w.store.SetFault(hosted.Fault{Silent: true})
	case StoreSlow:
		w.store.SetFault(hosted.Fault{Delay: 200 * time.Millisecond})
	case StoreLose:
		w.store.SetFault(hosted.Fault{DropConnection: true})
	default:
		w.store.Compact()
		return
	}
	wait.For(ctx, e.For)
	w.store.SetFault(hosted.Fault{})
}

// disturbLinks puts rules on the links of VMs.
func (w *world) disturbLinks(ctx context.Context, vms []*vm, e Event) {
	var rules []relay.Rule
	for _, v := range vms {
		v.disturb(Span{time.Now(), time.Now().Add(e.For), string(e.Fault)})
		if e.Fault == LinkStoreCut {
			rules = append(rules, relay.Rule{From: v.settings.IP, To: w.address(3, 1), Mode: relay.ModeCut})
			continue
		}
		for _, p := range some(w.places, e) {
			to := p.entry[:len(p.entry)-len(fmt.Sprintf(":%d", entryPort))]
			rules = append(rules, linkRule(e.Fault, v.settings.IP, to))
		}
	}
	w.changeRules(func(old []relay.Rule) []relay.Rule { return append(old, rules...) })
	wait.For(ctx, e.For)
	w.changeRules(func(old []relay.Rule) []relay.Rule {
		return slices.DeleteFunc(old, func(r relay.Rule) bool { return slices.Contains(rules, r) })
	})
}

func linkRule(f Fault, from, to string) relay.Rule {
	r := relay.Rule{From: from, To: to}
	switch f {
	case LinkLeafCut:
		r.Mode = relay.ModeCut
	case LinkLeafMute:
		r.Mode = relay.ModeSilence
	case LinkConnsMute:
		r.Mode = relay.ModeSilenceEstablished
	default:
		r.Delay = settings.Duration(linkDelay)
	}
	return r
}

func (w *world) changeRules(change func([]relay.Rule) []relay.Rule) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rules = change(slices.Clone(w.rules))
	w.relay.SetRules(w.rules)
}

// disturbVMs freezes, ends or reloads processes.
func (w *world) disturbVMs(ctx context.Context, e Event) {
	switch e.Fault {
	case Rolling:
		for _, v := range w.vms {
			w.restart(ctx, v, w.stop)
		}
	case PowerOff:
		var open sync.WaitGroup
		for _, v := range w.vms {
			open.Go(func() { w.restart(ctx, v, w.kill) })
		}
		open.Wait()
	default:
		w.disturbVM(ctx, some(w.vms, e)[0], e)
	}
}

func (w *world) disturbVM(ctx context.Context, v *vm, e Event) {
	switch e.Fault {
	case VMFreeze:
		w.freeze(ctx, v, e.For)
	case VMKill:
		w.restart(ctx, v, w.kill)
	case VMTerminate:
		w.restart(ctx, v, w.stop)
	default:
		v.disturb(Span{time.Now(), time.Now(), "reload"})
		_ = v.process.Signal(syscall.SIGHUP) // it may have ended meanwhile
	}
}

// restart ends a VM in the given way and starts it again; nothing where another event has it down.
func (w *world) restart(ctx context.Context, v *vm, end func(*vm)) {
	if !v.take() {
		return
	}
	defer v.release()
	from := time.Now()
	end(v)
	wait.For(ctx, downTime)
	v.disturb(Span{from, time.Now(), "restart"})
	if ctx.Err() != nil {
		return
	}
	if err := v.start(); err != nil {
		w.fail("start of VM %d: %v", v.number, err)
	}
}

// downTime is how long a VM is down between two starts.
const downTime = 300 * time.Millisecond

func (w *world) kill(v *vm) {
	if err := v.kill(); err != nil {
		w.fail("kill of VM %d: %v", v.number, err)
	}
}

func (w *world) freeze(ctx context.Context, v *vm, d time.Duration) {
	if !v.take() {
		return
	}
	defer v.release()
	from := time.Now()
	if err := v.process.Freeze(); err != nil {
		w.fail("freeze of VM %d: %v", v.number, err)
		return
	}
	wait.For(ctx, d)
	v.disturb(Span{from, time.Now(), freezeSpan})
	if err := v.process.Wake(); err != nil {
		w.fail("wake of VM %d: %v", v.number, err)
	}
}

// fail keeps a fault that could not be injected.
func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.errs = append(w.errs, fmt.Sprintf(format, args...))
}
