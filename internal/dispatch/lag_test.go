package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A partial answer must reach its caller in time at any distance, and be made no earlier than that requires. With
// one fixed margin, callers 8 ms away got a twelfth of their answers late, and those 1 ms away waited for less
// time than they could.
func TestPartialAnswerReachesItsCallerInTime(t *testing.T) {
	const target = 150 * ms
	for name, tt := range map[string]struct {
		roundTrip, lag time.Duration
		newConnection  bool
		unused         time.Duration
	}{
		"near":                   {roundTrip: 2 * ms, unused: 11 * ms},
		"far":                    {roundTrip: 16 * ms, unused: 11 * ms},
		"far, new connection":    {roundTrip: 16 * ms, newConnection: true, unused: 11 * ms},
		"VM with lag":            {roundTrip: 2 * ms, lag: 3 * ms, unused: 20 * ms},
		"not known":              {unused: 17 * ms}, // 6 ms of it are the assumed round trip
		"much too far to answer": {roundTrip: 400 * ms, unused: target / 4},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				for _, r := range []string{"-a", "-b", "-c"} {
					w.set("s3"+r, ok(time.Hour))
				}
				start := time.Now()
				a := w.engine.Serve(t.Context(), &Request{
					ID: "r", Method: "GET", Host: "h", Path: "/s/q", Target: "/s/q", Remaining: time.Second, Arrived: start,
					RoundTrip: tt.roundTrip, Lag: tt.lag, NewConnection: tt.newConnection,
				})
				is.Equal(a.Missing, 1)
				passed := tt.roundTrip + time.Since(start)
				if tt.newConnection {
					passed += tt.roundTrip
				}
				if tt.roundTrip > target/4 {
					passed -= tt.roundTrip
				}
				is.Equal(target-passed, tt.unused)
			})
		})
	}
}

// A scheduling lag is learned within about twenty observations and forgotten over some hundred.
func TestLagIsLearned(t *testing.T) {
	is := is.New(t)
	var l lag
	for range 30 {
		l.observe(5 * time.Millisecond)
	}
	is.True(l.now() > 4*time.Millisecond)
	for range 200 {
		l.observe(0)
	}
	is.True(l.now() < time.Millisecond)
}
