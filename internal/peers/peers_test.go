package peers

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/notify"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// network connects managers in memory. Addresses that are cut don't answer.
type network struct {
	mu   sync.Mutex
	vms  map[string]*Manager
	cut  map[string]bool
	sent map[string]int
	// itemsSent counts the items in requests and answers, crashesSent the crashes.
	itemsSent, crashesSent int
	// underWay counts the exchanges from one address to another that have not ended, mostUnderWay is the most there were.
	underWay     map[link]int
	mostUnderWay int
	// exchangesAcrossZones counts the exchanges between zones, itemsAcrossZones the items in them.
	exchangesAcrossZones, itemsAcrossZones int
	// sentWithinZone and sentAcrossZones count the items that each VM sent to VMs of its own zone and of other
	// zones.
	sentWithinZone, sentAcrossZones map[string]int
	// delay of each exchange.
	delay time.Duration
	// cutZone is cut off from the others; empty for none.
	cutZone string
}

func newNetwork() *network {
	return &network{vms: make(map[string]*Manager), cut: make(map[string]bool), sent: make(map[string]int), sentWithinZone: make(map[string]int), sentAcrossZones: make(map[string]int), underWay: make(map[link]int)}
}

type link struct {
	n        *network
	from, to string
}

func (l link) Exchange(_ context.Context, req *pb.FleetExchange) (*pb.FleetExchange, error) {
	l.n.mu.Lock()
	peer, cut := l.n.vms[l.to], l.n.cut[l.to] || l.n.cut[l.from]
	l.n.sent[l.to] += len(req.GetItems())
	l.n.underWay[l]++
	l.n.mostUnderWay = max(l.n.mostUnderWay, l.n.underWay[l])
	far := peer != nil && peer.cfg.Zone != req.GetSender().GetZone()
	sentBy := l.n.sentWithinZone
	if far {
		sentBy = l.n.sentAcrossZones
		l.n.exchangesAcrossZones++
	}
	sentBy[l.from] += len(req.GetItems())
	delay := l.n.delay
	cut = cut || far && (peer.cfg.Zone == l.n.cutZone || req.GetSender().GetZone() == l.n.cutZone)
	l.n.mu.Unlock()
	defer func() {
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		l.n.underWay[l]--
	}()
	if peer == nil || cut {
		return nil, errors.New("no answer")
	}
	time.Sleep(delay)
	got := peer.Answer(req)
	l.n.mu.Lock()
	l.n.crashesSent += len(got.GetCrashes()) + len(req.GetCrashes())
	l.n.itemsSent += len(got.GetItems()) + len(req.GetItems())
	sentBy[l.to] += len(got.GetItems())
	if far {
		l.n.itemsAcrossZones += len(got.GetItems()) + len(req.GetItems())
	}
	l.n.mu.Unlock()
	return got, nil
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// vm adds a VM to the network.
func (n *network) vm(address, zone string, incarnation uint64, seeds ...string) (*Manager, *mirror.Mirror) {
	changed := notify.New()
	mi := mirror.New(changed)
	m := New(Config{
		Self: address, Zone: zone, Incarnation: incarnation, Seeds: func() []string { return seeds }, Mirror: mi, Changed: changed,
		Evidence: replica.New(), Dial: func(to string) Client { return link{n, address, to} },
		Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	n.mu.Lock()
	n.vms[address] = m
	n.mu.Unlock()
	return m, mi
}

// within waits until ok holds, and fails the test if that takes longer than d.
func within(t *testing.T, d time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(d); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", d, what)
		}
	}
}

// waitForFullMembership waits until each of the VMs knows all others.
func waitForFullMembership(t *testing.T, d time.Duration, vms []*Manager) {
	t.Helper()
	within(t, d, "each VM knows all others", func() bool {
		return !slices.ContainsFunc(vms, func(m *Manager) bool { return m.LiveCount() < len(vms)-1 })
	})
}

func item(revision uint64) mirror.Delta {
	return mirror.Delta{
		Items:        []mirror.Item{{Key: "op/config", Revision: revision, Value: []byte(fmt.Sprint(revision))}},
		CompleteFrom: 0, CompleteTo: revision, Full: true,
	}
}

// A change that one VM reads reaches the whole fleet in far less than the second that it may take, though each VM
// knows only one seed at its start.
func TestUpdatesReachAllVMs(t *testing.T) {
	defer goleak.VerifyNone(t)
	n := newNetwork()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var copies []*mirror.Mirror
	var vms []*Manager
	for i := range 30 {
		m, mi := n.vm(fmt.Sprintf("vm%d", i), fmt.Sprintf("z%d", i%3), 1, "vm0")
		vms, copies = append(vms, m), append(copies, mi)
		wg.Go(func() { _ = m.Run(ctx) })
	}
	waitForFullMembership(t, 10*time.Second, vms)
	begun := time.Now()
	copies[7].Merge(item(5), begun)
	within(t, 2*time.Second, "all have the change", func() bool {
		for _, c := range copies {
			if c.CompleteTo() < 5 {
				return false
			}
		}
		return true
	})
	t.Logf("after %v", time.Since(begun))
}

// runLargeFleet runs 48 VMs in 4 zones, two larger ones in each, until the test ends. It returns once each VM knows
// all others.
func runLargeFleet(t *testing.T, n *network) (vms []*Manager, copies []*mirror.Mirror) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	const size, zones = 48, 4
	for i := range size {
		m, mi := n.vm(fmt.Sprintf("vm%d", i), fmt.Sprintf("z%d", i%zones), 1, "vm0", "vm9", "vm18")
		m.self.Millicores = 192
		if i < 2*zones {
			m.self.Millicores = 800
		}
		vms, copies = append(vms, m), append(copies, mi)
	}
	for _, m := range vms {
		wg.Go(func() { _ = m.Run(ctx) })
	}
	waitForFullMembership(t, 15*time.Second, vms)
	return vms, copies
}

