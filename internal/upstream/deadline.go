package upstream

import (
	"context"
	"time"
)

type workDeadlineKey struct{}

// WithWorkDeadline returns a context for an order whose leaf is told to give it up at the deadline,
// while its sender waits for the answer for as long as the context runs. Nothing is sent after the
// deadline. An order can't be sent again, so a late answer is worth more than none: a leaf that
// refuses the order at its deadline, or was only paused, still tells how it ended.
func WithWorkDeadline(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, workDeadlineKey{}, deadline)
}

// workDeadline returns the deadline that the context gives to leaves, zero where it gives none.
func workDeadline(ctx context.Context) time.Time {
	d, _ := ctx.Value(workDeadlineKey{}).(time.Time)
	return d
}
