package node

import (
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/leafpool"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/warmup"
)

// shares holds this VM's share in what the fleet may use of each service.
type shares struct {
	plan delegate.Plan
	// vmCount is the number of live VMs of the fleet, this one included.
	vmCount int
	// knownPlan and knownCount are the plan and the number of VMs with the silent ones. What the fleet may use together
	// goes by them, so that the two sides of a network partition don't both take the whole.
	knownPlan  delegate.Plan
	knownCount int
	// singleServices and shardServices are the services of single requests and of searches.
	singleServices, shardServices map[string]bool
	// unsettled is set while the number of VMs is still changing after the start.
	unsettled bool
	// isolated is set while this VM knows no other one though the settings name some: it may be cut off from them, or they
	// may be down and others be up that can't find it either.
	isolated bool
}

// extraCallShare returns the fraction of a service's allowance of extra calls that this VM may use. It is 0 while the
// fleet is not known: the other VMs use all of the allowance.
func (s shares) extraCallShare(service string) float64 {
	if s.unsettled || s.isolated {
		return 0
	}
	if s.shardServices[service] {
		return s.knownPlan.Share()
	}
	return 1 / float64(s.knownCount)
}

// connectionShare returns this VM's share in the connections to a service's leaves. A service that no route
// names yet may become a shard, and the connections to a shard belong to the gatherers, whatever other routes
// lead to it.
func (s shares) connectionShare(service string) leafpool.Share {
	if s.singleServices[service] && !s.shardServices[service] {
		return leafpool.Share{VMs: s.vmCount, FleetUnknown: s.unsettled}
	}
	return leafpool.Share{VMs: s.plan.GathererCount, OnDemand: len(s.plan.ZoneGatherers) > 0, FleetUnknown: s.unsettled}
}

// coldLeafKind returns which VMs call the leaves of the service while these are cold.
func (s shares) coldLeafKind(service string) warmup.Kind {
	if s.shardServices[service] {
		return warmup.Shards
	}
	return warmup.Single
}

// hasOtherSeeds reports whether the settings name another VM.
func (d *Daemon) hasOtherSeeds() bool {
	return slices.ContainsFunc(*d.seeds.Load(), func(seed string) bool { return seed != d.settings.PeersAddress })
}

// coldLeafCallers returns the addresses of the VMs of the zone of self that call the services of each kind.
func coldLeafCallers(self peers.VM, known []peers.VM) map[warmup.Kind][]string {
	zone := []peers.VM{self}
	for _, vm := range known {
		if vm.Zone == self.Zone {
			zone = append(zone, vm)
		}
	}
	all := make([]string, 0, len(zone))
	for _, vm := range zone {
		all = append(all, vm.Address)
	}
	return map[warmup.Kind][]string{warmup.Single: all, warmup.Shards: delegate.Gatherers(zone)}
}

const (
	// settleInterval is how long the number of VMs must stay the same before it counts as settled. In a fleet
	// of 300 that start together, each VM hears of most of the others within a second, in about three
	// exchanges.
	settleInterval = time.Second
	// maxSettleTime is the time after the start at which the number of VMs counts as settled in any case.
	maxSettleTime = 3 * time.Second
)

// fleetSize tracks the number of VMs after the start of this one.
type fleetSize struct {
	startedAt, changedAt time.Time
	vmCount              int
}

// observe records the number of VMs and reports whether it is still likely to change.
func (f *fleetSize) observe(vms int, now time.Time) bool {
	if vms != f.vmCount {
		f.vmCount, f.changedAt = vms, now
	}
	return now.Sub(f.startedAt) < maxSettleTime && now.Sub(f.changedAt) < settleInterval
}

// newShares returns the shares of the VM self. live holds the other VMs that are live, known also those that are silent.
func newShares(self peers.VM, live, known []peers.VM, regions map[string]string) shares {
	return shares{
		plan: delegate.NewPlan(self, live, regions), vmCount: len(live) + 1,
		knownPlan: delegate.NewPlan(self, known, regions), knownCount: len(known) + 1,
	}
}

// applyPlan distributes the work among the VMs known now, and returns the number of live ones.
func (d *Daemon) applyPlan() int {
	now := time.Now()
	live := d.peers.VMs()
	known := d.roster.Update(live, now)
	view := d.directory.Current()
	self := peers.VM{Address: d.settings.PeersAddress, Zone: d.settings.Zone, Millicores: d.settings.Millicores}
	s := newShares(self, live, known, d.settings.Regions)
	s.unsettled = d.fleetSize.observe(s.vmCount, now)
	s.isolated = len(known) == 0 && d.hasOtherSeeds()
	if view.Config != nil {
		s.singleServices, s.shardServices = view.Config.UsedServices()
	}
	d.delegate.SetPlan(s.plan)
	d.gatherer.SetPlan(s.plan)
	d.isGatherer.Store(s.plan.IsGatherer)
	d.budgets.SetShare(s.extraCallShare)
	if !s.isolated {
		d.coldLeaves.SetCallers(coldLeafCallers(self, known), s.coldLeafKind)
	}
	d.guard.SetView(view)
	d.pool.SetLeaves(callableLeaves(view), connectionLimits(view.Config), s.connectionShare)
	return s.vmCount
}

// callableLeaves returns the leaves that may be called, and those whose end is looked for. It includes those that no route
// names yet, so that their connections are open when one does.
func callableLeaves(v *directory.View) []catalog.Leaf {
	var out []catalog.Leaf
	for _, lists := range []map[string][]catalog.Leaf{v.Leaves, v.Removed} {
		for _, list := range lists {
			out = append(out, list...)
		}
	}
	return out
}

// connectionLimits returns the connection limit of each service.
func connectionLimits(c *catalog.Config) map[string]int {
	out := make(map[string]int)
	if c == nil {
		return out
	}
	for name, s := range c.Services {
		out[name] = s.ConnectionLimit
	}
	return out
}
