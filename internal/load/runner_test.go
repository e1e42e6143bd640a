package load

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/settings"
)

const testSettings = `
[load]
entries = ["127.0.0.1:7400"]
max_resends = 3
[[phase]]
name = "calm"
rate = 100.0
duration = "10s"
[[mix]]
service = "teachers"
kind = "dawn"
mode = "search"
weight = 1.0
token = "t"
timeout = "1s"
`

func parseSettings(t *testing.T, text string) *Settings {
	t.Helper()
	s := DefaultSettings()
	if err := settings.Parse("load.toml", []byte(text), &s); err != nil {
		t.Fatal(err)
	}
	return &s
}

// sendFunc adapts a function to Sender.
type sendFunc func(ctx context.Context, r *Request) Reply

func (f sendFunc) Send(ctx context.Context, _ int, r *Request) Reply { return f(ctx, r) }

// fixedCounters counts a fixed number of leaf calls between two reads.
type fixedCounters struct{ reads uint64 }

func (n *fixedCounters) Read(context.Context) (Counts, error) {
	n.reads++
	return Counts{Searches: n.reads * 1050}, nil
}

var whole = Reply{Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE, Coverage: 1, ShardsTotal: 1}

// A stalled server must not hide the delay of the requests that arrive during the stall (coordinated
// omission): they are sent on time, and their latencies include the stall.
func TestStallDelaysAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		stall := sendFunc(func(context.Context, *Request) Reply {
			if since := time.Since(start); since > 4*time.Second && since < 6*time.Second {
				time.Sleep(6*time.Second - since)
			}
			return whole
		})
		r, err := NewRunner(parseSettings(t, testSettings), stall, &fixedCounters{}).Run(t.Context())
		is.NoErr(err)
		k := r.Kinds[0]
		is.True(k.Requests > 900 && k.Requests < 1100)
		is.Equal(k.Answered.P50, 0.001) // the lowest value of the histogram
		is.True(k.Answered.P99 > 1800)  // a fifth of the run stalled, up to 2 s
		is.Equal(k.WholeShare, 1.0)
		is.Equal(r.Leaves.Searches, uint64(1050))
		is.Equal(r.Leaves.Needed, k.Requests)
	})
}

func TestResends(t *testing.T) {
	refusal := Reply{Kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: pb.Reason_REASON_OVERLOAD}
	withRetry := refusal
	withRetry.RetryAfter = 2 * time.Second
	invalid := refusal
	invalid.Reason = pb.Reason_REASON_INVALID_REQUEST
	for name, tc := range map[string]struct {
		resend   Resend
		replies  []Reply
		sends    int
		answered bool
		elapsed  time.Duration
	}{
		"none takes the first reply":        {ResendNone, []Reply{withRetry}, 1, false, 0},
		"at once until answered":            {ResendAtOnce, []Reply{refusal, refusal, whole}, 3, true, 2 * resendPause},
		"at once is limited by MaxResends":  {ResendAtOnce, []Reply{refusal, refusal, refusal, refusal, whole}, 4, false, 3 * resendPause},
		"at once not for permanent reasons": {ResendAtOnce, []Reply{invalid, whole}, 1, false, 0},
		"retry after waits for RetryAfter":  {ResendRetryAfter, []Reply{withRetry, whole}, 2, true, 2 * time.Second},
		"retry after without RetryAfter":    {ResendRetryAfter, []Reply{refusal, whole}, 1, false, 0},
		"an answer is always final":         {ResendAtOnce, []Reply{whole, refusal}, 1, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := parseSettings(t, testSettings)
				s.Load.Resend, s.Load.MaxRequests = tc.resend, 1
				sends := 0
				sender := sendFunc(func(context.Context, *Request) Reply {
					sends++
					return tc.replies[sends-1]
				})
				r, err := NewRunner(s, sender, &fixedCounters{}).Run(t.Context())
				is.NoErr(err)
				k := r.Kinds[0]
				is.Equal(sends, tc.sends)
				is.Equal(k.Sends, uint64(tc.sends))
				is.Equal(k.Requests, uint64(1))
				is.Equal(k.Answered.Count == 1, tc.answered)
				if tc.elapsed > 0 && tc.answered {
					is.True(k.Answered.Max >= tc.elapsed.Seconds()*1000) // counted from the intended start
				}
			})
		})
	}
}

func TestInFlightIsBoundedAndDropsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := parseSettings(t, testSettings)
		s.Load.MaxInFlight = 5
		var mu sync.Mutex
		inFlight, highest := 0, 0
		slow := sendFunc(func(context.Context, *Request) Reply {
			mu.Lock()
			inFlight++
			highest = max(highest, inFlight)
			mu.Unlock()
			time.Sleep(time.Second)
			mu.Lock()
			inFlight--
			mu.Unlock()
			return whole
		})
		r, err := NewRunner(s, slow, &fixedCounters{}).Run(t.Context())
		is.NoErr(err)
		is.Equal(highest, 5)
		is.True(r.Kinds[0].Dropped > 900)
		var table bytes.Buffer
		is.NoErr(r.WriteTable(&table))
		is.True(strings.Contains(table.String(), "dropped"))
	})
}

// An entry that isn't ready keeps getting requests for the balancer's lag, and none after it.
func TestRotationLagsBehindReadiness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRotation(&RunSettings{
			Entries: []string{"a", "b"}, Operators: []string{"a", "b"}, BalancerLag: settings.Duration(time.Second),
		})
		var draining atomic.Bool
		r.ready = func(_ context.Context, operator string) bool { return operator == "a" || !draining.Load() }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.run(ctx)
		}()
		draining.Store(true)
		time.Sleep(time.Second - probeInterval)
		synctest.Wait()
		is.True(!r.isExcluded(1))
		time.Sleep(4 * probeInterval)
		synctest.Wait()
		is.True(r.isExcluded(1))
		is.Equal(r.pick(), 0)
		draining.Store(false)
		time.Sleep(time.Second + 4*probeInterval)
		synctest.Wait()
		is.True(!r.isExcluded(1))
		cancel()
		<-done
	})
}

// A cancelled run sends no more requests, and those in flight still get their replies.
func TestCancelledRunAwaitsRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		slow := sendFunc(func(ctx context.Context, _ *Request) Reply {
			time.Sleep(time.Second)
			if ctx.Err() != nil {
				return Reply{Kind: pb.OutcomeKind_OUTCOME_KIND_FAILED, Untyped: true}
			}
			return whole
		})
		r, err := NewRunner(parseSettings(t, testSettings), slow, &fixedCounters{}).Run(ctx)
		is.NoErr(err)
		is.True(r.Kinds[0].Requests > 400 && r.Kinds[0].Requests < 600) // half of the run
		is.Equal(r.Kinds[0].Answered.Count, r.Kinds[0].Requests)
	})
}
