package soak

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// recordBytes is the length of one record in a part.
	recordBytes = 16
	// partRecords is the number of records that a shard returns for a search, topRecords the number that the
	// merged search returns.
	partRecords, topRecords = 4, 5
)

// part returns the answer of every leaf of the shard to a search with the target.
func part(shard, target string) string {
	var b strings.Builder
	for i := range partRecords {
		fmt.Fprintf(&b, "%016x", xxhash.Sum64String(fmt.Sprint(shard, target, i)))
	}
	return b.String()
}

// merge returns the expected body of a search with the target that covers the shards: the topRecords highest records
// in descending order.
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

// answer returns the answer of a leaf of the service to the request with the ID.
func answer(service, id, target string) string { return service + " " + id + " " + target }
