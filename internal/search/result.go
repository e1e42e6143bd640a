package search

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// result makes the answer of an ended run. sent is true where a byte of the request may have
// reached a leaf, in this run or the one before.
func (r *run) result(sent bool) (*pb.SearchResponse, error) {
	if r.refused != nil {
		return nil, refusal(r.refused, sent)
	}
	ends := r.ends()
	coverage := coverageOf(ends)
	if coverage.GetShardsCovered() == 0 || share(coverage) < r.q.kind.MinCoverage {
		return nil, r.unusable(coverage, sent)
	}
	answers := make([]*pb.LeafSearchResponse, 0, len(ends))
	for i := range ends {
		if ends[i].answer != nil {
			answers = append(answers, ends[i].answer)
		}
	}
	return &pb.SearchResponse{
		Outcome: r.outcome(coverage), Hits: merge(answers, r.q.topK), Coverage: coverage,
		Snapshot: r.plan.snapshot.Version, BundleVersion: r.q.bundle.Version,
		RequestId: r.q.identity.GetRequestId(), QueryDigest: r.q.digest,
	}, nil
}

func (r *run) outcome(c *pb.Coverage) *pb.Outcome {
	o := &pb.Outcome{
		Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE, Step: Step, RequestId: r.q.identity.GetRequestId(),
	}
	if len(c.GetMissing()) > 0 {
		o.Kind = pb.OutcomeKind_OUTCOME_KIND_ANSWERED_PARTIAL
		o.Reason, o.Peer = c.GetMissing()[0].GetReason(), c.GetMissing()[0].GetPeer()
	}
	return o
}

// unusable is the end of a search that has too little to answer with.
func (r *run) unusable(c *pb.Coverage, sent bool) *outcome.Error {
	reason, peer := commonReason(c.GetMissing())
	e := outcome.Failed(reason, Step, "%d of %d shards answered", c.GetShardsCovered(), c.GetShardsTotal())
	if !sent {
		e = outcome.NotRun(reason, Step, "no shard was asked")
	}
	return e.WithPeer(peer).WithRetryAfter(r.retryAfter(reason))
}

// commonReason returns the most frequent reason and the first peer it is given for.
func commonReason(missing []*pb.MissingShard) (pb.Reason, string) {
	counts := make(map[pb.Reason]int)
	best, peer := pb.Reason_REASON_UPSTREAM_ERROR, ""
	for _, m := range missing {
		counts[m.GetReason()]++
		if counts[m.GetReason()] > counts[best] {
			best = m.GetReason()
		}
	}
	for _, m := range missing {
		if m.GetReason() == best {
			peer = m.GetPeer()
			break
		}
	}
	return best, peer
}

// retryAfter says when coming back makes sense; never for a caller that has gone.
func (r *run) retryAfter(reason pb.Reason) time.Duration {
	if reason == pb.Reason_REASON_CANCELLED {
		return 0
	}
	return r.e.settings.RetryAfter.D()
}
