package search

import (
	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// shardResult is the result of one shard of a run: merged, or missing for a reason.
type shardResult struct {
	id        uint32
	documents uint64
	// answer is nil until an answer that can be merged arrives.
	answer *pb.LeafSearchResponse
	reason pb.Reason
	// peer is the leaf called last.
	peer string
}

// coverageOf returns the coverage of the results. Only shards whose answer is merged count as covered; all others are
// listed as missing.
func coverageOf(results []shardResult) *pb.Coverage {
	c := &pb.Coverage{ShardsTotal: uint32(len(results))}
	for i := range results {
		e := &results[i]
		c.DocumentsTotal += e.documents
		if e.answer == nil {
			c.Missing = append(c.Missing, &pb.MissingShard{Shard: e.id, Reason: e.reason, Peer: e.peer})
			continue
		}
		c.ShardsCovered++
		c.DocumentsCovered += e.documents
	}
	return c
}

// coveredShare returns the share of the data that the answer covers, 0 to 1.
func coveredShare(c *pb.Coverage) float64 {
	return coveredFraction(c.GetDocumentsCovered(), c.GetDocumentsTotal(), int(c.GetShardsCovered()), int(c.GetShardsTotal()))
}

// coveredFraction returns the covered fraction of the documents, 0 to 1. If no documents are listed, it returns the
// covered fraction of the shards.
func coveredFraction(documents, allDocuments uint64, shards, allShards int) float64 {
	switch {
	case allDocuments > 0:
		return float64(documents) / float64(allDocuments)
	case allShards > 0:
		return float64(shards) / float64(allShards)
	}
	return 0
}
