package load

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func collect(s *Schedule) []Arrival {
	var all []Arrival
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		all = append(all, a)
	}
	return all
}

func TestScheduleKeepsRatesAndWeights(t *testing.T) {
	is := is.New(t)
	phases := []Phase{
		{Name: "calm", Rate: 1000, Duration: 10 * time.Second},
		{Name: "silent", Rate: 0, Duration: 5 * time.Second},
		{Name: "over", Rate: 3000, Duration: 10 * time.Second},
	}
	all := collect(NewSchedule(phases, []float64{3, 1}, 7))
	var byPhase [3]float64
	var byMix [2]float64
	gaps := 0.0
	for i, a := range all {
		byPhase[a.Phase]++
		byMix[a.Mix]++
		is.Equal(a.Sequence, uint64(i))
		if i > 0 {
			is.True(a.At >= all[i-1].At) // in order of time
			if a.Phase == 0 {
				gap := (a.At - all[i-1].At).Seconds() * 1000
				gaps += gap * gap
			}
		}
	}
	is.True(math.Abs(byPhase[0]-10000) < 400) // four standard deviations of a Poisson count
	is.Equal(byPhase[1], 0.0)
	is.True(math.Abs(byPhase[2]-30000) < 700)
	is.True(math.Abs(byMix[0]/(byMix[0]+byMix[1])-0.75) < 0.01)
	is.True(math.Abs(gaps/byPhase[0]-2) < 0.2) // exponential gaps: the mean square is twice the squared mean
	is.True(all[len(all)-1].At < 25*time.Second)
}

func TestScheduleIsDrawnFromItsSeed(t *testing.T) {
	is := is.New(t)
	phases := []Phase{{Rate: 100, Duration: time.Second}}
	is.Equal(collect(NewSchedule(phases, []float64{1}, 3)), collect(NewSchedule(phases, []float64{1}, 3)))
	is.True(collect(NewSchedule(phases, []float64{1}, 3))[0].At != collect(NewSchedule(phases, []float64{1}, 4))[0].At)
}
