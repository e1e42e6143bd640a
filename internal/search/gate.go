package search

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/bundle"
)

const (
	// minWindow and minWindowSearches are the minimum length of a window and the minimum number of searches in it.
	minWindow         = 100 * time.Millisecond
	minWindowSearches = 8
	// waitTolerance is the tolerated time spent waiting for slots, as a fraction of the time spent otherwise.
	waitTolerance = 0.5
	// limitDecrease is the factor applied to the limit after a window with more waiting. limitIncrease is the fraction of
	// the limit that is added, at least 1, after a window that reached the limit without such waiting.
	limitDecrease = 0.85
	limitIncrease = 0.1
	// minLimit is the lower bound of the limit.
	minLimit = 2
)

// limiter limits how many searches of one service run at once at this gather. A search needs a slot in every group.
// Without a limit, each search would hold slots in some groups while it waits in others, and above capacity hardly any
// would get all its slots in time. The limit follows the time that searches wait for slots, not their latency: with a
// straggler, more searches have to run at once, not fewer. Searches above the limit wait in a short queue, heavier
// kinds first, and are refused immediately if it is full.
//
// While no search ends at all, for instance because all connections to leaves have gone silent and are not closed yet,
// the slots held by the running searches say nothing about the load. During such a standstill the limiter admits up to
// twice the limit, or the initial limit if that is more, and leaves the searches that waited then out of the window. A
// limiter is safe for concurrent use.
type limiter struct {
	mu sync.Mutex
	// The fields below are guarded by mu. limit bounds running. queue is in the order in which searches start.
	limit   float64
	running int
	queue   []*queueEntry
	// The current window: its start, the number of searches that ended in it, the time they waited for slots, the time
	// they spent otherwise, and the maximum number of searches that ran at once.
	windowStart            time.Time
	windowSearches         int
	windowWait, windowBusy time.Duration
	windowPeak             int
	// completionRate is the number of searches per second that ended in the last window. It is 0 if that window did not
	// reach the limit and so does not show what the leaves can do. maxWait is the fixed maximum time in the queue.
	completionRate float64
	maxWait        time.Duration
	// shortestTime is the shortest time of a search in the last window. Before the first window ends it is the time of
	// the first search, and 0 before any search ends. windowShortest is the shortest time in the current window. lastEnd
	// is when a search last ended, or when one started while none ran. standstillEnd is when the last standstill ended.
	shortestTime, windowShortest time.Duration
	lastEnd, standstillEnd       time.Time
	// connections to the leaves of the service; nil if nothing is known of them. Both are fixed.
	connections Connections
	service     string
	// minStandstillLimit is the fixed number of searches that may run in a standstill even if the limit is lower.
	minStandstillLimit int
}

// queueEntry is a search in the queue.
type queueEntry struct {
	weight int
	// decision receives true when the search may start, and false when a heavier search displaces it.
	decision chan bool
}

func newLimiter(initial int, maxWait time.Duration) *limiter {
	limit := max(minLimit, initial)
	return &limiter{limit: float64(limit), maxWait: maxWait, minStandstillLimit: limit}
}

// minGroupSlots returns the number of slots of the group that has the fewest. A gather need not run more searches at
// once than the whole fleet can.
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

// enter returns true once the search may start, and false if it has to be refused. The search waits at most for the
// longer of wait and maxWait.
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

// admit starts a search (nil, true), queues it (entry, false) or refuses it (nil, false).
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
	l.probeConnections()
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

// queueCapacity returns how many searches may wait: as many as can start within the wait at the last completion rate,
// but no more than run at once. Requires mu.
func (l *limiter) queueCapacity(wait time.Duration) int {
	if l.completionRate == 0 {
		return int(l.limit)
	}
	return max(1, min(int(l.limit), int(l.completionRate*wait.Seconds())))
}

// displace refuses the last search in the queue in favor of a heavier one. Requires mu.
func (l *limiter) displace(weight int) bool {
	last := len(l.queue) - 1
	if last < 0 || l.queue[last].weight >= weight {
		return false
	}
	l.queue[last].decision <- false
	l.queue = l.queue[:last]
	return true
}

// withdraw ends a wait. It returns true if the search was admitted at the same moment, or starts in a standstill.
func (l *limiter) withdraw(entry *queueEntry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.queue, entry); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		return l.startInStandstill()
	}
	return <-entry.decision
}

// start counts a search as running. Requires mu.
func (l *limiter) start() {
	if l.running == 0 {
		l.lastEnd = time.Now()
	}
	l.running++
	l.windowPeak = max(l.windowPeak, l.running)
}

// leave ends a search that ran for elapsed and waited for slots for a part of it.
func (l *limiter) leave(now time.Time, elapsed, waited time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordEnd(time.Now()) // the same clock as in start and startInStandstill
	l.running--
	if started := now.Add(-elapsed); started.After(l.standstillEnd) {
		l.record(elapsed, waited)
		l.adapt(now)
	}
	l.startQueued()
}

// pause lets another search run in place of one that waits for something other than slots, until resume.
func (l *limiter) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.startQueued()
}

// resume counts a paused search as running again.
func (l *limiter) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start()
}

// startQueued starts as many searches of the queue as the limit allows. Requires mu.
func (l *limiter) startQueued() {
	for len(l.queue) > 0 && l.running < int(l.limit) {
		l.queue[0].decision <- true
		l.queue = slices.Delete(l.queue, 0, 1)
		l.start()
	}
}

// record adds a search to the window. Requires mu.
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

// openWindow starts a new window. Requires mu.
func (l *limiter) openWindow(now time.Time) {
	l.windowStart, l.windowSearches, l.windowWait, l.windowBusy, l.windowPeak, l.windowShortest = now, 0, 0, 0, l.running, 0
}
