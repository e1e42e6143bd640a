package subset

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
)

func service(limits ...int) *bundle.Service {
	s := &bundle.Service{Name: "teachers", Leaves: make(map[string]*bundle.Leaf)}
	for i, n := range limits {
		id := fmt.Sprintf("teachers-%d-a", i)
		s.Leaves[id] = &bundle.Leaf{ID: id, Connections: n}
	}
	return s
}

// fleet returns live VMs; sizes holds the number of VMs in each zone.
func fleet(sizes ...int) []*pb.Vm {
	var vms []*pb.Vm
	for z, n := range sizes {
		for i := range n {
			vms = append(vms, vm(z, i, pb.VmState_VM_STATE_LIVE))
		}
	}
	return vms
}

func vm(zone, i int, state pb.VmState) *pb.Vm {
	return &pb.Vm{Id: fmt.Sprintf("vm-%d-%d", zone, i), Zone: zoneName(zone), State: state}
}

func zoneName(z int) string { return fmt.Sprintf("az-%d", z) }

func ids(p Plan) map[string]bool {
	m := make(map[string]bool)
	for _, v := range p.Members {
		m[v.GetId()] = true
	}
	return m
}

func TestPlanBySizeAndLimit(t *testing.T) {
	for _, tt := range []struct {
		name  string
		limit int
		sizes []int
		// members is the number of members of the first zone, connections that of each member's
		// connections to a leaf, and sharers that of the sharers in all zones.
		members, connections, sharers int
	}{
		{"today, 8 VMs", 30, []int{3, 3, 2}, 3, 2, 8},
		{"today, 6 VMs", 30, []int{2, 2, 2}, 2, 2, 6},
		{"no more than two connections each", 100, []int{3, 3, 2}, 3, 2, 8},
		{"one VM too many for two each", 30, []int{4, 4, 3}, 4, 1, 11},
		{"all members with one each", 30, []int{7, 7, 6}, 7, 1, 20},
		{"subset", 30, []int{8, 8, 8}, 6, 1, 18},
		{"small zone leaves its positions to the others", 30, []int{19, 2}, 18, 1, 20},
		{"two years, 4 zones", 30, []int{133, 133, 132, 132}, 5, 1, 20},
		{"two years, 2 regions of 4 zones", 30, []int{67, 67, 66, 66, 66, 66, 66, 66}, 2, 1, 16},
		{"limit below the zones", 3, []int{9}, 2, 1, 2},
		{"limit of one", 1, []int{2}, 1, 1, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := For(service(tt.limit+70, tt.limit), zoneName(0), fleet(tt.sizes...))
			is.Equal(len(p.Members), tt.members)
			is.Equal(p.ConnectionsPerLeaf, tt.connections)
			is.Equal(p.Sharers, tt.sharers)
		})
	}
}

func TestPositionsOfSuspectLeavingAndGoneVMs(t *testing.T) {
	is := is.New(t)
	s := service(3) // two connections in all, so two positions
	all := rendezvousOrder(s.Name, zoneName(0), fleet(4))
	planWith := func(states ...pb.VmState) Plan {
		var vms []*pb.Vm
		for i, v := range all {
			vms = append(vms, &pb.Vm{Id: v.GetId(), Zone: v.GetZone(), State: states[i]})
		}
		return For(s, zoneName(0), vms)
	}
	const live, suspect = pb.VmState_VM_STATE_LIVE, pb.VmState_VM_STATE_SUSPECT
	const leaving, gone = pb.VmState_VM_STATE_LEAVING, pb.VmState_VM_STATE_GONE
	first, second, third := all[0].GetId(), all[1].GetId(), all[2].GetId()

	is.Equal(ids(planWith(live, live, live, live)), map[string]bool{first: true, second: true})
	p := planWith(suspect, live, live, live)
	is.Equal(ids(p), map[string]bool{first: true, second: true}) // a suspect VM keeps its position
	is.Equal(len(p.Usable()), 1)                                 // but receives no work
	is.Equal(len(planWith(suspect, suspect, live, live).Usable()), 2)
	is.Equal(ids(planWith(leaving, live, live, live)), map[string]bool{second: true}) // its position stays empty
	is.Equal(ids(planWith(leaving, leaving, live, live)), map[string]bool{third: true})
	is.Equal(ids(planWith(gone, live, live, live)), map[string]bool{second: true, third: true})
}

func TestPlanNeverExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 120).Draw(t, "limit")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 40), 1, 8).Draw(t, "sizes")
		vms := fleet(sizes...)
		used := 0
		for z := range sizes {
			p := For(service(limit), zoneName(z), vms)
			used += len(p.Members) * p.ConnectionsPerLeaf
		}
		if used > max(1, 2*limit/3) {
			t.Fatalf("%d connections of a limit of %d", used, limit)
		}
		if used == 0 {
			t.Fatal("no VM serves")
		}
	})
}

func TestPlanDoesNotDependOnTheOrderOfTheVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleet(rapid.SliceOfN(rapid.IntRange(1, 20), 1, 5).Draw(t, "sizes")...)
		mixed := rapid.Permutation(vms).Draw(t, "order")
		a, b := For(service(30), zoneName(0), vms), For(service(30), zoneName(0), mixed)
		if fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

func TestOneVMChangesFewMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 60).Draw(t, "limit")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 30), 1, 8).Draw(t, "sizes")
		before := fleet(sizes...)
		z := rapid.IntRange(0, len(sizes)-1).Draw(t, "zone")
		after := append(before[:len(before):len(before)], vm(z, 1000, pb.VmState_VM_STATE_LIVE))
		for zone := range sizes {
			a := ids(For(service(limit), zoneName(zone), before))
			b := ids(For(service(limit), zoneName(zone), after))
			if n := moved(a, b); n > 1 {
				t.Fatalf("%d members changed in zone %d by one VM in zone %d", n, zone, z)
			}
		}
	})
}

// moved returns how many VMs joined or left, whichever is more, so that a replacement counts as one.
func moved(a, b map[string]bool) int {
	joined, left := 0, 0
	for id := range b {
		if !a[id] {
			joined++
		}
	}
	for id := range a {
		if !b[id] {
			left++
		}
	}
	return max(joined, left)
}
