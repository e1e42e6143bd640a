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

// fakeDialer opens fake connections. dialErr is the error of Dial, callErr that of calls on new connections. endNew ends
// new connections at once.
type fakeDialer struct {
	mu      sync.Mutex
	opened  map[string]int
	conns   []*fakeConn
	dialErr error
	callErr error
	endNew  bool
}

func newDialer() *fakeDialer { return &fakeDialer{opened: make(map[string]int)} }

func (d *fakeDialer) Dial(_ context.Context, address string) (leafcall.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened[address]++
	if d.dialErr != nil {
		return nil, d.dialErr
	}
	c := &fakeConn{d: d, alive: !d.endNew, callErr: d.callErr}
	d.conns = append(d.conns, c)
	return c, nil
}

func (d *fakeDialer) count(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened[address]
}

type fakeConn struct {
	d       *fakeDialer
	alive   bool
	closed  bool
	callErr error
	block   chan struct{}
}

func (c *fakeConn) Do(context.Context, *leafcall.Request) (*leafcall.Response, bool, error) {
	if c.block != nil {
		<-c.block
	}
	if c.callErr != nil {
		return nil, false, c.callErr
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

// noLimit is the limit of a process whose descriptors are not known.
func noLimit() int { return 0 }

// Connections to leaves would use up the descriptors that other VMs, the store and the readiness check need. Those that have
// been closed count no more.
func TestConnectionsStayBelowTheProcessLimit(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 6)
	limit := 1
	p.maxOpen = func() int { return limit }
	_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	is.NoErr(err)
	_, err = p.Do(t.Context(), leafID("far"), &leafcall.Request{})
	var failure *leafcall.Error
	is.True(errors.As(err, &failure) && failure.Cause == leafcall.ConnectionFull)
	free, _ := p.Free(leafID("far"))
	is.True(!free)
	is.Equal(len(p.reserveUnconnected(time.Now())), 0)
	d.conns[0].alive = false
	p.closeAll(p.removeUnneeded(time.Now()))
	_, err = p.Do(t.Context(), leafID("far"), &leafcall.Request{})
	is.NoErr(err)
	p.SetLeaves(nil, nil, sharedBy(6))
	is.Equal(p.open, 0)
}

// sharedBy returns the share of one VM in the given number of VMs.
func sharedBy(vms int) func(string) Share { return func(string) Share { return Share{VMs: vms} } }

// A VM that calls a leaf only in exceptional cases opens no connection in advance. It opens one when it needs it
// and does not keep it, because the leaf's limit is planned for the VMs that call it all the time.
func TestOnDemandLeaf(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := New(d, "z", noLimit, prometheus.NewRegistry())
	p.SetLeaves([]catalog.Leaf{nearLeaf}, map[string]int{"x": 30}, func(string) Share { return Share{VMs: 6, OnDemand: true} })
	is.Equal(len(p.reserveUnconnected(time.Now())), 0)
	_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	is.NoErr(err)
	is.Equal(d.count("near"), 1)
	free, open := p.Free(leafID("near"))
	is.True(free && open)
	p.closeAll(p.removeUnneeded(time.Now().Add(onDemandIdleTimeout / 2)))
	is.True(!d.conns[0].closed)
	p.closeAll(p.removeUnneeded(time.Now().Add(2 * onDemandIdleTimeout)))
	is.True(d.conns[0].closed)
}

// newPool returns a pool with both leaves, each with a limit of 30 connections that the given number of VMs share.
func newPool(d *fakeDialer, vms int) *Pool {
	p := New(d, "z", noLimit, prometheus.NewRegistry())
	p.started, p.startupStagger = p.started.Add(-startupPeriod), 0 // after the startup period
	p.SetLeaves([]catalog.Leaf{nearLeaf, farLeaf}, map[string]int{"x": 30}, sharedBy(vms))
	return p
}

func TestConnectionIsReused(t *testing.T) {
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

// All VMs together stay below a leaf's limit, with room for connections of VMs that are gone and that the leaf
// still counts.
func TestQuotaPerLeaf(t *testing.T) {
	for vms, want := range map[int]int{1: 4, 6: 4, 8: 3, 9: 2, 12: 2, 24: 1, 61: 1} {
		is := is.New(t)
		p := newPool(newDialer(), vms)
		is.Equal(p.maxConns(nearLeaf), want)
		is.True(vms > 24 || vms*want <= 24)
	}
}

func TestBusyConnections(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 24)
	c, e, fresh, err := p.acquire(t.Context(), leafID("near"))
	is.NoErr(err)
	is.True(fresh)
	free, _ := p.Free(leafID("near"))
	is.True(!free)
	_, err = p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	var full *leafcall.Error
	is.True(errors.As(err, &full))
	is.Equal(full.Cause, leafcall.ConnectionFull)
	is.True(!full.Sent)
	p.release(e, c, true, true)
	free, _ = p.Free(leafID("near"))
	is.True(free)
}

// With a quota of one connection per leaf only those of the own zone are opened in advance, and those to other
// zones are closed soon after their use. With a larger quota all are opened and kept.
func TestPreopenedConnections(t *testing.T) {
	for name, tt := range map[string]struct {
		vms       int
		far, kept int
	}{"roomy": {6, 1, 1}, "tight": {61, 0, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(newDialer(), tt.vms)
			now := time.Now()
			reserved := p.reserveUnconnected(now)
			is.Equal(len(reserved), 1+tt.far)
			is.Equal(len(p.reserveUnconnected(now)), 0) // they are being opened
			openReserved(t, p, reserved)
			_, err := p.Do(t.Context(), leafID("far"), &leafcall.Request{})
			is.NoErr(err)
			is.Equal(len(p.removeUnneeded(time.Now())), 0)
			is.Equal(len(p.removeUnneeded(time.Now().Add(2*onDemandIdleTimeout))), 1-tt.kept)
			is.Equal(p.leaves[leafID("near")].open, 1)
			is.Equal(p.leaves[leafID("far")].open, tt.kept)
		})
	}
}

