package replica

import (
	"math"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// slotTimeDecay is the time constant by which the calls that show a service's slot time are forgotten.
	slotTimeDecay = 4 * time.Second
	// maxSlotTimeRatio bounds one call as a multiple of the mean, so that a paused leaf does not count as a queue at
	// all others.
	maxSlotTimeRatio = 5
	// minSlotTimeBound is the lowest such bound, so that very short first calls do not hold the mean down.
	minSlotTimeBound = 10 * time.Millisecond
	// maxSlots is the largest plausible number of slots of a leaf.
	maxSlots = 1 << 12
	// usualTimeDecay is the time constant by which the usual call time of a route without answers approaches the mean
	// slot time of its service.
	usualTimeDecay = 500 * time.Millisecond
	// fullMargin is the share of a leaf's queue that is left free. Other VMs send calls that this one hears of late:
	// without it two of three single requests were refused by a leaf at three times the load.
	fullMargin = 0.25
	// queueHold is how long a load report counts in full for all but the most urgent priority.
	queueHold = 100 * time.Millisecond
	// fullDrift is by how many requests per second the number at which a leaf refuses is assumed to rise, so that a
	// leaf that refused for another reason is filled again.
	fullDrift = 1
	// maxWait bounds an expected wait. No caller waits longer.
	maxWait = time.Minute
	// spreadMinAge is the age of the newest load report from which a call is spread over several leaves. VMs that
	// decide by the same older report would all choose the same leaf.
	spreadMinAge = 20 * time.Millisecond
	// spreadMaxCost is the cost, as a multiple of the lowest, below which a leaf takes part in the spread.
	spreadMaxCost = 2
)

// slotTime is the mean time for which the calls of a service hold a slot, over all routes. Calls are weighted by
// their age.
type slotTime struct {
	calls float64
	mean  time.Duration
	at    time.Time
}

// add counts a call that held a slot for the given time.
func (s *slotTime) add(held time.Duration, now time.Time) {
	if s.calls > 0 {
		held = min(held, max(maxSlotTimeRatio*s.mean, minSlotTimeBound))
	}
	s.calls = s.calls*math.Exp(-float64(max(0, now.Sub(s.at)))/float64(slotTimeDecay)) + 1
	s.mean = max(1, s.mean+time.Duration(float64(held-s.mean)/s.calls))
	s.at = now
}

// learnSlotTime counts a call to a leaf of the service. Requires mu.
func (t *Table) learnSlotTime(service string, held time.Duration, now time.Time) {
	s := t.slotTimes[service]
	if s == nil {
		s = &slotTime{at: now}
		t.slotTimes[service] = s
	}
	s.add(held, now)
}

// slotTimeOf returns the mean slot time of the service, or the estimate if none was measured. Requires mu.
func (t *Table) slotTimeOf(service string, estimate time.Duration) time.Duration {
	if s := t.slotTimes[service]; s != nil {
		return s.mean
	}
	return max(estimate, 0)
}

// UsualTime returns the call time of the route by which its requests are admitted: the typical time, unless it is longer
// than the mean slot time of the service and out of date. The answers of a burst may bring the typical time above the
// target. If that lasted, no request would be admitted any more whose answers could correct it.
func (t *Table) UsualTime(now time.Time, route, service string, estimate time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		return estimate
	}
	rest := min(r.typical, t.slotTimeOf(service, r.typical))
	return time.Duration(decay(float64(r.typical), float64(rest), max(0, now.Sub(r.lastUpdate)), usualTimeDecay))
}

// slots returns the number of slots of the leaf: the registered one, or else the one that the leaf reported, or else
// the number of requests that it was seen to run at once.
func (l *leaf) slots(c Candidate) float64 {
	for _, n := range []int{c.Slots, l.load.Slots, l.load.Running} {
		if n > 0 && n <= maxSlots {
			return float64(n)
		}
	}
	return 1
}

