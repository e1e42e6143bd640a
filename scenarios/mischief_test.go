package scenarios

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var seedFlag = flag.Uint64("seed", 0, "seed of the random faults; drawn anew where it is 0")

// runSeed returns the seed of a run and prints it.
func runSeed(t *testing.T) uint64 {
	seed := *seedFlag
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Logf("seed %d: run again with -run '^%s$' -seed %d", seed, t.Name(), seed)
	return seed
}

// startFleet starts a fleet for a test that is no script; it is stopped with the test.
func startFleet(t *testing.T, l layout) *fleet {
	t.Helper()
	f, err := newFleet(t.TempDir(), l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.stop(); err != nil {
			t.Errorf("at the end of the test: %v", err)
		}
	})
	if err := f.startAll(); err != nil {
		t.Fatal(err)
	}
	return f
}

// injectedFault is one fault that begins and ends.
type injectedFault struct {
	name       string
	begin, end func() error
	// duration is how long it lasts.
	duration time.Duration
}

// faultKind draws a mishap of its kind.
type faultKind func(m *faultInjector) injectedFault

// faultInjector lets random faults happen, up to two at a time. It belongs to one goroutine.
type faultInjector struct {
	f      *fleet
	random *rand.Rand
	log    func(format string, args ...any)
	start  time.Time
}

// run lets faults of the kinds happen until ctx ends, then undoes what still holds.
func (m *faultInjector) run(ctx context.Context, kinds []faultKind) error {
	m.start = time.Now()
	for ctx.Err() == nil {
		first := kinds[m.random.IntN(len(kinds))](m)
		if err := m.begin(first); err != nil {
			return err
		}
		sleep(ctx, m.between(0, first.duration))
		err := m.injectSecond(ctx, kinds, first)
		sleep(ctx, m.between(0, first.duration))
		if err := errors.Join(err, m.end(first)); err != nil {
			return err
		}
		sleep(ctx, m.between(100*time.Millisecond, 600*time.Millisecond))
	}
	return nil
}

// injectSecond lets a second fault happen while the first holds; one that needs a process that the first
// has taken away is passed over.
func (m *faultInjector) injectSecond(ctx context.Context, kinds []faultKind, first injectedFault) error {
	second := kinds[m.random.IntN(len(kinds))](m)
	if second.name == first.name || m.begin(second) != nil {
		return nil
	}
	sleep(ctx, m.between(0, second.duration))
	return m.end(second)
}

func (m *faultInjector) begin(h injectedFault) error {
	if err := h.begin(); err != nil {
		m.log("%6dms can't begin: %s: %v", time.Since(m.start).Milliseconds(), h.name, err)
		return err
	}
	m.log("%6dms %s", time.Since(m.start).Milliseconds(), h.name)
	return nil
}

func (m *faultInjector) end(h injectedFault) error {
	m.log("%6dms over: %s", time.Since(m.start).Milliseconds(), h.name)
	if err := h.end(); err != nil {
		return fmt.Errorf("end %s: %w", h.name, err)
	}
	return nil
}

func (m *faultInjector) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

func (m *faultInjector) vm() *node   { return m.f.vms[m.random.IntN(len(m.f.vms))] }
func (m *faultInjector) leaf() *node { return m.f.leaves[m.random.IntN(len(m.f.leaves))] }

// processes draws one process of a VM, a leaf, or all three of a VM.
func (m *faultInjector) processes() (name string, ds []*daemon) {
	names := []string{
		"gather/" + m.vm().name, "gather/" + m.vm().name, "entry/" + m.vm().name, "sync/" + m.vm().name,
		"leaf/" + m.leaf().name, m.vm().name,
	}
	name = names[m.random.IntN(len(names))]
	ds, _ = m.f.findProcesses(name)
	return name, ds
}

// eachOf does the action to all processes; the first error ends it.
func eachOf(ds []*daemon, action func(*daemon) error) error {
	for _, d := range ds {
		if err := action(d); err != nil {
			return fmt.Errorf("%s: %w", d.Name(), err)
		}
	}
	return nil
}

// allAvailable is an error where one of the processes is gone or frozen by another fault.
func allAvailable(ds []*daemon) error {
	return eachOf(ds, func(d *daemon) error {
		if !d.Running() || d.Frozen() {
			return errors.New("taken by another fault")
		}
		return nil
	})
}

