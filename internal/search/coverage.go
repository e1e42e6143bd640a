package search

import (
	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// shardResult is how one shard of a run stands: merged, or missing for a reason.
type shardResult struct {
	id        uint32
	documents uint64
	// answer is nil while nothing that can be merged has come.
	answer *pb.LeafSearchResponse
	reason pb.Reason
	// peer is the last leaf asked.
	peer string
}

// coverageOf counts only shards whose answer is merged; all others are listed as missing.
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

// coveredShare is the covered share of the answer.
func coveredShare(c *pb.Coverage) float64 {
	return coveredFraction(c.GetDocumentsCovered(), c.GetDocumentsTotal(), int(c.GetShardsCovered()), int(c.GetShardsTotal()))
}

// coveredFraction is the covered share of the documents, 0 to 1; of the shards where no document is listed.
func coveredFraction(documents, allDocuments uint64, shards, allShards int) float64 {
	switch {
	case allDocuments > 0:
		return float64(documents) / float64(allDocuments)
	case allShards > 0:
		return float64(shards) / float64(allShards)
	}
	return 0
}
