package search

import (
	"math"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Mismatch names the field in which an answer differs from its request. It is a label value of the metric.
type Mismatch string

// The ways in which an answer can differ from its request.
const (
	MismatchNone     Mismatch = ""
	MismatchRequest  Mismatch = "request_id"
	MismatchService  Mismatch = "service"
	MismatchShard    Mismatch = "shard"
	MismatchSnapshot Mismatch = "snapshot"
	MismatchDigest   Mismatch = "query_digest"
	// MismatchHit means a hit of another shard, or one whose score is NaN.
	MismatchHit Mismatch = "hit"
)

// checkAnswer compares an answer with its request. Only an answer without a mismatch is merged.
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
