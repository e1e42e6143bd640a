package scenarios

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unknownCase is one fault under which orders are counted by how they end for their callers.
type unknownCase struct {
	name string
	// begin and end act on the fleet; the fault holds for a second between them.
	begin, end func(f *fleet) error
	// avoidable is true where the system can know the end of every order.
	avoidable bool
}

// byName makes a step of a case of an action on processes.
func byName(action func(*daemon) error, names ...string) func(*fleet) error {
	return func(f *fleet) error {
		ds, err := f.findAll(names)
		if err != nil {
			return err
		}
		return eachOf(ds, action)
	}
}

func cutStep(a, b string, cut bool) func(*fleet) error {
	return func(f *fleet) error {
		as, err := f.names(a)
		if err != nil {
			return err
		}
		bs, err := f.names(b)
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
		as, err := f.names(a)
		if err != nil {
			return err
		}
		bs, err := f.names(b)
		if err != nil {
			return err
		}
		f.relay.silence(as, bs)
		return nil
	}
}

func nothing(*fleet) error { return nil }

// endAndStart waits for the end of a process that was asked to end, and starts it again.
func endAndStart(names ...string) func(*fleet) error {
	return byName(func(d *daemon) error {
		if err := d.WaitCleanExit(); err != nil {
			return err
		}
		return d.Start()
	}, names...)
}

const oneLeaf = "teachers-0-a"

func unknownCases() []unknownCase {
	return []unknownCase{
		{"calm", nothing, nothing, true},
		{"entry killed", byName((*daemon).Kill, "entry/vm-1"), byName((*daemon).Start, "entry/vm-1"), true},
		{"entry frozen", byName((*daemon).Freeze, "entry/vm-1"), byName((*daemon).Resume, "entry/vm-1"), true},
		{"gather killed", byName((*daemon).Kill, "gather/vm-1"), byName((*daemon).Start, "gather/vm-1"), false},
		{"gather frozen", byName((*daemon).Freeze, "gather/vm-1"), byName((*daemon).Resume, "gather/vm-1"), true},
		{"gather restarted in order", byName((*daemon).Terminate, "gather/vm-1"), endAndStart("gather/vm-1"), true},
		{"sync killed", byName((*daemon).Kill, "sync/vm-1"), byName((*daemon).Start, "sync/vm-1"), true},
		{"VM killed", byName((*daemon).Kill, "vm-1"), byName((*daemon).Start, "vm-1"), false},
		{"VM frozen", byName((*daemon).Freeze, "vm-1"), byName((*daemon).Resume, "vm-1"), true},
		{"leaf killed", byName((*daemon).Kill, "leaf/"+oneLeaf), byName((*daemon).Start, "leaf/"+oneLeaf), false},
		{"leaf frozen", byName((*daemon).Freeze, "leaf/"+oneLeaf), byName((*daemon).Resume, "leaf/"+oneLeaf), true},
		{"leaf drains", faultStep(oneLeaf, `{"drain":true}`), faultStep(oneLeaf, `{}`), true},
		{"leaf sheds", faultStep(oneLeaf, `{"shed":true}`), faultStep(oneLeaf, `{}`), true},
		{"leaf slower than the deadline", faultStep(oneLeaf, `{"hold_execute":"3s"}`), faultStep(oneLeaf, `{}`), false},
		{"leaf fails after executing", faultStep(oneLeaf, `{"error_after_execute":true}`), faultStep(oneLeaf, `{}`), false},
		{"VM cut from a leaf", cutStep("vm-1", oneLeaf, true), cutStep("vm-1", oneLeaf, false), true},
		{"zones cut", cutStep("az-1", "az-2", true), cutStep("az-1", "az-2", false), true},
		{"connections to leaves silent", silenceStep("vms", "leaves"), nothing, false},
		{"connections between VMs silent", silenceStep("vms", "vms"), nothing, true},
	}
}

const (
	// unknownCallers send in each case; the fault begins after caseLead and holds for caseHold.
	unknownCallers = 12
	caseLead       = 400 * time.Millisecond
	caseHold       = time.Second
	caseTail       = 300 * time.Millisecond
)

// TestOrderUnknownShare counts how orders end for their callers under one fault after the other,
// and wants that none ends unknown where its end can be known.
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
		pause(ctx, caseLead)
		is.NoErr(c.begin(f))
		pause(ctx, caseHold)
		is.NoErr(c.end(f))
		pause(ctx, caseTail)
		cancel()
		callers.Wait()
		is.NoErr(await("everything ready", readyBound, func() error { return f.ready(f.daemons) }))
		written, err := f.journal()
		is.NoErr(err)
		for _, b := range h.check(written.lines) {
			t.Errorf("%s: %s", c.name, b)
		}
		ends := h.callerEnds
		t.Logf("%-32s %4d orders, %v", c.name, len(h.orders), ends)
		if c.avoidable && ends[endUnknown]+ends[endUndecided] > 0 {
			t.Errorf("%s: %d orders ended unknown, %d undecided", c.name, ends[endUnknown], ends[endUndecided])
		}
	}
}
