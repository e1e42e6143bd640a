package warmup

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// division divides the requests that a cold leaf may get in a window among the VMs. The availability zones divide
// them first, by the list of zones that all VMs have in their settings. So the parts of two zones stay apart while the
// zones are cut off from each other and while the VMs of one know nothing of the others. Within a zone its callers
// divide the zone's part by rank. Parts are whole requests: a fraction of one that every VM rounded down would leave
// the leaf idle.
type division struct {
	zones []string
}

// quota returns the part of total requests to the leaf for the VM self in the zone. callers are the addresses of all
// VMs of that zone that call the leaf's service.
func (d division) quota(leaf catalog.Leaf, total int, callers []string, self, zone string) int {
	rank := rank(leaf.ID, callers, self)
	if rank < 0 {
		return 0
	}
	return dealt(d.zoneQuota(leaf, total, zone), len(callers), rank)
}

// zoneQuota returns the zone's part of total requests to the leaf: the larger half for the leaf's own zone, where the
// way to it is shortest, and the rest for the other zones alike.
func (d division) zoneQuota(leaf catalog.Leaf, total int, zone string) int {
	others := slices.DeleteFunc(slices.Clone(d.zones), func(z string) bool { return z == leaf.Zone })
	if len(others) == 0 && zone == leaf.Zone {
		return total
	}
	own := (total + 1) / 2
	if zone == leaf.Zone {
		return own
	}
	rank := rank(leaf.ID, others, zone)
	if rank < 0 {
		return 0
	}
	return dealt(total-own, len(others), rank)
}

// dealt returns how many of n the receiver of the rank gets if they are dealt one by one to the given number of
// receivers.
func dealt(n, receivers, rank int) int {
	if n <= rank {
		return 0
	}
	return (n-rank-1)/receivers + 1
}

// rank returns the rank of the name among the names for the leaf by rendezvous hashing, or -1 if it is none of
// them. Each leaf ranks them differently.
func rank(leaf catalog.LeafID, names []string, name string) int {
	if !slices.Contains(names, name) {
		return -1
	}
	own, above := weight(leaf, name), 0
	for _, other := range names {
		if other != name && cmp.Or(cmp.Compare(weight(leaf, other), own), cmp.Compare(other, name)) > 0 {
			above++
		}
	}
	return above
}

func weight(leaf catalog.LeafID, name string) uint64 {
	return xxhash.Sum64String(leaf.Name + "\x00" + name)
}
