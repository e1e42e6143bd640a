// Package retrybudget bounds the extra calls (hedges, and repeats of failed or refused calls) that one VM sends to
// a service. The platform bounds them for the whole fleet, over any period of one window: a ratio of the service's
// requests, plus a slack. Each VM applies the ratio to the requests that it sees itself and takes its share of the
// slack, so the bound holds for any distribution of callers over VMs.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// ratioFraction is the fraction of the allowed ratio that is used. The rest compensates for the requests that
	// the edge of a window cuts off.
	ratioFraction = 0.95
	// slackFraction is the fraction of the allowed slack that is used. The rest is for VMs that restart with
	// nothing spent while their earlier extra calls still count.
	slackFraction = 0.7
	// deferrableShare and optionalShare are the shares of the allowed calls that extra calls of these urgencies
	// may use. If many leaves refuse calls, a budget without priorities is spent on searches that can do without
	// it and is missing where one call makes the difference between an answer and none.
	deferrableShare = 0.75
	optionalShare   = 0.5
	// firstWindowShare is the share of the allowed calls that a process uses in its first window, because calls
	// made before its start still count but are not known to it. If all VMs are killed during an overload, both
	// windows together must not exceed the limit.
	firstWindowShare = 0.5
	// spansPerWindow is the number of spans in which a window is counted. A window is at most one span too long.
	spansPerWindow = 20
)

// Urgency says how much depends on an extra call.
type Urgency int

// Urgencies in ascending order.
const (
	// Optional: the request is answered in time without the call, or is already late.
	Optional Urgency = iota
	// Deferrable: the call is needed, but can be sent a little later.
	Deferrable
	// Needed: the request is not answered in time unless the call is sent now.
	Needed
)

// share returns the share of the allowed calls that calls of this urgency may use.
func (u Urgency) share() float64 {
	switch u {
	case Optional:
		return optionalShare
	case Deferrable:
		return deferrableShare
	}
	return 1
}

// Limit is the platform's limit for the whole fleet.
type Limit struct {
	// Ratio is the allowed number of extra calls per request of a service, and Slack the number allowed in
	// addition, in any period of length Window.
	Ratio, Slack float64
	Window       time.Duration
}

// Budgets counts the requests and extra calls of each service. It is safe for concurrent use.
type Budgets struct {
	limit Limit
	clock func() time.Time
	start time.Time

	mu sync.Mutex
	// share returns the share of the fleet's slack of a service that this VM may use. services holds the counts by
	// service. Both are guarded by mu.
	share    func(service string) float64
	services map[string]*counts
}

// counts holds the counts of one service in the latest spans, indexed by span number modulo their count.
type counts struct {
	number          [spansPerWindow + 1]int64
	requests, extra [spansPerWindow + 1]int
	// lastUsed is the number of the latest span with a request or an extra call.
	lastUsed int64
}

// New returns unspent budgets for a fleet of one VM.
func New(l Limit, clock func() time.Time) *Budgets {
	return &Budgets{limit: l, clock: clock, start: clock(), share: func(string) float64 { return 1 }, services: make(map[string]*counts)}
}

// SetShare sets the function that returns the share of a service's slack that this VM may use. The shares of all
// VMs must add up to 1.
func (b *Budgets) SetShare(share func(service string) float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	b.dropIdle()
}

// dropIdle drops services without a request or an extra call for two windows, such as those of an older set of
// shards. Requires mu.
func (b *Budgets) dropIdle() {
	number, _ := b.span()
	for name, c := range b.services {
		if c.lastUsed < number-2*spansPerWindow {
			delete(b.services, name)
		}
	}
}

// span returns the number of the current span and its index in counts. Requires mu.
func (b *Budgets) span() (number int64, index int) {
	number = b.spanAt(b.clock())
	return number, int(number % (spansPerWindow + 1))
}

// spanAt returns the number of the span at the given time.
func (b *Budgets) spanAt(at time.Time) int64 {
	return int64(at.Sub(b.start) * spansPerWindow / max(b.limit.Window, spansPerWindow))
}

// countsOf returns the counts of the service after it has cleared the entry of the current span from an older one.
// Requires mu.
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

// Take takes an extra call from the budget of the service and reports whether it is allowed. Calls of lower
// urgency are refused sooner.
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

// AvailableWithin reports whether an extra call to the service that is refused now will be allowed within the
// given time because older calls leave the window. It ignores what future requests would add: a VM that sees one
// request in several seconds would wait for them in vain.
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

// allows reports whether one more extra call is allowed in the given span. The first always is. Requires mu.
func (b *Budgets) allows(service string, u Urgency, c *counts, number int64) bool {
	allowed, spent := b.allowed(service, c, number)
	return float64(spent+1) <= max(allowed*u.share(), 1)
}

// allowed returns how many extra calls the window that ends with the given span allows, and how many were spent in
// it. The requests of the oldest span are not counted but its extra calls are, so that the bound holds in any
// window. Requires mu.
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

// Remaining returns the number of extra calls that remain for each service.
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
