package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// probeInterval is how often an entry's readiness is asked for, probeTimeout bounds one question.
	probeInterval = 50 * time.Millisecond
	probeTimeout  = time.Second
)

// rotation plays the platform's balancer: it leaves out entries that aren't ready, but only some
// time after they have said so.
type rotation struct {
	operators []string
	lag       time.Duration
	// ready asks the operator listener of an entry.
	ready func(ctx context.Context, operator string) bool

	mu sync.Mutex
	// excluded tells which entries get no requests; guarded by mu.
	excluded []bool
}

// newRotation returns a rotation over all entries. Without operator listeners in the settings
// nothing ever leaves it.
func newRotation(s *RunSettings) *rotation {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return &rotation{
		operators: s.Operators, lag: s.BalancerLag.D(), excluded: make([]bool, len(s.Entries)),
		ready: func(ctx context.Context, operator string) bool { return probe(ctx, client, operator) },
	}
}

func probe(ctx context.Context, client *http.Client, operator string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/ready", nil)
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// run asks every entry until ctx ends.
func (r *rotation) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range r.operators {
		wg.Go(func() { r.watch(ctx, i) })
	}
	wg.Wait()
}

// watch takes an entry out and in again, each time the lag after it has changed.
func (r *rotation) watch(ctx context.Context, entry int) {
	// changed is when the entry was first seen to differ from what the rotation says.
	var changed time.Time
	for wait.For(ctx, probeInterval) {
		excluded := !r.ready(ctx, r.operators[entry])
		switch {
		case excluded == r.isExcluded(entry):
			changed = time.Time{}
		case changed.IsZero():
			changed = time.Now()
		case time.Since(changed) >= r.lag:
			r.setExcluded(entry, excluded)
		}
	}
}

func (r *rotation) isExcluded(entry int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.excluded[entry]
}

func (r *rotation) setExcluded(entry int, excluded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excluded[entry] = excluded
}

// pick returns a random entry of those in rotation, or of all where none is.
func (r *rotation) pick() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []int
	for i, excluded := range r.excluded {
		if !excluded {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return rand.IntN(len(r.excluded))
	}
	return in[rand.IntN(len(in))]
}