// In a large fleet few exchanges cross zones, where traffic is expensive, and updates still reach all VMs.
func TestFewExchangesCrossZones(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	vms, copies := runLargeFleet(t, n)
	crossed := func() int {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.exchangesAcrossZones
	}
	before := crossed()
	const span = 4
	for i := range span {
		begun := time.Now()
		copies[17].Merge(item(uint64(5+i)), begun)
		within(t, time.Second, "all have the change", func() bool {
			for _, c := range copies {
				if c.CompleteTo() < uint64(5+i) {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Until(begun.Add(time.Second)))
	}
	rate := float64(crossed()-before) / span
	t.Logf("%.1f exchanges a second cross zones", rate)
	is.True(rate < 45) // 102 if all VMs exchange with other zones, most with lists of all members
	for _, m := range vms {
		is.Equal(m.LiveCount(), len(vms)-1) // no VM was counted as silent
	}
}

// If the larger VMs of a zone are lost, the others bring its updates to the fleet.
func TestUpdatesReachAllWithoutGateways(t *testing.T) {
	n := newNetwork()
	_, copies := runLargeFleet(t, n)
	for _, gateway := range []string{"vm1", "vm5"} { // of z1
		n.setCut(gateway, true)
	}
	copies[17].Merge(item(5), time.Now())
	within(t, 5*time.Second, "all but those cut off have the change", func() bool {
		for i, c := range copies {
			if i != 1 && i != 5 && c.CompleteTo() < 5 {
				return false
			}
		}
		return true
	})
}

func TestCutVMCatchesUp(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	a, copyA := n.vm("a", "z", 1, "a", "b")
	b, copyB := n.vm("b", "z", 1, "a", "b")
	wg.Go(func() { _ = a.Run(ctx) })
	wg.Go(func() { _ = b.Run(ctx) })
	within(t, time.Second, "a and b know each other", func() bool { return a.LiveCount() == 1 && b.LiveCount() == 1 })
	n.setCut("b", true)
	within(t, 2*silenceRounds*exchangeInterval, "a counts b as silent", func() bool { return a.LiveCount() == 0 })
	copyA.Merge(item(9), time.Now())
	is.Equal(copyB.CompleteTo(), uint64(0))
	n.setCut("b", false)
	within(t, 3*time.Second, "b catches up", func() bool { return copyB.CompleteTo() == 9 })
}

// A VM that starts at the address of one that had the state must not count as complete.
func TestNewIncarnationGetsFullState(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	a, copyA := n.vm("a", "z", 1)
	old, copyOld := n.vm("b", "z", 1)
	copyA.Merge(item(5), time.Now())
	a.exchange(t.Context(), "b", false)
	is.Equal(copyOld.CompleteTo(), uint64(5))
	is.Equal(old.LiveCount(), 1)
	_, copyNew := n.vm("b", "z", 2)
	copyA.Merge(mirror.Delta{Items: []mirror.Item{{Key: "x", Revision: 6}}, CompleteFrom: 5, CompleteTo: 6}, time.Now())
	a.exchange(t.Context(), "b", false)
	is.True(copyNew.CompleteTo() != 6 || len(copyNew.State(time.Now())[0].Items) == 2)
	a.exchange(t.Context(), "b", false)
	is.Equal(copyNew.CompleteTo(), uint64(6))
	is.Equal(len(copyNew.State(time.Now())[0].Items), 2)
}

// A VM that hears of a deletion late, from another VM, counts it from when it may have happened, and goes by the latest such time
// that it hears of. It learns when the store was last read, too.
func TestDeletionsKeepTheirDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		a, copyA := n.vm("a", "z", 1)
		_, copyB := n.vm("b", "z", 1)
		deleted := func(since time.Time) mirror.Delta {
			return mirror.Delta{Items: []mirror.Item{{Key: "k", Revision: 6, Deleted: true, DeletedSince: since}}, CompleteFrom: 5, CompleteTo: 6, ReadAt: time.Now()}
		}
		for _, m := range []*mirror.Mirror{copyA, copyB} {
			m.Merge(item(5), time.Now())
		}
		a.exchange(t.Context(), "b", false)
		begun := time.Now()
		copyA.Merge(deleted(begun), begun)
		time.Sleep(2 * time.Second)
		a.exchange(t.Context(), "b", false)
		dateAtB := func() time.Time {
			for _, it := range copyB.State(time.Now())[0].Items {
				if it.Deleted {
					return it.DeletedSince
				}
			}
			return time.Time{}
		}
		is.Equal(dateAtB(), begun)
		_, readAt := copyB.LastRead()
		is.Equal(readAt, begun)
		later := begun.Add(time.Second)
		is.True(copyB.Merge(deleted(later), time.Now()))
		is.Equal(dateAtB(), later)
		is.True(!copyB.Merge(deleted(begun), time.Now()))
		is.Equal(dateAtB(), later)
	})
}

