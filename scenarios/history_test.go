package scenarios

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/standin/leaf"
)

// maxProblems limits the violations in an error; their total is always given.
const maxProblems = 5

// checkHistory compares every reply of the scenario with the leaves' journals:
//
//   - Each hit of an answer comes from the answer's snapshot and query, and the hits are the best
//     ones of exactly the shards that the answer counts as covered.
//   - The coverage is of the shard map of the answer's snapshot and bundle, and every shard that
//     counts as covered was delivered for this request.
//   - An answer names its own request, and no two replies name the same one.
//   - A request that ended as not run never reached a leaf.
func (f *fleet) checkHistory(all []*reply) error {
	j, err := f.journal()
	if err != nil {
		return err
	}
	var problems []error
	seen := make(map[string]bool)
	for _, r := range all {
		err := f.checkReply(r, j)
		if id := r.requestID(); id != "" && seen[id] {
			err = errors.Join(err, fmt.Errorf("two replies name the request %s", id))
		}
		seen[r.requestID()] = true
		if err != nil {
			problems = append(problems, fmt.Errorf("%w\n  in the reply: %s", err, r))
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d replies violate a guarantee:\n%w", len(problems), len(all),
		errors.Join(problems[:min(len(problems), maxProblems)]...))
}

func (f *fleet) checkReply(r *reply, j *journal) error {
	if r.err != nil {
		return nil // the caller got no answer to check; the verb settle counts these
	}
	if r.header != "" && r.requestID() != r.header {
		return fmt.Errorf("the reply names the request %s, its header %s", r.requestID(), r.header)
	}
	if r.search != nil {
		return f.checkAnswer(r, j)
	}
	id := r.requestID()
	switch {
	case r.outcome.GetKind() != pb.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return nil
	case id == "":
		return errors.New("the refusal names no request")
	case j.arrived[id]:
		return fmt.Errorf("request %s was refused as not run but reached a leaf", id)
	}
	return nil
}

// checkAnswer checks an answered search.
func (f *fleet) checkAnswer(r *reply, j *journal) error {
	if err := checkOwnAnswer(r); err != nil {
		return err
	}
	snapshot, topK, err := f.snapshotOf(r)
	if err != nil {
		return err
	}
	covered, err := checkCoverage(r.search, snapshot)
	if err != nil {
		return err
	}
	id := r.requestID()
	exact := true
	var best []*pb.Hit
	for _, shard := range covered {
		counts := j.hitCounts(id, shard, snapshot.Version)
		if len(counts) == 0 {
			return fmt.Errorf("shard %d counts as covered, but no leaf delivered it for %s", shard, id)
		}
		exact = exact && len(counts) == 1
		for n := range counts {
			best = append(best, leaf.Hits(shard, snapshot.Version, r.query, topK, uint64(f.layout.Documents))[:n]...)
		}
	}
	if !exact {
		return nil // replicas delivered a shard with different numbers of hits; any of them is correct
	}
	return sameHits(r.search.GetHits(), topHits(best, topK))
}

// snapshotOf returns the snapshot of the answer and the number of hits that were requested.
func (f *fleet) snapshotOf(r *reply) (*bundle.Snapshot, int, error) {
	b := f.bundles[r.search.GetBundleVersion()]
	if b == nil {
		return nil, 0, fmt.Errorf("bundle %d was never published", r.search.GetBundleVersion())
	}
	wanted := r.request.search
	service := b.Services[wanted.GetService()]
	snapshot := service.Snapshot(r.search.GetSnapshot())
	if snapshot == nil {
		return nil, 0, fmt.Errorf("bundle %d has no snapshot %d", b.Version, r.search.GetSnapshot())
	}
	topK := int(wanted.GetTopK())
	if topK == 0 {
		topK = service.Kinds[wanted.GetKind()].TopK
	}
	return snapshot, topK, nil
}

// checkCoverage compares the coverage with the shard map and returns the covered shards.
func checkCoverage(a *pb.SearchResponse, s *bundle.Snapshot) ([]uint32, error) {
	c := a.GetCoverage()
	missing := make(map[uint32]bool)
	for _, m := range c.GetMissing() {
		missing[m.GetShard()] = true
	}
	var covered []uint32
	var documents uint64
	for _, shard := range s.Shards {
		if !missing[shard.ID] {
			covered = append(covered, shard.ID)
			documents += shard.Documents
		}
		delete(missing, shard.ID)
	}
	whole := a.GetOutcome().GetKind() == pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE
	switch {
	case len(missing) > 0:
		return nil, fmt.Errorf("missing shards that snapshot %d does not have: %v", s.Version, missing)
	case int(c.GetShardsTotal()) != len(s.Shards) || int(c.GetShardsCovered()) != len(covered):
		return nil, fmt.Errorf("shards %d/%d, want %d/%d", c.GetShardsCovered(), c.GetShardsTotal(), len(covered), len(s.Shards))
	case c.GetDocumentsTotal() != s.Documents() || c.GetDocumentsCovered() != documents:
		return nil, fmt.Errorf("documents %d/%d, want %d/%d", c.GetDocumentsCovered(), c.GetDocumentsTotal(), documents, s.Documents())
	case whole != (len(covered) == len(s.Shards)):
		return nil, fmt.Errorf("the outcome is %v with %d of %d shards", a.GetOutcome().GetKind(), len(covered), len(s.Shards))
	}
	return covered, nil
}

// topHits returns the topK best hits in the order of an answer. It sorts hits in place.
func topHits(hits []*pb.Hit, topK int) []*pb.Hit {
	slices.SortFunc(hits, func(a, b *pb.Hit) int {
		return cmp.Or(cmp.Compare(b.GetScore(), a.GetScore()), cmp.Compare(a.GetDocument(), b.GetDocument()), cmp.Compare(a.GetShard(), b.GetShard()))
	})
	return hits[:min(topK, len(hits))]
}

// sameHits compares an answer's hits with the expected ones. Leaves may have padded the text of the
// answer's hits.
func sameHits(got, want []*pb.Hit) error {
	if len(got) != len(want) {
		return fmt.Errorf("%d hits, want %d", len(got), len(want))
	}
	for i, h := range got {
		w := want[i]
		same := h.GetDocument() == w.GetDocument() && h.GetScore() == w.GetScore() && h.GetShard() == w.GetShard()
		if !same || strings.TrimRight(h.GetText(), ".") != w.GetText() {
			return fmt.Errorf("hit %d is %q of shard %d, want %q", i, h.GetText(), h.GetShard(), w.GetText())
		}
	}
	return nil
}
