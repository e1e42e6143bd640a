package leaf

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// coldFactor is the factor on the typical service time at the very start.
const coldFactor = 5.0

// random is a random source that is safe for concurrent use.
type random struct {
	mu sync.Mutex
	// rand is guarded by mu.
	rand *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{rand: rand.New(rand.NewPCG(seed, seed))}
}

// chance returns true with the probability share, 0 to 1.
func (r *random) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Float64() < share
}

// normal returns a draw from the standard normal distribution.
func (r *random) normal() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.NormFloat64()
}

// serviceTime draws the service time of one call. age is the time since the leaf's start.
func serviceTime(s *Settings, f *Faults, age time.Duration, r *random) time.Duration {
	t := float64(s.ServiceTime)
	if s.ServiceSigma > 0 {
		t *= math.Exp(s.ServiceSigma * r.normal())
	}
	if cold := s.ColdStart.D(); age < cold {
		remaining := 1 - float64(age)/float64(cold)
		t *= 1 + (coldFactor-1)*remaining
	}
	if f.SlowFactor > 1 && (f.SlowShare == 0 || r.chance(f.SlowShare)) {
		t *= f.SlowFactor
	}
	return time.Duration(t)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
