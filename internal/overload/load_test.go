package overload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The bounds of docs/design/overload.md.
const (
	inTimeShare       = 0.95 // of the admitted requests
	goodputShare      = 0.9  // of the best goodput at any load
	mostUrgentShare   = 0.99 // of the most urgent requests, while they fit alone
	minUrgentShare    = 0.97 // of the same in any case
	refusalShare      = 4    // refusals take at most the target divided by this
	othersLoss        = 0.02 // by callers that retry at once
	refusedAgainShare = 0.05 // of the callers that waited as told
)

// check checks what holds at any load: admitted requests are in time, and refusals are soon.
func (x *stream) check(is *is.I) {
	is.Helper()
	is.True(float64(x.inTime) >= inTimeShare*float64(x.inTime+x.late))
	is.True(x.longestRefusal <= x.Target/refusalShare)
}

// TestStep guards against a gate that closes or opens late, or swings, when the load rises to 22 times at once.
func TestStep(t *testing.T) {
	const from, to, window = 3 * time.Second, 5 * time.Second, 100 * time.Millisecond
	is := is.New(t)
	s := newSimulation(4)
	x := search(0, "", during(from, to, 0.3, 0.3*22))
	s.run(simEnd, x)
	x.check(is)
	var windows [(to - from) / window]float64
	for _, at := range x.admittedAt {
		if at >= from && at < to {
			windows[(at-from)/window]++
		}
	}
	capacity := s.cores * window.Seconds() / (x.Work.units() * defaultUnit)
	for i := 2; i < len(windows); i++ {
		is.True(windows[i] <= capacity) // in force after 200 ms
		is.True(i == 2 || windows[i] <= 1.2*windows[i-1] && windows[i] >= 0.8*windows[i-1])
	}
	is.True(x.lastRefusal < to+time.Second) // gone after 1 s
}

// TestGoodput guards against congestion collapse: under overload, the goodput stays near its maximum.
func TestGoodput(t *testing.T) {
	// The processor time of a refusal: that of a request on a new connection, and that on a kept one.
	for _, refuse := range []float64{refuseUnits, refuseUnits / 5} {
		best := 0.0
		for _, over := range []float64{0.5, 0.8, 0.9, 1, 1.2, 1.5, 2, 3, 5, 10} {
			t.Run(fmt.Sprintf("%g times, %g units for a refusal", over, refuse), func(t *testing.T) {
				is := is.New(t)
				s := newSimulation(0.8)
				s.refuse = refuse
				x := search(0, "", always(over))
				s.run(simEnd, x)
				x.check(is)
				goodput := s.goodput(x)
				best = max(best, goodput)
				is.True(goodput >= goodputShare*min(over, best))
			})
		}
	}
}

// TestMostUrgent guards against an overload of lower priorities that displaces the most urgent one. Its load, the
// guaranteed parts of the others and the refusals together are what the processor can do.
func TestMostUrgent(t *testing.T) {
	tests := map[string]struct {
		cores        float64
		urgent, work Work
		load, others float64
		want         float64
	}{
		"searches at a gatherer":                 {0.8, Work{Calls: 36}, Work{Calls: 36}, 0.6, 0.5, mostUrgentShare},
		"searches at a gatherer, others 1":       {0.8, Work{Calls: 36}, Work{Calls: 36}, 0.6, 1, mostUrgentShare},
		"searches at a gatherer, others 2":       {0.8, Work{Calls: 36}, Work{Calls: 36}, 0.6, 2, minUrgentShare},
		"searches at a gatherer, near capacity":  {0.8, Work{Calls: 36}, Work{Calls: 36}, 0.7, 0.5, minUrgentShare},
		"singles beside hand-overs":              {0.192, Work{Calls: 1}, Work{HandOver: true}, 0.6, 0.3, mostUrgentShare},
		"singles beside hand-overs, others 0.5":  {0.192, Work{Calls: 1}, Work{HandOver: true}, 0.6, 0.5, minUrgentShare},
		"hand-overs beside others":               {0.192, Work{HandOver: true}, Work{HandOver: true}, 0.6, 0.3, mostUrgentShare},
		"singles beside searches made by the VM": {0.192, Work{Calls: 1}, Work{Calls: 36}, 0.6, 2, minUrgentShare},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(test.cores)
			urgent, lower := search(0, "", always(test.load)), search(1, "", always(test.others))
			lowest := search(2, "", always(test.others/2))
			urgent.Work, lower.Work, lowest.Work = test.urgent, test.work, test.work
			s.run(2*simEnd, urgent, lower, lowest)
			is.True(rate(urgent) >= test.want)
			for _, x := range []*stream{urgent, lower, lowest} {
				x.check(is)
			}
		})
	}
}

