package admission

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

func newController(slots int) *Controller {
	s := DefaultSettings()
	s.MinConcurrency, s.InitialConcurrency, s.MaxConcurrency = slots, slots, slots
	return New(s, prometheus.NewRegistry(), time.Now, func() float64 { return 0 })
}

// request returns a request of kind k by the named caller.
func request(caller string) Request {
	return Request{Service: "s", Kind: &bundle.Kind{Name: "k", Weight: 1}, Caller: &bundle.Caller{Name: caller, Share: 1}}
}

func TestWaitEndsImmediately(t *testing.T) {
	tests := map[string]struct {
		timeout, cancelAfter time.Duration
		want                 pb.Reason
		after                time.Duration
	}{
		"the caller goes away":        {time.Minute, 7 * time.Millisecond, pb.Reason_REASON_CANCELLED, 7 * time.Millisecond},
		"the deadline passes":         {30 * time.Millisecond, time.Minute, pb.Reason_REASON_DEADLINE, 30 * time.Millisecond},
		"the longest wait has passed": {time.Minute, time.Minute, pb.Reason_REASON_QUEUE_FULL, 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newController(1)
				unbounded, err := c.Admit(t.Context(), request("a"))
				is.True(err != nil) // without a deadline nothing is admitted
				is.Equal(unbounded, nil)
				long, cancelLong := context.WithTimeout(t.Context(), time.Hour)
				defer cancelLong()
				slot, err := c.Admit(long, request("a"))
				is.True(err == nil)
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				defer time.AfterFunc(test.cancelAfter, cancel).Stop()
				start := time.Now()
				_, err = c.Admit(ctx, request("b"))
				is.Equal(err.Reason, test.want)
				is.Equal(time.Since(start), test.after)
				slot.Done(ResultOK)
				next, err := c.Admit(long, request("b")) // the slot is free again
				is.True(err == nil)
				next.Done(ResultOK)
			})
		})
	}
}

func TestCallerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(100)
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		r := request("a")
		r.Caller.Rate, r.Caller.Burst = 10, 3
		admitted := func() int {
			n := 0
			for range 10 {
				if s, err := c.Admit(ctx, r); err == nil {
					s.Done(ResultOK)
					n++
				} else {
					is.Equal(err.Reason, pb.Reason_REASON_CALLER_LIMIT)
					is.True(err.RetryAfter > 0)
				}
			}
			return n
		}
		is.Equal(admitted(), 3)
		time.Sleep(200 * time.Millisecond)
		is.Equal(admitted(), 2)
		other, err := c.Admit(ctx, request("b")) // another caller has its own bucket
		is.True(err == nil)
		other.Done(ResultOK)
		c.Prune(&bundle.Bundle{})
		is.Equal(len(c.callers.byName), 0)
	})
}

// TestImmediateResendsDoNotSustainOverload guards against an overload that resends keep up after its
// cause is gone. Callers that resend immediately when refused run against a service that is 20 times
// slower for two seconds. Once that is over, the requests completed per second must be at least nine
// tenths of those before.
func TestImmediateResendsDoNotSustainOverload(t *testing.T) {
	const (
		slots   = 10
		clients = 60
		quick   = 10 * time.Millisecond
		slow    = 20 * quick
		think   = 60 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(slots)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var service atomic.Int64
		var done, refused atomic.Int32
		service.Store(int64(quick))
		for i := range clients {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				for ctx.Err() == nil {
					rctx, stop := context.WithTimeout(ctx, 300*time.Millisecond)
					if s, err := c.Admit(rctx, request("a")); err != nil {
						refused.Add(1)
						time.Sleep(time.Millisecond) // the round trip
					} else {
						time.Sleep(time.Duration(service.Load()))
						s.Done(ResultOK)
						done.Add(1)
						time.Sleep(think)
					}
					stop()
				}
			}()
		}
		count := func(d time.Duration) (int, int) {
			done.Store(0)
			refused.Store(0)
			time.Sleep(d)
			return int(done.Load()), int(refused.Load())
		}
		count(time.Second)
		before, _ := count(time.Second)
		service.Store(int64(slow))
		_, storm := count(2 * time.Second)
		is.True(storm > 1000) // the resends flooded the limiter
		service.Store(int64(quick))
		count(slow + time.Second)
		after, refusedAfter := count(time.Second)
		is.True(after*10 >= before*9)
		is.True(refusedAfter*10 <= after)
		cancel()
		time.Sleep(time.Second)
	})
}
