package node

import (
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
}

// extra is the part of a service's slack of extra calls.
func (s shares) extra(service string) float64 {
	if s.shards[service] {
		return s.plan.Part()
	}
	return 1 / float64(s.vms)
}

// connections is the share in the connections to a service's leaves. Those of a service that no route names
// yet may become shards.
func (s shares) connections(service string) leafpool.Share {
	if s.single[service] {
		return leafpool.Share{VMs: s.vms}
	}
	return leafpool.Share{VMs: s.plan.Gatherers, Rare: len(s.plan.To) > 0}
}

// applyPlan divides the work among the VMs that are known now, and returns how many there are.
func (d *Daemon) applyPlan() int {
	fleet := d.peers.VMs()
	plan := delegate.NewPlan(peers.VM{Address: d.settings.Peers, Zone: d.settings.Zone, Millicores: d.settings.Millicores}, fleet)
	d.delegate.SetPlan(plan)
	d.gatherer.SetPlan(plan)
	view := d.directory.Current()
	s := shares{plan: plan, vms: len(fleet) + 1}
	if view.Config != nil {
		s.single, s.shards = view.Config.Used()
	}
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
