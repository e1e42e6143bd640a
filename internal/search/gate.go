package search

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/bundle"
)

const (
	// minWindow and gateSamples are the least length and number of searches of a window.
	minWindow         = 100 * time.Millisecond
	minWindowSearches = 8
	// waitTolerance is how long searches may wait for slots, by the time they don't wait.
	waitTolerance = 0.5
	// limitDecrease is what is left of the limit after a window of more waiting; gateGrowth is what is
	// added, in parts of the limit but at least one, where the limit was reached without it.
	limitDecrease = 0.85
	limitIncrease = 0.1
	// minLimit is the least limit.
	minLimit = 2
)

// limiter bounds the searches of one service that run at once at this gather. A search needs a slot in
// every group. Let in without bound, each would hold slots in some groups while it waits in others,
// and above capacity hardly one would get them all in time. The limit follows the time that
// searches wait for slots, and not their latency: with a straggler more have to run at once, not
// fewer. Those that don't fit wait in a short queue, heavier kinds first, and are refused at once
// where it is full.
//
// Where no search ends any more, as while all connections to leaves have gone silent and aren't given up yet, the
// slots that the running ones hold say nothing of the load. As many again are let in then, or as many as at the start
// where that is more, and what searches of that time waited is left out of the window. It is safe for concurrent use.
type limiter struct {
	mu sync.Mutex
	// The rest is guarded by mu. limit bounds running; queue is in the order in which searches start.
	limit   float64
	running int
	queue   []*queueEntry
	// The window under way: its start, its searches, their time waited for slots and their time
	// besides, and the most that ran at once.
	windowStart            time.Time
	windowSearches         int
	windowWait, windowBusy time.Duration
	windowPeak             int
	// completionRate is how many searches a second ended in the last window, 0 where the limit wasn't reached in
	// it, so that it tells nothing of what can be done; longest is how long one may wait, fixed.
	completionRate float64
	maxWait        time.Duration
	// shortestTime is the shortest time of a search in the last window, of the first search before its end, and 0 before
	// that; shortest is that of the window under way. ended is when a search ended last, or began where none ran;
	// resumed is when the last standstill was over.
	shortestTime, windowShortest time.Duration
	lastEnd, standstillEnd       time.Time
	// minStandstillLimit is how many may run in a standstill where the limit is low, fixed.
	minStandstillLimit int
}

// queueEntry is a search in the queue.
type queueEntry struct {
	weight int
	// decision gets true where the search may start, false where a heavier one took the place.
	decision chan bool
}

func newLimiter(initial int, maxWait time.Duration) *limiter {
	limit := max(minLimit, initial)
	return &limiter{limit: float64(limit), maxWait: maxWait, minStandstillLimit: limit}
}

// minGroupSlots returns the slots of the group that has the fewest: what can't run at once in the fleet
// need not run at once at a gather.
func minGroupSlots(s *bundle.Service) int {
	fewest := 0
	for _, sn := range s.Snapshots {
		for i := range sn.Shards {
			slots := 0
			for _, l := range sn.Shards[i].Leaves {
				if leaf := s.Leaves[l]; leaf != nil {
					slots += leaf.Slots
				}
			}
			if fewest == 0 || slots < fewest {
				fewest = slots
			}
		}
	}
	return fewest
}

