// Package retrybudget bounds the extra calls (hedges, and repeats of failed or refused calls) that one VM sends to
// a service. The platform bounds them for the whole fleet, over any period of one window: a ratio of the service's
// requests, plus a slack. Each VM applies the ratio to the requests that it sees itself and takes its share of the
// slack, so the bound holds for any distribution of callers over VMs. It holds in each window, also in one that begins
// after most of the requests came: the extra calls of the latest part of a window, however short, are bounded by the
// requests of that part and the slack.
package retrybudget

import (
	"iter"
	"math"
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
	spansPerWindow = 100
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
	// shares holds the share now in force and those of the last window, the oldest first. services holds the counts
	// by service. Both are guarded by mu.
	shares   []timedShare
	services map[string]*counts
}

// timedShare is a function that returns the share of the fleet's slack of a service that this VM may use, and since
// when it is in force.
type timedShare struct {
	of    func(service string) float64
	since time.Time
}

// counts holds the counts of one service in the latest spans, indexed by span number modulo their count.
type counts struct {
	number          [spansPerWindow + 1]int64
	requests, extra [spansPerWindow + 1]int32
	// lastUsed is the number of the latest span with a request or an extra call.
	lastUsed int64
}

// New returns unspent budgets for a fleet of one VM.
func New(l Limit, clock func() time.Time) *Budgets {
	whole := timedShare{of: func(string) float64 { return 1 }, since: clock()}
	return &Budgets{limit: l, clock: clock, start: whole.since, shares: []timedShare{whole}, services: make(map[string]*counts)}
}

// SetShare sets the function that returns the share of a service's slack that this VM may use. The shares of all
// VMs must add up to 1. A share that rises counts once it is in force for a window, because the VMs whose share
// it was may have used it until now. In the first window after the start the newest share counts.
func (b *Budgets) SetShare(share func(service string) float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	b.shares = append(b.shares, timedShare{share, now})
	for len(b.shares) > 1 && (now.Sub(b.shares[1].since) > b.limit.Window || now.Sub(b.start) < b.limit.Window) {
		b.shares = b.shares[1:]
	}
	b.dropIdle()
}

// share returns the share of the service's slack that this VM may use: the least of the last window. Requires mu.
func (b *Budgets) share(service string) float64 {
	least := 1.0
	for _, s := range b.shares {
		least = min(least, s.of(service))
	}
	return least
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

// allows reports whether one more extra call is allowed in the given span. The first of a window always is.
// Requires mu.
func (b *Budgets) allows(service string, u Urgency, c *counts, number int64) bool {
	for p := range b.parts(service, c, number) {
		if float64(p.spent+1) > max(p.allowed*u.share(), 1) {
			return false
		}
	}
	return true
}

// part is the latest part of a window: how many extra calls it allows, and how many were spent in it.
type part struct {
	allowed float64
	spent   int
}

// parts returns the parts of the window that ends with the given span, from the last span alone to the whole window.
// A window may begin with any of them, since the requests before it say nothing about those to come. The requests of
// the oldest span of the whole window are not counted but its extra calls are. Requires mu.
func (b *Budgets) parts(service string, c *counts, number int64) iter.Seq[part] {
	factor := 1.0
	if number < spansPerWindow {
		factor = firstWindowShare
	}
	slack := b.limit.Slack * slackFraction * b.share(service)
	return func(yield func(part) bool) {
		requests, spent := 0, 0
		for age := int64(0); age <= min(spansPerWindow, number); age++ {
			i := (number - age) % (spansPerWindow + 1)
			if c.number[i] == number-age {
				spent += int(c.extra[i])
				if age < spansPerWindow {
					requests += int(c.requests[i])
				}
			}
			allowed := factor * (b.limit.Ratio*ratioFraction*float64(requests) + slack)
			if !yield(part{allowed, spent}) {
				return
			}
		}
	}
}

// Remaining returns the number of extra calls that remain for each service.
func (b *Budgets) Remaining() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.services))
	for s := range b.services {
		c, number, _ := b.countsOf(s)
		out[s] = math.Inf(1)
		for p := range b.parts(s, c, number) {
			out[s] = min(out[s], p.allowed-float64(p.spent))
		}
	}
	return out
}
