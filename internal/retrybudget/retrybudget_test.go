package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// clock is a manually advanced clock.
type clock struct{ now time.Time }

func newClock() *clock                   { return &clock{time.Unix(1000, 0)} }
func (c *clock) read() time.Time         { return c.now }
func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }
func (c *clock) since(t time.Time) bool  { return c.now.Sub(t) < 10*time.Second }

var fleetLimit = Limit{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}

// evenly divides the slack equally among the given number of VMs.
func evenly(vms int) func(string) float64 { return func(string) float64 { return 1 / float64(vms) } }

// The slack of a service is divided among the VMs that send its calls, so the VMs that make all calls of searches
// may use more of the slack of shards than of other services.
func TestShareByService(t *testing.T) {
	is := is.New(t)
	c := newClock()
	b := New(fleetLimit, c.read)
	c.advance(10 * time.Second) // past the first window
	b.SetShare(func(service string) float64 { return map[string]float64{"shard": 0.5, "x": 0.1}[service] })
	count := func(service string) (n int) {
		for b.Take(service, Needed) {
			n++
		}
		return n
	}
	is.Equal(count("shard"), 18) // 0.7 * 52 * 0.5
	is.Equal(count("x"), 3)
}

func TestRatioAndSlack(t *testing.T) {
	is := is.New(t)
	c := newClock()
	b := New(fleetLimit, c.read)
	c.advance(10 * time.Second) // past the first window
	b.SetShare(evenly(6))
	for range 100 {
		b.Request("x")
	}
	taken := 0
	for b.Take("x", Needed) {
		taken++
	}
	is.Equal(taken, 25)                 // 0.95 * 0.2 * 100 and 0.7 * 52 / 6
	is.True(b.Take("y", Needed))        // each service has its own budget
	c.advance(11 * time.Second)         // the window has passed, with its requests
	is.True(b.Take("x", Needed))        // the slack is available again
	is.True(b.Remaining()["x"] < 52./6) // and counted
}

// Deferrable and optional calls leave a reserve for needed ones: while leaves pause and fail together, hedges must
// not use up the budget that repeats need.
func TestReserveForNeededCalls(t *testing.T) {
	is := is.New(t)
	c := newClock()
	b := New(fleetLimit, c.read)
	c.advance(10 * time.Second) // past the first window
	b.SetShare(evenly(1))
	optional := 0
	for b.Take("x", Optional) {
		optional++
	}
	is.Equal(optional, 18)
	waiting := optional
	for b.Take("x", Deferrable) {
		waiting++
	}
	urgent := 0
	for b.Take("x", Needed) {
		urgent++
	}
	is.Equal(waiting, 27)
	is.Equal(urgent, 9)
}

// A VM of a large fleet has a share of less than one extra call of the slack. It may still send one.
func TestOneIsAlwaysAllowed(t *testing.T) {
	is := is.New(t)
	b := New(fleetLimit, newClock().read)
	b.SetShare(evenly(500))
	is.True(b.Take("x", Needed))
	is.True(!b.Take("x", Needed))
}

// For any distribution of callers over VMs and time, the fleet must stay within the platform's limit in every
// window that starts with an extra call.
func TestFleetStaysWithinTheLimitInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		budgets := make([]*Budgets, vms)
		for i := range budgets {
			budgets[i] = New(fleetLimit, c.read)
			budgets[i].SetShare(evenly(vms))
		}
		type event struct {
			at    time.Time
			extra bool
		}
		var events []event
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			c.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "pass")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.Request("x")
				events = append(events, event{at: c.now})
			}
			for range rapid.IntRange(0, 20).Draw(t, "extra") {
				if b.Take("x", Needed) {
					events = append(events, event{c.now, true})
				}
			}
			requests, extra := 0, 0
			for _, e := range events {
				switch {
				case !c.since(e.at):
				case e.extra:
					extra++
				default:
					requests++
				}
			}
			if allowed := fleetLimit.Ratio*float64(requests) + fleetLimit.Slack; float64(extra) > allowed {
				t.Fatalf("%d extra calls, %g allowed", extra, allowed)
			}
		}
	})
}

// A refused caller learns whether waiting is worthwhile: calls made long ago soon leave the window, recent ones do
// not.
func TestAvailableWithin(t *testing.T) {
	is := is.New(t)
	c := newClock()
	b := New(fleetLimit, c.read)
	b.SetShare(evenly(500)) // one extra call in a window
	c.advance(10 * time.Second)
	is.True(b.AvailableWithin("x", Needed, 0))
	is.True(b.Take("x", Needed))
	c.advance(time.Second)
	is.True(!b.AvailableWithin("x", Needed, 4*time.Second))
	c.advance(8 * time.Second)
	is.True(!b.AvailableWithin("x", Needed, 500*time.Millisecond))
	is.True(b.AvailableWithin("x", Needed, 2*time.Second))
	is.True(!b.Take("x", Needed))
	c.advance(2 * time.Second)
	is.True(b.Take("x", Needed))
}

// Services without recent requests are dropped; others stay.
func TestIdleServicesAreForgotten(t *testing.T) {
	is := is.New(t)
	c := newClock()
	b := New(fleetLimit, c.read)
	b.Request("old")
	c.advance(15 * time.Second)
	b.Request("new")
	b.SetShare(evenly(3))
	is.Equal(len(b.Remaining()), 2)
	c.advance(6 * time.Second)
	b.SetShare(evenly(3))
	remaining := b.Remaining()
	is.Equal(len(remaining), 1)
	is.True(remaining["new"] > 0)
}

// The fleet spends all that it may in the last seconds before all VMs restart, as hedges and repeats in an overload
// do. The VMs know nothing of it then. Together both must stay within the limit.
func TestFleetRestartKeepsTheLimit(t *testing.T) {
	is := is.New(t)
	c := newClock()
	const vms, perSecond = 6, 212
	start := func() []*Budgets {
		var fleet []*Budgets
		for range vms {
			b := New(fleetLimit, c.read)
			b.SetShare(evenly(vms))
			fleet = append(fleet, b)
		}
		return fleet
	}
	fleet, spent := start(), 0
	runSecond := func(maxExtra int) {
		for i := range perSecond {
			b := fleet[i%vms]
			b.Request("x")
			if maxExtra > 0 && b.Take("x", Needed) {
				spent++
				maxExtra--
			}
		}
		c.advance(time.Second)
	}
	for range 20 {
		runSecond(0)
	}
	for range 3 { // the window starts here
		runSecond(perSecond)
	}
	is.Equal(spent, 156) // all that the window may hold so far: 0.95 * 0.2 * 636 and 0.7 * 52, rounded down at each VM
	fleet = start()
	for range 7 {
		runSecond(perSecond)
	}
	is.True(float64(spent) <= fleetLimit.Ratio*10*perSecond+fleetLimit.Slack)
}
