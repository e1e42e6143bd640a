package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

func TestPeakEWMARisesAtOnceAndFallsSlowly(t *testing.T) {
	is := is.New(t)
	var p peakEWMA
	is.Equal(p.get(start), 0.0)
	p.observe(start, 3*ms)
	p.observe(start.Add(ms), 60*ms)
	is.Equal(p.get(start.Add(ms)), float64(60*ms))
	p.observe(start.Add(2*ms), 3*ms)
	is.True(p.get(start.Add(2*ms)) > float64(59*ms)) // one fast answer barely lowers the estimate
	is.True(p.get(start.Add(4*time.Second)) < float64(2*ms))
	is.True(p.stale(start.Add(4 * time.Second)))
}

func TestHedgeDelay(t *testing.T) {
	for _, tt := range []struct {
		name   string
		sample func(r *rand.Rand) time.Duration
		n      int
		want   time.Duration
	}{
		{"too few samples", func(*rand.Rand) time.Duration { return 3 * ms }, minQuantileWeight - 1, 0},
		{"narrow: three times the median", func(*rand.Rand) time.Duration { return 4 * ms }, 1000, 12 * ms},
		{"wide: the 95th percentile", func(r *rand.Rand) time.Duration {
			return time.Duration(r.ExpFloat64() * float64(10*ms))
		}, 1000, time.Duration(math.Log(20) * float64(10*ms))},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(1, 2))
			var hist latencyHistogram
			for range tt.n {
				hist.add(start, tt.sample(r))
			}
			got, known := hist.hedgeDelay(start.Add(refreshInterval))
			is.Equal(known, tt.want > 0)
			is.True(math.Abs(float64(got-tt.want)) <= 0.13*float64(tt.want)) // a bucket is a sixth of an octave
		})
	}
}

func TestHedgeDelayRecoversFromAFaultInSeconds(t *testing.T) {
	is := is.New(t)
	var hist latencyHistogram
	now := start
	feed := func(d time.Duration, span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(10 * ms) {
			hist.add(now, d)
		}
	}
	feed(60*ms, 10*time.Second)
	feed(3*ms, 14*time.Second) // after four half-lives and a bit, 95 % of the weight is new
	got, _ := hist.hedgeDelay(now)
	is.True(got < 10*ms)
}

func TestTailKeepsSamplesOfAQuietLeaf(t *testing.T) {
	is := is.New(t)
	var hist latencyHistogram
	for range minSampleWeight {
		hist.add(start, 4*ms)
	}
	_, known := hist.hedgeDelay(start.Add(time.Hour))
	is.True(known)
}

func TestQuantileLiesWithinItsBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hist latencyHistogram
		longest := time.Duration(0)
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 1<<30), 1, 50).Draw(t, "samples") {
			d := time.Duration(n)
			longest = max(longest, d)
			hist.add(start, d)
		}
		q := hist.quantile(1)
		if q > max(firstBucketBound*9/8, longest*9/8) || q < longest*7/8 {
			t.Fatalf("the greatest sample is %v, quantile 1 is %v", longest, q)
		}
	})
}

func TestLimiterRules(t *testing.T) {
	const slots, sharers = 8, 4
	// window ends calls of one latency with the given number in flight, until the window closes.
	window := func(l *limiter, now *time.Time, elapsed time.Duration, inFlight int) {
		l.begin(*now, inFlight)
		for range minWindowSamples {
			*now = now.Add(minWindowTime)
			l.sample(*now, elapsed)
		}
	}
	for _, tt := range []struct {
		name string
		do   func(l *limiter, now *time.Time)
		want int
	}{
		{"starts at its share of the slots", func(*limiter, *time.Time) {}, 2},
		{"grows by one per window while the latency is near its minimum", func(l *limiter, now *time.Time) {
			window(l, now, 3*ms, 2)
			window(l, now, 4*ms, 3)
		}, 4},
		{"doesn't grow where it isn't reached", func(l *limiter, now *time.Time) { window(l, now, 3*ms, 1) }, 2},
		{"is bounded by twice the slots", func(l *limiter, now *time.Time) {
			for range 100 {
				window(l, now, 3*ms, int(l.limit))
			}
		}, 16},
		{"shrinks by the gradient where calls queue", func(l *limiter, now *time.Time) {
			for range 6 {
				window(l, now, 3*ms, int(l.limit))
			}
			window(l, now, 6*ms, 8)
		}, 6},
		{"is cut by a shed, once per window", func(l *limiter, now *time.Time) {
			for range 6 {
				window(l, now, 3*ms, int(l.limit))
			}
			l.cutAfterRefusal(*now)
			l.cutAfterRefusal(now.Add(ms))
		}, 6},
		{"never falls below one", func(l *limiter, now *time.Time) {
			for range 20 {
				*now = now.Add(minWindowTime)
				l.cutAfterRefusal(*now)
			}
		}, 1},
		{"follows a share that grows", func(l *limiter, _ *time.Time) { l.setCapacity(slots, 1) }, 8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start
			var l limiter
			l.setCapacity(slots, sharers)
			tt.do(&l, &now)
			is.Equal(int(l.limit), tt.want)
		})
	}
}
