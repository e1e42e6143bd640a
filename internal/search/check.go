package search

import (
	"math"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Mismatch names what of an answer differs from what was asked; it labels the metric.
type Mismatch string

// The ways in which an answer can differ from what was asked.
const (
	MismatchNone     Mismatch = ""
	MismatchRequest  Mismatch = "request_id"
	MismatchService  Mismatch = "service"
	MismatchShard    Mismatch = "shard"
	MismatchSnapshot Mismatch = "snapshot"
	MismatchDigest   Mismatch = "query_digest"
	// MismatchHit is a hit of another shard, or one whose score is not a number.
	MismatchHit Mismatch = "hit"
)

// checkAnswer compares an answer with its question. Only an answer without mismatch is merged.
func checkAnswer(req *pb.LeafSearchRequest, digest uint64, got *pb.LeafSearchResponse) Mismatch {
	switch {
	case got.GetRequestId() != req.GetRequestId():
		return MismatchRequest
	case got.GetService() != req.GetService():
		return MismatchService
	case got.GetShard() != req.GetShard():
		return MismatchShard
	case got.GetSnapshot() != req.GetSnapshot():
		return MismatchSnapshot
	case got.GetQueryDigest() != digest:
		return MismatchDigest
	}
	for _, h := range got.GetHits() {
		if h.GetShard() != req.GetShard() || math.IsNaN(h.GetScore()) {
			return MismatchHit
		}
	}
	return MismatchNone
}
