package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/mirror"
)

// runFiveZones runs five zones of 60 VMs, two larger ones in each, in virtual time. It calls observe every 100 ms
// from the eighth second on.
func runFiveZones(t *testing.T, observe func(now time.Time, vms [][]*Manager)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const zones, perZone, settled, end = 5, 60, 8 * time.Second, 20 * time.Second
		n := newNetwork()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		vms := make([][]*Manager, zones)
		for z := range zones {
			for i := range perZone {
				m, _ := n.vm(fmt.Sprintf("%d-%d", z, i), fmt.Sprintf("zone-%d", z), 1, "0-0", "1-0", "2-0")
				m.self = pb.FleetMember{Address: m.self.Address, Zone: m.self.Zone, Incarnation: 1, Millicores: 192}
				if i < 2 {
					m.self.Millicores = 800
				}
				vms[z] = append(vms[z], m)
				wg.Go(func() {
					time.Sleep(rand.N(400 * time.Millisecond))
					_ = m.Run(ctx)
				})
			}
		}
		begun := time.Now()
		for time.Since(begun) < end {
			time.Sleep(100 * time.Millisecond)
			if time.Since(begun) > settled {
				observe(time.Now(), vms)
			}
		}
		cancel()
		wg.Wait()
	})
}

// A zone's contact with the store is known to all of its VMs before the next reader by rank would take over, so
// that no VM reads beside the first, and no VM counts one of its zone as silent. The first VM reads every 3 s; the
// next one would read after 5.4 s.
func TestLargeFleetLearnsOfStoreContacts(t *testing.T) {
	const every, bound = 3 * time.Second, 5400 * time.Millisecond
	late, unknown, looks := 0, 0, 0
	var oldest time.Duration
	var first time.Time
	var contacts [5]time.Time
	runFiveZones(t, func(now time.Time, vms [][]*Manager) {
		if first.IsZero() {
			first = now
		}
		for z, zone := range vms {
			if now.Sub(contacts[z]) >= every {
				contacts[z] = now
				zone[7].RecordStoreContact(now)
			}
			for _, m := range zone {
				if now.Sub(first) < every {
					continue // no second contact can be known yet
				}
				members, age := m.ZoneStatus(now)
				looks++
				unknown += len(zone) - len(members)
				if age > bound {
					late++
				}
				oldest = max(oldest, age)
			}
		}
	})
	t.Logf("%d checks: %d found the contact older than %v, the oldest %v; %d members counted as silent", looks, late, bound, oldest, unknown)
	if late > looks/100 || unknown > looks/100 {
		t.Fail()
	}
}

// startingFleet is a large fleet whose VMs start and get the platform's full state from each other: 200 KB, which
// cost the sender a millisecond or more. It has five zones of 60 VMs, two larger ones in each. Three of these are
// seeds.
type startingFleet struct {
	n      *network
	vms    []*Manager
	copies []*mirror.Mirror
}

func newStartingFleet() *startingFleet {
	s := &startingFleet{n: newNetwork()}
	s.n.delay = time.Millisecond
	for z := range 5 {
		for i := range 60 {
			m, mi := s.n.vm(fmt.Sprintf("%d-%d", z, i), fmt.Sprintf("zone-%d", z), 1, "0-0", "1-0", "2-0")
			m.self.Millicores = 192
			if i < 2 {
				m.self.Millicores = 800
			}
			s.vms, s.copies = append(s.vms, m), append(s.copies, mi)
		}
	}
	return s
}

// countComplete returns the number of VMs that have the state up to the revision.
func (s *startingFleet) countComplete(revision uint64) int {
	n := 0
	for _, c := range s.copies {
		if c.CompleteTo() >= revision {
			n++
		}
	}
	return n
}

const (
	// copyCPUTime is the CPU time that sending the state of 700 leaves takes (BenchmarkWholeState).
	copyCPUTime = 1300 * time.Microsecond
	// maxSendTime is how long a VM may be busy sending the state: half of the time after which others that wait for
	// an answer count it as lost.
	maxSendTime = 50 * time.Millisecond
	// maxCopiesAcrossZones bounds the copies that cross zones: ten for each zone but the first.
	maxCopiesAcrossZones = 4 * 10
)

// check runs the VMs for three seconds. Those that lack the state must get it within the bound, with few copies
// across zones, and no VM may be busy sending it for long.
func (s *startingFleet) check(t *testing.T, ctx context.Context, wg *sync.WaitGroup, from []*Manager, read func(), bound time.Duration) {
	t.Helper()
	s.n.mu.Lock()
	s.n.itemsAcrossZones, s.n.sentWithinZone, s.n.sentAcrossZones = 0, make(map[string]int), make(map[string]int)
	s.n.mu.Unlock()
	for _, m := range from {
		wg.Go(func() {
			time.Sleep(rand.N(100 * time.Millisecond))
			_ = m.Run(ctx)
		})
	}
	begun := time.Now()
	time.Sleep(80 * time.Millisecond)
	read()
	for ; s.countComplete(1) < len(s.vms); time.Sleep(time.Millisecond) {
		if time.Since(begun) > bound {
			t.Errorf("%d of %d VMs have the state after %v", s.countComplete(1), len(s.vms), bound)
			break
		}
	}
	t.Logf("all have the state after %v", time.Since(begun))
	time.Sleep(time.Until(begun.Add(3 * time.Second)))
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	busiest, longest := "", time.Duration(0)
	for _, m := range s.vms {
		a := m.cfg.Self
		if sendTime := time.Duration(s.n.sentWithinZone[a]+s.n.sentAcrossZones[a]) * copyCPUTime; sendTime > longest {
			busiest, longest = a, sendTime
		}
	}
	t.Logf("%d copies crossed zones; %s was busiest, %v with %d to its own and %d to other zones",
		s.n.itemsAcrossZones, busiest, longest, s.n.sentWithinZone[busiest], s.n.sentAcrossZones[busiest])
	if s.n.itemsAcrossZones > maxCopiesAcrossZones || longest > maxSendTime {
		t.Errorf("more than %d copies across zones, or more than %v of sending by one VM", maxCopiesAcrossZones, maxSendTime)
	}
}

