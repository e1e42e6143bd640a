package route

import "time"

// Clock gives the time; time.Now in the running process.
type Clock func() time.Time

// Random gives a number in [0,n); rand.IntN in the running process.
type Random func(n int) int

// choose takes the cheaper of two gathers drawn at random, so that entries that see the same do not
// all run to the same gather. The one already tried is left out.
func choose(t *table, service string, among []Gather, tried string, now time.Time, random Random) (Gather, bool) {
	open := make([]Gather, 0, len(among))
	for _, g := range among {
		if g.VM != tried {
			open = append(open, g)
		}
	}
	switch len(open) {
	case 0:
		return Gather{}, false
	case 1:
		return open[0], true
	}
	i := random(len(open))
	j := random(len(open) - 1)
	if j >= i {
		j++
	}
	a, b := open[i], open[j]
	if t.of(service, b).cost(now) < t.of(service, a).cost(now) {
		return b, true
	}
	return a, true
}
