package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// rationTime is how often rations are worked out anew.
	rationTime = 50 * time.Millisecond
	// fairShare is the share of the capacity that callers get by their shares alone, whatever the
	// weight of what they send, so that none starves.
	fairShare = 0.1
	// rationSwing is how far what is let in swings about the drain, to keep a few requests waiting and
	// no more.
	rationSwing = 0.2
	// metWhole is the share of a demand from which it counts as met, which leaves room for rounding.
	metWhole = 0.999
	// rationBurst is how many requests of one caller and weight may come together, at the least.
	rationBurst = 2
)

// demand is how often one caller asks for one weight, in requests a second, and what it is allowed.
type demand struct {
	caller  string
	share   float64
	weight  int
	rate    float64
	allowed float64
}

// ration shares the capacity out: a part by the callers' shares alone, the rest by weight, heaviest
// first, and by share within a weight. A demand that is met whole is not bounded, so that its ups and
// downs aren't cut. The demands must be sorted heaviest first.
func ration(capacity float64, demands []*demand) {
	for _, d := range demands {
		d.allowed = 0
	}
	left := capacity - fill(capacity*fairShare, byCaller(demands))
	for i := 0; i < len(demands) && left > 0; {
		j := i
		for j < len(demands) && demands[j].weight == demands[i].weight {
			j++
		}
		left -= fill(left, each(demands[i:j]))
		i = j
	}
	for _, d := range demands {
		if d.allowed >= d.rate*metWhole {
			d.allowed = math.Inf(1)
		}
	}
}

// party is what shares a capacity: the demands of one caller, heaviest first.
type party []*demand

// open returns what the party still wants.
func (p party) open() float64 {
	sum := 0.0
	for _, d := range p {
		sum += d.rate - d.allowed
	}
	return sum
}

// give allows the party so much, heaviest first.
func (p party) give(amount float64) {
	for _, d := range p {
		x := min(amount, d.rate-d.allowed)
		d.allowed += x
		amount -= x
	}
}

func byCaller(demands []*demand) []party {
	var parties []party
	at := make(map[string]int)
	for _, d := range demands {
		i, ok := at[d.caller]
		if !ok {
			i = len(parties)
			at[d.caller] = i
			parties = append(parties, nil)
		}
		parties[i] = append(parties[i], d)
	}
	return parties
}

func each(demands []*demand) []party {
	parties := make([]party, len(demands))
	for i := range demands {
		parties[i] = demands[i : i+1]
	}
	return parties
}

// fill shares the capacity among the parties by max-min fairness over their shares, and returns how
// much was given.
func fill(capacity float64, parties []party) float64 {
	slices.SortFunc(parties, func(a, b party) int {
		x, y := a.open()/a[0].share, b.open()/b[0].share
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	shares := 0.0
	for _, p := range parties {
		shares += p[0].share
	}
	given := 0.0
	for _, p := range parties {
		x := min(p.open(), (capacity-given)*p[0].share/shares)
		p.give(x)
		given += x
		shares -= p[0].share
	}
	return given
}

// rationed is one demand as it is counted, with the tokens that it may spend.
type rationed struct {
	demand
	seen    eventRate
	tokens  float64
	refills time.Time
}

// take spends a token if there is one.
func (r *rationed) take(now time.Time) bool {
	if math.IsInf(r.allowed, 1) {
		return true
	}
	most := max(rationBurst, r.allowed*rationTime.Seconds())
	r.tokens = min(most, r.tokens+r.allowed*now.Sub(r.refills).Seconds())
	r.refills = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// rations counts what is asked for and lets as much in as can be done.
type rations struct {
	// demands are sorted heaviest first.
	demands []*rationed
	worked  time.Time
}

// idleRate, in requests a second, is below which a demand is forgotten.
const idleRate = 0.05

// of returns the demand of the waiter's caller and weight.
func (r *rations) of(now time.Time, w *waiter) *rationed {
	i := 0
	for ; i < len(r.demands) && r.demands[i].weight >= w.weight; i++ {
		if d := r.demands[i]; d.weight == w.weight && d.caller == w.caller {
			d.share = w.share
			return d
		}
	}
	d := &rationed{demand: demand{caller: w.caller, share: w.share, weight: w.weight, allowed: math.Inf(1)}, refills: now}
	r.demands = slices.Insert(r.demands, i, d)
	return d
}

// seen counts an arrival and returns its demand.
func (r *rations) seen(now time.Time, w *waiter) *rationed {
	d := r.of(now, w)
	d.seen.add(now)
	return d
}

// work shares the capacity out anew where it is time.
func (r *rations) work(now time.Time, capacity float64) {
	if now.Sub(r.worked) < rationTime {
		return
	}
	r.worked = now
	r.demands = slices.DeleteFunc(r.demands, func(d *rationed) bool { return d.seen.at(now) < idleRate })
	demands := make([]*demand, len(r.demands))
	for i, d := range r.demands {
		d.rate = d.seen.at(now)
		demands[i] = &d.demand
	}
	ration(capacity, demands)
}
