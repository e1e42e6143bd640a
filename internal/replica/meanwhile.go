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
	// maxCompared bounds the answers, and the calls in flight, that a call is compared with. With all 300 calls of a
	// VM in flight late, the comparison with all of them took 0.4 ms for each choice of a leaf.
	maxCompared = 16
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
	s := sample{call: c, late: c.sentAt.Add(usual)}
	t.recent.collect(&s)
	t.collectLate(&s, now)
	ratios := s.search
	if len(ratios) < minCompared {
		ratios = s.others
	}
	if len(ratios) < minCompared {
		return 1
	}
	if shared := median(ratios); shared >= sharedFactor {
		return shared
	}
	return 1
}

// sample holds how many times as long as usual calls to other leaves took while a call was in flight.
type sample struct {
	call *Call
	// late is when the call should have ended.
	late time.Time
	// search holds the calls of the same search, others those in flight after late.
	search, others []float64
}

func (s *sample) add(route string, sentAt, endedAt time.Time, ratio float64) {
	if route == s.call.route && sentAt.Sub(s.call.sentAt).Abs() <= sameSearchWithin {
		s.search = append(s.search, ratio)
	}
	if endedAt.After(s.late) {
		s.others = append(s.others, ratio)
	}
}

// full reports whether there are enough calls to compare with.
func (s *sample) full() bool { return len(s.search) >= maxCompared || len(s.others) >= maxCompared }

// collect adds the answers that arrived since the call was sent, the latest first.
func (r *recentCalls) collect(s *sample) {
	for i := range recentAnswers {
		a := &r.answers[(r.next+recentAnswers-1-i)%recentAnswers]
		if s.full() || a.endedAt.Before(s.call.sentAt) {
			return
		}
		if a.leaf != s.call.id {
			s.add(a.route, a.sentAt, a.endedAt, a.ratio)
		}
	}
}

// collectLate adds the calls in flight that already take longer than usual. Requires mu.
func (t *Table) collectLate(s *sample, now time.Time) {
	late := sample{call: s.call, late: s.late}
	for id, l := range t.leaves {
		if late.full() {
			break
		}
		o := l.oldest()
		if o == nil || id == s.call.id {
			continue
		}
		usual := t.usualTime(l, o, now)
		if elapsed := now.Sub(o.sentAt); usual > 0 && elapsed > usual {
			late.add(o.route, o.sentAt, now, float64(elapsed)/float64(usual))
		}
	}
	s.search, s.others = append(s.search, late.search...), append(s.others, late.others...)
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
