package delegate

import (
	"slices"
	"time"
)

const (
	// maxLag is the lag of a gatherer's processor above which it gets no searches where it tells no wait: its calls
	// would end late by as much. On a processor with free capacity, a timer fires within 1 to 2 ms of its due time.
	maxLag = 12 * time.Millisecond
	// lagMaxAge is how long a reported lag is valid. After that, one search obtains a new report.
	lagMaxAge = 400 * time.Millisecond
	// minClosed is the shortest time for which a gatherer that declined a search gets none of the same priority.
	minClosed = 20 * time.Millisecond
	// maxSent bounds the remembered searches that were sent to a gatherer. Their work is far above any limit.
	maxSent = 128
)

// target holds what a VM knows about a gatherer. All fields are guarded by the Manager's mu.
type target struct {
	address string
	client  Client
	// otherZone is set for a gatherer that gets a search only where none of the own zone can take it.
	otherZone bool
	// inFlight holds the searches in flight at the gatherer.
	inFlight map[*inFlightSearch]struct{}
	// lost is set from a failure until a ping is answered.
	lost bool
	// checkPending is set where the gatherer is due for a ping because another one was lost or a search timed out.
	checkPending bool
	// report is the newest report of its load, and heardAt when it last answered this VM.
	report  report
	heardAt time.Time
	// sent holds the times at which searches were sent there, the last reportExpiry of them.
	sent []time.Time
	// closed holds the priorities for which it is closed.
	closed []closure
}

// closure states that a gatherer gets no search of a priority, nor of a less urgent one, until a time.
type closure struct {
	priority int
	until    time.Time
}

// findTarget returns the target with the address, or nil.
func findTarget(targets []*target, address string) *target {
	for _, t := range targets {
		if t.address == address {
			return t
		}
	}
	return nil
}

// reachable reports whether the gatherer is neither lost nor about to stop.
func (t *target) reachable() bool { return !t.lost && !t.report.leaving }

// record keeps the report if it is newer than the known one.
func (t *target) record(r report) {
	if r.at.After(t.report.at) || r.at.Equal(t.report.at) && !r.passedOn {
		t.report = r
	}
}

// noteSent records that a search is being sent.
func (t *target) noteSent(now time.Time) {
	t.sent = slices.DeleteFunc(t.sent, func(at time.Time) bool { return now.Sub(at) > reportExpiry })
	if len(t.sent) >= maxSent {
		t.sent = slices.Delete(t.sent, 0, 1)
	}
	t.sent = append(t.sent, now)
}

// close closes the gatherer for the priority until its wait has fallen to its limit. One that tells no limit stays
// open.
func (t *target) close(priority int, now time.Time) {
	limit := t.report.limit(priority, now)
	if limit == 0 {
		return
	}
	excess := t.report.expectedWait(t.sent, now) - limit
	t.closed = slices.DeleteFunc(t.closed, func(c closure) bool { return c.priority == priority || !c.until.After(now) })
	t.closed = append(t.closed, closure{priority, now.Add(min(max(excess, minClosed), reportExpiry))})
}

// closedFor returns how long the gatherer stays closed for the priority.
func (t *target) closedFor(priority int, now time.Time) time.Duration {
	var out time.Duration
	for _, c := range t.closed {
		if c.priority <= priority {
			out = max(out, c.until.Sub(now))
		}
	}
	return out
}

// behind reports whether a gatherer that tells no wait has too much lag.
func (t *target) behind(now time.Time) bool {
	return len(t.report.limits) == 0 && t.report.lag > maxLag && t.report.age(now) < lagMaxAge
}

// option returns the gatherer as the choice for a search of the priority sees it.
func (t *target) option(priority int, now time.Time) option {
	r := &t.report
	return option{
		address: t.address, reachable: t.reachable(), skip: t.behind(now), otherZone: t.otherZone, inFlight: len(t.inFlight),
		wait: r.expectedWait(t.sent, now), told: r.toldWaitNow(now), sent: r.sentWait(t.sent, now),
		limit: r.limit(priority, now), firstLimit: r.limit(0, now), closedFor: t.closedFor(priority, now),
		age: r.age(now), known: r.valid(now),
	}
}
