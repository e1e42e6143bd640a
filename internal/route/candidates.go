package route

import (
	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/subset"
)

// candidates returns the gathers that may take new work for the service: those of the own zone's
// subset that are ready, or, where the own zone has none, those of the other zones' subsets.
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

// ready returns the gathers of the plan's members that say they take new work.
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

// zones returns the zones of the VMs, each once, in the order of the VMs.
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