// A peer gets nothing that it already has, even in the first exchange.
func TestOnlyDifferencesAreSent(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	a, copyA := n.vm("a", "z", 1)
	_, copyB := n.vm("b", "z", 1)
	copyA.Merge(item(5), time.Now())
	copyB.Merge(item(5), time.Now())
	for range 5 {
		a.exchange(t.Context(), "b", false)
	}
	is.Equal(n.sent["b"], 0)
}

// Old progress of a peer, as after a partition or in a fleet in which two VMs seldom exchange, is no reason to send
// it everything that has changed since: it may have that from others.
func TestStaleProgressIsRefreshed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		a, copyA := n.vm("a", "z", 1)
		_, copyB := n.vm("b", "z", 1)
		copyA.Merge(large(5), time.Now())
		a.exchange(t.Context(), "b", false)
		is.Equal(copyB.CompleteTo(), uint64(5))
		before := n.itemsSent
		time.Sleep(progressMaxAge)
		copyA.Merge(large(9), time.Now())
		copyB.Merge(large(9), time.Now()) // from another VM
		a.exchange(t.Context(), "b", false)
		is.Equal(n.itemsSent, before)
		copyA.Merge(large(12), time.Now())
		a.exchange(t.Context(), "b", false) // the progress is recent now
		is.Equal(copyB.CompleteTo(), uint64(12))
		is.Equal(n.sent["b"], 2)
		time.Sleep(progressMaxAge)
		copyA.Merge(large(15), time.Now())
		a.exchange(t.Context(), "b", false) // it is asked first and then gets the items
		is.Equal(copyB.CompleteTo(), uint64(15))
	})
}

