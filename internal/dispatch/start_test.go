package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/directory"
)

// All VMs have lost power, and callers come back before the first one has its configuration: they wait for it as
// long as that is likely to come soon, and are refused at once later on, with a time to come back that grows.
func TestRequestsRightAfterTheStart(t *testing.T) {
	for name, tt := range map[string]struct {
		age     time.Duration
		comes   bool
		outcome Outcome
		held    time.Duration
		least   time.Duration
	}{
		"configuration is near": {comes: true, outcome: Served, held: 40 * ms},
		"none comes":            {outcome: NotRun, held: 200 * ms, least: 200 * ms},
		"none for a while":      {age: 300 * ms, outcome: NotRun, least: 300 * ms},
		"none for a long time":  {age: time.Minute, outcome: NotRun, least: retryNoConfigMost},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				there := w.view
				w.view = &directory.View{}
				time.Sleep(tt.age)
				if tt.comes {
					time.AfterFunc(30*ms-ms/2, func() {
						w.mu.Lock()
						defer w.mu.Unlock()
						w.view = there
					})
				}
				a, took := w.ask(t.Context(), "/i/1")
				is.Equal(a.Outcome, tt.outcome)
				is.Equal(took, tt.held)
				is.True(a.RetryAfter >= tt.least && a.RetryAfter <= 2*tt.least)
			})
		})
	}
}
