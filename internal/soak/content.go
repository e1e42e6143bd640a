package soak

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// recordBytes is the length of a record of a search's part.
	recordBytes = 16
	// partRecords is how many records a shard has for a search, topRecords how many the search returns.
	partRecords, topRecords = 4, 5
)

// part is what each leaf of the shard answers to a search of the target.
func part(shard, target string) string {
	var b strings.Builder
	for i := range partRecords {
		fmt.Fprintf(&b, "%016x", xxhash.Sum64String(fmt.Sprint(shard, target, i)))
	}
	return b.String()
}

// merge is what a search of the target returns that covers the shards.
func merge(shards []string, target string) string {
	var records []string
	for _, s := range shards {
		p := part(s, target)
		for len(p) > 0 {
			records = append(records, p[:recordBytes])
			p = p[recordBytes:]
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	return strings.Join(records[:min(topRecords, len(records))], "")
}

// answer is what a leaf of the service answers to the request of that id.
func answer(service, id, target string) string { return service + " " + id + " " + target }
