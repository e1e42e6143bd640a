package quota

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQuotas(t *testing.T) {
	const all = -1
	tests := map[string]struct {
		capacity float64
		demands  []Demand
		// want is what each demand is allowed; all stands for no bound.
		want []float64
	}{
		"all demands fit":               {100, []Demand{{Key{"a", 1, 9}, 40, 0}, {Key{"b", 1, 1}, 60, 0}}, []float64{all, all}},
		"heavier first":                 {100, []Demand{{Key{"a", 1, 9}, 95, 0}, {Key{"a", 1, 1}, 50, 0}}, []float64{all, 5}},
		"by share in a weight":          {90, []Demand{{Key{"a", 1, 1}, 100, 0}, {Key{"b", 2, 1}, 100, 0}}, []float64{30, 60}},
		"unused share goes to others":   {90, []Demand{{Key{"a", 1, 1}, 10, 0}, {Key{"b", 1, 1}, 300, 0}}, []float64{all, 80}},
		"fair part by share alone":      {100, []Demand{{Key{"a", 1, 9}, 500, 0}, {Key{"b", 1, 1}, 500, 0}}, []float64{95, 5}},
		"small demand met by fair part": {100, []Demand{{Key{"a", 1, 9}, 500, 0}, {Key{"b", 1, 1}, 2, 0}}, []float64{98, all}},
		"no capacity":                   {0, []Demand{{Key{"a", 1, 9}, 5, 0}}, []float64{0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			demands := make([]*Demand, len(test.demands))
			for i := range test.demands {
				demands[i] = &test.demands[i]
			}
			Allocate(test.capacity, demands)
			for i, d := range demands {
				if test.want[i] == all {
					is.True(math.IsInf(d.Allowed, 1))
				} else {
					is.True(math.Abs(d.Allowed-test.want[i]) < 1e-9)
				}
			}
		})
	}
}

func TestRetryAfterIsSpreadAtTheDrainRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	r := RetrySchedule{MaxWait: time.Second}
	last := time.Duration(0)
	for range 50 {
		d := r.RetryAfter(now, 0, 100, 0)
		is.Equal(d-last >= 10*time.Millisecond, true) // 100 per second
		last = d
	}
	is.Equal(last, minRetryAfter+50*10*time.Millisecond)
	for range 100 {
		last = r.RetryAfter(now, 0, 100, 0.5)
	}
	is.Equal(last, 750*time.Millisecond) // beyond the longest wait: jitter over its later half
	is.Equal(r.RetryAfter(now.Add(time.Hour), 0, 100, 0), minRetryAfter+10*time.Millisecond)
}
