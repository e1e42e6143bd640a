package upstream

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
)

type decidedKey struct{}

// WithDecisionTime returns a context for a call that the sender decided on at the given time, when
// its view of the fleet still held. The call is not sent, and a leaf that reports its uptime does
// not start it, if it would arrive more than feed.MaxSendDelay later. This holds however long the
// process is paused after its decision, because the leaf checks it. A call without a decision time
// may be sent at any time.
func WithDecisionTime(ctx context.Context, decided time.Time) context.Context {
	return context.WithValue(ctx, decidedKey{}, decided)
}

// decisionTime returns the time set by WithDecisionTime, zero if none is set.
func decisionTime(ctx context.Context) time.Time {
	t, _ := ctx.Value(decidedKey{}).(time.Time)
	return t
}

// errTooLate is the cause of a call that is not sent because it would arrive too long after the
// sender's decision.
var errTooLate = errors.New("too long since the call was decided on")

// tooLate reports whether a call that was decided on at the given time may no longer be sent.
func tooLate(decided time.Time) bool {
	return !decided.IsZero() && time.Since(decided) > feed.MaxSendDelay
}

// searchArrivingBy returns a copy of the request with the limit, as several calls share a request.
func searchArrivingBy(req *pb.LeafSearchRequest, limit *durationpb.Duration) *pb.LeafSearchRequest {
	return &pb.LeafSearchRequest{
		RequestId: req.GetRequestId(), Service: req.GetService(), Shard: req.GetShard(),
		Snapshot: req.GetSnapshot(), Query: req.GetQuery(), TopK: req.GetTopK(), ArriveBy: limit,
	}
}

// arriveBy returns the limit that a call on the connection names, in the leaf's uptime, for a call
// that was decided on at the given local time. It returns nil if the leaf's uptime is not known, or if
// the call has no decision time.
func (l *leaf) arriveBy(c *conn, decided time.Time) *durationpb.Duration {
	if decided.IsZero() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	uptime, ok := l.clock.uptimeAt(c.incarnation, decided.Add(feed.MaxSendDelay))
	if !ok {
		return nil
	}
	return durationpb.New(uptime)
}