// crashFault kills processes and starts them again at the same addresses.
func crashFault(m *faultInjector) injectedFault {
	name, ds := m.processes()
	return injectedFault{
		name: "crash " + name, duration: m.between(0, 2*time.Second),
		begin: func() error { return errors.Join(allAvailable(ds), eachIfAvailable(ds, (*daemon).Kill)) },
		end:   func() error { return eachOf(ds, (*daemon).Start) },
	}
}

// eachIfAvailable is eachOf where no other fault holds any of the processes.
func eachIfAvailable(ds []*daemon, action func(*daemon) error) error {
	if allAvailable(ds) != nil {
		return nil
	}
	return eachOf(ds, action)
}

// freezeFault stops processes for up to 4 s, beyond the deadline of an order, and wakes them.
func freezeFault(m *faultInjector) injectedFault {
	name, ds := m.processes()
	return injectedFault{
		name: "freeze " + name, duration: m.between(200*time.Millisecond, 4*time.Second),
		begin: func() error { return errors.Join(allAvailable(ds), eachIfAvailable(ds, (*daemon).Freeze)) },
		end:   func() error { return eachOf(ds, (*daemon).Wake) },
	}
}

// restartFault asks a process to end in order and starts it again.
func restartFault(m *faultInjector) injectedFault {
	name, ds := m.processes()
	return injectedFault{
		name: "restart " + name, duration: m.between(0, time.Second),
		begin: func() error { return errors.Join(allAvailable(ds), eachIfAvailable(ds, (*daemon).Terminate)) },
		end: func() error {
			if err := eachOf(ds, (*daemon).Ended); err != nil {
				return err
			}
			return eachOf(ds, startIfDown)
		},
	}
}

// startIfDown starts a process, unless another fault killed it meanwhile and has started it again.
func startIfDown(d *daemon) error {
	if d.Running() {
		return nil
	}
	return d.Start()
}

// cutFault cuts two VMs, a VM from a leaf, or two availability zones from each other.
func cutFault(m *faultInjector) injectedFault {
	pairs := [][2]string{{m.vm().name, m.vm().name}, {m.vm().name, m.leaf().name}, {m.f.vms[0].zone, m.f.vms[1].zone}}
	p := pairs[m.random.IntN(len(pairs))]
	set := func(cut bool) error {
		as, errA := m.f.resolveNodeNames(p[0])
		bs, errB := m.f.resolveNodeNames(p[1])
		m.f.relay.setCut(as, bs, cut)
		return errors.Join(errA, errB)
	}
	return injectedFault{
		name: fmt.Sprintf("cut %s %s", p[0], p[1]), duration: m.between(200*time.Millisecond, 4*time.Second),
		begin: func() error { return set(true) }, end: func() error { return set(false) },
	}
}

// silenceFault makes the open connections between two nodes silent.
func silenceFault(m *faultInjector) injectedFault {
	pairs := [][2]string{{m.vm().name, m.vm().name}, {m.vm().name, m.leaf().name}}
	p := pairs[m.random.IntN(len(pairs))]
	return injectedFault{
		name:  fmt.Sprintf("silence %s %s", p[0], p[1]),
		begin: func() error { m.f.relay.silence([]string{p[0]}, []string{p[1]}); return nil },
		end:   func() error { return nil },
	}
}

// The faults of leaves that concern orders.
var leafOrderFaults = []string{
	`{"hold_execute":"300ms"}`, `{"hold_execute":"2500ms"}`, `{"error_after_execute":true}`, `{"stall":true}`,
	`{"error_share":0.3}`, `{"shed":true}`, `{"drain":true}`, `{"refuse_connections":true}`,
}

// leafFault switches a fault on at one leaf.
func leafFault(m *faultInjector) injectedFault {
	n, fault := m.leaf(), leafOrderFaults[m.random.IntN(len(leafOrderFaults))]
	set := func(json string) error { return put(leafURL(n, "/faults"), []byte(json)) }
	running := func() error {
		ds, err := m.f.findProcesses("leaf/" + n.name)
		return errors.Join(err, allAvailable(ds))
	}
	return injectedFault{
		name: fmt.Sprintf("fault %s %s", n.name, fault), duration: m.between(200*time.Millisecond, 2*time.Second),
		begin: func() error {
			if err := running(); err != nil {
				return err
			}
			return set(fault)
		},
		end: func() error {
			if running() != nil {
				return nil // it starts again without faults
			}
			return set(`{}`)
		},
	}
}

// orderFaults are those that are thrown at orders.
func orderFaults() []faultKind {
	return []faultKind{crashFault, crashFault, freezeFault, freezeFault, restartFault, cutFault, silenceFault, leafFault, leafFault}
}