// A large change is announced, and each VM requests it from one peer, so that about one copy goes to each VM.
func TestLargeUpdateIsSentOnce(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	const vms = 20
	var copies []*mirror.Mirror
	var all []*Manager
	for i := range vms {
		m, mi := n.vm(fmt.Sprintf("vm%d", i), "z", 1, "vm0")
		copies, all = append(copies, mi), append(all, m)
		wg.Go(func() { _ = m.Run(ctx) })
	}
	waitForFullMembership(t, 10*time.Second, all)
	time.Sleep(2 * exchangeInterval) // each has reported its progress to others
	d := item(5)
	d.Items[0].Value = make([]byte, 50<<10)
	copies[3].Merge(d, time.Now())
	within(t, 2*time.Second, "all have the change", func() bool {
		for _, c := range copies {
			if c.CompleteTo() < 5 {
				return false
			}
		}
		return true
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	t.Logf("%d copies sent", n.itemsSent)
	is.True(n.itemsSent < 3*vms/2) // 37 if all is sent at once
}

func TestZoneStoreContact(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	a, _ := n.vm("a", "z", 1)
	b, _ := n.vm("b", "z", 1)
	c, _ := n.vm("c", "other", 1)
	now := time.Now()
	_, contact := a.ZoneStatus(now)
	is.True(contact > time.Hour)
	c.RecordStoreContact(now)
	c.exchange(t.Context(), "a", false)
	members, contact := a.ZoneStatus(now)
	is.Equal(members, []string{"a"})
	is.True(contact > time.Hour) // another zone's contact is of no use when the zones are partitioned
	b.RecordStoreContact(now.Add(-time.Second))
	b.exchange(t.Context(), "a", false)
	members, contact = a.ZoneStatus(now)
	is.Equal(len(members), 2)
	is.True(contact > 900*time.Millisecond && contact < 2*time.Second)
	b.Leave()
	b.exchange(t.Context(), "a", false)
	members, _ = a.ZoneStatus(now)
	is.Equal(members, []string{"a"})
}

func TestCrashesAreReported(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	a, _ := n.vm("a", "z", 1)
	b, _ := n.vm("b", "z", 1)
	now := time.Now()
	a.ReportCrash(Crash{Digest: 7, Leaf: catalog.LeafID{Name: "i-1"}, At: now})
	a.ReportCrash(Crash{Digest: 7, Leaf: catalog.LeafID{Name: "i-2"}, At: now})
	b.ReportCrash(Crash{Digest: 7, Leaf: catalog.LeafID{Name: "i-2"}, At: now}) // the same crash
	a.exchange(t.Context(), "b", false)
	is.Equal(len(a.Crashes(7, now.Add(-time.Minute))), 2)
	is.Equal(len(b.Crashes(7, now.Add(-time.Minute))), 2)
	is.Equal(len(b.Crashes(7, now.Add(time.Minute))), 0)
	is.Equal(len(b.Crashes(8, now.Add(-time.Minute))), 0)
}

// A crash that some VMs had dropped came back from those that were about to, was news again, and went round for ever: in a
// run of the soak fifty exchanges at a time waited at a VM.
func TestDroppedCrashesDoNotComeBack(t *testing.T) {
	for name, tt := range map[string]struct {
		age, answered time.Duration // ago; 0 for never
		unconfirmed   bool
		crashes       int
		taken         bool
	}{
		"fresh":                     {age: time.Second, unconfirmed: true, crashes: 2, taken: true},
		"unconfirmed, old":          {age: unconfirmedRetention + time.Second, unconfirmed: true, crashes: 2},
		"confirmed, old":            {age: crashRetention + time.Second, crashes: 2},
		"many, as old":              {age: crashRetention + time.Second, crashes: 3, taken: true},
		"many, older":               {age: longRetention + time.Second, crashes: 3},
		"answered a moment ago":     {age: 20 * time.Second, answered: time.Second, crashes: 2, taken: true},
		"answered some seconds ago": {age: 20 * time.Second, answered: answeredRetention + time.Second, crashes: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork()
			a, _ := n.vm("a", "z", 1)
			b, _ := n.vm("b", "z", 1)
			now := time.Now()
			for i := range tt.crashes {
				b.ReportCrash(Crash{Digest: 7, Leaf: catalog.LeafID{Name: fmt.Sprint(i)}, At: now.Add(-tt.age), Unconfirmed: tt.unconfirmed})
			}
			if tt.answered > 0 {
				refuteAll(b, 7, now.Add(-tt.answered))
			}
			events := a.localEvents.Epoch()
			b.exchange(t.Context(), "a", false)
			is.Equal(len(a.Suspects()) > 0, tt.taken)
			is.Equal(a.localEvents.Epoch() > events, tt.taken)
			events = a.localEvents.Epoch()
			b.exchange(t.Context(), "a", false)
			is.Equal(a.localEvents.Epoch(), events) // no news any more
		})
	}
}

// Word of a second crash was lost that was reported while the first was being sent: a copy of the request 150 ms later at
// another VM ended one more leaf.
func TestCrashReportedDuringAPushIsPushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		var vms []*Manager
		for i := range 4 {
			m, _ := n.vm(fmt.Sprintf("vm%d", i), "z", 1, "vm0")
			vms = append(vms, m)
			wg.Go(func() { _ = m.Run(ctx) })
		}
		time.Sleep(3 * time.Second)
		for digest := range uint64(20) {
			vms[0].ReportCrash(Crash{Digest: 2 * digest, Leaf: catalog.LeafID{Name: "i-1"}, At: time.Now()})
			time.Sleep(time.Millisecond)
			vms[0].ReportCrash(Crash{Digest: 2*digest + 1, Leaf: catalog.LeafID{Name: "i-1"}, At: time.Now()})
			time.Sleep(2 * minPushInterval)
			for _, m := range vms {
				is.Equal(len(m.Crashes(2*digest+1, time.Now().Add(-time.Minute))), 1)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// In a large fleet word of crashes went with the exchanges of each VM's turn only, for seconds.
func TestCrashesReachALargeFleet(t *testing.T) {
	n := newNetwork()
	vms, _ := runLargeFleet(t, n)
	for i, leaf := range []string{"i-1", "i-2", "i-3"} {
		vms[3*i].ReportCrash(Crash{Digest: 7, Leaf: catalog.LeafID{Name: leaf}, At: time.Now()})
		time.Sleep(50 * time.Millisecond)
	}
	within(t, 800*time.Millisecond, "all VMs know of three crashes", func() bool {
		return !slices.ContainsFunc(vms, func(m *Manager) bool { return len(m.Crashes(7, time.Now().Add(-time.Minute))) < 3 })
	})
	refuteAll(vms[5], 7, time.Now())
	within(t, 800*time.Millisecond, "all VMs know of the answer", func() bool {
		return !slices.ContainsFunc(vms, func(m *Manager) bool { return len(m.Crashes(7, time.Now().Add(-time.Minute))) > 0 })
	})
}

// An answer at one VM clears the request at all VMs, and a crash after it counts again.
func TestAnswerIsReported(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	a, _ := n.vm("a", "z", 1)
	b, _ := n.vm("b", "z", 1)
	now := time.Now()
	since := now.Add(-time.Minute)
	a.ReportCrash(Crash{Digest: 7, Leaf: catalog.LeafID{Name: "i-1"}, At: now.Add(-2 * time.Second)})
	a.exchange(t.Context(), "b", false)
	is.Equal(len(b.Crashes(7, since)), 1)
	refuteAll(b, 7, now.Add(-time.Second))
	refuteAll(b, 8, now)
	b.exchange(t.Context(), "a", false)
	is.Equal(len(a.Crashes(7, since)), 0)
	is.Equal(len(b.Crashes(7, since)), 0)
	a.ReportCrash(Crash{Digest: 7, Leaf: catalog.LeafID{Name: "i-2"}, At: now})
	a.exchange(t.Context(), "b", false)
	is.Equal(len(b.Crashes(7, since)), 1)
	is.Equal(b.Suspects(), []uint64{7})
}

// An answer at one VM lets the request be sent as any other at all VMs, and its crashes still count. Of the copies at a leaf,
// the longest run is kept, whichever VM tells it first.
func TestCrashIsOutlivedAtAllVMs(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	a, _ := n.vm("a", "z", 1)
	b, _ := n.vm("b", "z", 1)
	now := time.Now()
	leaf := catalog.LeafID{Name: "i-1"}
	a.ReportCrash(Crash{Digest: 7, Leaf: leaf, At: now, Ran: 5 * time.Millisecond})
	b.ReportCrash(Crash{Digest: 7, Leaf: leaf, At: now, Ran: 70 * time.Millisecond})
	a.exchange(t.Context(), "b", false)
	b.ReportAnswer(7)
	b.exchange(t.Context(), "a", false)
	for _, m := range []*Manager{a, b} {
		crashes := m.Crashes(7, now.Add(-time.Minute))
		is.Equal(len(crashes), 1)
		is.True(crashes[0].Outlived)
		is.Equal(crashes[0].Ran, 70*time.Millisecond)
	}
}

// Each exchange dates an answer later by the time that it takes, and VMs keep the latest date that they hear of. So an old
// answer passes the crashes after it, and clears a request that crashes leaves.
func TestAnswerDoesNotPassLaterCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		n.delay = 5 * time.Millisecond
		a, _ := n.vm("a", "z", 1)
		b, _ := n.vm("b", "z", 1)
		now := time.Now()
		a.ReportCrash(Crash{Digest: 7, Leaf: catalog.LeafID{Name: "i-0"}, At: now.Add(-time.Second)})
		refuteAll(a, 7, now)
		for _, leaf := range []string{"i-1", "i-2", "i-3"} {
			a.ReportCrash(Crash{Digest: 7, Leaf: catalog.LeafID{Name: leaf}, At: now.Add(300 * time.Millisecond)})
		}
		time.Sleep(300 * time.Millisecond)
		for range 200 { // ten seconds of exchanges
			a.exchange(t.Context(), "b", false)
			b.exchange(t.Context(), "a", false)
			time.Sleep(40 * time.Millisecond)
		}
		is.Equal(len(a.Crashes(7, now.Add(-time.Minute))), 3)
		is.Equal(len(b.Crashes(7, now.Add(-time.Minute))), 3)
	})
}

