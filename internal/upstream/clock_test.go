package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLeafClockErrsOnTheEarlySide checks which readings of a leaf's clock count. A time limit that is
// converted by it must never lie later than the sender meant.
func TestLeafClockErrsOnTheEarlySide(t *testing.T) {
	base := time.Now()
	at := func(d time.Duration) time.Time { return base.Add(d) }
	reading := func(uptime, requested, received time.Duration) clockReading {
		return clockReading{uptime: uptime, requested: at(requested), received: at(received)}
	}
	const sec, ms = time.Second, time.Millisecond
	tests := []struct {
		name     string
		second   clockReading
		later    uint64 // incarnation of the second reading
		uptime   time.Duration
		uptimeAt time.Duration
	}{
		{"a slow reading leaves a quick one", reading(11*sec, 1*sec-400*ms, 1*sec+400*ms), 1, 19*sec + 990*ms, 10 * sec},
		{"a quick one replaces a slow one", reading(11*sec, 1*sec-2*ms, 1*sec+2*ms), 1, 19*sec + 998*ms, 10 * sec},
		{"an old one is replaced", reading(50*sec, 40*sec-400*ms, 40*sec+400*ms), 1, 59*sec + 600*ms, 50 * sec},
		{"the leaf's clock stood still", reading(10*sec, 3*sec-10*ms, 3*sec+10*ms), 1, 16*sec + 990*ms, 10 * sec},
		{"this clock stood still", reading(14*sec, 1*sec-10*ms, 1*sec+10*ms), 1, 22*sec + 990*ms, 10 * sec},
		{"a restart", reading(1*sec, 5*sec-10*ms, 5*sec+10*ms), 2, 5*sec + 990*ms, 10 * sec},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c leafClock
			_, ok := c.uptimeAt(1, at(0))
			is.True(!ok)
			c.observe(1, reading(10*sec, -10*ms, 10*ms))
			c.observe(tt.later, tt.second)
			got, ok := c.uptimeAt(tt.later, at(tt.uptimeAt))
			is.True(ok)
			is.Equal(got, tt.uptime)
			_, ok = c.uptimeAt(3-tt.later, at(tt.uptimeAt))
			is.True(!ok) // of the other incarnation
			_, ok = c.uptimeAt(0, at(tt.uptimeAt))
			is.True(!ok)
		})
	}
}
