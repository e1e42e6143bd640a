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

var seedFlag = flag.Uint64("seed", 0, "seed of the random faults; 0 draws a new one")

// runSeed returns the seed of a run and logs it.
func runSeed(t *testing.T) uint64 {
	seed := *seedFlag
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Logf("seed %d: run again with -run '^%s$' -seed %d", seed, t.Name(), seed)
	return seed
}

// startFleet starts a fleet for a test without a script and stops it at the end of the test.
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

// injectedFault is a fault with its start and end actions.
type injectedFault struct {
	name       string
	begin, end func() error
	// duration is the time from begin to end.
	duration time.Duration
}

// faultKind returns a random fault of one kind.
type faultKind func(m *faultInjector) injectedFault

// faultInjector injects random faults, up to two at a time. Only one goroutine may use it.
type faultInjector struct {
	f      *fleet
	random *rand.Rand
	log    func(format string, args ...any)
	start  time.Time
}

// run injects faults of the kinds until ctx ends. No fault is active when it returns without an error.
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

// injectSecond injects a second fault while the first is active. It skips a fault of the same name and
// one that cannot begin because the first fault has taken its process.
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
		m.log("%6dms cannot begin: %s: %v", time.Since(m.start).Milliseconds(), h.name, err)
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

// processes returns at random one process of a VM, a leaf, or all three processes of a VM.
func (m *faultInjector) processes() (name string, ds []*daemon) {
	names := []string{
		"gather/" + m.vm().name, "gather/" + m.vm().name, "entry/" + m.vm().name, "sync/" + m.vm().name,
		"leaf/" + m.leaf().name, m.vm().name,
	}
	name = names[m.random.IntN(len(names))]
	ds, _ = m.f.findProcesses(name)
	return name, ds
}

// eachOf runs the action on the processes in order until the first error.
func eachOf(ds []*daemon, action func(*daemon) error) error {
	for _, d := range ds {
		if err := action(d); err != nil {
			return fmt.Errorf("%s: %w", d.Name(), err)
		}
	}
	return nil
}

// allAvailable returns an error if another fault has ended or frozen one of the processes.
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

// eachIfAvailable runs the action on the processes like eachOf, but does nothing if another fault has
// ended or frozen one of them.
func eachIfAvailable(ds []*daemon, action func(*daemon) error) error {
	if allAvailable(ds) != nil {
		return nil
	}
	return eachOf(ds, action)
}

// freezeFault freezes processes for up to 4 s, longer than the timeout of an order, and wakes them.
func freezeFault(m *faultInjector) injectedFault {
	name, ds := m.processes()
	return injectedFault{
		name: "freeze " + name, duration: m.between(200*time.Millisecond, 4*time.Second),
		begin: func() error { return errors.Join(allAvailable(ds), eachIfAvailable(ds, (*daemon).Freeze)) },
		end:   func() error { return eachOf(ds, (*daemon).Resume) },
	}
}

// restartFault terminates processes gracefully and starts them again.
func restartFault(m *faultInjector) injectedFault {
	name, ds := m.processes()
	return injectedFault{
		name: "restart " + name, duration: m.between(0, time.Second),
		begin: func() error { return errors.Join(allAvailable(ds), eachIfAvailable(ds, (*daemon).Terminate)) },
		end: func() error {
			if err := eachOf(ds, (*daemon).WaitCleanExit); err != nil {
				return err
			}
			return eachOf(ds, startIfDown)
		},
	}
}

// startIfDown starts a process unless another fault has killed and restarted it in the meantime.
func startIfDown(d *daemon) error {
	if d.Running() {
		return nil
	}
	return d.Start()
}

// cutFault cuts the network between two VMs, a VM and a leaf, or two availability zones.
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

// silenceFault makes the open connections between two nodes silent for good.
func silenceFault(m *faultInjector) injectedFault {
	pairs := [][2]string{{m.vm().name, m.vm().name}, {m.vm().name, m.leaf().name}}
	p := pairs[m.random.IntN(len(pairs))]
	return injectedFault{
		name:  fmt.Sprintf("silence %s %s", p[0], p[1]),
		begin: func() error { m.f.relay.silence([]string{p[0]}, []string{p[1]}); return nil },
		end:   func() error { return nil },
	}
}

// leafOrderFaults are the settings of leaf faults that affect orders.
var leafOrderFaults = []string{
	`{"hold_execute":"300ms"}`, `{"hold_execute":"2500ms"}`, `{"error_after_execute":true}`, `{"stall":true}`,
	`{"error_share":0.3}`, `{"shed":true}`, `{"drain":true}`, `{"refuse_connections":true}`,
}

// leafFault turns a random fault on at one leaf.
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
				return nil // a restarted leaf has no faults
			}
			return set(`{}`)
		},
	}
}

// orderFaults returns the kinds of faults injected while orders are sent; a kind that is listed twice is
// twice as likely.
func orderFaults() []faultKind {
	return []faultKind{crashFault, crashFault, freezeFault, freezeFault, restartFault, cutFault, silenceFault, leafFault, leafFault}
}