// waitAt returns how long a call waits for a slot at the leaf: the calls that have to end first, each for the mean slot
// time of the service at the speed of the leaf. Requires mu.
func (t *Table) waitAt(l *leaf, now time.Time, estimate time.Duration, c Candidate) time.Duration {
	return t.waitBehind(l.queue(now), l, now, estimate, c)
}

// waitBehind returns how long a call waits for a slot at the leaf behind the given number of requests. Requires mu.
func (t *Table) waitBehind(queue float64, l *leaf, now time.Time, estimate time.Duration, c Candidate) time.Duration {
	slots := l.slots(c)
	ahead := queue + 1 - slots
	if ahead <= 0 {
		return 0
	}
	wait := ahead / slots * float64(t.slotTimeOf(l.service, estimate)) * l.speed(now)
	return time.Duration(min(wait, float64(maxWait)))
}

// heldQueue estimates the number of requests at the leaf for admission control. While requests wait, other VMs send as
// many as end, so the report counts in full for queueHold. With a report that ages at once, all VMs admitted requests
// between two reports.
func (l *leaf) heldQueue(now time.Time) float64 {
	return l.queueAfter(now, max(0, now.Sub(l.loadAt)-queueHold))
}

// Wait is the expected wait for a slot at the best of several leaves.
type Wait struct {
	Expected time.Duration
	// Longest is the expected wait if no waiting request has ended since the latest reports, at least Expected.
	Longest time.Duration
	// Full is set if all leaves would refuse a call.
	Full bool
	// Queued is set if all leaves have more requests than slots. A stalled leaf has no queue: the calls that it holds
	// are to be sent to another one.
	Queued bool
	// Long is set if at all leaves at least as many requests wait as there are slots.
	Long bool
}

// Wait returns the expected wait at the best of the candidates. The estimate is the slot time of a service without
// measurements. Unresponsive leaves, and stalled ones without a recent report, do
// not count: fewer calls would not make them answer. Stalled leaves count only if
// no other does, since the calls at a leaf with a long queue may be overdue as well.
func (t *Table) Wait(now time.Time, estimate time.Duration, candidates []Candidate) Wait {
	t.mu.Lock()
	defer t.mu.Unlock()
	var active, stalled []Candidate
	for _, c := range candidates {
		switch l := t.leaf(c, now); {
		case l.unresponsiveFor(now) > 0:
		case l.stalled(now) && now.Sub(l.loadAt) > unresponsiveAfter:
		case l.stalled(now):
			stalled = append(stalled, c)
		default:
			active = append(active, c)
		}
	}
	if len(active) == 0 {
		return t.bestWait(now, estimate, stalled)
	}
	w := t.bestWait(now, estimate, active)
	w.Queued = w.Queued && len(active) == len(candidates)
	return w
}

// bestWait returns the expected wait at the best of the candidates, all of which count. Requires mu.
func (t *Table) bestWait(now time.Time, estimate time.Duration, candidates []Candidate) Wait {
	if len(candidates) == 0 {
		return Wait{}
	}
	best := Wait{Expected: maxWait, Longest: maxWait, Full: true, Queued: true, Long: true}
	atFull := maxWait
	for _, c := range candidates {
		l := t.leaf(c, now)
		best.Queued = best.Queued && l.queue(now) > l.slots(c)
		best.Long = best.Long && l.queue(now)+1 >= 2*l.slots(c)
		wait := t.waitAt(l, now, estimate, c)
		if t.full(l, now) {
			atFull = min(atFull, wait)
			continue
		}
		best.Full = false
		best.Expected = min(best.Expected, wait)
		best.Longest = min(best.Longest, t.waitBehind(l.heldQueue(now), l, now, estimate, c))
	}
	if best.Full {
		best.Expected, best.Longest = atFull, atFull
	}
	return best
}

// stalled reports whether the leaf is overdue with a call and has not reported its load since it should have answered.
// Its slots are no capacity.
func (l *leaf) stalled(now time.Time) bool {
	longest := l.overdue(now)
	return longest > 0 && now.Sub(l.loadAt) >= longest
}

