package delegate

import (
	"context"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/overload"
)

const (
	// maxOffers bounds the gatherers that decline one search.
	maxOffers = 2
	// minimumPeriod is the time between two searches of a priority that are offered although all gatherers are full for
	// it. A gatherer accepts some of these, so that no priority starves while more urgent ones fill it, and all VMs
	// together offer its guaranteed minimum several times over.
	minimumPeriod = 500 * time.Millisecond
	// maxNamed bounds the gatherers that the line of a refused search names, 60 bytes each.
	maxNamed = 8
)

// offering is a search while it is being offered to gatherers.
type offering struct {
	req     *dispatch.Request
	route   *catalog.Route
	version uint64
	// admitted is set once the gate of this VM has admitted the search.
	admitted bool
	// tried holds the gatherers that declined the search or could not be reached, declines counts the former.
	tried    []*target
	declines int
	// foundFull is set once a gatherer has declined the search because it has no room. One of a previous version does
	// not say so: it also declines where it has many searches of slow leaves.
	foundFull bool
	// leftZone is set once the search was offered to a gatherer of another zone.
	leftZone bool
	// gateDecline is the refusal by a gatherer's gate with the shortest time to retry after; nil if there is none.
	gateDecline *declined
}

// declined is why a gatherer has not run a search.
type declined struct {
	// notTaken is the reason as in the message, or that there is no connection.
	notTaken string
	// reason and retryAfter are those of the gatherer's gate.
	reason     dispatch.Reason
	retryAfter time.Duration
}

// reached reports whether the gatherer got the search.
func (d *declined) reached() bool { return d.notTaken != notTakenNoConnection }

// full reports whether the gatherer has no room. Where the caller has used its share, others may still have theirs.
func (d *declined) full() bool {
	return d.notTaken == notTakenBusy && d.reason != dispatch.ReasonCallerShare
}

// left returns the time that the search has left.
func (o *offering) left(now time.Time) timeLeft {
	elapsed := now.Sub(o.req.Arrived)
	return timeLeft{toTarget: o.route.Target - elapsed, toTimeout: o.timeout() - elapsed}
}

func (o *offering) timeout() time.Duration { return o.route.EffectiveTimeout(o.req.Remaining) }

// offer offers the search to gatherers and returns the answer of one of them or a refusal. It returns nil where this
// VM is to make the calls itself.
func (m *Manager) offer(ctx context.Context, o *offering) *dispatch.Answer {
	for o.declines < maxOffers {
		t := m.chooseTarget(o)
		if t == nil {
			break
		}
		if a := m.refusedByGate(o); a != nil {
			return a
		}
		a, d := m.handOver(ctx, t, o)
		if a != nil {
			return a
		}
		m.noteDeclined(o, t, d)
	}
	return m.refuse(o)
}

// chooseTarget returns the gatherer to offer the search to next, or nil where there is none.
func (m *Manager) chooseTarget(o *offering) *target {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	left := o.left(now)
	if left.toTimeout <= 0 {
		return nil
	}
	options := m.options(o, now)
	i := choose(options, left, o.foundFull, m.random)
	if i < 0 {
		i = m.chooseForMinimum(o, options, left, now)
	}
	if i < 0 {
		return nil
	}
	return m.targets[i]
}

// chooseForMinimum returns the index of a full gatherer where a search of this priority is due to be offered anyway, or
// -1. Requires mu.
func (m *Manager) chooseForMinimum(o *offering, options []option, left timeLeft, now time.Time) int {
	priority := min(max(o.route.Priority, 0), maxLimits-1)
	if o.declines > 0 || now.Sub(m.offeredFull[priority]) < minimumPeriod {
		return -1
	}
	i := leastFull(options, left)
	if i >= 0 {
		m.offeredFull[priority] = now
	}
	return i
}

// options returns the gatherers as the choice for the search sees them, in the order of targets. Requires mu.
func (m *Manager) options(o *offering, now time.Time) []option {
	out := make([]option, len(m.targets))
	for i, t := range m.targets {
		out[i] = t.option(o.route.Priority, now)
	}
	for i, t := range m.targets {
		out[i].skip = out[i].skip || o.excludes(t)
	}
	return out
}

// excludes reports whether the search may no longer be offered to the gatherer.
func (o *offering) excludes(t *target) bool {
	for _, tried := range o.tried {
		if tried == t {
			return true
		}
	}
	return t.otherZone && o.leftZone
}

