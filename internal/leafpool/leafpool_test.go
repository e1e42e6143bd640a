package leafpool

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/leafcall"
)

// fakeDialer opens fake connections; fail lets it refuse, and end is what calls on new ones return.
type fakeDialer struct {
	mu     sync.Mutex
	opened map[string]int
	conns  []*fakeConn
	fail   error
	end    error
}

func newDialer() *fakeDialer { return &fakeDialer{opened: make(map[string]int)} }

func (d *fakeDialer) Dial(_ context.Context, address string) (leafcall.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened[address]++
	if d.fail != nil {
		return nil, d.fail
	}
	c := &fakeConn{d: d, alive: true, end: d.end}
	d.conns = append(d.conns, c)
	return c, nil
}

func (d *fakeDialer) count(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened[address]
}

type fakeConn struct {
	d      *fakeDialer
	alive  bool
	closed bool
	end    error
	block  chan struct{}
}

func (c *fakeConn) Do(context.Context, *leafcall.Request) (*leafcall.Response, bool, error) {
	if c.block != nil {
		<-c.block
	}
	if c.end != nil {
		return nil, false, c.end
	}
	return &leafcall.Response{Status: 200}, true, nil
}

func (c *fakeConn) Alive() bool {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	return c.alive
}

func (c *fakeConn) Close() {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	c.closed = true
}

func leafID(name string) catalog.LeafID { return catalog.LeafID{Name: name} }

var (
	nearLeaf = catalog.Leaf{ID: leafID("near"), Service: "x", Address: "near", Zone: "z"}
	farLeaf  = catalog.Leaf{ID: leafID("far"), Service: "x", Address: "far", Zone: "other"}
)

// evenly shares the connections among so many VMs.
func evenly(vms int) func(string) Share { return func(string) Share { return Share{VMs: vms} } }

// A VM that calls a leaf in exceptional cases only opens no connection ahead, one where it needs it, and
// doesn't keep that: its part of the leaf's limit is with those that call it all the time.
func TestRarelyCalledLeaf(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := New(d, "z", prometheus.NewRegistry())
	p.SetLeaves([]catalog.Leaf{nearLeaf}, map[string]int{"x": 30}, func(string) Share { return Share{VMs: 6, Rare: true} })
	is.Equal(len(p.bare(time.Now())), 0)
	_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	is.NoErr(err)
	is.Equal(d.count("near"), 1)
	free, open := p.Free(leafID("near"))
	is.True(free && open)
	p.closeAll(p.unused(time.Now().Add(farIdle / 2)))
	is.True(!d.conns[0].closed)
	p.closeAll(p.unused(time.Now().Add(2 * farIdle)))
	is.True(d.conns[0].closed)
}

// newPool has both leaves, of which a fleet of the size shares 30 connections each.
func newPool(d *fakeDialer, vms int) *Pool {
	p := New(d, "z", prometheus.NewRegistry())
	p.started, p.turn = p.started.Add(-youngFor), 0 // as after the first seconds
	p.SetLeaves([]catalog.Leaf{nearLeaf, farLeaf}, map[string]int{"x": 30}, evenly(vms))
	return p
}

func TestConnectionIsUsedAgain(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 6)
	for range 5 {
		_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
		is.NoErr(err)
	}
	is.Equal(d.count("near"), 1)
	free, open := p.Free(leafID("near"))
	is.True(free && open)
	d.conns[0].alive = false
	_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	is.NoErr(err)
	is.Equal(d.count("near"), 2)
	is.True(d.conns[0].closed)
	_, err = p.Do(t.Context(), leafID("unknown"), &leafcall.Request{})
	is.True(err != nil)
}

// All VMs together stay below a leaf's limit, with room for connections that it still counts of VMs
// that are gone.
func TestPartOfTheLimit(t *testing.T) {
	for vms, want := range map[int]int{1: 4, 6: 4, 8: 3, 9: 2, 12: 2, 24: 1, 61: 1} {
		is := is.New(t)
		p := newPool(newDialer(), vms)
		is.Equal(p.most(nearLeaf), want)
		is.True(vms > 24 || vms*want <= 24)
	}
}

func TestBusyConnections(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 24)
	c, e, fresh, err := p.take(t.Context(), leafID("near"))
	is.NoErr(err)
	is.True(fresh)
	free, _ := p.Free(leafID("near"))
	is.True(!free)
	_, err = p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	var full *leafcall.Error
	is.True(errors.As(err, &full))
	is.Equal(full.Cause, leafcall.ConnectionFull)
	is.True(!full.Sent)
	p.give(e, c, true, true)
	free, _ = p.Free(leafID("near"))
	is.True(free)
}

