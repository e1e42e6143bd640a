package scenarios

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/standin/leaf"
)

// check returns a property of a reply as text, to be compared with the wanted value.
type check func(r *reply) string

// checks holds the KEY=VALUE forms of the verb expect by key.
var checks = map[string]check{
	"reason": func(r *reply) string { return outcome.ReasonName(r.outcome.GetReason()) },
	"step":   func(r *reply) string { return r.outcome.GetStep() },
	"peer":   func(r *reply) string { return r.outcome.GetPeer() },
	"retry_after": func(r *reply) string {
		return yesNo(r.outcome.GetRetryAfter().AsDuration() > 0)
	},
	"coverage": func(r *reply) string {
		c := r.search.GetCoverage()
		return fmt.Sprintf("%d/%d", c.GetShardsCovered(), c.GetShardsTotal())
	},
	"documents": func(r *reply) string {
		c := r.search.GetCoverage()
		return fmt.Sprintf("%d/%d", c.GetDocumentsCovered(), c.GetDocumentsTotal())
	},
	"missing":  func(r *reply) string { return missingShards(r) },
	"hits":     func(r *reply) string { return strconv.Itoa(len(r.search.GetHits())) },
	"snapshot": func(r *reply) string { return strconv.FormatUint(r.search.GetSnapshot(), 10) },
	"bundle": func(r *reply) string {
		return strconv.FormatUint(max(r.search.GetBundleVersion(), r.order.GetBundleVersion()), 10)
	},
	"replayed": func(r *reply) string { return yesNo(r.order.GetReplayed()) },
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// missingShards returns the sorted missing shards, such as "1,3", or "none".
func missingShards(r *reply) string {
	var shards []string
	for _, m := range r.search.GetCoverage().GetMissing() {
		shards = append(shards, strconv.Itoa(int(m.GetShard())))
	}
	if len(shards) == 0 {
		return "none"
	}
	slices.Sort(shards)
	return strings.Join(shards, ",")
}

// expect compares the reply with the wanted name of an outcome and KEY=VALUE checks. The error names
// the first difference.
func expect(r *reply, wants []string) error {
	if r.err != nil {
		return fmt.Errorf("no typed outcome: %w", r.err)
	}
	if err := checkOwnAnswer(r); err != nil {
		return err
	}
	for _, w := range wants {
		key, value, ok := strings.Cut(w, "=")
		var got string
		switch {
		case !ok:
			key, value, got = "outcome", w, outcomeOf(r)
		case key == "within":
			if err := elapsedWithin(r, value); err != nil {
				return err
			}
			continue
		default:
			c := checks[key]
			if c == nil {
				return fmt.Errorf("unknown check %q", key)
			}
			got = c(r)
		}
		if got != value {
			return fmt.Errorf("%s is %s, want %s", key, got, value)
		}
	}
	return nil
}

// outcomeOf returns the name of the outcome, "ticket" for an issued ticket, which has no outcome.
func outcomeOf(r *reply) string {
	if r.issue != nil {
		return "ticket"
	}
	return outcome.KindName(r.outcome.GetKind())
}

func elapsedWithin(r *reply, value string) error {
	bound, err := time.ParseDuration(value)
	if err != nil {
		return err
	}
	if r.elapsed > bound {
		return fmt.Errorf("the reply came after %s, want at most %s", r.elapsed, bound)
	}
	return nil
}

// checkOwnAnswer returns an error if an answer has a hit of another query or another snapshot. Every
// expect runs it.
func checkOwnAnswer(r *reply) error {
	if r.search == nil {
		return nil
	}
	digest := leaf.QueryDigest(r.query)
	if got := r.search.GetQueryDigest(); got != digest {
		return fmt.Errorf("the answer's query digest is %016x, want %016x", got, digest)
	}
	marks := []string{fmt.Sprintf("query %016x", digest), fmt.Sprintf("snapshot %d ", r.search.GetSnapshot())}
	for _, h := range r.search.GetHits() {
		for _, m := range marks {
			if !strings.Contains(h.GetText(), m) {
				return fmt.Errorf("hit %q doesn't carry %q", h.GetText(), m)
			}
		}
	}
	return nil
}
