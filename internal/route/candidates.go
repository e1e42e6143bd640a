package route

import (
	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/subset"
)

// candidates returns the gathers that accept new work for the service: the ready ones of the subset of the
// given zone, this VM's own, or those of the other zones' subsets where it has none.
func candidates(svc *bundle.Service, zone string, vms []*pb.Vm) []Gather {
	if own := ready(subset.For(svc, zone, vms)); len(own) > 0 {
		return own
	}
	var others []Gather
	for _, z := range zones(vms) {
		if z != zone {
			others = append(others, ready(subset.For(svc, z, vms))...)
		}
	}
	return others
}

// ready returns the gathers of the plan's live members that report themselves ready for new work.
func ready(p subset.Plan) []Gather {
	var gathers []Gather
	for _, vm := range p.Members {
		g, ok := gatherOf(vm)
		if ok && vm.GetState() == pb.VmState_VM_STATE_LIVE && g.State == pb.ProcessState_PROCESS_STATE_READY {
			gathers = append(gathers, g)
		}
	}
	return gathers
}

// zones returns the distinct zones of the VMs, in the order of the VMs.
func zones(vms []*pb.Vm) []string {
	var names []string
	seen := make(map[string]bool)
	for _, vm := range vms {
		if z := vm.GetZone(); !seen[z] {
			seen[z] = true
			names = append(names, z)
		}
	}
	return names
}
