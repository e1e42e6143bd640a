package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"

	"github.com/burdockplank/burdockplank/internal/wait"
)

// resendPause limits how fast a caller that resends at once can loop on an unreachable entry.
const resendPause = time.Millisecond

// Runner sends the schedule of its settings and records the replies.
type Runner struct {
	settings *Settings
	sender   Sender
	counters Counters
	recorder *Recorder
	rotation *rotation
	inFlight atomic.Int64
}

// NewRunner returns a runner for validated settings.
func NewRunner(s *Settings, sender Sender, counters Counters) *Runner {
	return &Runner{settings: s, sender: sender, counters: counters, rotation: newRotation(&s.Load)}
}

// Run sends every arrival at its intended time, waits for the requests in flight, and returns the
// result. If ctx ends first, Run sends no more and still waits for the replies to those in flight.
func (r *Runner) Run(ctx context.Context) (*Result, error) {
	r.recorder = NewRecorder(len(r.settings.Phases), len(r.settings.Mix))
	before, err := r.counters.Read(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	r.sendAll(ctx, start)
	elapsed := time.Since(start)
	after, err := r.counters.Read(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	return newResult(r.settings, r.recorder, after.sub(before), elapsed), nil
}

func (r *Runner) sendAll(ctx context.Context, start time.Time) {
	balancer, stop := context.WithCancel(ctx)
	go r.rotation.run(balancer)
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	schedule := NewSchedule(r.settings.phases(), r.settings.weights(), r.settings.Load.Seed)
	for range r.settings.Load.MaxRequests {
		a, ok := schedule.Next()
		if !ok || !wait.For(ctx, time.Until(start.Add(a.At))) {
			return
		}
		if r.inFlight.Load() >= int64(r.settings.Load.MaxInFlight) {
			r.recorder.Dropped(a)
			continue
		}
		r.inFlight.Add(1)
		wg.Go(func() {
			defer r.inFlight.Add(-1)
			r.request(ctx, a, start.Add(a.At))
		})
	}
}

// request sends one request, and resends it until a reply is final.
func (r *Runner) request(ctx context.Context, a Arrival, intended time.Time) {
	req := &Request{Mix: &r.settings.Mix[a.Mix], Sequence: a.Sequence}
	from := intended
	for resends := 0; ; resends++ {
		reply := r.sender.Send(context.WithoutCancel(ctx), r.rotation.pick(), req)
		r.recorder.Sent(a, reply, time.Since(from))
		pause, resend := r.resendAfter(reply, resends)
		if !resend || !wait.For(ctx, pause) {
			r.recorder.Ended(a, reply, time.Since(intended))
			return
		}
		from = time.Now()
	}
}

// resendAfter reports whether the caller resends after the reply, and after which pause.
func (r *Runner) resendAfter(reply Reply, resends int) (time.Duration, bool) {
	if reply.answered() || resends >= r.settings.Load.MaxResends {
		return 0, false
	}
	switch r.settings.Load.Resend {
	case ResendAtOnce:
		return resendPause, !isPermanent(reply.Reason)
	case ResendRetryAfter:
		return reply.RetryAfter, reply.RetryAfter > 0
	}
	return 0, false
}

// isPermanent reports whether a resend of the same request can only end with the same reason.
func isPermanent(reason pb.Reason) bool {
	switch reason {
	case pb.Reason_REASON_INVALID_REQUEST, pb.Reason_REASON_UNAUTHENTICATED, pb.Reason_REASON_UNKNOWN_SERVICE,
		pb.Reason_REASON_TOO_LARGE, pb.Reason_REASON_DEADLINE_INVALID, pb.Reason_REASON_TICKET_INVALID,
		pb.Reason_REASON_TICKET_EXPIRED, pb.Reason_REASON_TICKET_REUSED, pb.Reason_REASON_INCARNATION_GONE,
		pb.Reason_REASON_SEALED:
		return true
	}
	return false
}
