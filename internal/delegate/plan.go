// Package delegate hands the searches that a weak VM gets from callers to a strong VM of its availability
// zone. A search makes a call to each of 36 or 54 shards, which takes some 5 ms of a core: 25 ms of a VM that
// has a fifth of one, out of a target of 80 to 150 ms. And the few VMs that make all calls see each leaf often
// enough to know its state, and need few connections.
package delegate

import (
	"cmp"
	"slices"

	"github.com/burdockplank/burdockplank/internal/peers"
)

// largerVMRatio is the multiple of the weakest VM's processor from which a VM of the same zone counts as strong:
// below it the hop of 1 to 2 ms at both ends takes what the stronger processor gains.
const largerVMRatio = 2

// gatherersShare is the part of what the fleet may spend in extra calls and connections of searches that the
// VMs which gather share. The rest is for searches that the others make where they reach none of these.
const gatherersShare = 0.8

// Plan says which VMs make the calls of searches.
type Plan struct {
	// ZoneGatherers are the strong VMs of the own zone, in order of their addresses; empty where this VM gathers itself.
	ZoneGatherers []string
	// OtherZoneGatherers are those of other zones, for searches that none of To can take.
	OtherZoneGatherers []string
	// IsGatherer is set where VMs of the own zone hand their searches to this one.
	IsGatherer bool
	// GathererCount is how many VMs of the fleet make the calls of searches, Others how many hand theirs over.
	GathererCount, DelegatorCount int
}

// NewPlan returns the plan of the VM self among the fleet, which holds the live VMs with or without self.
func NewPlan(self peers.VM, fleet []peers.VM) Plan {
	zones := map[string][]peers.VM{self.Zone: {self}}
	for _, vm := range fleet {
		if vm.Address != self.Address {
			zones[vm.Zone] = append(zones[vm.Zone], vm)
		}
	}
	var p Plan
	var otherZones []string
	for zone, vms := range zones {
		larger := largerVMs(vms)
		if len(larger) == 0 {
			p.GathererCount += len(vms)
			continue
		}
		p.GathererCount += len(larger)
		p.DelegatorCount += len(vms) - len(larger)
		if zone != self.Zone {
			otherZones = append(otherZones, larger...)
			continue
		}
		p.IsGatherer = slices.Contains(larger, self.Address)
		if !p.IsGatherer {
			p.ZoneGatherers = larger
		}
	}
	if len(p.ZoneGatherers) > 0 {
		slices.Sort(otherZones)
		p.OtherZoneGatherers = otherZones
	}
	return p
}

// largerVMs returns the addresses of the VMs that are strong beside the weakest, in order.
func largerVMs(vms []peers.VM) []string {
	smallest := slices.MinFunc(vms, func(a, b peers.VM) int { return cmp.Compare(a.Millicores, b.Millicores) }).Millicores
	if smallest <= 0 {
		return nil // of one nothing is known
	}
	var out []string
	for _, vm := range vms {
		if vm.Millicores >= largerVMRatio*smallest {
			out = append(out, vm.Address)
		}
	}
	slices.Sort(out)
	return out
}

// Share is the part of the fleet's extra calls of searches that this VM may send.
func (p Plan) Share() float64 {
	if p.DelegatorCount == 0 {
		return 1 / float64(max(p.GathererCount, 1))
	}
	if len(p.ZoneGatherers) > 0 {
		return (1 - gatherersShare) / float64(p.DelegatorCount)
	}
	return gatherersShare / float64(p.GathererCount)
}
