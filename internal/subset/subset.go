// Package subset decides which gathers of an availability zone serve a service and how many
// connections each may hold to a leaf, so that no leaf's connection limit is exceeded.
//
// A leaf accepts L connections, where L is the smallest limit of the service's leaves. The plans of all
// zones together use at most B = floor(2L/3) of them, but at least 1. The last third is reserved for
// connections that a plan can't see: those of replaced VMs and silent ones that the leaf hasn't
// closed yet, and those of members of views that differ for a while.
//
//   - Where N VMs fit with 2N <= B, each is a member with 2 connections. There are two so that the
//     other still serves when one goes silent. More have no use, because calls share a
//     connection.
//   - Otherwise each member has 1 connection. A zone with n VMs has min(n, q) members, with the largest
//     quota q for which the sum over the zones is at most B. Where there are fewer members than VMs,
//     they are chosen by rendezvous hashing of (service, zone, VM).
//
// With a limit of 30, B is 20. 8 VMs hold 16 connections, 2 each. 11 to 20 VMs are all members with 1
// connection. 530 VMs in 4 zones have 5 members per zone. Adding or removing one VM changes at most one
// position in its own zone, and q by at most one, so at most one position in each other zone. The step
// from 2 connections to 1 occurs once, when the fleet grows beyond B/2 VMs, and closes one connection per
// VM and leaf.
package subset

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

// Plan is the subset of gathers of an availability zone that serve a service.
type Plan struct {
	// Members are the VMs whose gathers serve, in rendezvous order. They include suspect VMs; see
	// Usable.
	Members []*pb.Vm
	// ConnectionsPerLeaf is the maximum number of connections of each member to a leaf of the service.
	ConnectionsPerLeaf int
	// Sharers is the number of gathers in all availability zones that share a leaf, at least 1. It
	// includes the positions of leaving VMs.
	Sharers int
}

const (
	// maxConnectionsPerLeaf is the maximum number of connections of one member to a leaf.
	maxConnectionsPerLeaf = 2
	// budgetNumerator/budgetDenominator is the fraction of a leaf's limit that plans use.
	budgetNumerator   = 2
	budgetDenominator = 3
)

// For computes the plan from the VMs in the view. It is a pure function of its arguments: VMs with
// equal views compute equal plans.
//
// A VM has a position in its zone unless it is gone. A suspect VM keeps its position: it may only be cut
// off from this VM and still hold its connections, and suspicion changes faster than connections should
// move. A leaving VM keeps its position, too, because it holds its connections until it ends, and because
// a restarted process takes the same position again. It is no member, however, because it accepts no new
// work. Only where the VMs of all positions of a zone are leaving does the next VM become a member, with
// connections from the third that is reserved.
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

// Has reports whether the VM with the id is a member.
func (p Plan) Has(vm string) bool {
	for _, m := range p.Members {
		if m.GetId() == vm {
			return true
		}
	}
	return false
}

// Usable returns the members to which work may be sent: the live ones, or all, which are then suspect,
// where none is live.
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

// byZone groups the VMs that are not gone by zone.
func byZone(vms []*pb.Vm) map[string][]*pb.Vm {
	zones := make(map[string][]*pb.Vm)
	for _, vm := range vms {
		if vm.GetState() != pb.VmState_VM_STATE_GONE {
			zones[vm.GetZone()] = append(zones[vm.GetZone()], vm)
		}
	}
	return zones
}

// connectionBudget returns how many connections to one leaf all members of all zones may hold together,
// at least 1.
func connectionBudget(s *bundle.Service) int {
	limit := 0
	for _, l := range s.Leaves {
		if limit == 0 || l.Connections < limit {
			limit = l.Connections
		}
	}
	return max(1, limit*budgetNumerator/budgetDenominator)
}

// quotaAndConnections returns the maximum number of positions in a zone and the number of connections of a
// member to a leaf. The quota is at least 1 where there are VMs. Where there are more zones than
// connections, servedZones keeps to the budget.
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

// positionCount returns the number of positions in all zones for a quota.
func positionCount(zones map[string][]*pb.Vm, quota int) int {
	n := 0
	for _, zoneVMs := range zones {
		n += min(len(zoneVMs), quota)
	}
	return n
}

// servedZones returns the zones that have members: all of them, or, where there are more zones than
// connections in the budget, the first ones in rendezvous order.
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

// rendezvousOrder returns a zone's VMs in the order in which they are chosen for the service. The order of
// two VMs doesn't depend on the other VMs.
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

// selectMembers returns the members among a zone's ordered VMs: those at the first quota positions that
// are not leaving, or, where all of those are, the next VM that is not.
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

// score returns the hash of a key's parts. Names contain no zero byte, so different keys can't be joined
// to the same text.
func score(parts ...string) uint64 { return xxhash.Sum64String(strings.Join(parts, "\x00")) }
