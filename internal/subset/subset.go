// Package subset decides which gathers of an availability zone serve a service and how many
// connections each may hold to a leaf, so that no leaf's connection limit is passed.
package subset

import (
	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

// Plan is the subset of a (service, availability zone).
type Plan struct {
	// Members are the VMs whose gathers serve, in rendezvous order.
	Members []*pb.Vm
	// ConnectionsPerLeaf is how many connections each member may hold to a leaf of the service.
	ConnectionsPerLeaf int
	// Sharers is how many gathers over all availability zones share a leaf.
	Sharers int
}

// defaultConnections is used until the plan is computed from the leaves' limits.
const defaultConnections = 2

// For computes the plan from the VMs in the view. It is a pure function of its arguments: VMs with
// equal views compute equal plans.
func For(_ *bundle.Service, zone string, vms []*pb.Vm) Plan {
	p := Plan{ConnectionsPerLeaf: defaultConnections, Sharers: len(vms)}
	for _, vm := range vms {
		if vm.GetZone() == zone && vm.GetState() == pb.VmState_VM_STATE_LIVE {
			p.Members = append(p.Members, vm)
		}
	}
	return p
}

// Has tells whether the VM is a member.
func (p Plan) Has(vm string) bool {
	for _, m := range p.Members {
		if m.GetId() == vm {
			return true
		}
	}
	return false
}
