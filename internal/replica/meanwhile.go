package replica

import (
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// recentAnswers is the number of answers that are kept for comparison. They cover 280 ms of a VM that sends 25
	// searches of 36 shards a second.
	recentAnswers = 256
	// sameSearchWithin is the time within which a small VM sends the calls of one search.
	sameSearchWithin = 5 * time.Millisecond
	// minCompared is the minimum number of calls to other leaves that show how slow all leaves are.
	minCompared = 2
	// sharedFactor is the multiple of the usual time from which other leaves count as slow as well. The calls in
	// flight that are later than usual have a median of 1.2 while no leaf is slow.
	sharedFactor = 1.4
)

// recentCalls holds the latest answers of all leaves.
type recentCalls struct {
	answers [recentAnswers]recentAnswer
	next    int
	// ignoreNoise switches the detection of disturbances off; used to measure what it changes.
	ignoreNoise bool
}

// recentAnswer is an answer that took ratio times the usual time of its leaf.
type recentAnswer struct {
	leaf            catalog.LeafID
	route           string
	sentAt, endedAt time.Time
	ratio           float64
}

// add stores an answer in place of the oldest one.
func (r *recentCalls) add(c *Call, elapsed, usual time.Duration, now time.Time) {
	if usual <= 0 {
		return
	}
	r.answers[r.next] = recentAnswer{c.id, c.route, c.sentAt, now, float64(elapsed) / float64(usual)}
	r.next = (r.next + 1) % recentAnswers
}

// meanwhile returns how many times as long as usual the calls to other leaves took while the call was in flight: those
// of the same search or, if there are too few, all that were in flight after the usual end of the call. It is at
// least 1. Requires mu.
func (t *Table) meanwhile(c *Call, usual time.Duration, now time.Time) float64 {
	var search, others []float64
	collect := func(route string, sentAt, endedAt time.Time, ratio float64) {
		if route == c.route && sentAt.Sub(c.sentAt).Abs() <= sameSearchWithin {
			search = append(search, ratio)
		}
		if endedAt.After(c.sentAt.Add(usual)) {
			others = append(others, ratio)
		}
	}
	for i := range t.recent.answers {
		if a := &t.recent.answers[i]; a.leaf != c.id {
			collect(a.route, a.sentAt, a.endedAt, a.ratio)
		}
	}
	t.eachLate(c.id, now, func(o *Call, ratio float64) { collect(o.route, o.sentAt, now, ratio) })
	if len(search) < minCompared {
		search = others
	}
	if len(search) < minCompared {
		return 1
	}
	if shared := median(search); shared >= sharedFactor {
		return shared
	}
	return 1
}

// eachLate calls f for each call in flight at another leaf that already takes longer than usual. Requires mu.
func (t *Table) eachLate(except catalog.LeafID, now time.Time, f func(c *Call, ratio float64)) {
	for id, l := range t.leaves {
		if id == except {
			continue
		}
		for c := range l.inFlight {
			usual := t.usualTime(l, c, now)
			if elapsed := now.Sub(c.sentAt); usual > 0 && elapsed > usual {
				f(c, float64(elapsed)/float64(usual))
			}
		}
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
