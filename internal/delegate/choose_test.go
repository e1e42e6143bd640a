package delegate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Guards the order of the choice: room and time before zones, zones before waits, and searches in flight in calm times.
func TestChoose(t *testing.T) {
	own := func(wait, limit time.Duration) option {
		return option{reachable: true, known: true, wait: wait, told: wait, limit: limit}
	}
	with := func(o option, change func(o *option)) option { change(&o); return o }
	other := func(wait, limit time.Duration) option {
		return with(own(wait, limit), func(o *option) { o.otherZone = true })
	}
	inFlight := func(n int) option { return with(own(0, 60*ms), func(o *option) { o.inFlight = n }) }
	lost, unknown := option{}, option{reachable: true}
	closed := with(own(0, 60*ms), func(o *option) { o.closedFor = ms })
	tried := with(own(0, 60*ms), func(o *option) { o.skip = true })
	fresh := timeLeft{150 * ms, 800 * ms}
	for name, tt := range map[string]struct {
		from      []option
		left      timeLeft
		foundFull bool
		want      int
	}{
		"none":                                {nil, fresh, false, -1},
		"shorter wait":                        {[]option{own(50*ms, 60*ms), own(20*ms, 60*ms)}, fresh, false, 1},
		"fewest in flight where all are calm": {[]option{inFlight(2), inFlight(1), inFlight(3)}, fresh, false, 1},
		"own zone with little room":           {[]option{other(0, 60*ms), own(59*ms, 60*ms)}, fresh, false, 1},
		"own zone full":                       {[]option{own(61*ms, 60*ms), other(0, 60*ms)}, fresh, false, 1},
		"own zone closed, tried or lost":      {[]option{closed, tried, lost, other(0, 60*ms)}, fresh, false, 3},
		"all full":                            {[]option{own(61*ms, 60*ms), other(61*ms, 60*ms)}, fresh, false, -1},
		"other zone after a full gatherer":    {[]option{own(40*ms, 60*ms), other(30*ms, 60*ms)}, fresh, true, 1},
		"own zone after a full gatherer":      {[]option{own(20*ms, 60*ms), other(0, 60*ms)}, fresh, true, 0},
		"too late for the target":             {[]option{own(30*ms, 60*ms)}, timeLeft{25 * ms, 600 * ms}, false, -1},
		"target has passed":                   {[]option{own(30*ms, 60*ms)}, timeLeft{-ms, 600 * ms}, false, 0},
		"no report":                           {[]option{own(61*ms, 60*ms), unknown}, fresh, false, 1},
		"previous version":                    {[]option{own(61*ms, 60*ms), own(0, 0)}, fresh, false, 1},
		"calm whatever the limit":             {[]option{own(calmWait, ms), other(0, 60*ms)}, fresh, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(choose(tt.from, tt.left, tt.foundFull, func() float64 { return 0.5 }), tt.want)
		})
	}
}

// Guards against reports that close or open a gatherer for longer than they count, or by values that make no sense.
func TestExpectedWait(t *testing.T) {
	const huge = 1 << 62
	for name, tt := range map[string]struct {
		waitUs, limitUs int64
		age             time.Duration
		sent            []time.Duration // ages
		wait, limit     time.Duration
	}{
		"new":                     {50_000, 60_000, 0, nil, 50 * ms, 60 * ms},
		"worked off since":        {50_000, 60_000, 20 * ms, nil, 30 * ms, 60 * ms},
		"sent since":              {50_000, 60_000, 20 * ms, []time.Duration{30 * ms, 10 * ms, 5 * ms}, 38 * ms, 60 * ms},
		"idle before it was sent": {0, 60_000, 100 * ms, []time.Duration{2 * ms}, 2 * ms, 60 * ms},
		"stale":                   {900_000, 60_000, 400 * ms, nil, 50 * ms, 60 * ms},
		"expired":                 {huge, 60_000, time.Second, nil, 0, 0},
		"negative":                {-5, -5, 0, nil, 0, 0},
		"absurd":                  {huge, huge, 0, nil, maxToldWait, maxToldWait},
		"no limits":               {0, 0, 0, nil, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is, now := is.New(t), time.Now()
			r := newReport(&pb.FleetPong{WaitUs: tt.waitUs, WaitLimitsUs: []int64{tt.limitUs}}, now.Add(-tt.age))
			var sent []time.Time
			for _, age := range tt.sent {
				sent = append(sent, now.Add(-age))
			}
			is.Equal(r.expectedWait(sent, now), tt.wait)
			is.Equal(r.limit(0, now), tt.limit)
			is.Equal(r.limit(-1, now), r.limit(99, now)) // priorities beyond the told ones have the last limit
		})
	}
}
