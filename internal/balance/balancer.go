package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// hedgeQuantile is the share of calls that should end before a hedge is sent.
	hedgeQuantile = 0.95
	// medianQuantile is the quantile of the median. minHedgeMedians is the least hedge delay, in medians.
	medianQuantile  = 0.5
	minHedgeMedians = 3
	// defaultHedgeDelay is the hedge delay until enough calls were measured, minHedgeDelay the least.
	defaultHedgeDelay = 50 * time.Millisecond
	minHedgeDelay     = time.Millisecond
	// minStaleShare bounds a stale latency estimate from below, as a share of the greater latency of the
	// two candidates.
	minStaleShare = 0.5
	// maxCostRatio is how many times the cost of a leaf at its limit another leaf may cost to be called
	// instead.
	maxCostRatio = 3
	// leafRetention is how long the state of a leaf is kept that no bundle names any more.
	leafRetention = 10 * time.Minute
)

// SuspectHedgeDivisor divides the hedge delay of a call to a suspect leaf.
const SuspectHedgeDivisor = 3

// NoHedge is a hedge delay longer than any call: no hedge is sent.
const NoHedge = time.Hour

// Balancer implements Replicas with the power of two random choices by calls in flight and latency, an
// adaptive concurrency limit for each leaf, slow start, hedge delays, and budgets of hedges and retries.
type Balancer struct {
	clock  Clock
	random Random

	mu sync.Mutex
	// The fields below are guarded by mu. eligible, warm and delays are buffers that calls reuse.
	leaves         map[string]*leafState
	hedges         budget
	retries        budget
	sheds          shedMeter
	counts         Counts
	eligible, warm []candidate
	delays         []time.Duration
	prunedAt       time.Time
}

// Counts counts the decisions of a Balancer since its creation.
type Counts struct {
	Picks uint64 `json:"picks"`
	// AtLimit counts the refused picks: all candidates were at their limit, or it was better to wait for
	// one that was.
	AtLimit uint64     `json:"picks_at_limit"`
	Hedges  ExtraCount `json:"hedges"`
	Retries ExtraCount `json:"retries"`
}

// ExtraCount counts the decisions about hedges, or about retries.
type ExtraCount struct {
	Granted uint64 `json:"granted"`
	// OverBudget and Overloaded count refusals because the budget is spent or the service is overloaded.
	OverBudget uint64 `json:"over_budget"`
	Overloaded uint64 `json:"overloaded"`
}

// candidate is the id and the state of a leaf that may be picked.
type candidate struct {
	id   string
	leaf *leafState
}

var _ Replicas = (*Balancer)(nil)

// New returns a Balancer without leaves.
func New(clock Clock, random Random) *Balancer {
	return &Balancer{clock: clock, random: random, leaves: make(map[string]*leafState)}
}

// Pick implements Replicas.
func (b *Balancer) Pick(candidates []string) (Call, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	c, ok := b.choose(now, candidates)
	if !ok {
		b.counts.AtLimit++
		return nil, false
	}
	c.leaf.sentTimes = append(c.leaf.sentTimes, now)
	c.leaf.limit.begin(now, c.leaf.inFlight())
	b.hedges.recordCall()
	b.retries.recordCall()
	b.counts.Picks++
	sent := &call{
		b: b, id: c.id, leaf: c.leaf, incarnation: c.leaf.incarnation,
		sentAt: now, lateAfter: b.groupDelay(now, candidates), suspect: c.leaf.lateCalls > 0,
	}
	if sent.suspect {
		sent.lateAfter /= SuspectHedgeDivisor
	}
	return sent, true
}

// choose returns the cheaper of two random candidates below their limits. It returns false where a
// candidate at its limit is so much cheaper that it is better to wait for it: otherwise a straggler would
// receive the calls for which the rest of its group has no room. A cold leaf is left out at random, as
// long as there are others. It requires mu.
func (b *Balancer) choose(now time.Time, candidates []string) (candidate, bool) {
	b.eligible, b.warm = b.eligible[:0], b.warm[:0]
	minFullCost := math.Inf(1)
	for _, id := range candidates {
		c := candidate{id, b.leaf(id)}
		if !c.leaf.limit.allows(c.leaf.inFlight()) {
			minFullCost = min(minFullCost, c.leaf.cost(now, 0))
			continue
		}
		b.eligible = append(b.eligible, c)
		if share := c.leaf.share(now); share >= 1 || b.random() < share {
			b.warm = append(b.warm, c)
		}
	}
	from := b.warm
	if len(from) == 0 {
		from = b.eligible
	}
	if len(from) == 0 {
		return candidate{}, false
	}
	best := from[0]
	if len(from) > 1 {
		best = b.cheaper(now, from)
	}
	return best, best.leaf.cost(now, 0) <= maxCostRatio*minFullCost
}

