package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A leaf counts as unresponsive once two or more calls have waited longer than a pause lasts without any response,
// and until unresponsiveKeep after the latest call. Any response ends that.
func TestUnresponsive(t *testing.T) {
	const late = 433 * time.Millisecond // when an abandoned call ends
	type end func(c []*Call, start time.Time)
	one := func(r Result, after time.Duration) end {
		return func(c []*Call, start time.Time) { c[0].End(r, start.Add(after)) }
	}
	all := func(r Result, after time.Duration) end {
		return func(c []*Call, start time.Time) {
			for _, call := range c {
				call.End(r, start.Add(after))
			}
		}
	}
	for name, tt := range map[string]struct {
		calls int
		// end ends some of the calls.
		end  end
		at   time.Duration
		want bool
	}{
		"waits for long":         {2, nil, unresponsiveAfter, true},
		"one call":               {1, nil, unresponsiveAfter, false},
		"a pause":                {2, nil, unresponsiveAfter - 1, false},
		"all connections wait":   {2, nil, unresponsiveKeep + unresponsiveAfter, true},
		"no call since":          {3, all(Late, late), late + unresponsiveKeep, false},
		"given up":               {3, one(Late, late), late, true},
		"an answer":              {3, one(OK, typical), unresponsiveAfter, false},
		"a refusal":              {3, one(Refused, typical), unresponsiveAfter, false},
		"a reset":                {3, one(Failed, typical), unresponsiveAfter, false},
		"unreachable":            {3, one(Unreachable, typical), unresponsiveAfter, true},
		"nothing listens":        {3, all(ConnectRefused, typical), unresponsiveAfter, true},
		"nothing listened once":  {1, all(ConnectRefused, typical), unresponsiveAfter, false},
		"a silent connection":    {3, one(Failed, late), late, true},
		"never sent, one waits":  {2, one(Neutral, 0), unresponsiveAfter, false},
		"never sent, two do too": {3, one(Neutral, 0), unresponsiveAfter, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := New()
			now := time.Now()
			only := group()[:1]
			var calls []*Call
			for range tt.calls {
				_, c := table.Choose(now, "r", typical, only)
				calls = append(calls, c)
			}
			if tt.end != nil {
				tt.end(calls, now)
			}
			is.Equal(table.UnresponsiveFor(leafID("a"), now.Add(tt.at)) > 0, tt.want)
		})
	}
	is.New(t).Equal(New().UnresponsiveFor(leafID("unknown"), time.Now()), time.Duration(0))
}
