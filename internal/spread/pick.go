package spread

import (
	"math/rand/v2"

	"github.com/burdockplank/burdockplank/internal/membership"
)

// pickPeer chooses a VM that is not judged gone at random, mostly from the own zone. There must be one.
func pickPeer(r *membership.Roster) membership.Peer {
	if len(r.OtherZones) == 0 || len(r.OwnZone) > 0 && rand.Float64() < ownZoneShare {
		return r.OwnZone[rand.N(len(r.OwnZone))]
	}
	return r.OtherZones[rand.N(len(r.OtherZones))]
}

// pickPeers chooses up to n distinct VMs as pick does, and not the one of the id but.
func pickPeers(r *membership.Roster, n int, except string) []membership.Peer {
	available := r.PresentCount()
	if _, ok := r.Peer(except); ok {
		available--
	}
	chosen := map[string]bool{except: true}
	var out []membership.Peer
	// Few of many are chosen, so a draw seldom repeats; with few VMs the tries are bounded.
	for attempts := 0; len(out) < min(n, available) && attempts < 16*n; attempts++ {
		if p := pickPeer(r); !chosen[p.ID] {
			chosen[p.ID] = true
			out = append(out, p)
		}
	}
	return out
}
