package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Half of the bytes between zones on a calm day were lists of members in exchanges, most of them of zones that tell of
// themselves. An exchange with a VM of another zone names the own zone and a few of third zones; a VM that has just
// started gets all, its own zone before others.
func TestMembersForOtherZones(t *testing.T) {
	const perZone = 30
	for name, tt := range map[string]struct {
		known time.Duration
		to    recipient
		few   bool
		first string // the zone that takes precedence
	}{
		"another zone":         {time.Minute, recipient{address: "b-0", zone: "b"}, true, "a"},
		"own zone":             {time.Minute, recipient{address: "a-0", zone: "a"}, false, "a"},
		"just started":         {time.Second, recipient{address: "b-0", zone: "b"}, false, "a"},
		"without state":        {time.Minute, recipient{address: "b-0", zone: "b", starting: true}, false, "b"},
		"an unknown recipient": {time.Minute, recipient{address: "x"}, false, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, _ := newNetwork().vm("self", "a", 1)
			now := time.Now()
			for _, zone := range []string{"a", "b", "c"} {
				for i := range perZone {
					m.mergeRecord(&pb.FleetMember{Address: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Incarnation: 1, Heartbeat: 1}, now.Add(-tt.known))
				}
			}
			named := make(map[string]int)
			for _, r := range m.sampleMembers(now, tt.to) {
				named[r.GetZone()]++
			}
			if tt.few {
				is.Equal(named, map[string]int{"a": perZone, "c": thirdZoneMemberSlots})
				return
			}
			is.Equal(named["a"]+named["b"]+named["c"], maxMembersPerExchange)
			is.True(named[tt.first] >= ownZoneMemberSlots)
		})
	}
}

// Guards against VMs that take different gateways for those of a zone, or one that is about to end.
func TestGateways(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	a, _ := n.vm("a", "z", 1)
	b, _ := n.vm("b", "z", 1)
	far, _ := n.vm("far", "y", 1)
	for _, to := range []string{"b", "far", "b"} {
		a.exchange(t.Context(), to, false)
	}
	is.Equal(len(a.Gateways()["z"]), 2)
	is.Equal(a.Gateways(), b.Gateways())
	is.Equal(far.Gateways()["y"], []VM{{Address: "far", Zone: "y"}})
	b.Leave()
	a.exchange(t.Context(), "b", false)
	is.Equal(a.Gateways()["z"], []VM{{Address: "a", Zone: "z"}})
	is.Equal(b.Gateways()["z"], []VM{{Address: "a", Zone: "z"}})
}
