package spread

import (
	"math/rand/v2"

	"github.com/burdockplank/burdockplank/internal/membership"
)

// pickPeer returns a random VM that is not judged gone, mostly from the VM's own zone. The roster
// must have one.
func pickPeer(r *membership.Roster) membership.Peer {
	if len(r.OtherZones) == 0 || len(r.OwnZone) > 0 && rand.Float64() < ownZoneShare {
		return r.OwnZone[rand.N(len(r.OwnZone))]
	}
	return r.OtherZones[rand.N(len(r.OtherZones))]
}

// pickPeers returns up to n distinct VMs, chosen as by pickPeer, without the VM that has the ID
// except.
func pickPeers(r *membership.Roster, n int, except string) []membership.Peer {
	available := r.PresentCount()
	if _, ok := r.Peer(except); ok {
		available--
	}
	chosen := map[string]bool{except: true}
	var out []membership.Peer
	// Repeated draws are rare if few of many VMs are chosen. The bound on attempts matters if there
	// are few VMs.
	for attempts := 0; len(out) < min(n, available) && attempts < 16*n; attempts++ {
		if p := pickPeer(r); !chosen[p.ID] {
			chosen[p.ID] = true
			out = append(out, p)
		}
	}
	return out
}
