package leaf

import (
	"encoding/binary"
	"fmt"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// defaultTopK is the number of hits for a search without top_k.
	defaultTopK = 10
	// scoreSpread sets how fast scores fall with the rank; the higher it is, the slower they fall.
	scoreSpread = 8
)

// QueryDigest returns the digest by which an answer identifies the query that it ran.
func QueryDigest(query string) uint64 { return xxhash.Sum64String(query) }

// Hits returns the hits of a query in a shard, highest score first. They are the same on each replica,
// and a shorter list is a prefix of a longer one. The text of each hit contains the query's digest.
func Hits(shard uint32, snapshot uint64, query string, topK int, documents uint64) []*pb.Hit {
	if topK <= 0 {
		topK = defaultTopK
	}
	n := min(uint64(topK), documents)
	digest := QueryDigest(query)
	first := hashOf(digest, shard, snapshot, math.MaxUint64)
	hits := make([]*pb.Hit, 0, n)
	score := 1.0
	for rank := range n {
		uniform := (float64(hashOf(digest, shard, snapshot, rank)>>11) + 1) / (1 << 53)
		score *= math.Pow(uniform, 1.0/scoreSpread)
		hits = append(hits, &pb.Hit{
			Document: fmt.Sprintf("doc-%d-%d", shard, (first+rank)%documents),
			Score:    score,
			Shard:    shard,
			Text:     fmt.Sprintf("snapshot %d shard %d rank %d query %016x", snapshot, shard, rank, digest),
		})
	}
	return hits
}

// hashOf returns a hash of its arguments.
func hashOf(digest uint64, shard uint32, snapshot, rank uint64) uint64 {
	var b [28]byte
	binary.LittleEndian.PutUint64(b[0:], digest)
	binary.LittleEndian.PutUint64(b[8:], snapshot)
	binary.LittleEndian.PutUint64(b[16:], rank)
	binary.LittleEndian.PutUint32(b[24:], shard)
	return xxhash.Sum64(b[:])
}

// padTexts pads the text of each hit to at least size bytes.
func padTexts(hits []*pb.Hit, size int) {
	for _, h := range hits {
		if missing := size - len(h.Text); missing > 0 {
			h.Text += strings.Repeat(".", missing)
		}
	}
}