// A crash that one VM could not confirm is confirmed by another, and dropped if none does.
func TestUnconfirmedCrashes(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	a, _ := n.vm("a", "z", 1)
	b, _ := n.vm("b", "z", 1)
	now := time.Now()
	first, second := catalog.LeafID{Name: "i-1"}, catalog.LeafID{Name: "i-2"}
	a.ReportCrash(Crash{Digest: 7, Leaf: first, At: now, Unconfirmed: true})
	a.ReportCrash(Crash{Digest: 7, Leaf: second, At: now, Unconfirmed: true, Repeated: true})
	a.exchange(t.Context(), "b", false)
	b.ReportCrash(Crash{Digest: 7, Leaf: first, At: now, Answered: true})
	b.exchange(t.Context(), "a", false)
	for _, m := range []*Manager{a, b} {
		m.advanceHeartbeat(now.Add(unconfirmedRetention+time.Second), time.Hour)
		got := m.Crashes(7, now.Add(-time.Minute))
		is.Equal(len(got), 1)
		is.Equal(got[0].Leaf, first)
		is.True(got[0].Answered && !got[0].Unconfirmed && !got[0].Repeated)
	}
}

// The evidence against a request that went on coming was dropped two minutes after its crashes, and it ended leaves again.
func TestCrashesOfARequestThatComesAgainAreKept(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	a, _ := n.vm("a", "z", 1)
	b, _ := n.vm("b", "z", 1)
	now := time.Now()
	for _, leaf := range []string{"i-1", "i-2", "i-3"} {
		a.ReportCrash(Crash{Digest: 7, Leaf: catalog.LeafID{Name: leaf}, At: now.Add(-9 * time.Minute)})
	}
	a.ReportCrash(Crash{Digest: 8, Leaf: catalog.LeafID{Name: "i-1"}, At: now.Add(-3 * time.Minute)})
	a.ReportRefusal(7, now)
	a.exchange(t.Context(), "b", false) // a VM that has just started
	for _, m := range []*Manager{a, b} {
		m.advanceHeartbeat(now.Add(9*time.Minute), time.Hour)
		is.Equal(len(m.Crashes(7, now.Add(-time.Minute))), 3)
		is.Equal(m.Suspects(), []uint64{7})
		m.advanceHeartbeat(now.Add(11*time.Minute), time.Hour)
		is.Equal(len(m.Suspects()), 0)
	}
}

