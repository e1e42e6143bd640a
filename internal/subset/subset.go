// Package subset decides which gathers of an availability zone serve a service and how many
// connections each may hold to a leaf, so that no leaf's connection limit is passed.
//
// The arithmetic. A leaf accepts L connections (the smallest limit of the service's leaves counts).
// The plan uses at most B = floor(2L/3) of them over all members of all zones. The last third is
// room for what a plan can't see: connections of replaced VMs, or gone silent, that the leaf hasn't
// dropped yet, and members of views that differ for a while.
//
//   - With N VMs, each is a member with 2 connections where 2N <= B. Two, because one may go silent
//     and the other then serves on; more would bring nothing, for calls share a connection.
//   - Otherwise each member has 1 connection. A zone with n VMs has min(n, q) members, with the
//     largest q for which the sum over the zones is at most B. Fewer members than VMs are chosen
//     by rendezvous hashing of (service, zone, VM).
//
// Limit 30, B = 20: 8 VMs are 16 connections, 2 each; 11 to 20 VMs are all members with 1; 530 VMs
// in 4 zones are 5 members a zone. Adding or losing one VM changes at most one place in its own
// zone, and q by at most one, so at most one place in each other zone; the step from 2 connections
// to 1 comes once, when the fleet grows past B/2 VMs, and drops one connection a VM and leaf.
package subset

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

// Plan is the subset of a (service, availability zone).
type Plan struct {
	// Members are the VMs whose gathers serve, in rendezvous order. Suspect VMs are among them; see
	// Usable.
	Members []*pb.Vm
	// ConnectionsPerLeaf is how many connections each member may hold to a leaf of the service.
	ConnectionsPerLeaf int
	// Sharers is how many gathers over all availability zones share a leaf, at least 1. Places of
	// leaving VMs count.
	Sharers int
}

const (
	// maxConnectionsPerLeaf is the most that one member holds to a leaf.
	maxConnectionsPerLeaf = 2
	// budgetNumerator of limitParts is the share of a leaf's limit that plans use.
	budgetNumerator   = 2
	budgetDenominator = 3
)

// For computes the plan from the VMs in the view. It is a pure function of its arguments: VMs with
// equal views compute equal plans.
//
// A VM counts unless it is gone. A suspect VM keeps its place: it may be cut off from us and still
// hold its connections, and suspicion comes and goes faster than connections should move. A
// leaving VM keeps its place as well, for it holds its connections until it ends, and a process
// that is restarted comes back to it; but it is no member, as it takes no new work. Only where all
// places of a zone are leaving does the next VM step in, from the third that is kept free.
func For(s *bundle.Service, zone string, vms []*pb.Vm) Plan {
	zones := byZone(vms)
	budget := connectionBudget(s)
	quota, connections := quotaAndConnections(zones, budget)
	p := Plan{ConnectionsPerLeaf: connections}
	served := servedZones(s, zones, budget)
	for name, zoneVMs := range zones {
		if !served[name] {
			continue
		}
		if name == zone {
			p.Members = selectMembers(rendezvousOrder(s.Name, name, zoneVMs), quota)
		}
		p.Sharers += min(len(zoneVMs), quota)
	}
	p.Sharers = max(1, p.Sharers)
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

// Usable returns the members to send work to: the live ones, or the suspect ones where none is live.
func (p Plan) Usable() []*pb.Vm {
	var live []*pb.Vm
	for _, m := range p.Members {
		if m.GetState() != pb.VmState_VM_STATE_SUSPECT {
			live = append(live, m)
		}
	}
	if len(live) > 0 {
		return live
	}
	return p.Members
}

// byZone sorts the VMs that count into their zones.
func byZone(vms []*pb.Vm) map[string][]*pb.Vm {
	zones := make(map[string][]*pb.Vm)
	for _, vm := range vms {
		if vm.GetState() != pb.VmState_VM_STATE_GONE {
			zones[vm.GetZone()] = append(zones[vm.GetZone()], vm)
		}
	}
	return zones
}

// connectionBudget returns how many connections to one leaf all members may hold together, at least 1.
func connectionBudget(s *bundle.Service) int {
	limit := 0
	for _, l := range s.Leaves {
		if limit == 0 || l.Connections < limit {
			limit = l.Connections
		}
	}
	return max(1, limit*budgetNumerator/budgetDenominator)
}

// quotaAndConnections returns the most members of a zone and the connections of a member to a leaf. The quota is
// at least 1; servedZones sees to the budget where there are more zones than connections.
func quotaAndConnections(zones map[string][]*pb.Vm, budget int) (quota, connections int) {
	total, largest := 0, 0
	for _, zoneVMs := range zones {
		total += len(zoneVMs)
		largest = max(largest, len(zoneVMs))
	}
	if total*maxConnectionsPerLeaf <= budget {
		return largest, maxConnectionsPerLeaf
	}
	quota = largest
	for quota > 1 && positionCount(zones, quota) > budget {
		quota--
	}
	return quota, 1
}

// positionCount returns the number of members over all zones for a quota.
func positionCount(zones map[string][]*pb.Vm, quota int) int {
	n := 0
	for _, zoneVMs := range zones {
		n += min(len(zoneVMs), quota)
	}
	return n
}

// servedZones returns the zones that have members: all, unless there are more zones than
// connections; then the first by rendezvous order.
func servedZones(s *bundle.Service, zones map[string][]*pb.Vm, budget int) map[string]bool {
	names := make([]string, 0, len(zones))
	for name := range zones {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := score(s.Name, names[i]), score(s.Name, names[j])
		return a > b || a == b && names[i] < names[j]
	})
	served := make(map[string]bool, len(names))
	for _, name := range names[:min(len(names), budget)] {
		served[name] = true
	}
	return served
}

// rendezvousOrder returns a zone's VMs in the order in which they serve the service. The order of two
// VMs doesn't depend on which others there are.
func rendezvousOrder(service, zone string, vms []*pb.Vm) []*pb.Vm {
	scores := make(map[string]uint64, len(vms))
	for _, vm := range vms {
		scores[vm.GetId()] = score(service, zone, vm.GetId())
	}
	ordered := append([]*pb.Vm(nil), vms...)
	sort.Slice(ordered, func(i, j int) bool {
		a, b := ordered[i].GetId(), ordered[j].GetId()
		return scores[a] > scores[b] || scores[a] == scores[b] && a < b
	})
	return ordered
}

// selectMembers returns the members among a zone's ordered VMs.
func selectMembers(ordered []*pb.Vm, quota int) []*pb.Vm {
	var members []*pb.Vm
	for i, vm := range ordered {
		if i >= quota && len(members) > 0 {
			break
		}
		if vm.GetState() != pb.VmState_VM_STATE_LEAVING {
			members = append(members, vm)
		}
	}
	return members
}

// score hashes the parts of a key. Names hold no zero byte, so no two keys run together.
func score(parts ...string) uint64 { return xxhash.Sum64String(strings.Join(parts, "\x00")) }
