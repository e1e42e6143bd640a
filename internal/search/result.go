package search

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// response builds the response of an ended run. sent is true if a byte of the request may have reached a leaf, in this
// run or the one before.
func (r *run) response(sent bool) (*pb.SearchResponse, error) {
	if r.refusal != nil {
		return nil, failedIfSent(r.refusal, sent)
	}
	results := r.shardResults()
	coverage := coverageOf(results)
	if coverage.GetShardsCovered() == 0 || coveredShare(coverage) < r.q.kind.MinCoverage {
		return nil, r.insufficientCoverage(coverage, sent)
	}
	answers := make([]*pb.LeafSearchResponse, 0, len(results))
	for i := range results {
		if results[i].answer != nil {
			answers = append(answers, results[i].answer)
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

// insufficientCoverage returns the error of a search whose coverage is too low for an answer.
func (r *run) insufficientCoverage(c *pb.Coverage, sent bool) *outcome.Error {
	reason, peer := commonReason(c.GetMissing())
	e := outcome.Failed(reason, Step, "%d of %d shards answered", c.GetShardsCovered(), c.GetShardsTotal())
	if !sent {
		e = outcome.NotRun(reason, Step, "no shard was asked")
	}
	return e.WithPeer(peer).WithRetryAfter(r.retryAfter(reason))
}

// commonReason returns the most frequent reason and the first peer given for it.
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

// retryAfter returns the delay after which a retry makes sense, 0 for a caller that has gone.
func (r *run) retryAfter(reason pb.Reason) time.Duration {
	if reason == pb.Reason_REASON_CANCELLED {
		return 0
	}
	return r.e.settings.RetryAfter.D()
}
