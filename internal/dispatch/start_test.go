package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/directory"
)

// All VMs have lost power, and callers return before the first VM has its configuration. Requests wait for it as
// long as it is likely to arrive soon. Later they are refused immediately with a retry delay that grows.
func TestRequestsRightAfterTheStart(t *testing.T) {
	for name, tt := range map[string]struct {
		age      time.Duration
		arrives  bool
		outcome  Outcome
		waited   time.Duration
		minRetry time.Duration
	}{
		"configuration is near": {arrives: true, outcome: Served, waited: 40 * ms},
		"none comes":            {outcome: NotRun, waited: 200 * ms, minRetry: 200 * ms},
		"none for a while":      {age: 300 * ms, outcome: NotRun, minRetry: 300 * ms},
		"none for a long time":  {age: time.Minute, outcome: NotRun, minRetry: maxRetryNoConfig},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				configured := w.view
				w.view = &directory.View{}
				time.Sleep(tt.age)
				if tt.arrives {
					time.AfterFunc(30*ms-ms/2, func() {
						w.mu.Lock()
						defer w.mu.Unlock()
						w.view = configured
					})
				}
				a, elapsed := w.ask(t.Context(), "/i/1")
				is.Equal(a.Outcome, tt.outcome)
				is.Equal(elapsed, tt.waited)
				is.True(a.RetryAfter >= tt.minRetry && a.RetryAfter <= 2*tt.minRetry)
			})
		})
	}
}