// Crashes and troubles belong to one start of a leaf: one that restarts under its id is another leaf.
func TestRestartedLeafIsDistinct(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	a, _ := n.vm("a", "z", 1)
	b, _ := n.vm("b", "z", 1)
	now := time.Now()
	first, second := catalog.LeafID{Name: "i-1", StartMillis: 1000}, catalog.LeafID{Name: "i-1", StartMillis: 2000}
	a.ReportCrash(Crash{Digest: 7, Leaf: first, At: now})
	a.ReportCrash(Crash{Digest: 7, Leaf: second, At: now})
	a.exchange(t.Context(), "b", false)
	is.Equal(len(b.Crashes(7, now.Add(-time.Minute))), 2)

	for _, at := range []catalog.LeafID{first, second} {
		_, call := b.cfg.Evidence.(*replica.Table).Choose(now, "r", time.Millisecond, []replica.Candidate{{ID: at, Slots: 1}})
		call.End(replica.Neutral, now)
	}
	_, call := a.cfg.Evidence.(*replica.Table).Choose(now, "r", time.Millisecond, []replica.Candidate{{ID: first, Slots: 1}})
	call.End(replica.Failed, now)
	a.exchange(t.Context(), "b", false)
	table := b.cfg.Evidence.(*replica.Table)
	from := []replica.Candidate{{ID: first, Slots: 1}, {ID: second, Slots: 1}}
	i, _ := table.Choose(now, "r", time.Millisecond, from)
	is.Equal(from[i].ID, second)
}