// After a power loss the first VM that reads the store sends the state to a few VMs of each zone, and these to the
// others of their zone. No seed, on which searches wait as well, has to send the state to a third of the fleet.
func TestStartAfterPowerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		s := newStartingFleet()
		s.check(t, ctx, &wg, s.vms, func() { s.copies[0].Merge(large(5), time.Now()) }, 500*time.Millisecond)
		cancel()
		wg.Wait()
		time.Sleep(10 * s.n.delay) // exchanges in flight end
	})
}

// When a fleet doubles, the new VMs get the state from VMs of their own zone, and no VM has to send it to many.
func TestFleetDoubles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		s := newStartingFleet()
		var old, added []*Manager
		for i, m := range s.vms {
			if i%60 < 30 {
				old = append(old, m)
				s.copies[i].Merge(large(5), time.Now())
				continue
			}
			added = append(added, m)
		}
		for _, m := range old {
			wg.Go(func() { _ = m.Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		s.check(t, ctx, &wg, added, func() {}, 500*time.Millisecond)
		cancel()
		wg.Wait()
		time.Sleep(10 * s.n.delay) // exchanges in flight end
	})
}

// large returns a delta with an item that is large enough to be announced first.
func large(revision uint64) mirror.Delta {
	d := item(revision)
	d.Items[0].Value = make([]byte, 50<<10)
	return d
}

// A zone that was cut off gets the missed changes once and relays them: only a few copies cross zones, and no copy
// goes to a VM that has the changes.
func TestReconnectedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		s := newStartingFleet()
		for i, m := range s.vms {
			s.copies[i].Merge(large(5), time.Now())
			wg.Go(func() { _ = m.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		s.n.mu.Lock()
		s.n.cutZone = "zone-4"
		s.n.mu.Unlock()
		s.copies[0].Merge(large(9), time.Now())
		time.Sleep(6 * time.Second)
		s.n.mu.Lock()
		s.n.cutZone = ""
		before, crossed := s.n.itemsSent, s.n.itemsAcrossZones
		s.n.mu.Unlock()
		time.Sleep(3 * time.Second)
		is.Equal(s.countComplete(9), len(s.vms))
		s.n.mu.Lock()
		t.Logf("%d copies, %d across zones", s.n.itemsSent-before, s.n.itemsAcrossZones-crossed)
		is.True(s.n.itemsSent-before <= 2*60) // two to each VM of the zone
		is.True(s.n.itemsAcrossZones-crossed <= maxCopiesAcrossZones)
		s.n.mu.Unlock()
		cancel()
		wg.Wait()
		time.Sleep(10 * s.n.delay) // exchanges in flight end
	})
}

// After the store came back from a copy one VM of a large fleet reads it. All have the new era within a second, though each
// of them needs the whole: few copies cross zones, and no VM is busy sending for long.
func TestLargeFleetLearnsOfAReturnFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		s := newStartingFleet()
		known, restored := large(9), large(5)
		known.Era, restored.Era = 1, 2
		for i, m := range s.vms {
			s.copies[i].Merge(known, time.Now())
			wg.Go(func() { _ = m.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		s.n.mu.Lock()
		s.n.itemsSent, s.n.itemsAcrossZones, s.n.sentWithinZone, s.n.sentAcrossZones = 0, 0, make(map[string]int), make(map[string]int)
		s.n.mu.Unlock()
		begun := time.Now()
		s.copies[0].Merge(restored, begun)
		for ; s.countInEra(2) < len(s.vms) && time.Since(begun) < time.Second; time.Sleep(time.Millisecond) {
		}
		t.Logf("%d of %d VMs have the era after %v", s.countInEra(2), len(s.vms), time.Since(begun))
		is.Equal(s.countInEra(2), len(s.vms))
		time.Sleep(3 * time.Second)
		s.n.mu.Lock()
		busiest := 0
		for _, m := range s.vms {
			busiest = max(busiest, s.n.sentWithinZone[m.cfg.Self]+s.n.sentAcrossZones[m.cfg.Self])
		}
		t.Logf("%d copies, %d across zones, %d by the busiest VM", s.n.itemsSent, s.n.itemsAcrossZones, busiest)
		is.True(s.n.itemsSent <= 2*len(s.vms))
		is.True(s.n.itemsAcrossZones <= maxCopiesAcrossZones)
		is.True(time.Duration(busiest)*copyCPUTime <= maxSendTime)
		s.n.mu.Unlock()
		cancel()
		wg.Wait()
		time.Sleep(10 * s.n.delay) // exchanges in flight end
	})
}

// countInEra returns the number of VMs that know the whole of the era.
func (s *startingFleet) countInEra(era uint64) int {
	n := 0
	for _, c := range s.copies {
		if at := c.Position(); at.Era >= era && at.Revision > 0 {
			n++
		}
	}
	return n
}
