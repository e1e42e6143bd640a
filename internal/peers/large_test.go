package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// zonesOfSixty runs five zones of 60 VMs, two strong ones in each, in virtual time, and calls look each 100 ms from
// the eighth second on.
func zonesOfSixty(t *testing.T, look func(now time.Time, vms [][]*Manager)) {
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
				look(time.Now(), vms)
			}
		}
		cancel()
		wg.Wait()
	})
}

// Word of a zone's contact with the store is as young at all of its VMs as the next reader by rank waits for, so
// that no other one reads beside the first; and none takes a VM of its zone for gone. The first one reads each 3 s,
// the next one would after 5.4 s.
func TestLargeFleetHearsOfContacts(t *testing.T) {
	const every, bound = 3 * time.Second, 5400 * time.Millisecond
	late, unknown, looks := 0, 0, 0
	var oldest time.Duration
	var first time.Time
	var contacts [5]time.Time
	zonesOfSixty(t, func(now time.Time, vms [][]*Manager) {
		if first.IsZero() {
			first = now
		}
		for z, zone := range vms {
			if now.Sub(contacts[z]) >= every {
				contacts[z] = now
				zone[7].Contact(now)
			}
			for _, m := range zone {
				if now.Sub(first) < every {
					continue // nobody can know of a second contact yet
				}
				members, age := m.Zone(now)
				looks++
				unknown += len(zone) - len(members)
				if age > bound {
					late++
				}
				oldest = max(oldest, age)
			}
		}
	})
	t.Logf("%d looks: %d found the contact older than %v, the oldest %v; %d members taken for gone", looks, late, bound, oldest, unknown)
	if late > looks/100 || unknown > looks/100 {
		t.Fail()
	}
}