// eraItem is a configuration of an era, complete up to its revision.
func eraItem(era, revision uint64, value string) mirror.Delta {
	return mirror.Delta{Era: era, Items: []mirror.Item{{Key: "op/config", Revision: revision, Value: []byte(value)}}, CompleteTo: revision, Full: true}
}

// A VM that was cut off while the store came back from a copy learns of the new era afterwards, though its revision is
// higher, and the others get what only it knew of the era before.
func TestVMThatMissedAReturnFromACopy(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var copies []*mirror.Mirror
	var vms []*Manager
	for i := range 5 {
		m, mi := n.vm(fmt.Sprintf("vm%d", i), fmt.Sprintf("z%d", i%2), 1, "vm0")
		copies, vms = append(copies, mi), append(vms, m)
		wg.Go(func() { _ = m.Run(ctx) })
	}
	waitForFullMembership(t, 5*time.Second, vms)
	copies[0].Merge(eraItem(1, 20, "known to all"), time.Now())
	within(t, time.Second, "all in era 1", func() bool {
		return !slices.ContainsFunc(copies, func(c *mirror.Mirror) bool { return c.Position() != mirror.Position{Era: 1, Revision: 20} })
	})
	n.setCut("vm4", true)
	copies[4].Merge(mirror.Delta{Era: 1, Items: []mirror.Item{{Key: "op/config", Revision: 21, Value: []byte("known to one")}}, CompleteFrom: 20, CompleteTo: 21}, time.Now())
	copies[1].Merge(eraItem(2, 15, "of the copy"), time.Now())
	within(t, time.Second, "the others in era 2", func() bool {
		return !slices.ContainsFunc(copies[:4], func(c *mirror.Mirror) bool { return c.Position() != mirror.Position{Era: 2, Revision: 15} })
	})
	is.Equal(copies[4].Position(), mirror.Position{Era: 1, Revision: 21})
	n.setCut("vm4", false)
	within(t, 5*time.Second, "all know both eras", func() bool {
		return !slices.ContainsFunc(copies, func(c *mirror.Mirror) bool {
			return !slices.Equal(c.Progress(), mirror.Progress{{Era: 2, Revision: 15}, {Era: 1, Revision: 21}})
		})
	})
	for _, c := range copies {
		is.Equal(string(c.State(time.Now())[1].Items[0].Value), "known to one")
	}
}

// A VM whose clock went back before its process started again has a lower incarnation than before. The others took its
// records for old ones, so that it was silent to them for a minute.
func TestRestartAfterTheClockWentBack(t *testing.T) {
	for name, down := range map[string]time.Duration{"at once": 0, "after it counted as silent": 2 * silenceRounds * exchangeInterval} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNetwork()
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			var others []*Manager
			for i := range 3 {
				m, _ := n.vm(fmt.Sprintf("vm%d", i), "z", 7, "vm0")
				others = append(others, m)
				wg.Go(func() { _ = m.Run(ctx) })
			}
			firstCtx, kill := context.WithCancel(ctx)
			first, _ := n.vm("vm3", "z", 7, "vm0")
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = first.Run(firstCtx)
			}()
			waitForFullMembership(t, 5*time.Second, append(others, first))
			kill()
			<-ended
			n.setCut("vm3", true)
			time.Sleep(down)
			n.setCut("vm3", false)
			again, _ := n.vm("vm3", "z", 5, "vm0")
			wg.Go(func() { _ = again.Run(ctx) })
			waitForFullMembership(t, 5*time.Second, append(others, again))
			time.Sleep(2 * silenceRounds * exchangeInterval)
			waitForFullMembership(t, time.Second, append(others, again))
		})
	}
}
