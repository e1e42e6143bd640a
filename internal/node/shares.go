package node

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/leafpool"
	"github.com/burdockplank/burdockplank/internal/peers"
)

// shares says which part this VM has in what the fleet may use of each service.
type shares struct {
	plan delegate.Plan
	// vms of the fleet.
	vms int
	// single and shards are the services of single requests and of searches.
	single, shards map[string]bool
	// unsettled is set while the fleet isn't known yet.
	unsettled bool
}

// extra is the part of a service's slack of extra calls.
func (s shares) extra(service string) float64 {
	if s.shards[service] {
		return s.plan.Part()
	}
	return 1 / float64(s.vms)
}

// connections is the share in the connections to a service's leaves. Those of a service that no route names
// yet may become shards, and a shard belongs to the VMs that gather, whatever else leads to it.
func (s shares) connections(service string) leafpool.Share {
	if s.single[service] && !s.shards[service] {
		return leafpool.Share{VMs: s.vms, Unsettled: s.unsettled}
	}
	return leafpool.Share{VMs: s.plan.Gatherers, Rare: len(s.plan.To) > 0, Unsettled: s.unsettled}
}

const (
	// settledAfter is how long the number of VMs must stay the same before it counts as known: in a fleet of 300
	// that start together each VM hears of most of the others within a second, in some three exchanges.
	settledAfter = time.Second
	// settledMost is how long after its start a VM goes by what it knows in any case.
	settledMost = 3 * time.Second
)

// fleetSize follows the number of VMs after the start of this one.
type fleetSize struct {
	started, changed time.Time
	vms              int
}

// unsettled notes the number of VMs and tells whether it is likely to change yet.
func (f *fleetSize) unsettled(vms int, now time.Time) bool {
	if vms != f.vms {
		f.vms, f.changed = vms, now
	}
	return now.Sub(f.started) < settledMost && now.Sub(f.changed) < settledAfter
}

// applyPlan divides the work among the VMs that are known now, and returns how many there are.
func (d *Daemon) applyPlan() int {
	fleet := d.peers.VMs()
	view := d.directory.Current()
	s := shares{vms: len(fleet) + 1}
	s.unsettled = d.size.unsettled(s.vms, time.Now())
	if view.Config != nil {
		s.single, s.shards = view.Config.UsedServices()
	}
	s.plan = delegate.NewPlan(peers.VM{Address: d.settings.Peers, Zone: d.settings.Zone, Millicores: d.settings.Millicores}, fleet)
	d.delegate.SetPlan(s.plan)
	d.gatherer.SetPlan(s.plan)
	d.budgets.SetPart(s.extra)
	d.pool.SetLeaves(callable(view), connectionLimits(view.Config), s.connections)
	return s.vms
}

// callable returns the leaves that may be called, those included that no route names yet: their
// connections are open when one does.
func callable(v *directory.View) []catalog.Leaf {
	var out []catalog.Leaf
	for _, lists := range []map[string][]catalog.Leaf{v.Leaves, v.Lapsed} {
		for _, list := range lists {
			out = append(out, list...)
		}
	}
	return out
}

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
