package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// burstGap is the mean time between bursts.
	burstGap = 5 * time.Second
	// minBurstCallers and maxBurstCallers bound the callers that a burst adds. Each pauses for burstPause between its
	// requests, so that a burst is several times the usual load and still leaves the machine room for all VMs.
	minBurstCallers, maxBurstCallers = 8, 24
	burstPause                       = 10 * time.Millisecond
	// burstRetries is how often the callers of every other burst repeat a refused request at once, whatever
	// Retry-After says.
	burstRetries = 3
	// retryPause is the pause before such a repeat.
	retryPause = time.Millisecond
)

// bursts draws bursts of callers from a random source of their own, as addedFaults does.
func bursts(seed uint64, size Size) []Event {
	rng := rand.New(rand.NewPCG(seed, 7))
	var out []Event
	for at := drawDuration(rng, burstGap); at < size.Faults; at += drawDuration(rng, burstGap) {
		length := min(drawDuration(rng, maxFaultTime/3), size.Faults-at)
		out = append(out, Event{At: at, For: length, Fault: CallerBurst, Share: rng.Float64(), Pick: rng.Uint64()})
	}
	return out
}

// burst adds callers for the duration of the event. In every other burst they retry at once.
func (tb *testbed) burst(ctx context.Context, e Event) {
	ctx, cancel := context.WithTimeout(ctx, e.For)
	defer cancel()
	retries := 0
	if e.Pick%2 == 0 {
		retries = burstRetries
	}
	n := minBurstCallers + int(e.Share*(maxBurstCallers-minBurstCallers))
	var senders sync.WaitGroup
	for range n {
		number := callers + int(tb.burstCallers.Add(1))
		c := &caller{
			number: number, balancer: tb, rng: rand.New(rand.NewPCG(e.Pick, uint64(number))), pause: burstPause, retries: retries,
		}
		senders.Go(func() { c.run(ctx, &tb.calls) })
	}
	senders.Wait()
}

// refused reports whether the answer promises that the request has not run.
func (c *Call) refused() bool {
	return c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests
}