// refusedByGate asks the gate of this VM once for each search. It returns the refusal, or nil where the search is
// admitted.
func (m *Manager) refusedByGate(o *offering) *dispatch.Answer {
	if o.admitted {
		return nil
	}
	now := time.Now()
	d := m.cfg.Gate.Admit(now, gateRequest(o.route, o.req, overload.Work{HandOver: true}, now))
	if d.Admitted {
		o.admitted = true
		return nil
	}
	a := &dispatch.Answer{Outcome: dispatch.NotRun, Reason: dispatch.Reason(d.Reason), RetryAfter: d.RetryAfter}
	return m.ended(o, a, &dispatch.Trace{Version: o.version, Wait: d.Wait, WaitLimit: d.Limit, Demand: d.Demand})
}

// noteDeclined records that the gatherer has not run the search.
func (m *Manager) noteDeclined(o *offering, t *target, d *declined) {
	o.tried = append(o.tried, t)
	if d.reached() {
		o.declines++
		o.leftZone = o.leftZone || t.otherZone
	}
	if d.reason != "" && (o.gateDecline == nil || d.retryAfter < o.gateDecline.retryAfter) {
		o.gateDecline = d
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if d.full() && (d.reason != "" || t.report.limit(o.route.Priority, now) > 0) {
		o.foundFull = true
		t.close(o.route.Priority, now)
	}
	what := d.notTaken
	if d.reason != "" {
		what += " " + string(d.reason)
	}
	opt := t.option(o.route.Priority, now)
	o.req.Declined += opt.describe(what)
}

// refuse returns the refusal of a search that no gatherer takes because those that can be reached are full, or nil
// where none is known to be full.
func (m *Manager) refuse(o *offering) *dispatch.Answer {
	now := time.Now()
	left := o.left(now)
	if left.toTimeout <= 0 {
		return nil
	}
	m.mu.Lock()
	options := m.options(o, now)
	m.mu.Unlock()
	i, after := soonest(options, left)
	if i < 0 && !o.foundFull && o.gateDecline == nil {
		return nil
	}
	o.req.Declined += describeAll(options, left)
	retryAfter := retryDelay(after, m.random)
	a := &dispatch.Answer{Outcome: dispatch.NotRun, Reason: dispatch.ReasonBusyGatherers, RetryAfter: retryAfter}
	if d := o.gateDecline; d != nil { // the gate gives its times in the order of its refusals
		a.RetryAfter = max(d.retryAfter, minRetryAfter)
		if d.reason == dispatch.ReasonCallerShare {
			a.Reason = d.reason
		}
	}
	trace := &dispatch.Trace{Version: o.version}
	if i >= 0 {
		trace.Wait, trace.WaitLimit = options[i].wait, options[i].limit
	}
	return m.ended(o, a, trace)
}

// ended reports the end of a search that this VM answers without its engine.
func (m *Manager) ended(o *offering, a *dispatch.Answer, trace *dispatch.Trace) *dispatch.Answer {
	a.Route = o.route
	m.cfg.Observer.Ended(o.req, a, trace)
	return a
}

// describeAll describes up to maxNamed gatherers that a search did not go to.
func describeAll(options []option, left timeLeft) string {
	var out strings.Builder
	for i := range options[:min(len(options), maxNamed)] {
		out.WriteString(options[i].describe(options[i].state(left)))
	}
	return out.String()
}

// state says in a few words why the gatherer gets no search.
func (o *option) state(left timeLeft) string {
	switch {
	case !o.reachable:
		return "lost or leaving"
	case o.closedFor > 0:
		return "closed"
	case o.full(left):
		return "full"
	}
	return "not offered"
}

// describe describes the gatherer with the reason why it has not run a search, for the line of the request.
func (o *option) describe(reason string) string {
	if !o.known {
		return fmt.Sprintf("%s: %s, no report;", o.address, reason)
	}
	return fmt.Sprintf("%s: %s, wait %v of %v, told %v ago;", o.address, reason,
		o.wait.Round(time.Millisecond), o.limit.Round(time.Millisecond), o.age.Round(time.Millisecond))
}

// logTarget logs that searches may go to the gatherer.
func (m *Manager) logTarget(t *target, p *Plan) {
	m.cfg.Log.Info("searches may go to a stronger VM", zap.String("peer", t.address),
		zap.Bool("last", t.otherZone), zap.Int("gatherers", p.GathererCount))
}