// TestPrioritiesAndFloors guards against a lower priority that is served better than a higher one, and against one
// that starves, where every priority alone is more than the processor can do.
func TestPrioritiesAndFloors(t *testing.T) {
	is := is.New(t)
	s := newSimulation(0.8)
	streams := []*stream{search(0, "", always(1.2)), search(1, "", always(1.2)), search(5, "", always(1.2))}
	s.run(simEnd, streams...)
	for i, x := range streams {
		x.check(is)
		// Nine tenths of the guaranteed part, since whole requests are admitted.
		is.True(s.goodput(x) >= 0.9*floorShare)
		is.True(i == 0 || rate(x) <= rate(streams[i-1])+0.01)
	}
}

// TestShares guards against a caller that gets more by asking for more, also in a priority that gets its guaranteed
// part only.
func TestShares(t *testing.T) {
	for _, priority := range []int{0, 1} {
		is := is.New(t)
		s := newSimulation(0.8)
		small, middle, large := search(priority, "a", always(0.01)), search(priority, "b", always(0.6)), search(priority, "c", always(3))
		streams := []*stream{small, middle, large}
		if priority > 0 {
			streams = append(streams, search(0, "", always(1.2)))
		}
		s.run(22*time.Second, streams...)
		is.True(float64(middle.inTime) >= 0.9*float64(large.inTime))
		is.True(rate(small) >= 0.9 || priority > 0)
		is.True(rate(small) >= rate(middle))
	}
}

// TestRetriesAtOnce guards against callers that gain, or cost the others much, by sending each request up to three
// times at once.
func TestRetriesAtOnce(t *testing.T) {
	for _, over := range []float64{1.2, 1.5} {
		t.Run(fmt.Sprintf("%g times", over), func(t *testing.T) {
			is := is.New(t)
			others := func(retries int) float64 {
				s, streams := newSimulation(0.8), callers(always(over/10))
				for _, x := range streams[:3] {
					x.retries, x.retryAfter = retries, 5*time.Millisecond
				}
				s.run(12*time.Second, streams...)
				is.True(rate(streams[:3]...) <= rate(streams[3:]...)+othersLoss)
				return rate(streams[3:]...)
			}
			is.True(others(2) >= others(0)-othersLoss)
		})
	}
}

// TestRetryAfter guards against retry delays that end while the processor still has no room.
func TestRetryAfter(t *testing.T) {
	for _, over := range []float64{1.5, 3, 6.6} {
		load := func(n float64) func(time.Duration) float64 {
			return during(3*time.Second, 4*time.Second, 0.3/n, over/n)
		}
		for _, streams := range [][]*stream{{search(0, "", load(1))}, callers(load(10))} {
			t.Run(fmt.Sprintf("burst of %g times, %d callers", over, len(streams)), func(t *testing.T) {
				is := is.New(t)
				for _, x := range streams {
					x.retries = 1
				}
				newSimulation(0.8).run(simStart+15*time.Second, streams...)
				returned, refusedAgain := 0, 0
				for _, x := range streams {
					returned, refusedAgain = returned+x.returned, refusedAgain+x.refusedAgain
				}
				is.True(returned > 0 && float64(refusedAgain) <= refusedAgainShare*float64(returned))
			})
		}
	}
}

