package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/leafpool"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/roster"
)

// The number of VMs counts as settled once it has not changed for settleInterval, and at maxSettleTime after
// the start in any case.
func TestFleetSizeSettles(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := fleetSize{startedAt: now}
	is.True(f.observe(1, now))
	is.True(f.observe(40, now.Add(600*time.Millisecond)))
	is.True(f.observe(40, now.Add(1500*time.Millisecond)))
	is.True(!f.observe(40, now.Add(1600*time.Millisecond)))
	is.True(f.observe(41, now.Add(2*time.Second)))
	is.True(!f.observe(42, now.Add(maxSettleTime)))
}

// The connections to a shard that a route of single requests also leads to belong to the gatherers. Divided by
// 295 VMs, each VM would still get one, which is more than the leaves accept in total and too few for the
// gatherers.
func TestShardAlsoServingSingleRequests(t *testing.T) {
	is := is.New(t)
	s := shares{vmCount: 295, singleServices: map[string]bool{"x": true, "s0": true}, shardServices: map[string]bool{"s0": true, "s1": true}}
	s.plan = delegate.Plan{IsGatherer: true, GathererCount: 15, DelegatorCount: 280}
	is.Equal(s.connectionShare("s0"), leafpool.Share{VMs: 15})
	is.Equal(s.connectionShare("s1"), leafpool.Share{VMs: 15})
	is.Equal(s.connectionShare("x"), leafpool.Share{VMs: 295})
	s.plan = delegate.Plan{ZoneGatherers: []string{"strong"}, GathererCount: 15, DelegatorCount: 280}
	is.Equal(s.connectionShare("s0"), leafpool.Share{VMs: 15, OnDemand: true})
	is.Equal(s.connectionShare("x"), leafpool.Share{VMs: 295})
}

// A VM that has just started and has not heard of the others must not use the whole allowance of extra calls, which
// they use already.
func TestNoShareOfExtraCallsWhileTheFleetIsUnknown(t *testing.T) {
	is := is.New(t)
	is.Equal(shares{knownCount: 1, unsettled: true}.extraCallShare("x"), 0.0)
	is.Equal(shares{knownCount: 4}.extraCallShare("x"), 0.25)
}

// VMs that can't find each other, as those that the settings name are down, each took the whole slack of the fleet.
func TestIsolatedVMTakesNoShareOfTheSlack(t *testing.T) {
	is := is.New(t)
	s := shares{knownCount: 1, isolated: true, shardServices: map[string]bool{"s0": true}, knownPlan: delegate.Plan{IsGatherer: true, GathererCount: 1}}
	is.Equal(s.extraCallShare("x"), 0.0)
	is.Equal(s.extraCallShare("s0"), 0.0)
	s.isolated = false
	is.Equal(s.extraCallShare("x"), 1.0) // a fleet of one VM
	is.True(s.extraCallShare("s0") > 0)
}

// cutFleet is a fleet of three zones of two larger and four smaller VMs each, in which each VM remembers the others.
type cutFleet struct {
	vms     []peers.VM
	rosters map[string]*roster.Roster
}

func newCutFleet() *cutFleet {
	f := &cutFleet{rosters: make(map[string]*roster.Roster)}
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 6 {
			vm := peers.VM{Address: fmt.Sprintf("%s%d", zone, i), Zone: zone, Millicores: 200}
			if i < 2 {
				vm.Millicores = 800
			}
			f.vms = append(f.vms, vm)
			f.rosters[vm.Address] = roster.New()
		}
	}
	return f
}

// sumOfShares returns the sum of the shares of all VMs in the extra calls to the service, where a VM sees another one if
// sees says so.
func (f *cutFleet) sumOfShares(service string, now time.Time, sees func(a, b peers.VM) bool) float64 {
	sum := 0.0
	for _, self := range f.vms {
		var live []peers.VM
		for _, other := range f.vms {
			if other != self && sees(self, other) {
				live = append(live, other)
			}
		}
		s := newShares(self, live, f.rosters[self.Address].Update(live, now), nil)
		s.shardServices = map[string]bool{"shard": true}
		sum += s.extraCallShare(service)
	}
	return sum
}

// In a network partition that lasted longer than a window both sides counted themselves as the whole fleet, and together
// could make twice the extra calls that the platform allows.
func TestBothSidesOfAPartitionShareTheExtraCalls(t *testing.T) {
	apart := map[string]func(a, b peers.VM) bool{
		"none":              func(_, _ peers.VM) bool { return true },
		"a zone is cut off": func(a, b peers.VM) bool { return (a.Zone == "c") == (b.Zone == "c") },
		"all zones are":     func(a, b peers.VM) bool { return a.Zone == b.Zone },
		"larger VMs are":    func(a, b peers.VM) bool { return a.Millicores == b.Millicores },
		"each VM is":        func(_, _ peers.VM) bool { return false },
	}
	for name, sees := range apart {
		for _, service := range []string{"shard", "single"} {
			t.Run(name+" "+service, func(t *testing.T) {
				is := is.New(t)
				f, now := newCutFleet(), time.Now()
				is.True(f.sumOfShares(service, now, apart["none"]) <= 1.0001)
				is.True(f.sumOfShares(service, now.Add(time.Minute), sees) <= 1.0001)
			})
		}
	}
}
