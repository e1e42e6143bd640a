package delegate

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burdockplank/burdockplank/internal/peers"
	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
)

func vm(address, zone string, millicores int) peers.VM {
	return peers.VM{Address: address, Zone: zone, Millicores: millicores}
}

func TestNewPlan(t *testing.T) {
	mixedZone := []peers.VM{vm("s2", "z", 800), vm("s1", "z", 800), vm("w1", "z", 192), vm("w2", "z", 192)}
	twoZones := append(mixedZone, vm("t1", "y", 800), vm("v1", "y", 192))
	for name, tt := range map[string]struct {
		self  peers.VM
		fleet []peers.VM
		want  Plan
	}{
		"alone":                  {vm("a", "z", 400), nil, Plan{GathererCount: 1}},
		"equal sizes":            {vm("a", "z", 400), []peers.VM{vm("b", "z", 400), vm("c", "y", 400)}, Plan{GathererCount: 3}},
		"smaller beside larger":  {vm("w1", "z", 192), mixedZone, Plan{ZoneGatherers: []string{"s1", "s2"}, GathererCount: 2, DelegatorCount: 2}},
		"larger beside smaller":  {vm("s1", "z", 800), mixedZone, Plan{IsGatherer: true, GathererCount: 2, DelegatorCount: 2}},
		"larger in another zone": {vm("w3", "y", 192), mixedZone, Plan{GathererCount: 3, DelegatorCount: 2}},
		"slightly larger":        {vm("a", "z", 400), []peers.VM{vm("b", "z", 700)}, Plan{GathererCount: 2}},
		"unknown":                {vm("a", "z", 0), []peers.VM{vm("b", "z", 800)}, Plan{GathererCount: 2}},
		"smaller, larger ones in two zones": {
			vm("v1", "y", 192), twoZones, Plan{ZoneGatherers: []string{"t1"}, OtherZoneGatherers: []string{"s1", "s2"}, GathererCount: 3, DelegatorCount: 3},
		},
		"larger, larger ones in two zones": {vm("t1", "y", 800), twoZones, Plan{IsGatherer: true, GathererCount: 3, DelegatorCount: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(NewPlan(tt.self, tt.fleet, nil), tt.want)
		})
	}
}

// Whatever the sizes of the VMs, the shares of all VMs add up to the fleet's allowance of extra calls, and a VM
// hands searches over only to VMs that accept them.
// A search may not leave the regions of its route, and this VM doesn't know them before it hands the search over.
func TestSearchesAreHandedOverWithinTheRegion(t *testing.T) {
	is := is.New(t)
	self := peers.VM{Address: "small", Zone: "a", Millicores: 200}
	fleet := []peers.VM{{Address: "a1", Zone: "a", Millicores: 800}}
	for _, zone := range []string{"b", "c"} {
		fleet = append(fleet, peers.VM{Address: zone + "1", Zone: zone, Millicores: 800}, peers.VM{Address: zone + "2", Zone: zone, Millicores: 200})
	}
	p := NewPlan(self, fleet, map[string]string{"a": "north", "b": "north", "c": "south"})
	is.Equal(p.OtherZoneGatherers, []string{"b1"})
}

func TestSharesSumToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var fleet []peers.VM
		for i := range rapid.IntRange(1, 40).Draw(t, "vms") {
			zone := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "zone"))
			fleet = append(fleet, vm(fmt.Sprint(i), zone, rapid.SampledFrom([]int{0, 100, 192, 300, 400, 800}).Draw(t, "millicores")))
		}
		plans := make(map[string]Plan)
		for _, self := range fleet {
			plans[self.Address] = NewPlan(self, fleet, nil)
		}
		sum := 0.0
		for _, self := range fleet {
			p := NewPlan(self, fleet, nil)
			sum += p.Share()
			for _, to := range slices.Concat(p.ZoneGatherers, p.OtherZoneGatherers) {
				if !plans[to].IsGatherer {
					t.Fatalf("%v hands searches over to %s, which is not a gatherer", self, to)
				}
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("shares of %v add up to %v, want 1", fleet, sum)
		}
	})
}