// cheaper draws two different candidates and returns the one of lower cost. It requires mu.
func (b *Balancer) cheaper(now time.Time, from []candidate) candidate {
	i := b.draw(len(from))
	j := b.draw(len(from) - 1)
	if j >= i {
		j++
	}
	one, two := from[i], from[j]
	minLatency := max(one.leaf.latency.get(now), two.leaf.latency.get(now), 1) * minStaleShare
	if two.leaf.cost(now, minLatency) < one.leaf.cost(now, minLatency) {
		return two
	}
	return one
}

// draw returns a random index below n.
func (b *Balancer) draw(n int) int { return min(n-1, int(b.random()*float64(n))) }

// leaf returns the state of a leaf and creates it on first use. It requires mu.
func (b *Balancer) leaf(id string) *leafState {
	l := b.leaves[id]
	if l == nil {
		l = &leafState{limit: limiter{limit: 1}, capacitySetAt: b.clock()}
		b.leaves[id] = l
	}
	return l
}

// SetCapacity implements Replicas.
func (b *Balancer) SetCapacity(id string, slots, sharers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.leaf(id)
	l.capacitySetAt = b.clock()
	l.limit.setCapacity(slots, sharers)
	b.prune(l.capacitySetAt)
}

// prune drops the idle leaves that no bundle has named for leafRetention. It requires mu.
func (b *Balancer) prune(now time.Time) {
	if now.Sub(b.prunedAt) < leafRetention {
		return
	}
	b.prunedAt = now
	for id, l := range b.leaves {
		if l.inFlight() == 0 && now.Sub(l.capacitySetAt) > leafRetention {
			delete(b.leaves, id)
		}
	}
}

// SetIncarnation implements Replicas.
func (b *Balancer) SetIncarnation(id string, incarnation uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.leaf(id); l.incarnation != incarnation {
		l.restart(b.clock(), incarnation)
	}
}

// Report implements Replicas.
func (b *Balancer) Report(id string, load *pb.LeafLoad) {
	if load == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaf(id).report(b.clock(), load)
}

// HedgeAfter implements Replicas. It returns the lower median of the leaves' own hedge delays, so that one
// straggler in a group doesn't delay the hedges of calls to it, and a group that is slow as a whole
// isn't hedged without benefit. It returns NoHedge for an overloaded group.
func (b *Balancer) HedgeAfter(candidates []string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	if b.overloaded(now, candidates) {
		return NoHedge
	}
	return b.groupDelay(now, candidates)
}

// overloaded reports whether all candidates are at their limit or shed recently. It requires mu.
func (b *Balancer) overloaded(now time.Time, candidates []string) bool {
	for _, id := range candidates {
		if !b.leaf(id).overloaded(now) {
			return false
		}
	}
	return len(candidates) > 0
}

// groupDelay returns the hedge delay of a group. It requires mu.
func (b *Balancer) groupDelay(now time.Time, candidates []string) time.Duration {
	b.delays = b.delays[:0]
	for _, id := range candidates {
		if d, ok := b.leaf(id).histogram.hedgeDelay(now); ok {
			b.delays = append(b.delays, d)
		}
	}
	if len(b.delays) == 0 {
		return defaultHedgeDelay
	}
	slices.Sort(b.delays)
	return max(minHedgeDelay, b.delays[(len(b.delays)-1)/2])
}

// AllowHedge implements Replicas.
func (b *Balancer) AllowHedge(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allow(&b.hedges, &b.counts.Hedges, share)
}

// AllowRetry implements Replicas.
func (b *Balancer) AllowRetry(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allow(&b.retries, &b.counts.Retries, share)
}

// allow decides about an extra call and counts the decision. It grants none while the service sheds. It
// requires mu.
func (b *Balancer) allow(from *budget, n *ExtraCount, share float64) bool {
	if b.sheds.overloaded(b.clock()) {
		n.Overloaded++
		return false
	}
	if !from.take(share) {
		n.OverBudget++
		return false
	}
	n.Granted++
	return true
}

// call is one call in flight.
type call struct {
	b    *Balancer
	id   string
	leaf *leafState
	// incarnation is the leaf's incarnation at the call. The result of a call to an earlier incarnation
	// is ignored.
	incarnation uint64
	sentAt      time.Time
	// lateAfter is the elapsed time from which the call counts as late.
	lateAfter time.Duration
	suspect   bool
	// done is guarded by b.mu.
	done bool
}

// Leaf implements Call.
func (c *call) Leaf() string { return c.id }

// Suspect implements Call.
func (c *call) Suspect() bool { return c.suspect }

// Done implements Call.
func (c *call) Done(r Result) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	now := c.b.clock()
	elapsed := now.Sub(c.sentAt)
	c.leaf.removeCall(c.sentAt)
	if c.leaf.incarnation == c.incarnation {
		c.leaf.finish(now, elapsed, elapsed >= c.lateAfter, r)
	}
	c.b.sheds.add(now, r)
}
