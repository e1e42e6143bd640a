package route

import "time"

// Clock returns the time; it is time.Now in the running process.
type Clock func() time.Time

// Random returns a number in [0,n); it is rand.IntN in the running process.
type Random func(n int) int

// choose returns the cheaper of two gathers drawn at random, so that entries with the same information
// don't all choose the same gather. It leaves out the gather of the VM that was already tried.
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
