// Package delegate hands the searches that a smaller VM receives from callers over to a larger VM of its
// availability zone, the gatherer. A search makes a call to each of 36 or 54 shards, which takes about 5 ms of
// a core: 25 ms on a VM that has a fifth of one, out of a latency target of 80 to 150 ms. The few VMs that make
// all calls also see each leaf often enough to know its state, and need few connections.
package delegate

import (
	"cmp"
	"slices"

	"github.com/burdockplank/burdockplank/internal/peers"
)

// largerVMRatio is the multiple of the smallest VM's processor share from which a VM of the same zone counts as
// larger. Below it, the 1 to 2 ms that the extra hop costs at both ends outweigh the gain from the larger
// processor.
const largerVMRatio = 2

// gatherersShare is the fraction of the fleet's allowance of extra calls and connections for searches that the
// gatherers share. The rest is for searches that the other VMs make themselves when they reach no gatherer.
const gatherersShare = 0.8

// Plan states which VMs make the calls of searches.
type Plan struct {
	// ZoneGatherers are the addresses of the larger VMs of the VM's own zone, sorted. It is empty where this VM
	// makes the calls itself.
	ZoneGatherers []string
	// OtherZoneGatherers are those of the other zones, for searches that no VM of ZoneGatherers can take.
	OtherZoneGatherers []string
	// IsGatherer is set where VMs of the own zone hand their searches over to this one.
	IsGatherer bool
	// GathererCount is the number of VMs of the fleet that make the calls of searches, DelegatorCount the
	// number that hand theirs over.
	GathererCount, DelegatorCount int
}

// NewPlan returns the plan of the VM self. fleet holds the live VMs, with or without self, regions the region of each
// availability zone. Searches are handed over within the region only: the routes of some may not leave it.
func NewPlan(self peers.VM, fleet []peers.VM, regions map[string]string) Plan {
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
			if regions[zone] == regions[self.Zone] {
				otherZones = append(otherZones, larger...)
			}
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

// Gatherers returns the addresses of the VMs of one zone that make the calls of searches.
func Gatherers(zone []peers.VM) []string {
	if larger := largerVMs(zone); len(larger) > 0 {
		return larger
	}
	all := make([]string, 0, len(zone))
	for _, vm := range zone {
		all = append(all, vm.Address)
	}
	return all
}

// largerVMs returns the sorted addresses of the VMs that are larger than the smallest one by largerVMRatio or
// more.
func largerVMs(vms []peers.VM) []string {
	smallest := slices.MinFunc(vms, func(a, b peers.VM) int { return cmp.Compare(a.Millicores, b.Millicores) }).Millicores
	if smallest <= 0 {
		return nil // the size of at least one VM is unknown
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

// Share returns the fraction of the fleet's extra calls for searches that this VM may send.
func (p Plan) Share() float64 {
	if p.DelegatorCount == 0 {
		return 1 / float64(max(p.GathererCount, 1))
	}
	if len(p.ZoneGatherers) > 0 {
		return (1 - gatherersShare) / float64(p.DelegatorCount)
	}
	return gatherersShare / float64(p.GathererCount)
}
