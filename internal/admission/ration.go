package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// reallocateInterval is how often rations are worked out anew.
	reallocateInterval = 50 * time.Millisecond
	// fairShare is the share of the capacity that callers get by their shares alone, whatever the
	// weight of what they send, so that none starves.
	fairShare = 0.1
	// capacitySwing is how far what is let in swings about the drain, to keep a few requests waiting and
	// no more.
	capacitySwing = 0.2
	// metShare is the share of a demand from which it counts as met, which leaves room for rounding.
	metShare = 0.999
	// minQuotaBurst is how many requests of one caller and weight may come together, at the least.
	minQuotaBurst = 2
)

// demand is how often one caller asks for one weight, in requests a second, and what it is allowed.
type demand struct {
	caller  string
	share   float64
	weight  int
	rate    float64
	allowed float64
}

// allocate shares the capacity out: a part by the callers' shares alone, the rest by weight, heaviest
// first, and by share within a weight. A demand that is met whole is not bounded, so that its ups and
// downs aren't cut. The demands must be sorted heaviest first.
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

// demandGroup is what shares a capacity: the demands of one caller, heaviest first.
type demandGroup []*demand

// unmet returns what the party still wants.
func (g demandGroup) unmet() float64 {
	sum := 0.0
	for _, d := range g {
		sum += d.rate - d.allowed
	}
	return sum
}

// allot allows the party so much, heaviest first.
func (g demandGroup) allot(amount float64) {
	for _, d := range g {
		x := min(amount, d.rate-d.allowed)
		d.allowed += x
		amount -= x
	}
}

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

func groupSingly(demands []*demand) []demandGroup {
	groups := make([]demandGroup, len(demands))
	for i := range demands {
		groups[i] = demands[i : i+1]
	}
	return groups
}

// allotMaxMin shares the capacity among the parties by max-min fairness over their shares, and returns how
// much was given.
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

// quota is one demand as it is counted, with the tokens that it may spend.
type quota struct {
	demand
	arrivals   eventRate
	tokens     float64
	refilledAt time.Time
}

// take spends a token if there is one.
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

// quotaTable counts what is asked for and lets as much in as can be done.
type quotaTable struct {
	// demands are sorted heaviest first.
	demands     []*quota
	allocatedAt time.Time
}

// idleRate, in requests a second, is below which a demand is forgotten.
const idleRate = 0.05

// quotaOf returns the demand of the waiter's caller and weight.
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

// record counts an arrival and returns its demand.
func (t *quotaTable) record(now time.Time, w *waiter) *quota {
	d := t.quotaOf(now, w)
	d.arrivals.add(now)
	return d
}

// reallocate shares the capacity out anew where it is time.
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
