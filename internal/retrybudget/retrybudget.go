// Package retrybudget bounds the extra calls (hedges, and repeats of failed or refused calls) that one
// VM sends to a service. The platform bounds them over the whole fleet, in any span of a window's
// length: a ratio of the service's requests, plus a slack. Each VM takes the ratio of the requests it
// sees itself, and its part of the slack, so that the sum holds however the callers are spread.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// ratioFraction is the part of the allowed ratio that is used: what a window's edge cuts off of its
	// requests is given away beforehand.
	ratioFraction = 0.95
	// slackFraction is the part of the allowed slack that is used. The rest is for VMs that start anew with
	// nothing spent while what they spent before still counts.
	slackFraction = 0.7
	// deferrableShare and optionalPart are the parts of what is allowed that extra calls of these urgencies
	// may use. Where many leaves refuse, a budget that serves all alike is spent on searches that can do without,
	// and is missing where the one call makes the difference between an answer and none.
	deferrableShare = 0.75
	optionalShare   = 0.5
	// firstWindowShare is the part of what is allowed that a process uses in its first window: what it spent
	// before its start still counts, and nobody remembers it: where all VMs are killed in an overload, both windows
	// together may not exceed what is allowed.
	firstWindowShare = 0.5
	// spansPerWindow is how many spans a window is counted in; a window is at most one span too long.
	spansPerWindow = 20
)

// Urgency says how much depends on an extra call.
type Urgency int

// The urgencies, from the least on.
const (
	// Optional: the request is answered in time without it, or is late already.
	Optional Urgency = iota
	// Waiting: it is needed, but a little later would do.
	Deferrable
	// Needed: without it now the request isn't answered in time.
	Needed
)

// share returns the part of what is allowed that may be used.
func (u Urgency) share() float64 {
	switch u {
	case Optional:
		return optionalShare
	case Deferrable:
		return deferrableShare
	}
	return 1
}

// Limit is what the platform allows the whole fleet.
type Limit struct {
	// Ratio of extra calls to the requests of a service, and Slack how many more there may be, in any
	// span of Window.
	Ratio, Slack float64
	Window       time.Duration
}

// Budgets counts the requests and extra calls of each service. It is safe for concurrent use.
type Budgets struct {
	limit Limit
	clock func() time.Time
	start time.Time

	mu sync.Mutex
	// share of the fleet's slack that this VM may use of each service, and counts by service; guarded by mu.
	share    func(service string) float64
	services map[string]*counts
}

// counts of one service in the latest spans, by the number of the span.
type counts struct {
	number          [spansPerWindow + 1]int64
	requests, extra [spansPerWindow + 1]int
	// lastUsed is the number of the latest span with a request or an extra call.
	lastUsed int64
}

// New returns budgets of a fleet of one in which nothing was spent.
func New(l Limit, clock func() time.Time) *Budgets {
	return &Budgets{limit: l, clock: clock, start: clock(), share: func(string) float64 { return 1 }, services: make(map[string]*counts)}
}

// SetShare tells which part of a service's slack this VM may use; the parts of all VMs are to be 1 together.
func (b *Budgets) SetShare(share func(service string) float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	b.dropIdle()
}

// dropIdle drops services without a request for two windows, such as those of an older set of shards.
// Requires mu.
func (b *Budgets) dropIdle() {
	number, _ := b.span()
	for name, c := range b.services {
		if c.lastUsed < number-2*spansPerWindow {
			delete(b.services, name)
		}
	}
}

// span returns the number of the span that runs, and its place. Requires mu.
func (b *Budgets) span() (number int64, index int) {
	number = b.spanAt(b.clock())
	return number, int(number % (spansPerWindow + 1))
}

// spanAt returns the number of the span at the time.
func (b *Budgets) spanAt(at time.Time) int64 {
	return int64(at.Sub(b.start) * spansPerWindow / max(b.limit.Window, spansPerWindow))
}

// countsOf returns the counts of the service with the span that runs cleared of older ones. Requires mu.
func (b *Budgets) countsOf(service string) (c *counts, number int64, index int) {
	number, index = b.span()
	c = b.services[service]
	if c == nil {
		c = new(counts)
		b.services[service] = c
	}
	if c.number[index] != number {
		c.number[index], c.requests[index], c.extra[index] = number, 0, 0
	}
	return c, number, index
}

// Request counts a request to the service.
func (b *Budgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, number, index := b.countsOf(service)
	c.lastUsed = number
	c.requests[index]++
}

// Take takes an extra call of the service, or refuses. A less urgent one is refused sooner.
func (b *Budgets) Take(service string, u Urgency) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, number, index := b.countsOf(service)
	if !b.allows(service, u, c, number) {
		return false
	}
	c.lastUsed = number
	c.extra[index]++
	return true
}

// AvailableWithin tells whether an extra call of the service that is refused now will be allowed within the time, by what
// the window forgets until then. What requests that come meanwhile would bring isn't counted: a VM that sees one
// in some seconds would wait for them in vain.
func (b *Budgets) AvailableWithin(service string, u Urgency, within time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, number, _ := b.countsOf(service)
	last := b.spanAt(b.clock().Add(within))
	for span := number; span <= last; span++ {
		if b.allows(service, u, c, span) {
			return true
		}
	}
	return false
}

// allows tells whether one extra call more is allowed in the span with the number; the first always is. Requires mu.
func (b *Budgets) allows(service string, u Urgency, c *counts, number int64) bool {
	allowed, spent := b.allowed(service, c, number)
	return float64(spent+1) <= max(allowed*u.share(), 1)
}

// allowed returns how many extra calls the window allows in the span with the number, and how many were spent in
// it. Requests of the oldest span are left out and its extra calls are counted, so that the sum holds in any window.
// Requires mu.
func (b *Budgets) allowed(service string, c *counts, number int64) (allowed float64, spent int) {
	requests := 0
	for i, counted := range c.number {
		age := number - counted
		if age <= spansPerWindow {
			spent += c.extra[i]
		}
		if age < spansPerWindow {
			requests += c.requests[i]
		}
	}
	allowed = b.limit.Ratio*ratioFraction*float64(requests) + b.limit.Slack*slackFraction*b.share(service)
	if number < spansPerWindow {
		allowed *= firstWindowShare
	}
	return allowed, spent
}

// Remaining returns the extra calls left for each service.
func (b *Budgets) Remaining() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.services))
	for s := range b.services {
		c, number, _ := b.countsOf(s)
		allowed, spent := b.allowed(s, c, number)
		out[s] = allowed - float64(spent)
	}
	return out
}
