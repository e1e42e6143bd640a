// Package retrybudget bounds the extra calls (hedges, and retries of failed or refused calls) that one
// VM sends to a service. The platform bounds them over the whole fleet: a ratio of the service's
// requests in a window, plus a slack. Each VM takes the ratio of the requests it sees itself, and its
// part of the slack, so that the sum holds however the callers are spread over the VMs.
package retrybudget

import "sync"

const (
	// ratioUsed is the part of the allowed ratio that is used: what a window's edge cuts off of its
	// requests is given away beforehand.
	ratioUsed = 0.95
	// slackUsed is the part of the allowed slack that is used. The rest is for VMs that start or wake
	// with a full bucket while the others still count them as absent.
	slackUsed = 0.6
	// lowMark is the part of a bucket below which extra calls that can wait are held back for those
	// that can't.
	lowMark = 0.3
)

// Limit is what the platform allows the whole fleet.
type Limit struct {
	// Ratio of extra calls to the requests of a service.
	Ratio float64
	// Slack is how many more there may be in a window.
	Slack float64
}

// Budgets holds a bucket for each service. It is safe for concurrent use.
type Budgets struct {
	limit Limit

	mu sync.Mutex
	// vms in the fleet and tokens by service; guarded by mu.
	vms     int
	buckets map[string]float64
}

// New returns budgets of a fleet of one; buckets start empty, so that restarts in series add nothing.
func New(l Limit) *Budgets { return &Budgets{limit: l, vms: 1, buckets: make(map[string]float64)} }

// SetFleet tells how many VMs share the slack.
func (b *Budgets) SetFleet(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(vms, 1)
}

// capacity of a bucket: in any window a VM sends at most the ratio of its requests plus this. Requires mu.
func (b *Budgets) capacity() float64 { return max(1, b.limit.Slack*slackUsed/float64(b.vms)) }

// Request counts a request to the service.
func (b *Budgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buckets[service] = min(b.capacity(), b.buckets[service]+b.limit.Ratio*ratioUsed)
}

// Take takes an extra call of the service, or refuses. One that can wait is refused sooner.
func (b *Budgets) Take(service string, canWait bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.buckets[service] - 1
	if left < 0 || canWait && left < lowMark*b.capacity() {
		return false
	}
	b.buckets[service] = left
	return true
}

// Left returns the extra calls left for each service.
func (b *Budgets) Left() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.buckets))
	for s, n := range b.buckets {
		out[s] = n
	}
	return out
}