// enter returns true once the search may start, and false where it has to be refused. It waits for
// patience or the gate's longest wait, whichever is longer.
func (l *limiter) enter(ctx context.Context, weight int, wait time.Duration) bool {
	wait = max(l.maxWait, wait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	entry, ok := l.admit(weight, wait)
	if entry == nil {
		return ok
	}
	select {
	case ok = <-entry.decision:
		return ok
	case <-ctx.Done():
		return l.withdraw(entry)
	}
}

// admit starts a search (nil, true), gives it a place in the queue, or refuses it (nil, false).
func (l *limiter) admit(weight int, wait time.Duration) (*queueEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 && l.running < int(l.limit) {
		l.start()
		return nil, true
	}
	full := len(l.queue) >= l.queueCapacity(wait)
	if full && l.startInStandstill() {
		return nil, true
	}
	if full && !l.displace(weight) {
		return nil, false
	}
	entry := &queueEntry{weight: weight, decision: make(chan bool, 1)}
	at, _ := slices.BinarySearchFunc(l.queue, weight, func(o *queueEntry, w int) int {
		if o.weight >= w {
			return -1
		}
		return 1
	})
	l.queue = slices.Insert(l.queue, at, entry)
	return entry, false
}

// queueCapacity is how many searches may wait: as many as get their turn within the patience, by how many ended
// lately, but no more than run at once. Requires mu.
func (l *limiter) queueCapacity(wait time.Duration) int {
	if l.completionRate == 0 {
		return int(l.limit)
	}
	return max(1, min(int(l.limit), int(l.completionRate*wait.Seconds())))
}

// displace refuses the last of the queue for a heavier search. Requires mu.
func (l *limiter) displace(weight int) bool {
	last := len(l.queue) - 1
	if last < 0 || l.queue[last].weight >= weight {
		return false
	}
	l.queue[last].decision <- false
	l.queue = l.queue[:last]
	return true
}

// withdraw ends a wait; true where the turn came at the same moment, or in a standstill.
func (l *limiter) withdraw(p *queueEntry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.queue, p); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		return l.startInStandstill()
	}
	return <-p.decision
}

// start counts a search in. Requires mu.
func (l *limiter) start() {
	if l.running == 0 {
		l.lastEnd = time.Now()
	}
	l.running++
	l.windowPeak = max(l.windowPeak, l.running)
}

// leave ends a search that waited for slots for a part of the time it took.
func (l *limiter) leave(now time.Time, elapsed, waited time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordEnd(time.Now()) // by the clock that start and startStanding go by
	l.running--
	if started := now.Add(-elapsed); started.After(l.standstillEnd) {
		l.record(elapsed, waited)
		l.adapt(now)
	}
	l.startQueued()
}

// pause lets another search run in place of one that waits for something else than slots, which stepIn ends.
func (l *limiter) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.startQueued()
}

func (l *limiter) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start()
}

// startQueued starts as many of the queue as may run. Requires mu.
func (l *limiter) startQueued() {
	for len(l.queue) > 0 && l.running < int(l.limit) {
		l.queue[0].decision <- true
		l.queue = slices.Delete(l.queue, 0, 1)
		l.start()
	}
}

// record takes a search into the window. Requires mu.
func (l *limiter) record(elapsed, waited time.Duration) {
	l.windowSearches++
	l.windowWait += waited
	l.windowBusy += max(0, elapsed-waited)
	if l.windowShortest == 0 || elapsed < l.windowShortest {
		l.windowShortest = elapsed
	}
	if l.shortestTime == 0 {
		l.shortestTime = elapsed
	}
}

// adapt sets the limit at the end of a window. Requires mu.
func (l *limiter) adapt(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	if l.windowSearches < minWindowSearches || now.Sub(l.windowStart) < minWindow {
		return
	}
	l.completionRate, l.shortestTime = 0, l.windowShortest
	if l.windowPeak >= int(l.limit) {
		l.completionRate = float64(l.windowSearches) / now.Sub(l.windowStart).Seconds()
	}
	switch {
	case float64(l.windowWait) > waitTolerance*float64(l.windowBusy):
		l.limit = max(minLimit, l.limit*limitDecrease)
	case l.windowPeak >= int(l.limit):
		l.limit += max(1, l.limit*limitIncrease)
	}
	l.openWindow(now)
}

// openWindow begins a window. Requires mu.
func (l *limiter) openWindow(now time.Time) {
	l.windowStart, l.windowSearches, l.windowWait, l.windowBusy, l.windowPeak, l.windowShortest = now, 0, 0, 0, l.running, 0
}