// preopen opens the connections that are due in advance and returns their number.
func preopen(t *testing.T, p *Pool, now time.Time) int {
	reserved := p.reserveUnconnected(now)
	openReserved(t, p, reserved)
	return len(reserved)
}

// openReserved opens a connection to each of the leaves that reserveUnconnected returned.
func openReserved(t *testing.T, p *Pool, reserved []*leafConns) {
	t.Helper()
	for _, e := range reserved {
		c, err := p.dial(t.Context(), e)
		if err != nil {
			t.Fatal(err)
		}
		p.release(e, c, true, false)
	}
}

// endAll ends all connections from the leaves' side.
func (d *fakeDialer) endAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.alive = false
	}
}

// Leaves end idle connections after some seconds. A VM that has made calls opens only those again that carried one,
// and the others wait for a call. Before its first call it keeps one connection to each leaf.
func TestUnusedConnectionIsNotReopened(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 6)
	now := time.Now()
	is.Equal(preopen(t, p, now), 2)
	d.endAll()
	now = now.Add(10 * time.Second)
	is.Equal(len(p.removeUnneeded(now)), 2)
	is.Equal(preopen(t, p, now), 2) // no call so far

	_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	is.NoErr(err)
	d.endAll()
	now = now.Add(10 * time.Second)
	is.Equal(len(p.removeUnneeded(now)), 2)
	is.Equal(preopen(t, p, now), 1)
	is.Equal(d.count("far"), 2)

	_, err = p.Do(t.Context(), leafID("far"), &leafcall.Request{})
	is.NoErr(err)
	d.endAll()
	now = now.Add(10 * time.Second)
	is.Equal(len(p.removeUnneeded(now)), 2)
	is.Equal(preopen(t, p, now), 1) // far again, near was not used
	is.Equal(d.count("far"), 4)
}

// A leaf at its limit also ends connections that were opened in advance. The next one is opened a second later, not
// at the next check.
func TestPreopenWaitsAtLeafLimit(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 6)
	now := time.Now()
	is.Equal(preopen(t, p, now), 2)
	d.endAll()
	now = now.Add(preopenInterval)
	is.Equal(len(p.removeUnneeded(now)), 2)
	is.Equal(preopen(t, p, now), 0)
	is.Equal(preopen(t, p, now.Add(preopenRetryDelay)), 2)
}

