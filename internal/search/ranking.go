package search

import (
	"cmp"
	"slices"

	"github.com/burdockplank/burdockplank/internal/rendezvous"
)

// maxFirstRunLeaves is how many leaves in the whole fleet may get the first call of one request, and so the maximum
// that the request can crash: every gather ranks the leaves alike.
const maxFirstRunLeaves = 3

// ranked is a leaf of the snapshot with its rank for a request.
type ranked struct {
	leaf, zone string
	rank       uint64
	// shard is the index in run.shards of one shard that the leaf holds.
	shard int
}

// ranking holds the leaves of a snapshot by availability zone. Zones and leaves are in the order of their rank for one
// request, which is the same at every gather.
type ranking [][]ranked

func newRanking(r *run) ranking {
	seen := make(map[string]bool)
	byZone := make(map[string][]ranked)
	for i := range r.shards {
		for _, l := range r.shards[i].listed {
			leaf := r.q.service.Leaves[l]
			if seen[l] || leaf == nil {
				continue
			}
			seen[l] = true
			byZone[leaf.Zone] = append(byZone[leaf.Zone], ranked{leaf: l, zone: leaf.Zone, rank: rendezvous.Rank(r.key.Digest, l), shard: i})
		}
	}
	k := make(ranking, 0, len(byZone))
	for _, leaves := range byZone {
		slices.SortFunc(leaves, byRank)
		k = append(k, leaves)
	}
	slices.SortFunc(k, func(a, b []ranked) int {
		ra, rb := rendezvous.Rank(r.key.Digest, a[0].zone), rendezvous.Rank(r.key.Digest, b[0].zone)
		return cmp.Or(cmp.Compare(rb, ra), cmp.Compare(a[0].zone, b[0].zone))
	})
	return k
}

func byRank(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.leaf, b.leaf))
}

// primaries returns the primary leaves of the request: the leaves of each availability zone that may get the first
// call, chosen by rank alone. The next one in a zone is the highest ranked of a shard without a primary, so that a
// crashing request cannot end a whole group, or the highest ranked if each shard has a primary.
func (k ranking) primaries() []ranked {
	var chosen []ranked
	for z, n := range k.quotas() {
		for range n {
			if l, ok := nextLeaf(k[z], chosen, func(string) bool { return false }); ok {
				chosen = append(chosen, l)
			}
		}
	}
	return chosen
}

// withSubstitutes returns the primaries with each absent one replaced by the next in rank of its zone. The others stay:
// if all were chosen anew, gathers that see different leaves would call up to twice as many. A zone that is lost or cut
// off gets no substitutes elsewhere, because the gathers on the other side of a cut still use its primaries.
func (k ranking) withSubstitutes(absent func(leaf string) bool) []ranked {
	chosen := k.primaries()
	for i := 0; i < len(chosen); i++ {
		if !absent(chosen[i].leaf) {
			continue
		}
		others := slices.Delete(slices.Clone(chosen), i, i+1)
		if l, ok := nextLeaf(k.zone(chosen[i].zone), others, absent); ok {
			chosen[i] = l
			continue
		}
		chosen = others
		i--
	}
	return chosen
}

// zone returns the leaves of an availability zone.
func (k ranking) zone(name string) []ranked {
	for _, leaves := range k {
		if leaves[0].zone == name {
			return leaves
		}
	}
	return nil
}

// quotas distributes maxFirstRunLeaves over the availability zones round-robin. A zone gets at most as many as it has
// leaves.
func (k ranking) quotas() []int {
	quotas := make([]int, len(k))
	for remaining, assigned := maxFirstRunLeaves, true; assigned; {
		assigned = false
		for z := range k {
			if remaining > 0 && quotas[z] < len(k[z]) {
				quotas[z]++
				remaining--
				assigned = true
			}
		}
	}
	return quotas
}

// fallback returns one leaf of an availability zone that has no primary, for use if no primary can be reached. If there
// are more zones than primaries, it lets a zone that is cut off continue alone.
func (k ranking) fallback(zone string, absent func(leaf string) bool) []ranked {
	if l, ok := nextLeaf(k.zone(zone), nil, absent); ok {
		return []ranked{l}
	}
	return nil
}

// nextLeaf returns the next leaf to choose from the leaves of an availability zone: the highest ranked that is neither
// chosen nor absent, preferably of a shard without a chosen leaf.
func nextLeaf(leaves, chosen []ranked, absent func(leaf string) bool) (ranked, bool) {
	found := -1
	for i, l := range leaves {
		sameLeaf := slices.ContainsFunc(chosen, func(p ranked) bool { return p.leaf == l.leaf })
		sameShard := slices.ContainsFunc(chosen, func(p ranked) bool { return p.shard == l.shard })
		if sameLeaf || sameShard && found >= 0 || absent(l.leaf) {
			continue
		}
		if !sameShard {
			return l, true
		}
		found = i
	}
	if found < 0 {
		return ranked{}, false
	}
	return leaves[found], true
}

// all reports whether the condition holds for each leaf of the list.
func all(list []ranked, condition func(leaf string) bool) bool {
	return !slices.ContainsFunc(list, func(l ranked) bool { return !condition(l.leaf) })
}

// isAmong reports whether the leaf is one of the list.
func isAmong(list []ranked, leaf string) bool {
	return slices.ContainsFunc(list, func(l ranked) bool { return l.leaf == leaf })
}

// localFirst sorts leaves with those of the local availability zone in front.
func localFirst(leaves []ranked, localZone string) []ranked {
	slices.SortStableFunc(leaves, func(a, b ranked) int {
		switch {
		case a.zone == localZone && b.zone != localZone:
			return -1
		case b.zone == localZone && a.zone != localZone:
			return 1
		}
		return 0
	})
	return leaves
}
