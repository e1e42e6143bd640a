package fleetload

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// Guards against VMs that report to a lost hub or to themselves, and against traffic between zones by VMs that are no
// hub.
func TestTargets(t *testing.T) {
	gateways := map[string][]peers.VM{
		"a": {{Address: "a1"}, {Address: "a2"}}, "b": {{Address: "b1"}, {Address: "b2"}}, "c": {{Address: "c1"}},
	}
	for name, tt := range map[string]struct {
		self, skipped  string
		used, received bool
		want           string
	}{
		"idle VM":                      {self: "a9", want: ""},
		"VM":                           {self: "a9", used: true, want: "a1"},
		"VM that was sent a report":    {self: "a9", received: true, want: ""},
		"VM, first hub failed":         {self: "a9", skipped: "a1", used: true, want: "a2"},
		"VM, both hubs failed":         {self: "a9", skipped: "a1 a2", used: true, want: ""},
		"hub that calls leaves":        {self: "a1", used: true, want: "b1 c1"},
		"hub that only relays":         {self: "a1", received: true, want: "b1 c1"},
		"hub, another one failed":      {self: "a1", received: true, skipped: "b1", want: "b2 c1"},
		"hub, other zones cut off":     {self: "a1", received: true, skipped: "b1 b2 c1", want: ""},
		"second hub":                   {self: "a2", used: true, want: "a1"},
		"second hub in place of first": {self: "a2", used: true, skipped: "a1", want: "b1 c1"},
		"second hub that others use":   {self: "a2", received: true, want: "a1 b1 c1"},
		"only VM of its zone":          {self: "c1", used: true, want: "a1 b1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := situation{
				self: tt.self, zone: tt.self[:1], gateways: gateways, used: tt.used, received: tt.received,
				skipped: func(address string) bool { return slices.Contains(strings.Fields(tt.skipped), address) },
			}
			var got []string
			for _, target := range s.targets() {
				got = append(got, target.address)
			}
			slices.Sort(got)
			is.Equal(strings.Join(got, " "), tt.want)
		})
	}
}

// Guards against exchanges that come too often or overlap, and against VMs that exchange all at the same time.
func TestInterval(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var c contact
	is.True(c.isDue(start))
	c.begin(start, 0.5)
	is.True(!c.isDue(start.Add(exchangeInterval + maxFirstDelay/2 - 1)))
	next := start.Add(exchangeInterval + maxFirstDelay/2)
	is.True(c.isDue(next))
	c.begin(next, 0.5)
	is.True(!c.isDue(next.Add(exchangeInterval - 1)))
	is.True(c.isDue(next.Add(exchangeInterval)))
	c.inFlight = true
	is.True(!c.isDue(next.Add(time.Hour)))
}

// Guards against absurd slots and limits that would make a VM report all day.
func TestBusy(t *testing.T) {
	is := is.New(t)
	is.True(!leafBusy(replica.Load{Running: 9}))
	is.True(!leafBusy(replica.Load{Running: 3, Slots: 8}))
	is.True(leafBusy(replica.Load{Running: 3, Waiting: 1, Slots: 8}))
	is.True(!gathererBusy(delegate.GathererLoad{Wait: time.Second}))
	is.True(!gathererBusy(delegate.GathererLoad{Limits: []time.Duration{0, -1}, Wait: time.Second}))
	is.True(!gathererBusy(gatherer(1, 9*time.Millisecond, time.Now())))
	is.True(gathererBusy(gatherer(1, 10*time.Millisecond, time.Now())))
}