// VMs that started together do not open their connections to leaves of other zones all at once when their startup
// period ends.
func TestLargeFleetStaggersConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const vms = 300
		var fleet []*Pool
		for range vms {
			p := New(newDialer(), "z", noLimit, prometheus.NewRegistry())
			p.SetLeaves([]catalog.Leaf{farLeaf}, map[string]int{"x": 1800}, sharedBy(vms))
			fleet = append(fleet, p)
		}
		opened, maxPerInterval := 0, 0
		for range int((startupPeriod+vms*startupOpenInterval)/preopenInterval) + 1 {
			time.Sleep(preopenInterval)
			now := 0
			for _, p := range fleet {
				now += preopen(t, p, time.Now())
			}
			opened, maxPerInterval = opened+now, max(maxPerInterval, now)
		}
		is.Equal(opened, vms)
		is.True(maxPerInterval < 2*int(preopenInterval/startupOpenInterval)) // of 42 that are expected in an interval
	})
}

// A leaf at its limit resets new connections. It gets no new one for a short time, so that calls go elsewhere
// without being sent to it.
func TestResetSuspendsNewConnections(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	d.callErr = &leafcall.Error{Cause: leafcall.ConnectionLost, Sent: true}
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
	time.Sleep(resetBackoff)
	free, _ = p.Free(leafID("near"))
	is.True(free)
}

func TestFailedDialIsNotCounted(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	d.dialErr = &leafcall.Error{Cause: leafcall.NoConnection}
	p := newPool(d, 6)
	for range 10 {
		_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
		is.True(err != nil)
	}
	is.Equal(p.leaves[leafID("near")].open, 0)
	is.Equal(len(p.reserveUnconnected(time.Now())), 1) // only the other leaf: dialing this one has just failed
}

func TestRemovedLeaf(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 6)
	_, err := p.Do(t.Context(), leafID("near"), &leafcall.Request{})
	is.NoErr(err)
	c, e, _, err := p.acquire(t.Context(), leafID("far"))
	is.NoErr(err)
	p.SetLeaves(nil, nil, sharedBy(6))
	is.True(d.conns[0].closed)
	is.Equal(len(p.leaves), 1) // a call to the other leaf is in flight
	p.release(e, c, true, true)
	is.True(d.conns[1].closed)
	is.Equal(len(p.leaves), 0)
}

// A leaf that restarts under its id gets none of its earlier connections: idle ones are closed at once, those in
// use after their call, and neither counts toward the quota of the new start. The same holds for a leaf without a
// start time that appears at another address.
func TestRestartedLeafGetsNewConnections(t *testing.T) {
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
			used, e, _, err := p.acquire(t.Context(), first.ID)
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
			p.release(e, used, true, true)
			is.True(d.conns[0].closed)
			is.Equal(p.leaves[again.ID].open, 1)
			is.Equal(len(p.leaves), 1)
		})
	}
}

// Right after its start a VM leaves room for the others, because a leaf may still count the connections of VMs that
// lost power together with it.
func TestYoungVMHasFewConnections(t *testing.T) {
	is := is.New(t)
	p := newPool(newDialer(), 6)
	p.started = time.Now()
	is.Equal(p.maxConns(nearLeaf), startupMaxConns)
	is.Equal(len(p.reserveUnconnected(time.Now())), 1) // the one in the own zone
	p.started = time.Now().Add(-startupPeriod)
	is.True(p.maxConns(nearLeaf) > startupMaxConns)
}

// A VM that does not know the fleet yet opens no connection in advance. Of 295 VMs that start together 280 delegate
// their searches, and would open a connection to each leaf of their zone before they know that.
func TestNoPreopenBeforeFleetIsKnown(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := newPool(d, 6)
	fleetUnknown := true
	p.SetLeaves([]catalog.Leaf{nearLeaf, farLeaf}, map[string]int{"x": 30}, func(string) Share { return Share{VMs: 6, FleetUnknown: fleetUnknown} })
	is.Equal(len(p.reserveUnconnected(time.Now())), 0)
	_, err := p.Do(t.Context(), nearLeaf.ID, &leafcall.Request{})
	is.NoErr(err) // a call still opens a connection
	fleetUnknown = false
	is.True(len(p.reserveUnconnected(time.Now())) > 0)
}
