// Package load sends an open loop of searches and orders to entries and measures the replies.
// Arrivals are a Poisson process whose times don't depend on the replies. The latency of an answer
// counts from the intended start, so that a stalled server can't hide its own delay.
package load

import (
	"math/rand/v2"
	"time"
)

// Phase is a period of the run with one arrival rate.
type Phase struct {
	Name string
	// Rate is the mean arrival rate in requests per second, over all of the mix.
	Rate     float64
	Duration time.Duration
}

// Arrival is one request of the schedule.
type Arrival struct {
	// At is the intended start, relative to the start of the run.
	At time.Duration
	// Phase and Mix are indexes into the phases and the mix.
	Phase, Mix int
	// Sequence counts arrivals from 0.
	Sequence uint64
}

// Schedule draws the arrivals of a run. Equal seeds give equal arrivals. It isn't safe for concurrent
// use.
type Schedule struct {
	phases []Phase
	// cumulative holds the running sums of the mix's weights.
	cumulative []float64
	random     *rand.Rand
	phase      int
	// phaseStart and at are relative to the start of the run.
	phaseStart, at time.Duration
	sequence       uint64
}

// NewSchedule returns the schedule of consecutive phases. The weights distribute the arrivals over
// the mix.
func NewSchedule(phases []Phase, weights []float64, seed uint64) *Schedule {
	s := &Schedule{phases: phases, random: rand.New(rand.NewPCG(seed, seed))}
	sum := 0.0
	for _, w := range weights {
		sum += w
		s.cumulative = append(s.cumulative, sum)
	}
	return s
}

// Next returns the next arrival, or false at the end of the last phase. A Poisson process is
// memoryless, so each phase draws its first arrival from its own start.
func (s *Schedule) Next() (Arrival, bool) {
	for s.phase < len(s.phases) {
		p := s.phases[s.phase]
		end := s.phaseStart + p.Duration
		if p.Rate > 0 {
			s.at += time.Duration(s.random.ExpFloat64() / p.Rate * float64(time.Second))
			if s.at < end {
				return s.arrival(), true
			}
		}
		s.phase++
		s.phaseStart, s.at = end, end
	}
	return Arrival{}, false
}

func (s *Schedule) arrival() Arrival {
	a := Arrival{At: s.at, Phase: s.phase, Mix: s.drawMix(), Sequence: s.sequence}
	s.sequence++
	return a
}

// drawMix returns an index with the probability of its weight.
func (s *Schedule) drawMix() int {
	last := len(s.cumulative) - 1
	x := s.random.Float64() * s.cumulative[last]
	for i, c := range s.cumulative {
		if x < c {
			return i
		}
	}
	return last
}
