package spread

import (
	"math/rand/v2"

	"github.com/burdockplank/burdockplank/internal/membership"
)

// pick chooses a VM that is not judged gone at random, mostly from the own zone. There must be one.
func pick(r *membership.Roster) membership.Peer {
	if len(r.OtherZones) == 0 || len(r.OwnZone) > 0 && rand.Float64() < ownZoneShare {
		return r.OwnZone[rand.N(len(r.OwnZone))]
	}
	return r.OtherZones[rand.N(len(r.OtherZones))]
}

// pickSome chooses up to n distinct VMs as pick does, and not the one of the id but.
func pickSome(r *membership.Roster, n int, but string) []membership.Peer {
	left := r.PresentCount()
	if _, ok := r.Peer(but); ok {
		left--
	}
	chosen := map[string]bool{but: true}
	var out []membership.Peer
	// Few of many are chosen, so a draw seldom repeats; with few VMs the tries are bounded.
	for tries := 0; len(out) < min(n, left) && tries < 16*n; tries++ {
		if p := pick(r); !chosen[p.ID] {
			chosen[p.ID] = true
			out = append(out, p)
		}
	}
	return out
}
