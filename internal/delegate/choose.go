package delegate

import "time"

const (
	// calmWait is the expected wait up to which a gatherer counts as having free capacity whatever it told: the work of
	// two searches.
	calmWait = 2 * searchWork
	// rankSpread bounds by how much the wait of a gatherer is varied, as a multiple of the age of its report. All VMs
	// have the same old reports. With a spread of half the age, they evened out a difference faster than new reports
	// arrived, and overshot.
	rankSpread = 2
	// minRetryAfter and maxRetryAfter bound the delay, before the jitter, after which a refused caller is asked to retry.
	minRetryAfter, maxRetryAfter = 50 * time.Millisecond, 5 * time.Second
)

// timeLeft is the time that a search has left.
type timeLeft struct {
	// toTarget is the time left to the target latency of its route; 0 or less if that has passed or there is none.
	toTarget time.Duration
	// toTimeout is the time left to the caller's timeout.
	toTimeout time.Duration
}

// allows reports whether a search can wait that long.
func (l timeLeft) allows(wait time.Duration) bool {
	if l.toTarget > 0 {
		return wait < l.toTarget
	}
	return wait < l.toTimeout
}

// option is a gatherer as the choice for one search sees it.
type option struct {
	address string
	// reachable is set if the gatherer is neither lost nor about to stop.
	reachable bool
	// skip is set if the search must not be offered to it, or not again.
	skip      bool
	otherZone bool
	inFlight  int
	// wait is the expected wait of the search, and limit the longest one at which the gatherer accepts it; 0 if unknown.
	wait, limit time.Duration
	// firstLimit is the limit of the most urgent priority.
	firstLimit time.Duration
	// told is the told wait as of the report, and sent the part of wait that this VM has sent since.
	told, sent time.Duration
	// age is the age of the report. Known is false if there is none that still counts.
	age   time.Duration
	known bool
	// closedFor is how long the gatherer gets no search of this priority because it declined one.
	closedFor time.Duration
}

// hasRoom reports whether the gatherer is expected to accept a search with this time left.
func (o *option) hasRoom(left timeLeft) bool {
	switch {
	case o.closedFor > 0:
		return false
	case o.wait <= calmWait:
		return true
	}
	return (o.limit == 0 || o.wait <= o.limit) && left.allows(o.wait)
}

// full reports whether the gatherer is reachable and known to have no room.
func (o *option) full(left timeLeft) bool { return o.reachable && o.limit > 0 && !o.hasRoom(left) }

// calm reports whether the gatherer had and has nearly no work.
func (o *option) calm() bool { return o.told <= calmWait && o.wait <= calmWait }

// spacious reports whether the gatherer has room even if other VMs have sent twice as much as it could do since the
// report.
func (o *option) spacious() bool {
	if o.limit == 0 {
		return o.known // one that tells no limit
	}
	return o.told+o.sent+o.age <= o.limit/2
}

// rank returns the wait by which two gatherers are compared: the told one, off by a random time of up to rankSpread
// times the age of the report. Other VMs may have filled the gatherer since, or it may have worked off what it had.
func (o *option) rank(random func() float64) time.Duration {
	if !o.known {
		return o.sent
	}
	return o.told + o.sent + time.Duration((2*random()-1)*rankSpread*float64(min(o.age, freshAge)))
}

// choose returns the index of the gatherer that a search with this time left is offered to, or -1 if there is none.
// Gatherers of other zones come after all of the own zone. Where a gatherer was full already, the others of the zone
// may be as well, and those come last that are not known to have room. random returns a number in [0,1).
func choose(from []option, left timeLeft, foundFull bool, random func() float64) int {
	for _, fits := range []func(o *option) bool{
		func(o *option) bool { return !o.otherZone && (!foundFull || o.spacious()) },
		func(o *option) bool { return o.otherZone },
		func(o *option) bool { return !o.otherZone },
	} {
		var fit []int
		for i := range from {
			if o := &from[i]; o.reachable && !o.skip && fits(o) && o.hasRoom(left) {
				fit = append(fit, i)
			}
		}
		if len(fit) > 0 {
			return chooseAmong(from, fit, random)
		}
	}
	return -1
}

// chooseAmong returns one of the indexes in fit. Where all gatherers are calm, the number of searches in flight decides.
func chooseAmong(from []option, fit []int, random func() float64) int {
	for _, i := range fit {
		if !from[i].calm() {
			return shorterOfTwo(from, fit, random)
		}
	}
	return fewestInFlight(from, fit, random)
}

// fewestInFlight returns the index of the gatherer with the fewest searches in flight, a random one among equals.
func fewestInFlight(from []option, fit []int, random func() float64) int {
	out, equal := fit[0], 1
	for _, i := range fit[1:] {
		switch {
		case from[i].inFlight < from[out].inFlight:
			out, equal = i, 1
		case from[i].inFlight == from[out].inFlight:
			equal++
			if random()*float64(equal) < 1 {
				out = i
			}
		}
	}
	return out
}

// shorterOfTwo returns the one of two random gatherers with the shorter wait.
func shorterOfTwo(from []option, fit []int, random func() float64) int {
	if len(fit) == 1 {
		return fit[0]
	}
	first := randomIndex(len(fit), random)
	second := randomIndex(len(fit)-1, random)
	if second >= first {
		second++
	}
	if from[fit[first]].rank(random) <= from[fit[second]].rank(random) {
		return fit[first]
	}
	return fit[second]
}

func randomIndex(n int, random func() float64) int { return min(int(random()*float64(n)), n-1) }

// leastFull returns the index of the gatherer of the own zone with the shortest wait among those that the search can
// wait for and that are full for its priority only, or -1 if there is none.
func leastFull(from []option, left timeLeft) int {
	out := -1
	for i := range from {
		o := &from[i]
		if o.otherZone || o.skip || !o.full(left) || o.limit >= o.firstLimit || !left.allows(o.wait) {
			continue
		}
		if out < 0 || o.wait < from[out].wait {
			out = i
		}
	}
	return out
}

// soonest returns the index of the full gatherer that has room first, and when it does, or -1 if none is full.
func soonest(from []option, left timeLeft) (index int, after time.Duration) {
	index = -1
	for i := range from {
		o := &from[i]
		if !o.full(left) {
			continue
		}
		if d := o.untilRoom(); index < 0 || d < after {
			index, after = i, d
		}
	}
	return index, after
}

// untilRoom returns the time until the gatherer's wait has fallen to its limit and it is no longer closed.
func (o *option) untilRoom() time.Duration { return max(0, o.closedFor, o.wait-o.limit) }

// retryDelay returns the time after which to retry, with jitter of up to half of it.
func retryDelay(after time.Duration, random func() float64) time.Duration {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(random()*float64(after)/2)
}
