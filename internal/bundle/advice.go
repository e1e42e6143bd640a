package bundle

import (
	"fmt"
	"maps"
	"slices"
)

// Advise returns warnings about a valid bundle for its reviewer: shards that the loss of one leaf or
// of one availability zone would leave without a replica, and leaves that hold no shard of the newest
// snapshot. Services come in order of their names.
func Advise(b *Bundle) []string {
	var advice []string
	for _, name := range slices.Sorted(maps.Keys(b.Services)) {
		s := b.Services[name]
		add := func(format string, args ...any) {
			advice = append(advice, fmt.Sprintf("service %q: ", name)+fmt.Sprintf(format, args...))
		}
		newest := s.Snapshots[0]
		single, oneZone, used := replicaRisks(s, newest)
		if single > 0 {
			add("%d of %d shards of snapshot %d have a single replica", single, len(newest.Shards), newest.Version)
		}
		if oneZone > 0 {
			add("%d of %d shards of snapshot %d have all replicas in one availability zone", oneZone, len(newest.Shards), newest.Version)
		}
		if idle := len(s.Leaves) - used; idle > 0 {
			add("%d leaves hold no shard of snapshot %d", idle, newest.Version)
		}
	}
	return advice
}

// replicaRisks counts the shards with a single replica, the shards whose several replicas are all in
// one availability zone, and the leaves that hold a shard.
func replicaRisks(s *Service, sn *Snapshot) (single, oneZone, used int) {
	leaves := make(map[string]bool)
	for _, sh := range sn.Shards {
		zones := make(map[string]bool)
		for _, id := range sh.Leaves {
			leaves[id] = true
			zones[s.Leaves[id].Zone] = true
		}
		switch {
		case len(sh.Leaves) == 1:
			single++
		case len(zones) == 1:
			oneZone++
		}
	}
	return single, oneZone, len(leaves)
}
