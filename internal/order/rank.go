package order

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
)

// maxAskedPerZone is the number of gathers in each availability zone that are asked about a retired
// incarnation. Handovers go to the first gather of each zone first; the others cover changes of the
// list since then.
const maxAskedPerZone = 3

// rankByZone returns the VMs of the view with a gather that has not ended, without the minter, by
// availability zone and in rendezvous order for the incarnation. Equal views give equal ranks on
// all VMs.
func rankByZone(v *feed.View, minter identity) map[string][]*pb.Vm {
	zones := make(map[string][]*pb.Vm)
	for _, vm := range v.VMs {
		p := gatherOf(vm)
		if p == nil || gatherGone(vm) || (minter == identity{vm.GetId(), p.GetIncarnation()}) {
			continue
		}
		zones[vm.GetZone()] = append(zones[vm.GetZone()], vm)
	}
	for _, vms := range zones {
		slices.SortFunc(vms, func(a, b *pb.Vm) int { return compareScore(score(a, minter), score(b, minter)) })
	}
	return zones
}

// handoverTargets returns the ready gathers that can take over records, in order of preference: the
// first of its own availability zone, the first of each other zone, the second of each zone, and so
// on.
func handoverTargets(v *feed.View, minter identity) []*pb.Vm {
	zones := rankByZone(v, minter)
	names := zoneNames(zones, v.Zone)
	var targets []*pb.Vm
	for rank := 0; ; rank++ {
		found := false
		for _, z := range names {
			if rank >= len(zones[z]) {
				continue
			}
			found = true
			if vm := zones[z][rank]; readyGather(vm) && vm.GetId() != v.VM {
				targets = append(targets, vm)
			}
		}
		if !found {
			return targets
		}
	}
}

// zoneNames returns the zones sorted by name, with its own zone first.
func zoneNames(zones map[string][]*pb.Vm, own string) []string {
	var names []string
	for z := range zones {
		if z != own {
			names = append(names, z)
		}
	}
	slices.Sort(names)
	return append([]string{own}, names...)
}

// resolveTargets returns the VMs to ask about a retired incarnation.
func resolveTargets(v *feed.View, minter identity) []*pb.Vm {
	var targets []*pb.Vm
	for _, vms := range rankByZone(v, minter) {
		targets = append(targets, vms[:min(len(vms), maxAskedPerZone)]...)
	}
	return targets
}

func score(vm *pb.Vm, minter identity) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(vm.GetId())
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(minter.vm)
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], minter.incarnation)
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// compareScore sorts higher scores first.
func compareScore(a, b uint64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	}
	return 0
}
