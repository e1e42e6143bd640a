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

// seedOf returns the seed of a run and prints it.
func seedOf(t *testing.T) uint64 {
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

// mishap is one fault that begins and ends.
type mishap struct {
	name       string
	begin, end func() error
	// hold is how long it lasts.
	hold time.Duration
}

// faultKind draws a mishap of its kind.
type faultKind func(m *mischief) mishap

// mischief lets random faults happen, up to two at a time. It belongs to one goroutine.
type mischief struct {
	f      *fleet
	random *rand.Rand
	log    func(format string, args ...any)
	start  time.Time
}

// run lets faults of the kinds happen until ctx ends, then undoes what still holds.
func (m *mischief) run(ctx context.Context, kinds []faultKind) error {
	m.start = time.Now()
	for ctx.Err() == nil {
		first := kinds[m.random.IntN(len(kinds))](m)
		if err := m.begin(first); err != nil {
			return err
		}
		pause(ctx, m.between(0, first.hold))
		err := m.another(ctx, kinds, first)
		pause(ctx, m.between(0, first.hold))
		if err := errors.Join(err, m.end(first)); err != nil {
			return err
		}
		pause(ctx, m.between(100*time.Millisecond, 600*time.Millisecond))
	}
	return nil
}

// another lets a second fault happen while the first holds; one that needs a process that the first
// has taken away is passed over.
func (m *mischief) another(ctx context.Context, kinds []faultKind, first mishap) error {
	second := kinds[m.random.IntN(len(kinds))](m)
	if second.name == first.name || m.begin(second) != nil {
		return nil
	}
	pause(ctx, m.between(0, second.hold))
	return m.end(second)
}

func (m *mischief) begin(h mishap) error {
	if err := h.begin(); err != nil {
		m.log("%6dms can't begin: %s: %v", time.Since(m.start).Milliseconds(), h.name, err)
		return err
	}
	m.log("%6dms %s", time.Since(m.start).Milliseconds(), h.name)
	return nil
}

func (m *mischief) end(h mishap) error {
	m.log("%6dms over: %s", time.Since(m.start).Milliseconds(), h.name)
	if err := h.end(); err != nil {
		return fmt.Errorf("end %s: %w", h.name, err)
	}
	return nil
}

func (m *mischief) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

func (m *mischief) vm() *node   { return m.f.vms[m.random.IntN(len(m.f.vms))] }
func (m *mischief) leaf() *node { return m.f.leaves[m.random.IntN(len(m.f.leaves))] }

// processes draws one process of a VM, a leaf, or all three of a VM.
func (m *mischief) processes() (name string, ds []*daemon) {
	names := []string{
		"gather/" + m.vm().name, "gather/" + m.vm().name, "entry/" + m.vm().name, "sync/" + m.vm().name,
		"leaf/" + m.leaf().name, m.vm().name,
	}
	name = names[m.random.IntN(len(names))]
	ds, _ = m.f.find(name)
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

// allUntouched is an error where one of the processes is gone or frozen by another fault.
func allUntouched(ds []*daemon) error {
	return eachOf(ds, func(d *daemon) error {
		if !d.Running() || d.Frozen() {
			return errors.New("taken by another fault")
		}
		return nil
	})
}

// crashes kills processes and starts them again at the same addresses.
func crashes(m *mischief) mishap {
	name, ds := m.processes()
	return mishap{
		name: "crash " + name, hold: m.between(0, 2*time.Second),
		begin: func() error { return errors.Join(allUntouched(ds), eachIfFree(ds, (*daemon).Kill)) },
		end:   func() error { return eachOf(ds, (*daemon).Start) },
	}
}

// eachIfFree is eachOf where no other fault holds any of the processes.
func eachIfFree(ds []*daemon, action func(*daemon) error) error {
	if allUntouched(ds) != nil {
		return nil
	}
	return eachOf(ds, action)
}

// freezes stops processes for up to 4 s, beyond the deadline of an order, and wakes them.
func freezes(m *mischief) mishap {
	name, ds := m.processes()
	return mishap{
		name: "freeze " + name, hold: m.between(200*time.Millisecond, 4*time.Second),
		begin: func() error { return errors.Join(allUntouched(ds), eachIfFree(ds, (*daemon).Freeze)) },
		end:   func() error { return eachOf(ds, (*daemon).Resume) },
	}
}

// restarts asks a process to end in order and starts it again.
func restarts(m *mischief) mishap {
	name, ds := m.processes()
	return mishap{
		name: "restart " + name, hold: m.between(0, time.Second),
		begin: func() error { return errors.Join(allUntouched(ds), eachIfFree(ds, (*daemon).Terminate)) },
		end: func() error {
			if err := eachOf(ds, (*daemon).WaitCleanExit); err != nil {
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

// cuts cuts two VMs, a VM from a leaf, or two availability zones from each other.
func cuts(m *mischief) mishap {
	pairs := [][2]string{{m.vm().name, m.vm().name}, {m.vm().name, m.leaf().name}, {m.f.vms[0].zone, m.f.vms[1].zone}}
	p := pairs[m.random.IntN(len(pairs))]
	set := func(cut bool) error {
		as, errA := m.f.names(p[0])
		bs, errB := m.f.names(p[1])
		m.f.relay.setCut(as, bs, cut)
		return errors.Join(errA, errB)
	}
	return mishap{
		name: fmt.Sprintf("cut %s %s", p[0], p[1]), hold: m.between(200*time.Millisecond, 4*time.Second),
		begin: func() error { return set(true) }, end: func() error { return set(false) },
	}
}

// silences makes the open connections between two nodes silent.
func silences(m *mischief) mishap {
	pairs := [][2]string{{m.vm().name, m.vm().name}, {m.vm().name, m.leaf().name}}
	p := pairs[m.random.IntN(len(pairs))]
	return mishap{
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

// leafFaults switches a fault on at one leaf.
func leafFaults(m *mischief) mishap {
	n, fault := m.leaf(), leafOrderFaults[m.random.IntN(len(leafOrderFaults))]
	set := func(json string) error { return put(leafURL(n, "/faults"), []byte(json)) }
	running := func() error {
		ds, err := m.f.find("leaf/" + n.name)
		return errors.Join(err, allUntouched(ds))
	}
	return mishap{
		name: fmt.Sprintf("fault %s %s", n.name, fault), hold: m.between(200*time.Millisecond, 2*time.Second),
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
	return []faultKind{crashes, crashes, freezes, freezes, restarts, cuts, silences, leafFaults, leafFaults}
}
