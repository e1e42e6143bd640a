package upstream

import (
	"context"
	"time"
)

type workDeadlineKey struct{}

// WithWorkDeadline returns a context for an order whose leaf must give it up at the deadline, while
// the sender waits for the answer until the context ends. Nothing is sent after the deadline. An
// order cannot be resent, so a late answer is better than none: a leaf that refuses the order at
// its deadline, or was only paused, still reports how the order ended.
func WithWorkDeadline(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, workDeadlineKey{}, deadline)
}

// workDeadline returns the deadline that the context sets for leaves, zero if it sets none.
func workDeadline(ctx context.Context) time.Time {
	d, _ := ctx.Value(workDeadlineKey{}).(time.Time)
	return d
}
