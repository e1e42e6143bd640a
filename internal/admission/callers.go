package admission

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quota"
)

// callers holds the rate limit of each caller at this entry. It is safe for concurrent use.
type callers struct {
	maxRetryAfter time.Duration
	random        Random

	mu sync.Mutex
	// byName is guarded by mu.
	byName map[string]*allowance
}

// allowance is one caller's token bucket and the retry schedule of its refused requests. The mutex of
// callers guards it.
type allowance struct {
	limiter *rate.Limiter
	retries quota.RetrySchedule
}

func newCallers(s Settings, random Random) *callers {
	return &callers{maxRetryAfter: s.MaxRetryAfter.D(), random: random, byName: make(map[string]*allowance)}
}

// take takes one token from the caller's bucket, or returns the refusal. A caller without a rate is not
// limited.
func (c *callers) take(now time.Time, caller *bundle.Caller) *outcome.Error {
	if caller.Rate <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.allowanceOf(now, caller)
	if a.limiter.AllowN(now, 1) {
		return nil
	}
	e := outcome.NotRun(pb.Reason_REASON_CALLER_LIMIT, step, "more than %g requests a second", caller.Rate)
	return e.WithRetryAfter(a.retries.RetryAfter(now, 0, caller.Rate, c.random()))
}

// allowanceOf returns the caller's allowance, updated to the rate and burst in the caller's present
// configuration. It requires mu.
func (c *callers) allowanceOf(now time.Time, caller *bundle.Caller) *allowance {
	a := c.byName[caller.Name]
	if a == nil {
		a = &allowance{limiter: rate.NewLimiter(rate.Limit(caller.Rate), caller.Burst), retries: quota.RetrySchedule{MaxWait: c.maxRetryAfter}}
		c.byName[caller.Name] = a
	}
	if a.limiter.Limit() != rate.Limit(caller.Rate) {
		a.limiter.SetLimitAt(now, rate.Limit(caller.Rate))
	}
	if a.limiter.Burst() != caller.Burst {
		a.limiter.SetBurstAt(now, caller.Burst)
	}
	return a
}

// prune drops the allowances of callers that are not in the bundle.
func (c *callers) prune(b *bundle.Bundle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.byName {
		if b.Callers[name] == nil {
			delete(c.byName, name)
		}
	}
}