// Where a VM may have one connection to a leaf, only those of the own zone are opened ahead, and far
// ones end soon after their use; with more room all are opened and kept.
func TestConnectionsAhead(t *testing.T) {
	for name, tt := range map[string]struct {
		vms       int
		far, kept int
	}{"roomy": {6, 1, 1}, "tight": {61, 0, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(newDialer(), tt.vms)
			now := time.Now()
			bare := p.bare(now)
			is.Equal(len(bare), 1+tt.far)
			is.Equal(len(p.bare(now)), 0) // they are being opened
			openEach(t, p, bare)
			_, err := p.Do(t.Context(), leafID("far"), &leafcall.Request{})
			is.NoErr(err)
			is.Equal(len(p.unused(time.Now())), 0)
			is.Equal(len(p.unused(time.Now().Add(2*farIdle))), 1-tt.kept)
			is.Equal(p.leaves[leafID("near")].open, 1)
			is.Equal(p.leaves[leafID("far")].open, tt.kept)
		})
	}
}

// openAhead opens the connections that are due ahead, and returns how many.
func openAhead(t *testing.T, p *Pool, now time.Time) int {
	bare := p.bare(now)
	openEach(t, p, bare)
	return len(bare)
}

// openEach opens a connection to each of the leaves that bare returned.
func openEach(t *testing.T, p *Pool, bare []*peer) {
	t.Helper()
	for _, e := range bare {
		c, err := p.dial(t.Context(), e)
		if err != nil {
			t.Fatal(err)
		}
		p.give(e, c, true, false)
	}
}

// endAll lets the leaves end all connections.
func (d *fakeDialer) endAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.alive = false
	}
}

// Leaves end idle connections after some seconds. A VM that has seen calls opens anew those that carried one; before
// its first call it keeps one to each leaf. The others wait for a call.
func TestUnusedConnectionIsNotOpenedAgain(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 6)
	now := time.Now()
	is.Equal(openAhead(t, p, now), 2)
	d.endAll()
	now = now.Add(10 * time.Second)
	is.Equal(len(p.unused(now)), 2)
	is.Equal(openAhead(t, p, now), 2) // no call so far

	_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	is.NoErr(err)
	d.endAll()
	now = now.Add(10 * time.Second)
	is.Equal(len(p.unused(now)), 2)
	is.Equal(openAhead(t, p, now), 1)
	is.Equal(d.count("far"), 2)

	_, err = p.Do(t.Context(), leafID("far"), &leafcall.Request{})
	is.NoErr(err)
	d.endAll()
	now = now.Add(10 * time.Second)
	is.Equal(len(p.unused(now)), 2)
	is.Equal(openAhead(t, p, now), 1) // far again, near was not used
	is.Equal(d.count("far"), 4)
}

// A leaf at its limit ends a connection that was opened ahead, too: the next one is opened a second later, not at
// the next look.
func TestLeafAtItsLimitIsNotOpenedAheadAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 6)
	now := time.Now()
	is.Equal(openAhead(t, p, now), 2)
	d.endAll()
	now = now.Add(openPeriod)
	is.Equal(len(p.unused(now)), 2)
	is.Equal(openAhead(t, p, now), 0)
	is.Equal(openAhead(t, p, now.Add(retryDial)), 2)
}

// VMs that started together and are young no more don't open their connections to the leaves of other zones at once.
func TestConnectionsOfALargeFleetAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const vms = 300
		var fleet []*Pool
		for range vms {
			p := New(newDialer(), "z", prometheus.NewRegistry())
			p.SetLeaves([]catalog.Leaf{farLeaf}, map[string]int{"x": 1800}, evenly(vms))
			fleet = append(fleet, p)
		}
		opened, most := 0, 0
		for range int((youngFor+vms*openSpacing)/openPeriod) + 1 {
			time.Sleep(openPeriod)
			now := 0
			for _, p := range fleet {
				now += openAhead(t, p, time.Now())
			}
			opened, most = opened+now, max(most, now)
		}
		is.Equal(opened, vms)
		is.True(most < 2*int(openPeriod/openSpacing)) // of 42 in a period
	})
}

