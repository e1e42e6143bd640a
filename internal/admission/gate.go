package admission

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

const step = "entry.admission"

const (
	// fewWaiting is how many requests should wait under overload at the least, so that a freed slot
	// finds work that the rations let in.
	fewWaiting = 3
	// calmAfter is how many times OverloadAfter must pass without a refusal for load until the
	// overload counts as over.
	calmAfter = 10
)

// Result says how an admitted request ended.
type Result int

const (
	// ResultOK is an answer, whole or partial, that lacks nothing for load.
	ResultOK Result = iota
	// ResultPartialOverload is an answer that lacks shards for load.
	ResultPartialOverload
	// ResultOverload is a refusal for load.
	ResultOverload
	// ResultDeadline is a request that ran out of time.
	ResultDeadline
	// ResultFailed is any other failure; it says nothing of load.
	ResultFailed
	// ResultCancelled is a request whose caller went away.
	ResultCancelled
)

// verdict is the decision about one request: refused where err is set.
type verdict struct{ err *outcome.Error }

// Random gives a number in [0,1).
type Random func() float64

// gate admits the requests of one service. It is pure: calls give the time, and decisions go into the
// waiters' channels, which have room. The caller serializes calls.
type gate struct {
	settings Settings
	random   Random
	limit    *limit
	inFlight int
	queue    *queue
	// took estimates the time of each kind, and all of them together.
	took map[string]*estimate
	all  estimate
	// drained counts ends other than refusals for load; saturated is when the limit was last reached from below, zero below it.
	drained   eventRate
	saturated time.Time
	returns   returns
	// rations hold under overload, which began at overload, zero while there is none; excess is when
	// a request was last refused for load.
	rations  rations
	overload time.Time
	excess   time.Time
}

func newGate(s Settings, random Random) *gate {
	return &gate{
		settings: s, random: random, limit: newLimit(s), queue: &queue{},
		took: make(map[string]*estimate), returns: returns{most: s.MaxRetryAfter.D()},
	}
}

// arrive takes a request in: it runs, waits or is refused.
func (g *gate) arrive(now time.Time, w *waiter) {
	g.watch(now)
	g.expire(now)
	w.cost = g.cost(w.kind)
	if err := g.refusal(now, w); err != nil {
		w.verdict <- verdict{err: err}
		return
	}
	g.queue.push(now, w)
	g.admit(now)
	if g.queue.length > 0 {
		g.limit.used()
	}
}

// refusal returns why the request is refused at the door, or nil. In a full queue another may have to
// go in its place.
func (g *gate) refusal(now time.Time, w *waiter) *outcome.Error {
	asked := g.rations.seen(now, w)
	if g.inFlight < g.limit.slots() && g.queue.length == 0 {
		return g.hopeless(now, w, 0)
	}
	if g.overloaded() {
		g.rations.work(now, g.capacity(now))
		if !asked.take(now) {
			return g.full(now, "more is asked for than can be done")
		}
	}
	wait := g.wait(now, w)
	if err := g.hopeless(now, w, wait); err != nil {
		return err
	}
	if wait > g.settings.MaxWait.D() {
		return g.full(now, "the wait would be longer than allowed")
	}
	if g.queue.length < g.settings.Queue {
		return nil
	}
	out := g.queue.displace(w)
	if out == nil {
		return g.full(now, "the queue is full")
	}
	out.verdict <- verdict{err: g.full(now, "a request that goes first took the place")}
	return nil
}

// capacity returns how many requests a second are let in under overload: about as many as end, more
// while fewer wait than should, less while more do.
func (g *gate) capacity(now time.Time) float64 {
	drain := g.drained.at(now)
	want := max(fewWaiting, drain*g.settings.OverloadWait.D().Seconds())
	short := (want - float64(g.queue.length)) / want
	return drain * (1 + rationSwing*max(-1, short))
}

// hopeless refuses a request that can't be done in the time it has left, after the given wait.
func (g *gate) hopeless(now time.Time, w *waiter, wait time.Duration) *outcome.Error {
	if left := w.deadline.Sub(now); left > 0 && left >= wait+g.least(now, w.kind) {
		return nil
	}
	e := outcome.NotRun(pb.Reason_REASON_DEADLINE, step, "the time left is too short for the work")
	return e.After(g.comeBack(now))
}

// full refuses a request for load.
func (g *gate) full(now time.Time, why string) *outcome.Error {
	g.excess = now
	return outcome.NotRun(pb.Reason_REASON_QUEUE_FULL, step, "%s", why).After(g.comeBack(now))
}

// comeBack returns when a refused caller should come back.
func (g *gate) comeBack(now time.Time) time.Duration {
	return g.returns.after(now, g.queue.length, g.drain(now), g.random())
}

