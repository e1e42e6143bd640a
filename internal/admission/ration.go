package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// reallocateInterval is the time between two computations of the quotas.
	reallocateInterval = 50 * time.Millisecond
	// fairShare is the part of the capacity that is divided by the callers' shares alone, regardless of
	// the weight of their requests, so that no caller starves.
	fairShare = 0.1
	// capacitySwing is how far the rate at which requests are let in departs from the completion rate, as
	// a share of it, to keep a few requests waiting and no more.
	capacitySwing = 0.2
	// metShare is the share of a demand from which it counts as met; it allows for rounding errors.
	metShare = 0.999
	// minQuotaBurst is the least size of a quota's token bucket, in requests.
	minQuotaBurst = 2
)

// demand is the rate at which one caller sends requests of one weight, and the rate that it is allowed.
// Both are in requests per second; an allowed rate of +Inf means no bound.
type demand struct {
	caller  string
	share   float64
	weight  int
	rate    float64
	allowed float64
}

// allocate divides the capacity, in requests per second, among the demands: the part fairShare by the
// callers' shares alone, the rest by weight, heaviest first, and by share within a weight. A demand that
// is met in full is not bounded, so that its fluctuations aren't cut. The demands must be sorted heaviest
// first.
func allocate(capacity float64, demands []*demand) {
	for _, d := range demands {
		d.allowed = 0
	}
	remaining := capacity - allotMaxMin(capacity*fairShare, groupByCaller(demands))
	for i := 0; i < len(demands) && remaining > 0; {
		j := i
		for j < len(demands) && demands[j].weight == demands[i].weight {
			j++
		}
		remaining -= allotMaxMin(remaining, groupSingly(demands[i:j]))
		i = j
	}
	for _, d := range demands {
		if d.allowed >= d.rate*metShare {
			d.allowed = math.Inf(1)
		}
	}
}

// demandGroup holds demands that receive their part of a capacity together: those of one caller, heaviest
// first.
type demandGroup []*demand

// unmet returns the part of the group's demand that is not yet allowed, in requests per second.
func (g demandGroup) unmet() float64 {
	sum := 0.0
	for _, d := range g {
		sum += d.rate - d.allowed
	}
	return sum
}

// allot adds the amount, in requests per second, to the group's allowed rates, heaviest first.
func (g demandGroup) allot(amount float64) {
	for _, d := range g {
		x := min(amount, d.rate-d.allowed)
		d.allowed += x
		amount -= x
	}
}

// groupByCaller returns one group for each caller.
func groupByCaller(demands []*demand) []demandGroup {
	var groups []demandGroup
	index := make(map[string]int)
	for _, d := range demands {
		i, ok := index[d.caller]
		if !ok {
			i = len(groups)
			index[d.caller] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], d)
	}
	return groups
}

// groupSingly returns one group for each demand.
func groupSingly(demands []*demand) []demandGroup {
	groups := make([]demandGroup, len(demands))
	for i := range demands {
		groups[i] = demands[i : i+1]
	}
	return groups
}

// allotMaxMin divides the capacity among the groups by weighted max-min fairness, with their shares as
// weights, and returns how much of it was allotted.
func allotMaxMin(capacity float64, groups []demandGroup) float64 {
	slices.SortFunc(groups, func(a, b demandGroup) int {
		x, y := a.unmet()/a[0].share, b.unmet()/b[0].share
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	shares := 0.0
	for _, g := range groups {
		shares += g[0].share
	}
	given := 0.0
	for _, g := range groups {
		x := min(g.unmet(), (capacity-given)*g[0].share/shares)
		g.allot(x)
		given += x
		shares -= g[0].share
	}
	return given
}

// quota is the measured demand of one caller and weight, with the token bucket of its allowed rate.
type quota struct {
	demand
	arrivals   eventRate
	tokens     float64
	refilledAt time.Time
}

// take takes a token, and reports whether there was one. A quota without a bound always has one.
func (q *quota) take(now time.Time) bool {
	if math.IsInf(q.allowed, 1) {
		return true
	}
	burst := max(minQuotaBurst, q.allowed*reallocateInterval.Seconds())
	q.tokens = min(burst, q.tokens+q.allowed*now.Sub(q.refilledAt).Seconds())
	q.refilledAt = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// quotaTable measures the demands and limits them to the capacity.
type quotaTable struct {
	// demands are sorted by weight, heaviest first.
	demands     []*quota
	allocatedAt time.Time
}

// idleRate, in requests per second, is the rate below which a demand is dropped.
const idleRate = 0.05

// quotaOf returns the quota of the request's caller and weight, and creates it without a bound on first
// use.
func (t *quotaTable) quotaOf(now time.Time, w *waiter) *quota {
	i := 0
	for ; i < len(t.demands) && t.demands[i].weight >= w.weight; i++ {
		if d := t.demands[i]; d.weight == w.weight && d.caller == w.caller {
			d.share = w.share
			return d
		}
	}
	d := &quota{demand: demand{caller: w.caller, share: w.share, weight: w.weight, allowed: math.Inf(1)}, refilledAt: now}
	t.demands = slices.Insert(t.demands, i, d)
	return d
}

// record counts an arrival and returns its quota.
func (t *quotaTable) record(now time.Time, w *waiter) *quota {
	d := t.quotaOf(now, w)
	d.arrivals.add(now)
	return d
}

// reallocate divides the capacity among the quotas again, at most once every reallocateInterval.
func (t *quotaTable) reallocate(now time.Time, capacity float64) {
	if now.Sub(t.allocatedAt) < reallocateInterval {
		return
	}
	t.allocatedAt = now
	t.demands = slices.DeleteFunc(t.demands, func(d *quota) bool { return d.arrivals.perSecond(now) < idleRate })
	demands := make([]*demand, len(t.demands))
	for i, d := range t.demands {
		d.rate = d.arrivals.perSecond(now)
		demands[i] = &d.demand
	}
	allocate(capacity, demands)
}
