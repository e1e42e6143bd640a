package route

import "time"

// Clock gives the time; time.Now in the running process.
type Clock func() time.Time

// Random gives a number in [0,n); rand.IntN in the running process.
type Random func(n int) int

// choose takes the cheaper of two gathers drawn at random, so that entries that see the same do not
// all run to the same gather. The one already tried is left out.
func choose(stats *statsTable, service string, gathers []Gather, tried string, now time.Time, random Random) (Gather, bool) {
	untried := make([]Gather, 0, len(gathers))
	for _, g := range gathers {
		if g.VM != tried {
			untried = append(untried, g)
		}
	}
	switch len(untried) {
	case 0:
		return Gather{}, false
	case 1:
		return untried[0], true
	}
	i := random(len(untried))
	j := random(len(untried) - 1)
	if j >= i {
		j++
	}
	a, b := untried[i], untried[j]
	if stats.of(service, b).cost(now) < stats.of(service, a).cost(now) {
		return b, true
	}
	return a, true
}