// fullness is the number of requests at which a leaf refuses calls.
type fullness struct {
	// requests is 0 while it is unknown.
	requests float64
	at       time.Time
}

// now returns the number at the given time.
func (f fullness) now(now time.Time) float64 {
	return f.requests + math.Floor(fullDrift*max(0, now.Sub(f.at).Seconds()))
}

// full reports whether the leaf would refuse a call. Its report counts until half of the requests that wait by it can have
// got a slot. Requires mu.
func (t *Table) full(l *leaf, now time.Time) bool {
	if l.fullness.requests <= 0 {
		return false
	}
	hold := float64(l.load.Waiting) / 2 / float64(max(l.load.Running, 1)) * float64(t.slotTimeOf(l.service, 0))
	age := max(0, now.Sub(l.loadAt)-time.Duration(min(hold, float64(queueHold))))
	limit := l.fullness.now(now)
	margin := math.Floor(fullMargin * max(0, limit-float64(l.load.Running)))
	return l.queueAfter(now, age) >= limit-margin
}

// Refused stores the load that a leaf reported when it refused a call. A leaf that refuses while it has a free slot is
// not full.
func (t *Table) Refused(id catalog.LeafID, load Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leaves[id]
	if l == nil {
		return
	}
	load = load.plausible()
	if n := load.Running + load.Waiting; n > 0 && n >= load.Slots {
		l.fullness = fullness{float64(n), now}
	}
}

// accepted raises the number at which the leaf refuses to the number of requests that it has accepted.
func (l *leaf) accepted(load Load, now time.Time) {
	if n := float64(load.Running + load.Waiting); l.fullness.requests > 0 && n > l.fullness.now(now) {
		l.fullness = fullness{n, now}
	}
}

// maxReported bounds the numbers of a load report.
const maxReported = 1 << 16

// plausible returns the load with its numbers within bounds.
func (l Load) plausible() Load {
	bound := func(n int) int { return min(max(n, 0), maxReported) }
	l.Running, l.Waiting, l.Slots = bound(l.Running), bound(l.Waiting), bound(l.Slots)
	l.WorkTimePercent = bound(l.WorkTimePercent)
	return l
}

// ChooseSpread is Choose for services at which each VM has few calls. If the newest load report of the cheapest leaf is
// not recent, it takes the cheaper of two random leaves among those that cost about as little. random returns a number
// in [0,1).
func (t *Table) ChooseSpread(
	now time.Time, route string, estimate time.Duration, candidates []Candidate, random func() float64,
) (int, *Call) {
	if len(candidates) == 0 {
		return -1, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	typical := t.typicalOf(route, estimate)
	best := t.cheapest(now, typical, candidates)
	if at := t.leaves[candidates[best].ID].loadAt; !at.IsZero() && now.Sub(at) > spreadMinAge {
		best = t.cheaperOfTwo(now, typical, candidates, best, random)
	}
	return best, t.begin(now, route, typical, candidates[best])
}

// cheaperOfTwo returns the cheaper of two random candidates among those that have room and cost less than spreadMaxCost
// times the best one. Requires mu.
func (t *Table) cheaperOfTwo(
	now time.Time, typical time.Duration, candidates []Candidate, best int, random func() float64,
) int {
	costOf := func(i int) float64 { return t.cost(t.leaf(candidates[i], now), now, typical, candidates[i]) }
	limit := spreadMaxCost * costOf(best)
	var near []int
	for i := range candidates {
		if i == best || costOf(i) < limit && !t.full(t.leaf(candidates[i], now), now) {
			near = append(near, i)
		}
	}
	if len(near) == 1 {
		return best
	}
	first := int(random() * float64(len(near)))
	second := int(random() * float64(len(near)-1))
	if second >= first {
		second++
	}
	if costOf(near[second]) < costOf(near[first]) {
		return near[second]
	}
	return near[first]
}
