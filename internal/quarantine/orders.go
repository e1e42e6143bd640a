package quarantine

import (
	"context"
	"errors"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// Step names the quarantine check in outcomes.
const Step = "gather.quarantine"

// errWithheld is returned for an unproven order if the leaf was lost recently or if either the order or
// a request in flight at the leaf has to run exclusively.
var errWithheld = errors.New("withheld from unproven requests: lost recently or needed for an exclusive run")

// OrderCaller is an upstream.Caller that keeps orders which crash leaves from reaching more of them.
// Searches pass through, because the search engine consults the registry itself.
type OrderCaller struct {
	upstream.Caller
	registry *Registry
}

// NewOrderCaller returns a caller that sends orders through c as far as r allows.
func NewOrderCaller(c upstream.Caller, r *Registry) *OrderCaller {
	return &OrderCaller{Caller: c, registry: r}
}

// Execute sends an order unless its content is doubted or quarantined, or the leaf accepts no unproven
// request now. In all these cases nothing has been written to the leaf and the error is an
// *upstream.CallError. For a doubted or quarantined order it wraps an *outcome.Error with the time to
// retry after.
func (c *OrderCaller) Execute(ctx context.Context, leaf string, req *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	digest := OrderDigest(req.GetService(), req.GetKind(), req.GetKey(), req.GetPayload())
	status, retryAfter := c.registry.Status(Key{Digest: digest, FullDigest: digest})
	if status >= Doubted {
		e := outcome.NotRun(pb.Reason_REASON_QUARANTINED, Step, "the order's content was in flight at several upstream crashes").WithRetryAfter(retryAfter)
		return nil, &upstream.CallError{Leaf: leaf, Err: e}
	}
	if status != Proven && c.registry.Withheld(leaf, digest) || !c.registry.TryAcquire(leaf, status == Suspect) {
		return nil, &upstream.CallError{Leaf: leaf, Err: errWithheld}
	}
	res, err := c.Caller.Execute(ctx, leaf, req)
	alone := c.registry.Release(leaf)
	c.recordResult(ctx, digest, leaf, err, alone)
	return res, err
}

func (c *OrderCaller) recordResult(ctx context.Context, digest uint64, leaf string, err error, alone bool) {
	if err == nil {
		c.registry.RecordAnswer(Key{Digest: digest, FullDigest: digest})
		return
	}
	var ce *upstream.CallError
	if !errors.As(err, &ce) || ce.NotStarted() {
		return
	}
	switch {
	case ctx.Err() != nil:
		c.registry.RecordAbandoned(digest, leaf, ce.Incarnation)
	case ce.ConnectionLost && !ce.ConnectionSilent:
		c.registry.RecordUnprovenLoss(digest, leaf, ce.Incarnation, alone)
	}
}
