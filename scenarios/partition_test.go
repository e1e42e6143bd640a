package scenarios

import (
	"fmt"
	"strconv"
	"strings"
)

// partition describes the shards of a snapshot and the groups of leaves that hold them.
type partition struct {
	snapshot uint64
	shards   int
	// groups is the number of groups of leaves, moved the number of groups by which each shard has moved.
	groups, moved int
}

// parsePartition parses "2" as snapshot 2 with the partition of the layout, and "2/5" as snapshot 2 with
// 5 shards, each at the next group of leaves: a repartition moves every shard. It panics on any other
// text, which can only come from a script.
func parsePartition(text string, groups int) partition {
	version, shards, repartitioned := strings.Cut(text, "/")
	n, err := strconv.ParseUint(version, 10, 64)
	p := partition{snapshot: n, shards: groups, groups: groups}
	if err == nil && repartitioned {
		p.moved = 1
		p.shards, err = strconv.Atoi(shards)
	}
	if err != nil || p.shards < 1 {
		panic(fmt.Sprintf("want a snapshot as 2 or 2/5, got %q", text))
	}
	return p
}

// group returns the group of leaves that holds the shard.
func (p partition) group(shard int) int { return (shard + p.moved) % p.groups }

// verbShards is: shards LEAF PARTITION... . It sets which shards of the snapshots the leaves hold.
func verbShards(f *fleet, a *arguments) error {
	if err := a.validate(2, anyNumber); err != nil {
		return err
	}
	leaves, err := f.leavesNamed(a.words[0])
	if err != nil {
		return err
	}
	for _, text := range a.words[1:] {
		p := parsePartition(text, f.layout.Shards)
		for _, n := range leaves {
			held := make([]uint32, 0, p.shards)
			for shard := range p.shards {
				if p.group(shard) == n.shard {
					held = append(held, uint32(shard))
				}
			}
			if err := putJSON(leafURL(n, "/shards"), map[string]any{"snapshot": p.snapshot, "shards": held}); err != nil {
				return err
			}
		}
	}
	return nil
}
