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
	// probeInterval is the interval of an entry's readiness probes, probeTimeout the timeout of one.
	probeInterval = 50 * time.Millisecond
	probeTimeout  = time.Second
)

// rotation simulates the platform's balancer. It excludes an entry that isn't ready, and includes it
// again, only after the lag.
type rotation struct {
	operators []string
	lag       time.Duration
	// ready probes the operator listener of an entry.
	ready func(ctx context.Context, operator string) bool

	mu sync.Mutex
	// excluded is true for the entries that get no requests; guarded by mu.
	excluded []bool
}

// newRotation returns a rotation over all entries. Without operator listeners in the settings no
// entry is ever excluded.
func newRotation(s *RunSettings) *rotation {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return &rotation{
		operators: s.Operators, lag: s.BalancerLag.D(), excluded: make([]bool, len(s.Entries)),
		ready: func(ctx context.Context, operator string) bool { return probe(ctx, client, operator) },
	}
}

// probe reports whether the operator listener answers that the entry is ready.
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

// run probes every entry until ctx ends.
func (r *rotation) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range r.operators {
		wg.Go(func() { r.watch(ctx, i) })
	}
	wg.Wait()
}

// watch excludes and includes one entry. Each takes effect once the entry's readiness has differed
// for the lag.
func (r *rotation) watch(ctx context.Context, entry int) {
	// changed is when the entry's readiness was first seen to differ from its state in the rotation.
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

// pick returns the index of a random entry that isn't excluded, or of any entry if all are.
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
