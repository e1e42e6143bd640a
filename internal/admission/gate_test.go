package admission

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// harness drives a limiter with a manual clock.
type harness struct {
	limiter *limiter
	now     time.Time
}

// newHarness returns a harness whose limiter has a fixed limit and a queue of the given length.
func newHarness(slots, queue int) *harness {
	s := DefaultSettings()
	s.MinConcurrency, s.InitialConcurrency, s.MaxConcurrency, s.Queue = slots, slots, slots, queue
	return &harness{limiter: newLimiter(s, func() float64 { return 0 }), now: time.Unix(0, 0)}
}

func (b *harness) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.limiter.expire(b.now)
}

// send lets a request of kind k arrive that has the given time left until its deadline.
func (b *harness) send(caller string, weight int, left time.Duration) *waiter {
	w := &waiter{
		caller: caller, share: 1, kind: "k", weight: weight, arrived: b.now, deadline: b.now.Add(left),
		decision: make(chan decision, 1),
	}
	if caller == "double" {
		w.share = 2
	}
	b.limiter.arrive(b.now, w)
	return w
}

// end ends one running request after the given time.
func (b *harness) end(elapsed time.Duration, r Result) { b.limiter.finish(b.now, "k", elapsed, r) }

// state returns "runs", "waits", or the reason of the refusal.
func state(w *waiter) string {
	select {
	case v := <-w.decision:
		w.decision <- v
		if v.err == nil {
			return "runs"
		}
		return v.err.Reason.String()
	default:
		return "waits"
	}
}

const (
	full    = "REASON_QUEUE_FULL"
	tooLate = "REASON_DEADLINE"
)

func TestOrderOfTheQueue(t *testing.T) {
	type sent struct {
		caller string
		weight int
	}
	tests := map[string]struct {
		sent []sent
		// want is the order in which the requests run, as indexes into sent.
		want []int
	}{
		"oldest first":           {[]sent{{"a", 1}, {"a", 1}, {"a", 1}}, []int{0, 1, 2}},
		"heavier first":          {[]sent{{"a", 1}, {"a", 9}, {"a", 5}}, []int{1, 2, 0}},
		"callers alternate":      {[]sent{{"a", 1}, {"a", 1}, {"a", 1}, {"b", 1}}, []int{0, 3, 1, 2}},
		"callers by share":       {[]sent{{"a", 1}, {"a", 1}, {"double", 1}, {"double", 1}, {"double", 1}, {"double", 1}}, []int{0, 2, 3, 1, 4, 5}},
		"weight before fairness": {[]sent{{"a", 9}, {"a", 9}, {"b", 1}}, []int{0, 1, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(1, 100)
			b.send("first", 1, time.Minute)
			var waiting []*waiter
			for _, s := range test.sent {
				waiting = append(waiting, b.send(s.caller, s.weight, time.Minute))
			}
			for _, i := range test.want {
				b.end(0, ResultFailed)
				is.Equal(state(waiting[i]), "runs")
			}
		})
	}
}

func TestOverloadBeginsWithPersistentQueueAndEndsWithoutRefusals(t *testing.T) {
	is := is.New(t)
	b := newHarness(1, 2)
	after := b.limiter.settings.OverloadAfter.D()
	b.send("a", 1, time.Minute)
	b.send("a", 1, time.Minute)
	b.pass(after / 2)
	is.True(!b.limiter.overloaded())
	b.send("a", 1, time.Minute)
	b.now = b.now.Add(after / 2)
	b.send("a", 1, time.Minute)
	is.True(b.limiter.overloaded())
	b.pass(overloadEndFactor*after - 1)
	b.send("a", 1, time.Minute)
	is.True(b.limiter.overloaded()) // the last refusal was a moment less than overloadEndFactor*after ago
	b.pass(overloadEndFactor * after)
	b.end(0, ResultFailed)
	is.True(!b.limiter.overloaded())
}

func TestFullQueue(t *testing.T) {
	tests := map[string]struct {
		waiting []string
		caller  string
		weight  int
		// want is the state of the new request, and gone the index of the displaced one, -1 for none.
		want string
		gone int
	}{
		"lighter is refused":           {[]string{"a", "a"}, "b", 0, full, -1},
		"heavier displaces":            {[]string{"a", "a"}, "a", 9, "waits", 0},
		"not one of its own caller":    {[]string{"a", "a"}, "a", 1, full, -1},
		"longest backlog is displaced": {[]string{"b", "a", "a"}, "c", 1, "waits", 1},
		"not for an equal backlog":     {[]string{"a", "b"}, "c", 1, full, -1},
		"share counts":                 {[]string{"double", "double", "a"}, "b", 1, full, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(1, len(test.waiting))
			b.send("first", 1, time.Minute)
			var waiting []*waiter
			for _, c := range test.waiting {
				waiting = append(waiting, b.send(c, 1, time.Minute))
			}
			is.Equal(state(b.send(test.caller, test.weight, time.Minute)), test.want)
			for i, w := range waiting {
				is.Equal(state(w) == full, i == test.gone)
			}
		})
	}
}

func TestRequestThatCannotFinishInTimeIsRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	b := newHarness(2, 10)
	is.Equal(state(b.send("a", 1, 50*time.Millisecond)), "runs") // no estimate yet
	for range 30 {
		b.send("a", 1, time.Minute)
		b.end(100*time.Millisecond, ResultOK)
	}
	is.Equal(state(b.send("a", 1, 50*time.Millisecond)), tooLate)
	is.Equal(state(b.send("a", 1, 150*time.Millisecond)), "runs")
	waits := b.send("a", 1, 185*time.Millisecond)
	is.Equal(state(waits), "waits")
	b.pass(98 * time.Millisecond)
	is.Equal(state(waits), tooLate) // immediately, before its deadline
	b.end(100*time.Millisecond, ResultOK)
	b.end(100*time.Millisecond, ResultOK)
	b.pass(3 * estimateHalfLife)
	is.Equal(state(b.send("a", 1, 50*time.Millisecond)), "runs") // the estimate has decayed, so the service is tried again
}

func TestLongWaitIsRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	b := newHarness(1, 100)
	b.send("a", 1, time.Minute)
	b.end(40*time.Millisecond, ResultOK)
	for range 4 { // one runs, three wait for 0, 40 and 80 ms
		is.True(state(b.send("a", 1, time.Minute)) != full)
	}
	w := b.send("a", 1, time.Minute) // 120 ms is above the longest wait
	is.Equal(state(w), full)
	v := <-w.decision
	is.Equal(v.err.Kind, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
	is.True(v.err.RetryAfter >= 3*40*time.Millisecond) // not before the queue has drained
}

func TestLimitFollowsReportedOverload(t *testing.T) {
	s := DefaultSettings()
	s.MinConcurrency, s.InitialConcurrency, s.MaxConcurrency = 4, 20, 24
	tests := map[string]struct {
		ends    []Result
		used    bool
		windows int
		want    float64
	}{
		"rises while saturated":           {[]Result{ResultOK}, true, 1, 20.4},
		"rises in growing steps":          {[]Result{ResultOK}, true, 2, 20.4 + 2*0.408},
		"not above the maximum":           {[]Result{ResultOK}, true, 9, 24},
		"unchanged while unsaturated":     {[]Result{ResultOK}, false, 9, 20},
		"one slot less for each overload": {[]Result{ResultOK, ResultOverload}, true, 1, 18},
		"and for each partial answer":     {[]Result{ResultOK, ResultPartialOverload}, true, 1, 18},
		"fall bounded within a window":    {[]Result{ResultOverload, ResultOverload, ResultOverload, ResultOverload, ResultOverload, ResultOverload, ResultOverload}, true, 1, 14},
		"falls on deadlines":              {[]Result{ResultOK, ResultDeadline}, true, 1, 14},
		"not below the minimum":           {[]Result{ResultOverload}, true, 50, 4},
		"failures don't count":            {[]Result{ResultFailed}, false, 9, 20},
		"nor do cancellations":            {[]Result{ResultCancelled}, true, 9, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newConcurrencyLimit(s)
			now := time.Unix(0, 0)
			l.windowStart = now
			for range test.windows {
				if test.used {
					l.markSaturated()
				}
				for i := range max(minWindowSamples, len(test.ends)) {
					l.observe(now, test.ends[i%len(test.ends)])
				}
				now = now.Add(minWindowTime)
				l.observe(now, test.ends[0])
			}
			is.True(math.Abs(l.value-test.want) < 1e-9)
		})
	}
}

func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	for _, change := range []func(*Settings){
		func(s *Settings) { s.MinConcurrency = 0 },
		func(s *Settings) { s.MaxConcurrency = s.MinConcurrency - 1 },
		func(s *Settings) { s.InitialConcurrency = s.MaxConcurrency + 1 },
		func(s *Settings) { s.Queue = 0 },
		func(s *Settings) { s.OverloadWait = s.MaxWait + 1 },
		func(s *Settings) { s.MaxRetryAfter = 0 },
	} {
		s := DefaultSettings()
		change(&s)
		is.True(settings.Parse("f", nil, &checked{s}) != nil)
	}
	is.NoErr(settings.Parse("f", nil, &checked{DefaultSettings()}))
}

type checked struct{ Settings }

func (c checked) Check(k *settings.Checker) { c.Settings.Check(k, "admission") }
