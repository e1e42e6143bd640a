package overload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
)

// event is a function that runs at a time of the simulation.
type event struct {
	at time.Duration
	do func()
}

// stream sends the requests of one caller and route. times is the multiple of the capacity that it sends.
type stream struct {
	Request
	times func(at time.Duration) float64
	// random draws the arrivals, so that they are the same whatever the gate decides.
	random *rand.Rand
	// retries is how often a refused request is sent again after retryAfter, or after the time it was told where
	// that is 0.
	retries    int
	retryAfter time.Duration
	// The requests that count: all, those answered in time and late; the retries sent and how many of them were
	// refused; the longest time that a refusal took, and the time of the last one.
	sent, inTime, late          int
	returned, refusedAgain      int
	longestRefusal, lastRefusal time.Duration
	// admittedAt holds the times of all admissions.
	admittedAt []time.Duration
}

const (
	simStart = 2 * time.Second
	simEnd   = 8 * time.Second
	// settle is the time before the end from which requests do not count, since they may not be answered by then.
	settle   = 500 * time.Millisecond
	leafTime = 20 * time.Millisecond
)

// simulation runs a gate before a processor, in virtual time. The processor does its jobs in the order of their
// arrival, as the scheduler of Go runs goroutines.
type simulation struct {
	gate   *Gate
	random *rand.Rand
	// events are in the order of their times.
	events  []event
	at, end time.Duration
	cores   float64
	// given is the processor time of all jobs so far, in seconds, and busyUntil when they are done.
	given     float64
	busyUntil time.Duration
	// unit is the processor time of a unit, and refuse the units of a refusal.
	unit, refuse float64
	// usage changes what the gate reads of the processor time used.
	usage func(at, used time.Duration) time.Duration
	// background is the usage of work that no request causes, in seconds per second.
	background float64
	// lags is set if the gate is told how late timers fire.
	lags bool
}

func newSimulation(cores float64) *simulation {
	s := &simulation{
		cores: cores, random: rand.New(rand.NewPCG(1, 2)), unit: defaultUnit, refuse: refuseUnits, lags: true,
		usage: func(_, used time.Duration) time.Duration { return used },
	}
	usage := func() time.Duration {
		return s.usage(s.at, time.Second+seconds(s.given-max(0, s.busyUntil-s.at).Seconds()*cores))
	}
	s.gate = New(Settings{Cores: cores, MaxRetryAfter: 30 * time.Second}, usage, s.random.Float64)
	return s
}

func (s *simulation) now() time.Time { return start.Add(s.at) }

func (s *simulation) after(d time.Duration, do func()) {
	e := event{s.at + d, do}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), -1) })
	s.events = slices.Insert(s.events, i, e)
}

// work has the processor do a job of some units, and then calls do.
func (s *simulation) work(units float64, do func()) {
	s.given += units * s.unit
	s.busyUntil = max(s.busyUntil, s.at) + seconds(units*s.unit/s.cores)
	s.after(s.busyUntil-s.at, do)
}

// arrivals sends the stream's requests as a Poisson process.
func (s *simulation) arrivals(x *stream) {
	rate := x.times(s.at) * s.cores / (x.Work.units() * defaultUnit)
	s.after(seconds(x.random.ExpFloat64()/rate), func() {
		counted := s.at >= simStart && s.at < s.end-settle
		if counted {
			x.sent++
		}
		s.send(x, counted, 0)
		s.arrivals(x)
	})
}

// send sends a request, for the time after the given number of refusals.
func (s *simulation) send(x *stream, counted bool, refusals int) {
	sent := s.at
	d := s.gate.Admit(s.now(), x.Request)
	if !d.Admitted {
		s.work(s.refuse, func() { s.refused(x, d, sent, counted, refusals) })
		return
	}
	x.admittedAt = append(x.admittedAt, s.at)
	half := x.Work.units() / 2
	s.work(half, func() {
		s.after(leafTime, func() {
			s.work(half, func() {
				if counted && s.at-sent <= x.Target {
					x.inTime++
				} else if counted {
					x.late++
				}
			})
		})
	})
}

// refused handles a refusal.
func (s *simulation) refused(x *stream, d Decision, sent time.Duration, counted bool, refusals int) {
	x.lastRefusal = s.at
	if counted {
		x.longestRefusal = max(x.longestRefusal, s.at-sent)
		x.refusedAgain += min(refusals, 1)
	}
	if refusals >= x.retries {
		return
	}
	s.after(cmp.Or(x.retryAfter, d.RetryAfter), func() {
		if counted {
			x.returned++
		}
		s.send(x, counted, refusals+1)
	})
}

// observeLag reports the lag of a timer every 20 ms.
func (s *simulation) observeLag() {
	due := s.at
	s.work(0.2+s.background*lagInterval.Seconds()/s.unit, func() { s.gate.ObserveLag(s.now(), s.at-due) })
	s.after(lagInterval, s.observeLag)
}

// run runs the streams until the end.
func (s *simulation) run(end time.Duration, streams ...*stream) {
	s.end = end
	for i, x := range streams {
		x.random = rand.New(rand.NewPCG(1, uint64(i)))
		s.arrivals(x)
	}
	if s.lags {
		s.observeLag()
	}
	for s.at < end {
		e := s.events[0]
		s.events = s.events[1:]
		s.at = e.at
		e.do()
	}
}

// always returns a load that does not change.
func always(times float64) func(time.Duration) float64 { return during(0, 0, times, 0) }

// during returns a load that is raised for a time, and low before and after.
func during(from, to time.Duration, low, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return low
	}
}

// search returns a stream of searches of 36 calls with a target of 250 ms.
func search(priority int, caller string, times func(time.Duration) float64) *stream {
	return &stream{times: times, Request: Request{
		Route: "search" + string(rune('0'+priority)), Priority: priority, Caller: caller, Target: 250 * time.Millisecond,
		Work: Work{Calls: 36},
	}}
}

// prioritized returns a stream for each load, with falling priorities and the targets of a trial with 71 VMs.
func prioritized(work Work, loads ...float64) []*stream {
	targets := []time.Duration{40 * time.Millisecond, 120 * time.Millisecond, 500 * time.Millisecond}
	var streams []*stream
	for p, load := range loads {
		x := search(p, "", always(load))
		x.Target, x.Work = targets[p], work
		streams = append(streams, x)
	}
	return streams
}

// callers returns ten streams of searches of different callers, with a load of each.
func callers(times func(time.Duration) float64) []*stream {
	var streams []*stream
	for i := range 10 {
		streams = append(streams, search(0, string(rune('a'+i)), times))
	}
	return streams
}

// goodput returns the part of the processor that requests answered in time have used.
func (s *simulation) goodput(x *stream) float64 {
	used := float64(x.inTime) * x.Work.units() * s.unit
	return used / (s.cores * (s.end - settle - simStart).Seconds())
}

// rate returns the part of the requests that are answered in time.
func rate(streams ...*stream) float64 {
	inTime, sent := 0, 0
	for _, x := range streams {
		inTime, sent = inTime+x.inTime, sent+x.sent
	}
	return float64(inTime) / float64(sent)
}

// served returns the part of the requests that are admitted.
func served(streams ...*stream) float64 {
	answered, sent := 0, 0
	for _, x := range streams {
		answered, sent = answered+x.inTime+x.late, sent+x.sent
	}
	return float64(answered) / float64(sent)
}
