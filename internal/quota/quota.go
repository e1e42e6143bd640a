// Package quota divides a capacity among priorities and callers, estimates event rates and spreads retries over time.
// It has no clock and performs no I/O: callers pass the time in.
package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// reallocateInterval is the time between two computations of the quotas.
	reallocateInterval = 50 * time.Millisecond
	// FairShare is the part of the capacity that is divided by the callers' shares alone, regardless of
	// the weight of their requests, so that no caller starves.
	FairShare = 0.1
	// metShare is the share of a demand from which it counts as met; it allows for rounding errors.
	metShare = 0.999
	// minQuotaBurst is the least size of a quota's token bucket, in requests.
	minQuotaBurst = 2
)

// Key identifies the requests of one weight of one caller, and holds the caller's share.
type Key struct {
	Caller string
	Share  float64
	// Weight is the priority of the requests; the heaviest go first.
	Weight int
}

// Demand is the rate at which one caller sends requests of one weight, and the rate that it is allowed.
// Both are in requests per second; an allowed rate of +Inf means no bound.
type Demand struct {
	Key
	Rate    float64
	Allowed float64
}

// Allocate divides the capacity, in requests per second, among the demands: the part FairShare by the
// callers' shares alone, the rest by weight, heaviest first, and by share within a weight. A demand that
// is met in full is not bounded, so that its fluctuations aren't cut. The demands must be sorted heaviest
// first.
func Allocate(capacity float64, demands []*Demand) {
	for _, d := range demands {
		d.Allowed = 0
	}
	remaining := capacity - allotMaxMin(capacity*FairShare, groupByCaller(demands))
	for i := 0; i < len(demands) && remaining > 0; {
		j := i
		for j < len(demands) && demands[j].Weight == demands[i].Weight {
			j++
		}
		remaining -= allotMaxMin(remaining, groupSingly(demands[i:j]))
		i = j
	}
	for _, d := range demands {
		if d.Allowed >= d.Rate*metShare {
			d.Allowed = math.Inf(1)
		}
	}
}

// demandGroup holds demands that receive their part of a capacity together: those of one caller, heaviest
// first.
type demandGroup []*Demand

// unmet returns the part of the group's demand that is not yet allowed, in requests per second.
func (g demandGroup) unmet() float64 {
	sum := 0.0
	for _, d := range g {
		sum += d.Rate - d.Allowed
	}
	return sum
}

// allot adds the amount, in requests per second, to the group's allowed rates, heaviest first.
func (g demandGroup) allot(amount float64) {
	for _, d := range g {
		x := min(amount, d.Rate-d.Allowed)
		d.Allowed += x
		amount -= x
	}
}

// groupByCaller returns one group for each caller.
func groupByCaller(demands []*Demand) []demandGroup {
	var groups []demandGroup
	index := make(map[string]int)
	for _, d := range demands {
		i, ok := index[d.Caller]
		if !ok {
			i = len(groups)
			index[d.Caller] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], d)
	}
	return groups
}

// groupSingly returns one group for each demand.
func groupSingly(demands []*Demand) []demandGroup {
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
		x, y := a.unmet()/a[0].Share, b.unmet()/b[0].Share
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
		shares += g[0].Share
	}
	given := 0.0
	for _, g := range groups {
		x := min(g.unmet(), (capacity-given)*g[0].Share/shares)
		g.allot(x)
		given += x
		shares -= g[0].Share
	}
	return given
}

// Quota is the measured demand of one caller and weight, with the token bucket of its allowed rate.
type Quota struct {
	Demand
	arrivals   Rate
	tokens     float64
	refilledAt time.Time
}

// Take takes a token, and reports whether there was one. A quota without a bound always has one.
func (q *Quota) Take(now time.Time) bool {
	if math.IsInf(q.Allowed, 1) {
		return true
	}
	burst := max(minQuotaBurst, q.Allowed*reallocateInterval.Seconds())
	q.tokens = min(burst, q.tokens+q.Allowed*now.Sub(q.refilledAt).Seconds())
	q.refilledAt = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// Table measures the demands and limits them to the capacity. Its zero value is empty. The caller serializes its calls.
type Table struct {
	// demands are sorted by weight, heaviest first.
	demands     []*Quota
	allocatedAt time.Time
}

// idleRate, in requests per second, is the rate below which a demand is dropped.
const idleRate = 0.05

// quotaOf returns the quota of the caller and weight, and creates it without a bound on first use.
func (t *Table) quotaOf(now time.Time, k Key) *Quota {
	i := 0
	for ; i < len(t.demands) && t.demands[i].Weight >= k.Weight; i++ {
		if d := t.demands[i]; d.Weight == k.Weight && d.Caller == k.Caller {
			d.Share = k.Share
			return d
		}
	}
	d := &Quota{Demand: Demand{Key: k, Allowed: math.Inf(1)}, refilledAt: now}
	t.demands = slices.Insert(t.demands, i, d)
	return d
}

// Record counts an arrival and returns its quota.
func (t *Table) Record(now time.Time, k Key) *Quota {
	d := t.quotaOf(now, k)
	d.arrivals.Add(now)
	return d
}

// Reallocate divides the capacity among the quotas again, at most once every reallocateInterval.
func (t *Table) Reallocate(now time.Time, capacity float64) {
	if now.Sub(t.allocatedAt) < reallocateInterval {
		return
	}
	t.allocatedAt = now
	t.demands = slices.DeleteFunc(t.demands, func(d *Quota) bool { return d.arrivals.PerSecond(now) < idleRate })
	demands := make([]*Demand, len(t.demands))
	for i, d := range t.demands {
		d.Rate = d.arrivals.PerSecond(now)
		demands[i] = &d.Demand
	}
	Allocate(capacity, demands)
}