// TestUnitCost guards against a gate that trusts a wrong cost: of a process that has not measured it yet, and of one
// whose usage cannot be read, whose lag then bounds the wait.
func TestUnitCost(t *testing.T) {
	working := func(_, used time.Duration) time.Duration { return used }
	stands := func(_, _ time.Duration) time.Duration { return time.Second }
	tests := map[string]struct {
		factor float64 // of the processor time of a unit to its default
		usage  func(at, used time.Duration) time.Duration
		lags   bool
		want   float64 // goodput at three times the capacity
	}{
		"a quarter":      {0.25, working, true, 0.7},
		"four times":     {4, working, true, 0.7},
		"twice, no lags": {2, working, false, 0.6},
		"usage fails":    {1, func(_, _ time.Duration) time.Duration { return 0 }, true, 0.7},
		"usage stands":   {1, stands, true, 0.7},
		"usage jumps": {1, func(at, used time.Duration) time.Duration {
			return used + time.Hour*(at/(200*time.Millisecond)%2)
		}, true, 0.7},
		"usage comes and goes": {1, func(at, used time.Duration) time.Duration {
			return (used + time.Hour) * (at / (300 * time.Millisecond) % 2)
		}, true, 0.7},
		"usage stands, true cost twice": {2, stands, true, 0.3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(0.8)
			s.unit, s.usage, s.lags = s.unit*test.factor, test.usage, test.lags
			x := search(0, "", always(3/test.factor))
			s.run(simEnd, x)
			is.True(s.goodput(x) >= test.want)
		})
	}
}

// TestSmallVM guards against refusals at a VM that is mostly idle, where a request takes several milliseconds.
func TestSmallVM(t *testing.T) {
	for load, refused := range map[float64]float64{0.25: 1.0 / 200, 0.5: 1.0 / 50} {
		t.Run(fmt.Sprintf("%g times", load), func(t *testing.T) {
			is := is.New(t)
			streams := prioritized(Work{HandOver: true}, load/3, load/3, load/3)
			newSimulation(0.192).run(time.Minute, streams...)
			is.True(1-served(streams...) <= refused)
		})
	}
}

// TestGathererIsUsed guards against limits that refuse lower priorities while the processor is idle, or let them
// displace the most urgent one.
func TestGathererIsUsed(t *testing.T) {
	is := is.New(t)
	s := newSimulation(0.8)
	streams := prioritized(Work{Calls: 36}, 0.35, 3-0.35)
	s.run(time.Minute, streams...)
	answered := 0
	for _, x := range streams {
		answered += x.inTime + x.late
	}
	used := float64(answered) * streams[0].Work.units() * s.unit / (s.cores * (s.end - settle - simStart).Seconds())
	is.True(used >= 0.9*drainFraction)
	is.True(served(streams[0]) >= minUrgentShare)
}

// TestLearnedUnitCost guards against an estimate that takes background work for that of requests.
func TestLearnedUnitCost(t *testing.T) {
	for _, load := range []float64{0.1, 0.3, 1} {
		for _, cores := range []float64{0.192, 0.8} {
			t.Run(fmt.Sprintf("%g times, %g cores", load, cores), func(t *testing.T) {
				is := is.New(t)
				s := newSimulation(cores)
				s.unit, s.background = 0.8*defaultUnit, 0.02
				x := prioritized(Work{HandOver: true}, 0)[0]
				x.times = during(5*time.Second, time.Hour, 0.01, load*defaultUnit/s.unit)
				s.run(30*time.Second, x)
				is.True(math.Abs(s.gate.cost.seconds(1)-s.unit) <= 0.2*s.unit)
			})
		}
	}
}