// A leaf at its limit resets what is new: it is left alone for a moment, so that calls go elsewhere
// without being sent.
func TestLeafAtItsLimit(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	d.end = &leafcall.Error{Cause: leafcall.ConnectionLost, Sent: true}
	p := newPool(d, 6)
	_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	is.True(err != nil)
	free, _ := p.Free(leafID("near"))
	is.True(!free)
	_, err = p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	var full *leafcall.Error
	is.True(errors.As(err, &full))
	is.True(!full.Sent)
	is.Equal(d.count("near"), 1)
	time.Sleep(refusedFor)
	free, _ = p.Free(leafID("near"))
	is.True(free)
}

func TestFailedOpeningIsNotCounted(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	d.fail = &leafcall.Error{Cause: leafcall.NoConnection}
	p := newPool(d, 6)
	for range 10 {
		_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
		is.True(err != nil)
	}
	is.Equal(p.leaves[leafID("near")].open, 0)
	is.Equal(len(p.bare(time.Now())), 1) // only the other one: it has just failed here
}

func TestLeafThatIsGone(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 6)
	_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	is.NoErr(err)
	c, e, _, err := p.take(t.Context(), leafID("far"))
	is.NoErr(err)
	p.SetLeaves(nil, nil, evenly(6))
	is.True(d.conns[0].closed)
	is.Equal(len(p.leaves), 1) // a call is in flight at the other
	p.give(e, c, true, true)
	is.True(d.conns[1].closed)
	is.Equal(len(p.leaves), 0)
}

// A leaf that starts again under its id has none of the connections of before: those at rest are closed at once,
// those in use with their call, and neither counts toward what the new start may have. The same holds where a
// leaf that doesn't tell its start shows up at another address.
func TestConnectionsStayWithOneStart(t *testing.T) {
	for name, again := range map[string]catalog.Leaf{
		"same address":   {ID: catalog.LeafID{Name: "near", StartMillis: 2}, Service: "x", Address: "near", Zone: "z"},
		"other address":  {ID: catalog.LeafID{Name: "near", StartMillis: 2}, Service: "x", Address: "other", Zone: "z"},
		"no start given": {ID: leafID("near"), Service: "x", Address: "other", Zone: "z"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDialer()
			p := newPool(d, 24)
			first := nearLeaf
			first.ID.StartMillis = min(again.ID.StartMillis, 1)
			set := func(l catalog.Leaf) {
				p.SetLeaves([]catalog.Leaf{l}, map[string]int{"x": 30}, func(string) Share { return Share{VMs: 6} })
			}
			set(first)
			used, e, _, err := p.take(t.Context(), first.ID)
			is.NoErr(err)
			_, err = p.Do(t.Context(), first.ID, &leafcall.Request{})
			is.NoErr(err)
			set(again)
			is.True(!d.conns[0].closed) // in use
			is.True(d.conns[1].closed)
			_, open := p.Free(again.ID)
			is.True(!open)
			_, err = p.Do(t.Context(), again.ID, &leafcall.Request{})
			is.NoErr(err)
			is.Equal(len(d.conns), 3)
			p.give(e, used, true, true)
			is.True(d.conns[0].closed)
			is.Equal(p.leaves[again.ID].open, 1)
			is.Equal(len(p.leaves), 1)
		})
	}
}

// Right after its start a VM leaves room for the others: a leaf may still count the connections of VMs that lost
// power with it.
func TestYoungVMHasFewConnections(t *testing.T) {
	is := is.New(t)
	p := newPool(newDialer(), 6)
	p.started = time.Now()
	is.Equal(p.most(nearLeaf), youngMost)
	is.Equal(len(p.bare(time.Now())), 1) // the one in the own zone
	p.started = time.Now().Add(-youngFor)
	is.True(p.most(nearLeaf) > youngMost)
}

// A VM that doesn't know the fleet yet opens no connection ahead: of 295 that start together 280 hand their searches
// over, and would open one to each leaf of their zone before they know it.
func TestNoConnectionsAheadBeforeTheFleetIsKnown(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 6)
	unsettled := true
	p.SetLeaves([]catalog.Leaf{nearLeaf, farLeaf}, map[string]int{"x": 30}, func(string) Share { return Share{VMs: 6, Unsettled: unsettled} })
	is.Equal(len(p.bare(time.Now())), 0)
	_, err := p.Do(t.Context(), nearLeaf.ID, &leafcall.Request{})
	is.NoErr(err) // what is needed is opened
	unsettled = false
	is.True(len(p.bare(time.Now())) > 0)
}
