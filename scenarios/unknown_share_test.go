package scenarios

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unknownCase is a fault under which orders are counted by their outcome for the caller.
type unknownCase struct {
	name string
	// begin and end start and end the fault; faultDuration passes between them.
	begin, end func(f *fleet) error
	// avoidable is true if the system can determine the outcome of every order under the fault.
	avoidable bool
}

// processStep returns a step of a case that runs the action on the named processes.
func processStep(action func(*daemon) error, names ...string) func(*fleet) error {
	return func(f *fleet) error {
		ds, err := f.findAllProcesses(names)
		if err != nil {
			return err
		}
		return eachOf(ds, action)
	}
}

func cutStep(a, b string, cut bool) func(*fleet) error {
	return func(f *fleet) error {
		as, err := f.resolveNodeNames(a)
		if err != nil {
			return err
		}
		bs, err := f.resolveNodeNames(b)
		if err != nil {
			return err
		}
		f.relay.setCut(as, bs, cut)
		return nil
	}
}

func faultStep(leaf, json string) func(*fleet) error {
	return func(f *fleet) error {
		n, err := f.leaf(leaf)
		if err != nil {
			return err
		}
		return put(leafURL(n, "/faults"), []byte(json))
	}
}

func silenceStep(a, b string) func(*fleet) error {
	return func(f *fleet) error {
		as, err := f.resolveNodeNames(a)
		if err != nil {
			return err
		}
		bs, err := f.resolveNodeNames(b)
		if err != nil {
			return err
		}
		f.relay.silence(as, bs)
		return nil
	}
}

func noStep(*fleet) error { return nil }

// endAndStart returns a step that waits for the exit of terminated processes and starts them again.
func endAndStart(names ...string) func(*fleet) error {
	return processStep(func(d *daemon) error {
		if err := d.WaitCleanExit(); err != nil {
			return err
		}
		return d.Start()
	}, names...)
}

const faultyLeaf = "teachers-0-a"

func unknownCases() []unknownCase {
	return []unknownCase{
		{"calm", noStep, noStep, true},
		{"entry killed", processStep((*daemon).Kill, "entry/vm-1"), processStep((*daemon).Start, "entry/vm-1"), true},
		{"entry frozen", processStep((*daemon).Freeze, "entry/vm-1"), processStep((*daemon).Resume, "entry/vm-1"), true},
		{"gather killed", processStep((*daemon).Kill, "gather/vm-1"), processStep((*daemon).Start, "gather/vm-1"), false},
		{"gather frozen", processStep((*daemon).Freeze, "gather/vm-1"), processStep((*daemon).Resume, "gather/vm-1"), true},
		{"gather restarted in order", processStep((*daemon).Terminate, "gather/vm-1"), endAndStart("gather/vm-1"), true},
		{"sync killed", processStep((*daemon).Kill, "sync/vm-1"), processStep((*daemon).Start, "sync/vm-1"), true},
		{"VM killed", processStep((*daemon).Kill, "vm-1"), processStep((*daemon).Start, "vm-1"), false},
		{"VM frozen", processStep((*daemon).Freeze, "vm-1"), processStep((*daemon).Resume, "vm-1"), true},
		{"leaf killed", processStep((*daemon).Kill, "leaf/"+faultyLeaf), processStep((*daemon).Start, "leaf/"+faultyLeaf), false},
		{"leaf frozen", processStep((*daemon).Freeze, "leaf/"+faultyLeaf), processStep((*daemon).Resume, "leaf/"+faultyLeaf), true},
		{"leaf drains", faultStep(faultyLeaf, `{"drain":true}`), faultStep(faultyLeaf, `{}`), true},
		{"leaf sheds", faultStep(faultyLeaf, `{"shed":true}`), faultStep(faultyLeaf, `{}`), true},
		{"leaf slower than the deadline", faultStep(faultyLeaf, `{"hold_execute":"3s"}`), faultStep(faultyLeaf, `{}`), false},
		{"leaf fails after executing", faultStep(faultyLeaf, `{"error_after_execute":true}`), faultStep(faultyLeaf, `{}`), false},
		{"VM cut from a leaf", cutStep("vm-1", faultyLeaf, true), cutStep("vm-1", faultyLeaf, false), true},
		{"zones cut", cutStep("az-1", "az-2", true), cutStep("az-1", "az-2", false), true},
		{"connections to leaves silent", silenceStep("vms", "leaves"), noStep, false},
		{"connections between VMs silent", silenceStep("vms", "vms"), noStep, true},
	}
}

const (
	// unknownCallers is the number of concurrent callers in each case.
	unknownCallers = 12
	// faultDelay is the time under load before the fault begins.
	faultDelay    = 400 * time.Millisecond
	faultDuration = time.Second
	// recoveryTime is the time under load after the fault has ended.
	recoveryTime = 300 * time.Millisecond
)

// TestOrderUnknownShare counts the outcomes of orders for their callers under each fault in turn, and
// checks that no order ends unknown where the system can determine its outcome.
func TestOrderUnknownShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := defaultLayout()
	l.Relay, l.VMs, l.Zones, l.Shards, l.Replicas = true, 4, 2, 2, 2
	l.ServiceTime = 60 * time.Millisecond
	f := startFleet(t, l)
	for _, c := range unknownCases() {
		h := &orderHistory{start: time.Now()}
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		for i := range unknownCallers {
			oc := &orderCaller{f: f, h: h, id: i, random: rand.New(rand.NewPCG(1, uint64(i)))}
			callers.Go(func() { oc.run(ctx) })
		}
		sleep(ctx, faultDelay)
		is.NoErr(c.begin(f))
		sleep(ctx, faultDuration)
		is.NoErr(c.end(f))
		sleep(ctx, recoveryTime)
		cancel()
		callers.Wait()
		is.NoErr(await("everything ready", readyTimeout, func() error { return f.allReady(f.daemons) }))
		written, err := f.journal()
		is.NoErr(err)
		for _, b := range h.check(written.lines) {
			t.Errorf("%s: %s", c.name, b)
		}
		ends := h.callerOutcomes
		t.Logf("%-32s %4d orders, %v", c.name, len(h.orders), ends)
		if c.avoidable && ends[outcomeUnknown]+ends[outcomeUndecided] > 0 {
			t.Errorf("%s: %d orders ended unknown, %d undecided, want none", c.name, ends[outcomeUnknown], ends[outcomeUndecided])
		}
	}
}
