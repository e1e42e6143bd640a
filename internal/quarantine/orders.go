package quarantine

import (
	"context"
	"errors"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// Step names this duty in outcomes.
const Step = "gather.quarantine"

// errHeld says that the leaf was lost lately, or runs a suspect alone.
var errHeld = errors.New("the leaf takes no unproven request now")

// OrderCaller is an upstream.Caller that keeps orders which crash leaves from reaching more of them.
// Searches pass; the engine of searches asks the registry itself.
type OrderCaller struct {
	upstream.Caller
	registry *Registry
}

// NewOrderCaller wraps the caller.
func NewOrderCaller(c upstream.Caller, r *Registry) *OrderCaller {
	return &OrderCaller{Caller: c, registry: r}
}

// Execute sends an order unless its content is quarantined, or the leaf takes no unproven request
// now. Nothing has been written then; the error holds the *outcome.Error of a quarantined one.
func (c *OrderCaller) Execute(ctx context.Context, leaf string, req *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	d := OrderDigest(req.GetService(), req.GetKind(), req.GetKey(), req.GetPayload())
	standing, after := c.registry.Standing(Key{Digest: d, Proof: d})
	if standing >= Doubted {
		e := outcome.NotRun(pb.Reason_REASON_QUARANTINED, Step, "the order's content was in flight at several upstream crashes").WithRetryAfter(after)
		return nil, &upstream.CallError{Leaf: leaf, Err: e}
	}
	if standing != Proven && c.registry.Held(leaf, d) || !c.registry.Enter(leaf, standing == Suspect) {
		return nil, &upstream.CallError{Leaf: leaf, Err: errHeld}
	}
	res, err := c.Caller.Execute(ctx, leaf, req)
	alone := c.registry.Leave(leaf)
	c.note(ctx, d, leaf, err, alone)
	return res, err
}

func (c *OrderCaller) note(ctx context.Context, digest uint64, leaf string, err error, alone bool) {
	if err == nil {
		c.registry.Prove(Key{Digest: digest, Proof: digest})
		return
	}
	var ce *upstream.CallError
	if !errors.As(err, &ce) || ce.NotStarted() {
		return
	}
	switch {
	case ctx.Err() != nil:
		c.registry.Abandoned(digest, leaf, ce.Incarnation)
	case ce.ConnectionLost && !ce.ConnectionSilent:
		c.registry.LostUnproven(digest, leaf, ce.Incarnation, alone)
	}
}