// admit lets waiting requests run while there are slots.
func (g *gate) admit(now time.Time) {
	for g.inFlight < g.limit.slots() {
		w := g.next()
		if w == nil {
			break
		}
		g.inFlight++
		w.verdict <- verdict{}
	}
	switch {
	case g.inFlight < g.limit.slots():
		g.saturated = time.Time{}
	case g.saturated.IsZero():
		g.saturated = now
	}
}

// next takes the next request out of the queue. Under overload the rations have chosen by weight and
// share already, and what they let in goes in the order in which it came: an order by weight would let
// the lighter ones wait in vain.
func (g *gate) next() *waiter {
	if g.overloaded() {
		return g.queue.popOldest()
	}
	return g.queue.pop()
}

// ended takes the end of a request that was admitted. took is 0 where it never ran.
func (g *gate) ended(now time.Time, kind string, took time.Duration, r Result) {
	g.inFlight--
	if r == ResultOK || r == ResultPartialOverload || r == ResultDeadline {
		g.estimateOf(kind).add(now, took)
		g.all.add(now, took)
	}
	if r != ResultOverload && r != ResultCancelled {
		g.drained.add(now)
	}
	g.limit.ended(now, r)
	g.watch(now)
	g.expire(now)
	g.admit(now)
}

// leave takes out a request whose caller went away, and tells whether it still waited.
func (g *gate) leave(w *waiter) bool { return g.queue.remove(w) }

// expire refuses the waiting requests whose time is up.
func (g *gate) expire(now time.Time) {
	var gone []*waiter
	g.queue.each(func(w *waiter) {
		if !now.Before(g.expiry(now, w)) {
			gone = append(gone, w)
		}
	})
	for _, w := range gone {
		g.queue.remove(w)
		w.verdict <- verdict{err: g.expired(now, w)}
	}
}

// expiry returns when the time of a waiting request is up.
func (g *gate) expiry(now time.Time, w *waiter) time.Time {
	longest := w.arrived.Add(g.settings.MaxWait.D())
	if latest := w.deadline.Add(-g.least(now, w.kind)); latest.Before(longest) {
		return latest
	}
	return longest
}

// expired is the outcome of a request whose time in the queue is up.
func (g *gate) expired(now time.Time, w *waiter) *outcome.Error {
	if err := g.hopeless(now, w, 0); err != nil {
		return err
	}
	return g.full(now, "no slot came free in the time allowed for waiting")
}

// nextExpiry returns when expire has to be called next, and whether anything waits.
func (g *gate) nextExpiry(now time.Time) (next time.Time, some bool) {
	g.queue.each(func(w *waiter) {
		if at := g.expiry(now, w); !some || at.Before(next) {
			next, some = at, true
		}
	})
	return next, some
}

// watch notes when overload begins, once the queue has stood for too long, and when it ends, once
// nothing has been refused for load for a while.
func (g *gate) watch(now time.Time) {
	after := g.settings.OverloadAfter.D()
	switch {
	case g.overload.IsZero() && g.queue.standing(now) >= after:
		g.overload, g.excess = now, now
	case !g.overload.IsZero() && now.Sub(g.excess) >= calmAfter*after:
		g.overload = time.Time{}
	}
}

// overloaded tells whether work comes faster than it is done.
func (g *gate) overloaded() bool { return !g.overload.IsZero() }

// wait estimates how long a new request waits for a slot.
func (g *gate) wait(now time.Time, w *waiter) time.Duration {
	ahead := g.queue.ahead(w.weight)
	if d := g.drain(now); d > 0 {
		return time.Duration(float64(ahead) / d * float64(time.Second))
	}
	return 0
}

// drain returns how many requests a second the gate ends when it is busy: as counted where it has
// been busy for a while, else from its limit and the usual time of a request. 0 is not known.
func (g *gate) drain(now time.Time) float64 {
	counted := g.drained.at(now)
	if !g.saturated.IsZero() && now.Sub(g.saturated) >= rateTime {
		return counted
	}
	if t := g.all.typical(); t > 0 {
		return max(counted, g.limit.value/t.Seconds())
	}
	return counted
}

// estimateOf returns the estimate of a kind.
func (g *gate) estimateOf(kind string) *estimate {
	e := g.took[kind]
	if e == nil {
		e = &estimate{}
		g.took[kind] = e
	}
	return e
}

// least returns a time in which a request of the kind surely can't be done.
func (g *gate) least(now time.Time, kind string) time.Duration {
	return g.estimateOf(kind).least(now)
}

// defaultCost, in seconds, is charged for a kind of which nothing is known.
const defaultCost = 0.01

// cost returns what a request of the kind takes of its caller's share.
func (g *gate) cost(kind string) float64 {
	if t := g.estimateOf(kind).typical(); t > 0 {
		return t.Seconds()
	}
	return defaultCost
}
